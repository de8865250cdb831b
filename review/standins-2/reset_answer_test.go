//go:build review2

package standins2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = resetAnswer }

const (
	// uploadBytes is the length of a request body. It has to exceed the socket buffers, so
	// that the host still writes the body when the server answers.
	uploadBytes = 16 << 20
	// readBytes is how much of a body a server reads before it answers.
	readBytes = 64 << 10
	// answerBytes is the length of the body of an answer.
	answerBytes = 200_000
)

// earlyServer is a server that answers uploads before it has read their bodies. Its answers
// have no length and end with their connection. A sound one then reads the rest of the body;
// one that breaks off an answer resets the connection in the middle of it.
type earlyServer struct {
	site *site
	id   string
	// breaksOff reports whether the next answer is broken off.
	breaksOff func() bool

	mu sync.Mutex
	// wholeAnswers and brokenAnswers hold the IDs of the requests.
	wholeAnswers, brokenAnswers map[string]bool
}

func (e *earlyServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		background.Go(func() { e.serveConn(c.(*net.TCPConn)) })
	}
}

func (e *earlyServer) serveConn(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		load := "X-Wagtailspar-Server-Load: 0,0,2,100\r\n"
		if r.URL.Path == "/healthz" {
			if _, err := io.WriteString(c, responseText(http.StatusOK, "X-Wagtailspar-Instance-Id: "+e.id+"\r\n"+load, "")); err != nil {
				return
			}
			continue
		}
		id := r.Header.Get("X-Wagtailspar-Request-Id")
		if _, err := io.CopyN(io.Discard, r.Body, readBytes); err != nil {
			return
		}
		isBroken := e.breaksOff()
		e.mu.Lock()
		e.wholeAnswers[id], e.brokenAnswers[id] = !isBroken, isBroken
		e.mu.Unlock()
		body := strings.Repeat("r", answerBytes)
		if isBroken {
			body = body[:answerBytes/2]
		}
		text := "HTTP/1.1 200 OK\r\nX-Wagtailspar-Request-Id: " + id + "\r\n" + signatureHeader(id, 200) + load + "Connection: close\r\n\r\n" + body
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if isBroken {
			e.site.logf("server %s resets the connection of request %s after %d of %d bytes of the answer", e.id, id, len(body), answerBytes)
			time.Sleep(30 * time.Millisecond)
			_ = c.SetLinger(0) // Close resets the connection
			return
		}
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.Copy(io.Discard, reader)
		return
	}
}

// resetAnswer uploads bodies while servers break off some of their answers.
func resetAnswer(s *site) (broken bool) {
	const (
		servers, faultyServers = 4, 2
		brokenShare            = 0.05
		uploads                = 240
	)
	var spoiling atomic.Bool
	spoiling.Store(s.trouble)
	var list []*earlyServer
	for n := range servers {
		l := listen()
		e := &earlyServer{site: s, id: fmt.Sprintf("i-%08x", n), breaksOff: func() bool { return false }, wholeAnswers: make(map[string]bool), brokenAnswers: make(map[string]bool)}
		if n < faultyServers {
			e.breaksOff = func() bool { return spoiling.Load() && rand.Float64() < brokenShare }
		}
		list = append(list, e)
		x := &server{id: e.id, service: "huvo11a", zone: "lj-a", slots: 2, address: l.Addr().String(), born: time.Now().UnixMilli(), state: "ready"}
		s.store.put("servers", x.id, x.entry())
		background.Go(func() { e.serve(l) })
	}
	config := zalnaConfig("00000007")
	config["vhosts"] = []any{map[string]any{"host": "ficu95.example", "pathRules": []any{
		map[string]any{"name": "r-upload", "pathPrefix": "/upload/", "routeType": "non_idempotent", "timeoutMs": 8000, "goalMs": 2500, "priority": 2, "service": "huvo11a", "attempts": 2},
	}}}
	s.store.put("config", "main", config)
	s.addHosts("lj-a", 2)
	for _, h := range s.hosts {
		h.launch()
	}
	s.awaitReady()

	mixed := 0
	counts := make(map[string]int)
	for n := range uploads {
		c, err := s.dial(s.hosts[n%len(s.hosts)])
		if err != nil {
			panic(err)
		}
		how, id := s.upload(c)
		isBroken, isWhole := false, false
		for _, e := range list {
			e.mu.Lock()
			isBroken, isWhole = isBroken || e.brokenAnswers[id], isWhole || e.wholeAnswers[id]
			e.mu.Unlock()
		}
		switch {
		case isBroken:
			how += ", the server broke off the answer"
		case isWhole:
			how += ", the server sent a whole answer"
		}
		counts[how]++
		s.logf("request %s POST /upload/2f with %d bytes to %s: %s", id, uploadBytes, c.host.name, how)
		if isBroken && strings.HasPrefix(how, "200, complete") {
			mixed++
		}
	}
	for how, n := range counts {
		s.logf("%d times: %s", n, how)
	}
	s.logf("%d answers MIXED", mixed)
	return mixed > 0
}

// upload sends a request with a long body and reads the answer meanwhile. It returns what
// the client sees, and the ID of the request.
func (s *site) upload(c *caller) (how, id string) {
	id = s.newID()
	var writer sync.WaitGroup
	writer.Go(func() {
		_, err := fmt.Fprintf(c.conn, "POST /upload/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Wagtailspar-Request-Id: %s\r\nX-Wagtailspar-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", id, uploadBytes)
		chunk := []byte(strings.Repeat("b", 64<<10))
		for left := uploadBytes; left > 0 && err == nil; left -= len(chunk) {
			_, err = c.conn.Write(chunk)
		}
	})
	_ = c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	switch {
	case err != nil:
		how = "no answer"
	default:
		body, err := io.ReadAll(resp.Body)
		how = fmt.Sprintf("%d, complete, %d bytes", resp.StatusCode, len(body))
		if err != nil {
			how = fmt.Sprintf("%d, incomplete", resp.StatusCode)
		}
		if resp.Header.Get("X-Wagtailspar-Response-Signature") == signature(id, 200) {
			how += ", with the signature of the server"
		}
	}
	_ = c.conn.Close()
	writer.Wait()
	return how, id
}
