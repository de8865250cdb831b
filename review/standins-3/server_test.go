//go:build review

package standins

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of a server. It runs up to slots requests at once and queues 8 more.
type server struct {
	id, service, zone string
	slots             int
	// work is how long a request takes, and answerBytes about how long its answer is.
	work        time.Duration
	answerBytes int
	listener    net.Listener
	http        *http.Server
	record      *record

	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
}

const queueLength = 8

func newServer(rec *record, id, service, zone string, slots int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, slots: slots, work: work, answerBytes: 400, listener: l, record: rec, free: make(chan struct{}, slots)}
	for range slots {
		s.free <- struct{}{}
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	background.Go(func() error { return s.http.Serve(l) })
	return s, nil
}

// entry is what the server registers in the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"addr": s.listener.Addr().String(), "born": int64(1_790_000_000_000),
		"nodeInfo": map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "maxConcurrency": s.slots},
		"status":   map[string]any{"state": state, "seq": 1, "warmupMs": 0},
	}
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Wagtailspar-Request-Id")
	if id != "" {
		w.Header().Set("X-Wagtailspar-Request-Id", id)
	}
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		s.setLoad(w)
		w.Header().Set("X-Wagtailspar-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Wagtailspar-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Wagtailspar-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Wagtailspar-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("X-Wagtailspar-Deadline-Ms")); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	s.mu.Lock()
	if s.waiting >= queueLength {
		s.mu.Unlock()
		w.Header().Set("X-Wagtailspar-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mu.Unlock()
	got := false
	select {
	case <-s.free:
		got = true
	case <-deadline:
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.waiting--
	if got {
		s.running++
	}
	s.mu.Unlock()
	if !got {
		w.Header().Set("X-Wagtailspar-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		s.free <- struct{}{}
	}()
	if !s.record.quiet {
		s.record.add("run", "request %s runs at server %s of service %s", id, s.id, s.service)
	}
	s.record.ran(id, s.service, s.id)
	body := fmt.Sprintf("the answer of service %s to request %s: %s\n", s.service, id, strings.Repeat("x", s.answerBytes))
	select {
	case <-time.After(s.work):
	case <-deadline:
		s.setLoad(w)
		w.Header().Set("X-Wagtailspar-Response-Signature", "s."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		s.record.add("dropped", "server %s drops request %s, whose connection has closed", s.id, id)
		return
	}
	s.setLoad(w)
	w.Header().Set("X-Wagtailspar-Response-Signature", "s."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

func (s *server) setLoad(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("X-Wagtailspar-Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots))
}
