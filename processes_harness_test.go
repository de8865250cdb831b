//go:build linux

package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/commands"
)

const (
	// processEnv is the environment variable that makes the test binary run as
	// wagtailspar, so that no other binary has to be built.
	processEnv = "WAGTAILSPAR_TEST_PROCESS"
	// eventTimeout bounds the wait for an event. Only tests that hang reach it.
	eventTimeout = 45 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(processEnv) != "" {
		os.Exit(commands.Execute(os.Args))
	}
	os.Exit(m.Run())
}

// outputBuffer collects the output of a process. It is safe for concurrent use.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is a running process of wagtailspar.
type process struct {
	t              *testing.T
	command        *exec.Cmd
	stdout, stderr outputBuffer
	// ended is closed when the process has ended and its exit status is known.
	ended chan struct{}
	group errgroup.Group
}

// start runs a command line in a process of its own, which is killed at the end of the
// test.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(os.Args[0], args...), ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), processEnv+"=1")
	p.command.Stdout, p.command.Stderr = &p.stdout, &p.stderr
	// The process ends with the test binary, even if a timeout ends that.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	p.group.Go(func() error {
		defer close(p.ended)
		return p.command.Wait()
	})
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.group.Wait()
		if t.Failed() {
			t.Logf("%s\n%s%s", strings.Join(args, " "), &p.stdout, tail(p.stderr.String()))
		}
		if strings.Contains(p.stderr.String(), "DATA RACE") {
			t.Errorf("data race in %s\n%s", strings.Join(args, " "), &p.stderr)
		}
	})
	return p
}

// tail returns the end of a log.
func tail(text string) string {
	return text[max(len(text)-4000, 0):]
}

// run executes a command line in a process of its own and waits for its end.
func run(t *testing.T, args ...string) (out string, status int) {
	t.Helper()
	p := start(t, args...)
	status = p.wait()
	return p.stdout.String() + p.stderr.String(), status
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// wait returns the exit status, or -1 after a signal.
func (p *process) wait() int {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	select {
	case <-p.ended:
	case <-ctx.Done():
		p.t.Fatal("the process has not ended in time")
	}
	return p.command.ProcessState.ExitCode()
}

// kill ends the process without a chance to clean up.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	p.wait()
}

// freeze stops the process. Signals are asynchronous, so it waits until the kernel shows
// the process as stopped.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, "the process is stopped", func() error {
		stat, err := os.ReadFile("/proc/" + itoa(p.command.Process.Pid) + "/stat")
		if err != nil {
			return err
		}
		_, rest, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(rest, "T") {
			return errors.Errorf("state %.1s", rest)
		}
		return nil
	})
}

// resume continues a frozen process.
func (p *process) resume() {
	p.t.Helper()
	p.signal(syscall.SIGCONT)
}

// eventually polls until the check passes, and fails the test after eventTimeout.
func eventually(t *testing.T, condition string, check func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%s: not seen in time; last error: %v", condition, err)
		case <-ticker.C:
		}
	}
}

// result is what a caller sees of a request.
type result struct {
	status          int
	outcome, reason string
	body            string
	server          string
	err             error
}

// request is a request that a test sends.
type request struct {
	method, url string
	header      http.Header
	body        io.Reader
}

// do sends a request on a connection of its own and reads the response.
func do(ctx context.Context, r request) result {
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, r.body)
	if err != nil {
		return result{err: err}
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, outcome: resp.Header.Get("Wagtailspar-Outcome"), reason: resp.Header.Get("Wagtailspar-Reason"),
		body: string(body), server: resp.Header.Get("Server-Name"), err: err,
	}
}

// pendingRequest is a request in flight.
type pendingRequest struct {
	t      *testing.T
	result chan result
	group  errgroup.Group
}

// startRequest sends a request in the background.
func startRequest(t *testing.T, r request) *pendingRequest {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	p := &pendingRequest{t: t, result: make(chan result, 1)}
	p.group.Go(func() error {
		defer cancel()
		p.result <- do(ctx, r)
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_ = p.group.Wait()
	})
	return p
}

// wait waits for the result of the request.
func (p *pendingRequest) wait() result {
	return <-p.result
}
