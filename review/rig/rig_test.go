//go:build review

// Package rig holds the stand-ins and the clients of the review's scripts: a store,
// servers and callers that follow PROTOCOL.md, and a runner that starts entry hosts as
// processes of their own. It is built as a test binary, see build.sh.
package rig

import (
	"bufio"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxRunTime ends a run that hangs. A script may take 120 seconds.
const maxRunTime = 110 * time.Second

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the number of a case to its function, which reports whether the rule was
// broken.
var cases = map[string]func(*rig, bool) (broken bool, err error){}

// TestMain is the program of all scripts: rig CASE RECORD.
func TestMain(*testing.M) {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	record, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	r := &rig{ctx: ctx, dir: dir, out: record, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, with the disruption: %v", args[0], trouble)
	broken, err := cases[args[0]](r, trouble)
	if ctx.Err() != nil && err == nil {
		err = ctx.Err()
	}
	r.close()
	cancel()
	code := exitHeld
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		code = exitBroken
	}
	r.logf("exit code %d", code)
	_ = record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	return code
}

// rig is one deployment.
type rig struct {
	ctx      context.Context
	dir      string
	start    time.Time
	group    errgroup.Group
	store    *store
	servers  []*server
	gateways []*gateway
	closers  []func()

	mu  sync.Mutex
	out io.Writer
}

// logf writes a line with the time since the start to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *rig) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// listen returns a listener on a free port of a loopback address.
func (r *rig) listen(ip string) (net.Listener, error) {
	return net.Listen("tcp", ip+":0")
}

func (r *rig) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h}
	r.closers = append(r.closers, func() { _ = s.Close() })
	r.group.Go(func() error {
		_ = s.Serve(l)
		return nil
	})
}

// close ends all processes that the rig started.
func (r *rig) close() {
	for _, g := range r.gateways {
		g.kill()
	}
	for _, f := range r.closers {
		f()
	}
}

// store is a stand-in of the platform's store: the calls that an entry host makes.
type store struct {
	addr string

	mu      sync.Mutex
	changed chan struct{}
	rev     int
	objects map[string]map[string]*object
	events  []event
}

type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Rev        int      `json:"rev"`
		Created    int      `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   any `json:"spec"`
	Status any `json:"status"`
}

type event struct {
	kind    string
	rev     int
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func (r *rig) startStore() error {
	l, err := r.listen("127.0.0.1")
	if err != nil {
		return err
	}
	r.store = &store{addr: l.Addr().String(), changed: make(chan struct{}), rev: 500, objects: make(map[string]map[string]*object)}
	r.serve(l, r.store)
	return nil
}

// put creates or replaces the spec of an object, as a call without a rev does.
func (s *store) put(kind, name string, spec any) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.rev++
	o := &object{Spec: spec}
	o.Meta.Name, o.Meta.Rev, o.Meta.Created, o.Meta.Finalizers = name, s.rev, s.rev, []string{}
	if old := s.objects[kind][name]; old != nil {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][name] = o
	s.notify(event{kind: kind, rev: s.rev, Object: *o})
	return s.rev
}

// notify adds an event; s.mu is held.
func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// rawSpec is a spec whose bytes the store passes on as another writer wrote them.
type rawSpec string

// encode writes a response. Specs of other writers are put in as they are.
func encode(w io.Writer, response any) {
	text, err := json.Marshal(response)
	if err != nil {
		return
	}
	_, _ = w.Write(rawSpecMark.ReplaceAllFunc(text, func(quoted []byte) []byte {
		raw, err := hex.DecodeString(string(quoted[len(`"raw:`) : len(quoted)-1]))
		if err != nil {
			return quoted
		}
		return raw
	}))
}

var rawSpecMark = regexp.MustCompile(`"raw:[0-9a-f]*"`)

// MarshalText marks the bytes for encode.
func (s rawSpec) MarshalText() ([]byte, error) {
	return []byte("raw:" + hex.EncodeToString([]byte(s))), nil
}

// ServeHTTP serves lists, single objects and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // as SYSTEM.md says
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	if r.Method != http.MethodGet || len(parts) > 2 {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	kind := parts[0]
	if len(parts) == 2 {
		s.mu.Lock()
		o := s.objects[kind][parts[1]]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		encode(w, o)
		return
	}
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, kind, after)
		return
	}
	s.mu.Lock()
	items := []*object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	body := map[string]any{"items": items, "hasMore": false, "atRev": s.rev}
	s.mu.Unlock()
	encode(w, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, after string) {
	since, _ := strconv.Atoi(after)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitTimeoutMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > since {
				found = append(found, e)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		expired := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(found) > 0 || expired {
			encode(w, map[string]any{"events": found, "atRev": at})
			return
		}
	}
}

// arrival is a request that a server ran.
type arrival struct {
	server, id, method, target, body string
	at                               time.Time
}

// server is a stand-in of a server of a service.
type server struct {
	rig                     *rig
	id, service, zone, addr string
	born                    int64
	slots                   int
	work                    time.Duration

	mu       sync.Mutex
	seq      int
	state    string
	running  int
	arrivals []arrival
}

func (r *rig) startServer(id, service, zone string, slots int, work time.Duration) (*server, error) {
	l, err := r.listen("127.0.0.1")
	if err != nil {
		return nil, err
	}
	s := &server{rig: r, id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), slots: slots, work: work, state: "ready"}
	r.servers = append(r.servers, s)
	r.serve(l, s)
	return s, nil
}

// entry returns what the server writes to the store with its next beat.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return map[string]any{
		"addr": s.addr, "born": s.born,
		"nodeInfo": map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "maxConcurrency": s.slots},
		"status":   map[string]any{"state": s.state, "seq": s.seq, "warmupMs": 0},
	}
}

// beat writes the entry of the server to the store.
func (s *server) beat() int { return s.rig.store.put("servers", s.id, s.entry()) }

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", s.running, s.slots)
}

func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// ServeHTTP runs a request or answers a health check.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["X-Wagtailspar-Server-Load"] = []string{s.load()}
	if r.URL.Path == "/healthz" {
		h["X-Wagtailspar-Instance-Id"] = []string{s.id}
		s.mu.Lock()
		leaving := s.state != "ready"
		s.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Wagtailspar-Request-Id")
	h["X-Wagtailspar-Request-Id"] = []string{id}
	if want := r.Header.Get("X-Wagtailspar-Expect-Instance"); want != "" && want != s.id {
		h["X-Wagtailspar-Instance-Id"] = []string{s.id}
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		h["X-Wagtailspar-Not-Executed"] = []string{"1"}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.arrivals = append(s.arrivals, arrival{server: s.id, id: id, method: r.Method, target: r.RequestURI, body: string(body), at: time.Now()})
	s.mu.Unlock()
	time.Sleep(s.work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	h["X-Wagtailspar-Server-Load"] = []string{s.load()}
	h["X-Wagtailspar-Response-Signature"] = []string{"sig." + s.id + "." + id}
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

// gateway is an entry host that runs as a process.
type gateway struct {
	name, front, ready string
	cmd                *exec.Cmd
}

// hostSpec describes an entry host that is started.
type hostSpec struct{ name, zone, ip string }

// startGateways starts entry hosts as the deploy file does: "target/wagtailspar gateway",
// in the root of the repository.
func (r *rig) startGateways(specs []hostSpec) error {
	zones := map[string]string{}
	var seeds []string
	type ports struct{ front, ready, control string }
	all := make([]ports, len(specs))
	for i, s := range specs {
		zones[s.zone] = "region"
		var addresses [3]string
		for k := range addresses {
			l, err := r.listen(s.ip)
			if err != nil {
				return err
			}
			addresses[k] = l.Addr().String()
			defer func() { _ = l.Close() }()
		}
		all[i] = ports{addresses[0], addresses[1], addresses[2]}
		if len(seeds) < 3 {
			seeds = append(seeds, addresses[2])
		}
	}
	for i, s := range specs {
		settings := map[string]any{
			"node": s.name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge", "control"}, "ip": s.ip, "zone": s.zone, "region": "region", "zones": zones,
			"listen": map[string]string{"front": all[i].front, "ready": all[i].ready, "control": all[i].control}, "portRange": []int{0, 0}, "seeds": seeds, "bootstrap": true, "countsAsLoss": false,
			"limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
				"maxSkewMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "recoveryS": 15, "probesPerS": 60,
			},
			"provider": map[string]any{"addr": r.store.addr, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "retentionS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		}
		text, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return err
		}
		file := filepath.Join(r.dir, s.name+".json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		r.gateways = append(r.gateways, &gateway{name: s.name, front: all[i].front, ready: all[i].ready})
	}
	return nil
}

// launch starts the processes that startGateways prepared.
func (r *rig) launch() error {
	for _, g := range r.gateways {
		if err := r.startProcess(g); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, g := range r.gateways {
		for {
			resp, err := http.Get("http://" + g.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			r.sleep(50 * time.Millisecond)
		}
	}
	r.logf("all entry hosts are ready")
	return nil
}

// startProcess starts the process of an entry host, with the settings that were written.
func (r *rig) startProcess(g *gateway) error {
	out, err := os.OpenFile(filepath.Join(r.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/wagtailspar", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "WAGTAILSPAR_CONFIG=" + filepath.Join(r.dir, g.name+".json")}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	r.logf("started %s, process %d, callers at %s", g.name, g.cmd.Process.Pid, g.front)
	return nil
}

// gateway returns the entry host with a name.
func (r *rig) gateway(name string) *gateway {
	for _, g := range r.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
}

func (g *gateway) signal(s syscall.Signal) error { return g.cmd.Process.Signal(s) }

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, goalMs           int
}

// putConfig writes config/main.
func (r *rig) putConfig(version int, routes []route) {
	seen := map[string]bool{}
	var services, rules []any
	for _, t := range routes {
		if !seen[t.service] {
			seen[t.service] = true
			services = append(services, map[string]any{"name": t.service, "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false})
		}
		rules = append(rules, map[string]any{
			"name": t.name, "pathPrefix": t.prefix, "routeType": t.kind, "timeoutMs": t.timeoutMs, "goalMs": t.goalMs, "priority": 1, "service": t.service, "attempts": 2,
		})
	}
	rev := r.store.put("config", "main", map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": services,
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"vhosts": []any{map[string]any{"host": "ficu95.example", "pathRules": rules}},
	})
	r.logf("the store acknowledged configuration %08x at revision %d", version, rev)
}

// answer is what a caller received.
type answer struct {
	status    int
	id, body  string
	signature bool
	err       error
}

// call sends bytes on a new connection and reads one answer.
func call(address string, request string, timeout time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(reader *bufio.Reader) answer {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, id: resp.Header.Get("X-Wagtailspar-Request-Id"), body: string(body), signature: resp.Header.Get("X-Wagtailspar-Response-Signature") != "", err: err}
}

// head returns the head of a request without the last empty line.
func head(method, target, id string, deadlineMs int, fields ...string) string {
	text := method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\n"
	for _, f := range fields {
		text += f + "\r\n"
	}
	return text + "X-Wagtailspar-Request-Id: " + id + "\r\nX-Wagtailspar-Deadline-Ms: " + strconv.Itoa(deadlineMs) + "\r\n"
}
