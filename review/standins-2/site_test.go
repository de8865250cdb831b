//go:build review2

// Package standins2 holds the stand-ins of the scripts in review/6 to review/10: a store,
// servers, clients and a supervisor of the gateway processes, on loopback addresses and the
// real clock. review/build-2.sh builds them into one program.
package standins2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
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
)

// background runs the goroutines of the stand-ins, which end with the program.
var background sync.WaitGroup

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the numbers of the cases to their programs.
var cases = map[string]func(*site) (broken bool){}

// TestMain runs a case instead of tests: its arguments are the number of the case and the
// folder of the record.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*site) bool, folder string) (code int) {
	s, err := newSite(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.end()
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	background.Go(func() {
		<-stops
		s.logf("the case was stopped from outside")
		s.end()
		os.Exit(exitNotRun)
	})
	defer func() {
		if cause := recover(); cause != nil {
			s.logf("the case could not run: %v", cause)
			code = exitNotRun
		}
	}()
	if run(s) {
		s.logf("RESULT: the rule was broken")
		return exitBroken
	}
	s.logf("RESULT: the rule held")
	return exitHeld
}

// site is a small deployment.
type site struct {
	// trouble is set unless TROUBLE=0.
	trouble bool
	start   time.Time
	folder  string
	store   *store
	hosts   []*host
	servers []*server

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	lastID int
}

func newSite(folder string) (*site, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), folder: temporary, file: file, record: bufio.NewWriter(file)}
	s.store = newStore(listen())
	s.logf("trouble: %t", s.trouble)
	return s, nil
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// logf adds a line to the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%9.3f  ", time.Since(s.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(s.record, line)
	if !strings.Contains(line, "request ") {
		fmt.Println(line)
	}
}

// end ends all processes and closes the record.
func (s *site) end() {
	for _, h := range s.hosts {
		h.kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
	_ = os.RemoveAll(s.folder)
}

// host is a gateway process.
type host struct {
	site                          *site
	name, zone                    string
	front, ready, control, config string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// ending is set when the process is ended on purpose, and ended counts the times that
	// it has ended by itself.
	ending bool
	ended  int
	// output is the file with what the process wrote.
	output string
	starts int
}

// bounds are those of the site files zalna-nit and ckp-gateway.
func bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
		"rollbackSlackMs": 250, "maxSkewMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "recoveryS": 15, "probesPerS": 60,
	}
}

// addHosts adds hosts of a zone and writes their settings.
func (s *site) addHosts(zone string, count int) {
	first := len(s.hosts)
	for n := range count {
		h := &host{site: s, name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone}
		for _, address := range []*string{&h.front, &h.ready, &h.control} {
			l := listen()
			*address = l.Addr().String()
			defer func() { _ = l.Close() }()
		}
		s.hosts = append(s.hosts, h)
	}
	var seeds []string
	for _, h := range s.hosts {
		if len(seeds) < 3 {
			seeds = append(seeds, h.control)
		}
	}
	for _, h := range s.hosts[first:] {
		h.config = filepath.Join(s.folder, h.name+".json")
		h.output = filepath.Join(s.folder, h.name+".log")
		settings := map[string]any{
			"node": h.name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge", "control"}, "ip": "127.0.0.1", "zone": zone, "region": "ljubljana",
			"zones":  map[string]string{"lj-a": "ljubljana", "lj-b": "ljubljana", "lj-c": "ljubljana"},
			"listen": map[string]string{"front": h.front, "ready": h.ready, "control": h.control}, "portRange": []int{7720, 7735}, "seeds": seeds, "bootstrap": true,
			"countsAsLoss": false, "limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
			"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "bounds": bounds(),
			"provider": map[string]any{"addr": s.store.address, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "retentionS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		}
		text, err := json.Marshal(settings)
		if err == nil {
			err = os.WriteFile(h.config, text, 0o600)
		}
		if err != nil {
			panic(err)
		}
	}
}

// launch starts the process as the deploy file says.
func (h *host) launch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	output, err := os.OpenFile(h.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	h.process = exec.Command("target/wagtailspar", "gateway")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "WAGTAILSPAR_CONFIG=" + h.config}
	h.process.Stdout, h.process.Stderr = output, output
	if err := h.process.Start(); err != nil {
		panic(err)
	}
	h.starts++
	h.exited, h.ending = make(chan struct{}), false
	process, exited := h.process, h.exited
	background.Go(func() {
		err := process.Wait()
		_ = output.Close()
		h.mu.Lock()
		byItself := !h.ending
		if byItself {
			h.ended++
		}
		h.mu.Unlock()
		close(exited)
		if byItself {
			h.site.logf("process of %s has ended by itself: %v; it wrote: %s", h.name, err, h.panicLine())
		} else {
			h.site.logf("process of %s has ended", h.name)
		}
	})
}

// panicLine returns the last line that the process wrote about a panic.
func (h *host) panicLine() (line string) {
	text, _ := os.ReadFile(h.output)
	for l := range strings.Lines(string(text)) {
		if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
			line = strings.TrimSpace(l)
		}
	}
	return line
}

// lines returns the lines of the process that contain all words.
func (h *host) lines(words ...string) (list []string) {
	text, _ := os.ReadFile(h.output)
next:
	for l := range strings.Lines(string(text)) {
		for _, w := range words {
			if !strings.Contains(l, w) {
				continue next
			}
		}
		list = append(list, strings.TrimSpace(l))
	}
	return list
}

// signal sends a signal to the process.
func (h *host) signal(x syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if x == syscall.SIGTERM || x == syscall.SIGKILL {
		h.ending = true
	}
	if h.process != nil {
		_ = h.process.Process.Signal(x)
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// restartWhenEnded starts the process again a short time after it has ended by itself, as
// the platform does, until done is closed.
func (h *host) restartWhenEnded(done chan struct{}) {
	background.Go(func() {
		for {
			h.mu.Lock()
			exited := h.exited
			h.mu.Unlock()
			select {
			case <-done:
				return
			case <-exited:
			}
			time.Sleep(500 * time.Millisecond)
			select {
			case <-done:
				return
			default:
				h.launch()
			}
		}
	})
}

// isReady asks the host whether it is ready, as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (s *site) awaitReady() {
	for range 200 {
		ready := 0
		for _, h := range s.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(s.hosts) {
			s.logf("all %d hosts are ready", ready)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic("the hosts are not ready after 10 s")
}

// addServer starts a server and registers it.
func (s *site) addServer(id, service, zone string, slots int, work func(string) time.Duration) *server {
	x := newServer(listen(), id, service, zone, slots, work)
	s.servers = append(s.servers, x)
	s.store.put("servers", id, x.entry())
	return x
}

// newID returns the ID of a new request.
func (s *site) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(s.lastID))
}

// call is a request of a client and how it ended.
type call struct {
	id, method, target string
	host               *host
	sentAt, endedAt    time.Time
	// reused is set if the connection has carried a request before.
	reused bool
	// status is that of a complete response; 0 without one.
	status int
	signed bool
	// err is why there is no complete response.
	err error
	// localAddress is the address of the client.
	localAddress string
}

// caller is a connection of a client.
type caller struct {
	site   *site
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

func (s *site) dial(h *host) (*caller, error) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{site: s, host: h, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// begin sends a request.
func (c *caller) begin(method, target, body string, deadline time.Duration) *call {
	q := &call{id: c.site.newID(), method: method, target: target, host: c.host, reused: c.used, localAddress: c.conn.LocalAddr().String()}
	c.used = true
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Wagtailspar-Request-Id: %s\r\nX-Wagtailspar-Deadline-Ms: %d\r\n", method, target, q.id, deadline.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, q.err = io.WriteString(c.conn, text+"\r\n"+body)
	q.sentAt = time.Now()
	// The client closes at its deadline.
	_ = c.conn.SetReadDeadline(q.sentAt.Add(deadline))
	return q
}

// finish reads the response. It reports whether the connection can be used again.
func (c *caller) finish(q *call) (keep bool) {
	defer func() { q.endedAt = time.Now() }()
	if q.err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		q.err = err
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		q.err = err
		return false
	}
	q.status, q.signed = resp.StatusCode, resp.Header.Get("X-Wagtailspar-Response-Signature") != ""
	if q.status == http.StatusOK && (resp.Header.Get("X-Wagtailspar-Response-Signature") != signature(q.id, 200) || string(body) != "answer to "+q.id) {
		c.site.logf("request %s MIXED: wrong signature or body %q", q.id, body)
	}
	return !resp.Close
}

// logCall writes a request and its end to the record.
func (s *site) logCall(q *call) {
	how := fmt.Sprintf("answered %d", q.status)
	if q.status == 0 {
		how = fmt.Sprintf("no complete answer (%s)", shortError(q.err))
	}
	s.logf("request %s %s %s sent %.3f to %s (reused connection: %t), %.3f: %s", q.id, q.method, q.target, q.sentAt.Sub(s.start).Seconds(), q.host.name, q.reused, q.endedAt.Sub(s.start).Seconds(), how)
}

// shortError returns the text of an error without addresses.
func shortError(err error) string {
	if err == nil {
		return ""
	}
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

// isTimeout reports whether the deadline of the client has passed.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// logServers writes the requests that the servers have received to the record.
func (s *site) logServers() {
	for _, x := range s.servers {
		for _, a := range x.received() {
			s.logf("request %s %s %s reached server %s at %.3f, ran: %t", a.id, a.method, a.target, a.server, a.at.Sub(s.start).Seconds(), a.ran)
		}
	}
}
