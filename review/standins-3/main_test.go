//go:build review

// Package standins plays the cases of the third review: it starts hosts of the system as
// processes, with stand-ins of the platform's store, of servers and of clients. It is a
// program, not a test: review/build-3.sh builds it, and run.sh of a case starts it.
package standins

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// background runs the stand-ins.
var background errgroup.Group

// cases are the cases by the name of their folder. Each returns whether the rule held.
var cases = map[string]func(*site) (held bool, err error){}

// maxTime bounds a case.
const maxTime = 115 * time.Second

func TestMain(*testing.M) { os.Exit(play()) }

func play() int {
	name, folder := os.Getenv("REVIEW_CASE"), os.Getenv("REVIEW_FOLDER")
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	s := &site{ctx: ctx, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: newRecord()}
	type result struct {
		held bool
		err  error
	}
	results := make(chan result, 1)
	background.Go(func() error {
		held, err := run(s)
		results <- result{held, err}
		return nil
	})
	var r result
	select {
	case r = <-results:
	case <-ctx.Done():
		r = result{err: ctx.Err()}
	}
	s.end()
	_ = os.RemoveAll(dir)
	code := exitHeld
	switch {
	case r.err != nil:
		s.record.add("end", "the case could not run: %v", r.err)
		code = exitFailed
	case !r.held:
		s.record.add("end", "the rule was broken")
		code = exitBroken
	default:
		s.record.add("end", "the rule held")
	}
	if err := os.WriteFile(filepath.Join(folder, "record.txt"), []byte(s.record.text()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Println(s.record.lastLines(6))
	return code
}

// record is what was sent, answered and run.
type record struct {
	// quiet leaves out single requests that servers run, when there are very many.
	quiet bool
	mu    sync.Mutex
	start time.Time
	lines []string
	runs  map[string][]string
	// servers are the servers that began to run each request.
	servers map[string][]string
}

func newRecord() *record {
	return &record{start: time.Now(), runs: make(map[string][]string), servers: make(map[string][]string)}
}

func (r *record) add(what, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  %-8s %s", time.Since(r.start).Seconds(), what, fmt.Sprintf(format, args...)))
}

// ran records that a server of a service has begun to run a request.
func (r *record) ran(id, service, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[id] = append(r.servers[id], server)
	r.runs[id] = append(r.runs[id], service)
}

// runsOf returns the services that have run a request.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// serversOf returns the servers that have run a request.
func (r *record) serversOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[id]
}

func (r *record) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.lines, "\n") + "\n"
}

func (r *record) lastLines(n int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.lines[max(len(r.lines)-n, 0):], "\n")
}

// site is a small deployment: hosts of the system, and stand-ins.
type site struct {
	ctx     context.Context
	dir     string
	trouble bool
	record  *record
	store   *store
	hosts   []*host
	// bounds are those of the settings files.
	bounds map[string]any
	// zones are the data centres, and contracts those beside the ones of every deployment.
	zones, contracts []string
}

// end ends all processes that the case started.
func (s *site) end() {
	for _, h := range s.hosts {
		h.kill()
	}
}

// waitUntil waits until a time or the end of the case.
func (s *site) waitUntil(t time.Time) {
	select {
	case <-time.After(time.Until(t)):
	case <-s.ctx.Done():
	}
}

// host is an entry host: a process with the command of the deploy file.
type host struct {
	name, zone            string
	front, ready, control string
	process               *exec.Cmd
	exited                chan struct{}
}

// takenPorts are the ports that freeAddress has returned.
var takenPorts = make(map[int]bool)

// freeAddress returns an address with a port below those of outgoing connections, which would
// take the port of a host that is down.
func freeAddress() (string, error) {
	for range 200 {
		port := 12_000 + rand.N(20_000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if takenPorts[port] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			takenPorts[port] = true
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// addHosts adds hosts, one for each zone that is named, and starts them.
func (s *site) addHosts(zones ...string) error {
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone}
		for _, address := range []*string{&h.front, &h.ready, &h.control} {
			a, err := freeAddress()
			if err != nil {
				return err
			}
			*address = a
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := s.start(h); err != nil {
			return err
		}
	}
	return s.awaitReady(s.hosts...)
}

// start writes the settings file of a host and starts its process.
func (s *site) start(h *host) error {
	zones, seeds := make(map[string]string), []string{}
	for _, zone := range s.zones {
		zones[zone] = "region"
	}
	for _, other := range s.hosts[:min(3, len(s.hosts))] {
		seeds = append(seeds, other.control)
	}
	settings := map[string]any{
		"node": h.name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge", "control"}, "ip": "127.0.0.1",
		"zone": h.zone, "region": "region", "zones": zones, "listen": map[string]any{"front": h.front, "ready": h.ready, "control": h.control},
		"portRange": []int{7720, 7735}, "seeds": seeds, "bootstrap": h.process == nil, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
		"contracts":      append([]string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"}, s.contracts...),
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "bounds": s.bounds,
		"provider": map[string]any{"addr": s.store.address, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "retentionS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, h.name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.process = exec.Command("target/wagtailspar", "gateway")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "WAGTAILSPAR_CONFIG=" + file}
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	s.record.add("host", "%s starts, callers at %s", h.name, h.front)
	exited := make(chan struct{})
	h.exited = exited
	p := h.process
	background.Go(func() error {
		err := p.Wait()
		s.record.add("host", "the process of %s has ended: %v", h.name, err)
		close(exited)
		return log.Close()
	})
	return nil
}

// awaitReady waits until hosts answer that they are ready.
func (s *site) awaitReady(hosts ...*host) error {
	client := &http.Client{Timeout: time.Second}
	for _, h := range hosts {
		for until := time.Now().Add(10 * time.Second); ; {
			resp, err := client.Get("http://" + h.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) || s.ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (h *host) signal(sig os.Signal) {
	if h.process != nil {
		_ = h.process.Process.Signal(sig)
	}
}

func (h *host) kill() {
	if h.process == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	select {
	case <-h.exited:
	case <-time.After(5 * time.Second):
	}
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      string
	err       error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer (%v)", a.err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", a.status, a.signature, len(a.body))
}

// requestText returns a request without a body, or with one of the given length.
func requestText(method, target, id string, deadline time.Duration, body string, headers ...string) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Wagtailspar-Request-Id: %s\r\nX-Wagtailspar-Deadline-Ms: %d\r\n", method, target, id, deadline.Milliseconds())
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// readAnswer reads one answer from a connection.
func readAnswer(r *bufio.Reader, method string) (a answer, closing bool) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}, true
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return answer{status: resp.StatusCode, signature: resp.Header.Get("X-Wagtailspar-Response-Signature"), body: string(body), err: err}, resp.Close
}

// call sends one request on a new connection, records it and returns the answer.
func (s *site) call(h *host, method, target, id string, deadline time.Duration, body string, headers ...string) answer {
	s.record.add("sent", "request %s (%s %s) to %s", id, method, target, h.name)
	a := s.quietCall(h, method, target, id, deadline, body, headers...)
	s.record.add("answer", "request %s: %s", id, a)
	return a
}

// quietCall sends one request on a new connection and returns the answer.
func (s *site) quietCall(h *host, method, target, id string, deadline time.Duration, body string, headers ...string) answer {
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c, requestText(method, target, id, deadline, body, headers...)); err != nil {
		return answer{err: err}
	}
	a, _ := readAnswer(bufio.NewReader(c), method)
	return a
}

// configuration returns the spec of config/main.
func configuration(version int, services []string, rules ...map[string]any) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": list,
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"vhosts": []map[string]any{{"host": "shop.example", "pathRules": rules}},
	}
}

// rule returns a route of a configuration.
func rule(name, prefix, kind, service string, timeout, goal time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": name, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout.Milliseconds(), "goalMs": goal.Milliseconds(),
		"priority": 1, "service": service, "attempts": attempts,
	}
}

// smallBounds are the bounds of zalna-nit.
func smallBounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
		"rollbackSlackMs": 250, "maxSkewMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "recoveryS": 15, "probesPerS": 60,
	}
}

// largeBounds are the bounds of isarkachel-tiles-grown.
func largeBounds() map[string]any {
	b := smallBounds()
	for name, value := range map[string]any{"ackMs": 5000, "syncS": 6, "drainMs": 2500, "configApplyMs": 2500, "retrySlack": 170, "probesPerS": 42} {
		b[name] = value
	}
	return b
}
