//go:build review2

package standins2

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that a server has received.
type arrival struct {
	id, method, target, server string
	at                         time.Time
	// ran is set when the server has worked on the request.
	ran bool
	// bodyBytes is the length of the body.
	bodyBytes int
}

// server is a backend server with slots and a short queue. It drops a request whose
// connection is closed.
type server struct {
	id, service, zone string
	slots             int
	address           string
	listener          net.Listener
	born              int64
	// work returns how long a request takes.
	work func(target string) time.Duration
	// spoil may replace the bytes of a response; nil for a sound server.
	spoil func(r *http.Request, text string) string

	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
	arrivals         []*arrival
	conns            map[net.Conn]bool
	seq              int
	state            string
}

// queueLength is how many requests a server queues beside those that run.
const queueLength = 8

func newServer(l net.Listener, id, service, zone string, slots int, work func(string) time.Duration) *server {
	s := &server{
		id: id, service: service, zone: zone, slots: slots, address: l.Addr().String(), listener: l, born: time.Now().UnixMilli(), work: work,
		free: make(chan struct{}, slots), conns: make(map[net.Conn]bool), state: "ready",
	}
	background.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			background.Go(func() { s.serve(c) })
		}
	})
	return s
}

// entry returns the object of the server in the store.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return map[string]any{
		"addr": s.address, "born": s.born,
		"nodeInfo": map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "maxConcurrency": s.slots},
		"status":   map[string]any{"state": s.state, "seq": s.seq, "warmupMs": 0},
	}
}

// received returns the requests that the server has received.
func (s *server) received() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []arrival
	for _, a := range s.arrivals {
		list = append(list, *a)
	}
	return list
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // the idle timeout
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		text, keep := s.respond(c, reader, r, len(body))
		if text == "" {
			return
		}
		s.mu.Lock()
		spoil := s.spoil
		s.mu.Unlock()
		if spoil != nil {
			text = spoil(r, text)
		}
		if _, err := io.WriteString(c, text); err != nil || !keep {
			return
		}
	}
}

// respond handles a request and returns the bytes of the response; none when the caller
// has left.
func (s *server) respond(c net.Conn, reader *bufio.Reader, r *http.Request, bodyBytes int) (text string, keep bool) {
	id := r.Header.Get("X-Wagtailspar-Request-Id")
	if r.URL.Path == "/healthz" {
		return responseText(http.StatusOK, "X-Wagtailspar-Instance-Id: "+s.id+"\r\n"+s.loadHeader(), ""), true
	}
	echo := ""
	if id != "" {
		echo = "X-Wagtailspar-Request-Id: " + id + "\r\n"
	}
	a := &arrival{id: id, method: r.Method, target: r.RequestURI, server: s.id, at: time.Now(), bodyBytes: bodyBytes}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	isFull := s.waiting >= queueLength
	if !isFull {
		s.waiting++
	}
	s.mu.Unlock()
	switch {
	case id == "":
		s.leaveQueue()
		return responseText(http.StatusBadRequest, "X-Wagtailspar-Not-Executed: 1\r\n", ""), true
	case r.Header.Get("X-Wagtailspar-Expect-Instance") != s.id:
		s.leaveQueue()
		return responseText(http.StatusMisdirectedRequest, echo+"X-Wagtailspar-Instance-Id: "+s.id+"\r\n", ""), true
	case isFull:
		return responseText(http.StatusServiceUnavailable, echo+"X-Wagtailspar-Not-Executed: 1\r\n"+s.loadHeader(), ""), true
	}
	timeLeft := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Wagtailspar-Deadline-Ms")); err == nil {
		timeLeft = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(timeLeft)
	defer deadline.Stop()
	// Sees a caller that closes the connection while the request waits or runs.
	left := make(chan struct{})
	seen := make(chan struct{})
	_ = c.SetReadDeadline(time.Time{})
	background.Go(func() {
		defer close(seen)
		if _, err := reader.Peek(1); err != nil && !strings.Contains(err.Error(), "timeout") {
			close(left)
		}
	})
	defer func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-seen
		_ = c.SetReadDeadline(time.Time{})
	}()
	select {
	case s.free <- struct{}{}:
		s.leaveQueue()
	case <-deadline.C:
		s.leaveQueue()
		return responseText(http.StatusServiceUnavailable, echo+"X-Wagtailspar-Not-Executed: 1\r\n"+s.loadHeader(), ""), true
	case <-left:
		s.leaveQueue()
		return "", false
	}
	s.mu.Lock()
	s.running++
	a.ran = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		<-s.free
	}()
	work := time.NewTimer(s.work(r.RequestURI))
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		return responseText(http.StatusGatewayTimeout, echo+signatureHeader(id, 504)+s.loadHeader(), ""), true
	case <-left:
		return "", false
	}
	return responseText(http.StatusOK, echo+signatureHeader(id, 200)+s.loadHeader(), "answer to "+id), true
}

func (s *server) leaveQueue() {
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
}

func (s *server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("X-Wagtailspar-Server-Load: %d,%d,%d,100\r\n", s.running, s.waiting, s.slots)
}

// signature returns the signature that a server puts on a response.
func signature(id string, status int) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id + strconv.Itoa(status)))
	return strconv.FormatUint(h.Sum64(), 36)
}

func signatureHeader(id string, status int) string {
	return "X-Wagtailspar-Response-Signature: " + signature(id, status) + "\r\n"
}

func responseText(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}
