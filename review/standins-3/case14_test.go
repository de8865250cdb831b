//go:build review

package standins

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

func init() { cases["14"] = pipelineDuringPlannedStop }

// lossSlack is lossSlackMs.
const lossSlack = 200 * time.Millisecond

// pipelined is a connection of a client that sends further idempotent requests before the
// first one is answered.
type pipelined struct {
	name string
	conn net.Conn
	// methods and ids are those of the requests in the order in which they are sent.
	methods, ids []string
	// sentAt holds when the last byte of each request was sent.
	sentAt []time.Time
	// answered is how many requests got a complete answer, and endedAt when the connection
	// ended before the others did.
	answered int
	endedAt  time.Time
	// reset says that the connection was reset, so that bytes may not have been read.
	reset bool
}

// send sends requests in a single write.
func (p *pipelined) send(s *site, requests ...string) error {
	text := ""
	for i, method := range requests {
		id := fmt.Sprintf("%s-%d", p.name, len(p.ids)+1)
		target, body := "/status/1", ""
		if method == "POST" {
			target, body = "/commit/1", "an order"
		}
		text += requestText(method, target, id, 4*time.Second, body)
		p.ids, p.methods = append(p.ids, id), append(p.methods, requests[i])
		s.record.add("sent", "request %s (%s %s)", id, method, target)
	}
	_, err := io.WriteString(p.conn, text)
	for range requests {
		p.sentAt = append(p.sentAt, time.Now())
	}
	return err
}

// receive reads the answers until all have arrived or the connection has ended.
func (p *pipelined) receive(s *site, total int) {
	defer func() { _ = p.conn.Close() }()
	_ = p.conn.SetReadDeadline(time.Now().Add(9 * time.Second))
	reader := bufio.NewReader(p.conn)
	for p.answered < total {
		a, _ := readAnswer(reader, "GET")
		if a.err != nil {
			p.endedAt = time.Now()
			// A connection that is closed with unread bytes is reset, after its end at the latest.
			time.Sleep(time.Second)
			p.reset = connError(p.conn) != 0
			return
		}
		p.answered++
		s.record.add("answer", "answer %d on connection %s: %s", p.answered, p.name, a)
	}
}

// connError returns the pending error of a connection.
func connError(c net.Conn) (code int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	err = raw.Control(func(fd uintptr) {
		if n, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); err != nil || n != 0 {
			code = max(n, 1)
		}
	})
	if err != nil {
		return -1
	}
	return code
}

// pipelineDuringPlannedStop sends SIGTERM to a host while connections wait for the answers to
// several requests.
func pipelineDuringPlannedStop(s *site) (held bool, err error) {
	if s.store, err = newStore(); err != nil {
		return false, err
	}
	s.bounds, s.zones = largeBounds(), []string{"bayern-a", "bayern-b"}
	for _, zone := range s.zones {
		for n := range 4 {
			x, err := newServer(s.record, fmt.Sprintf("i-%s-%d", zone, n), "tileshop", zone, 6, 1200*time.Millisecond)
			if err != nil {
				return false, err
			}
			s.store.write("servers", x.id, x.entry("ready"))
		}
	}
	s.store.write("config", "main", configuration(1, []string{"tileshop"},
		rule("status", "/status/", "idempotent", "tileshop", 5*time.Second, 2*time.Second, 2), rule("commit", "/commit/", "non_idempotent", "tileshop", 5*time.Second, 2*time.Second, 2)))
	if err := s.addHosts("bayern-a", "bayern-a", "bayern-b"); err != nil {
		return false, err
	}
	// In touch: nothing happens for stableMs.
	s.waitUntil(time.Now().Add(4 * time.Second))
	h := s.hosts[1]
	var list []*pipelined
	open := func(name string) (*pipelined, error) {
		c, err := net.Dial("tcp", h.front)
		if err != nil {
			return nil, err
		}
		p := &pipelined{name: name, conn: c}
		list = append(list, p)
		return p, nil
	}
	const perKind = 5
	// The first kind sends an order and two status checks in one write.
	var first, second []*pipelined
	for n := range perKind {
		p, err := open(fmt.Sprintf("order-%d", n))
		if err != nil {
			return false, err
		}
		first = append(first, p)
		if err := p.send(s, "POST", "GET", "GET"); err != nil {
			return false, err
		}
	}
	// The second kind sends a status check, and another one after the SIGTERM.
	for n := range perKind {
		p, err := open(fmt.Sprintf("check-%d", n))
		if err != nil {
			return false, err
		}
		second = append(second, p)
		if err := p.send(s, "GET"); err != nil {
			return false, err
		}
	}
	done := make(chan struct{}, 2*perKind)
	for _, p := range first {
		background.Go(func() error {
			p.receive(s, 3)
			done <- struct{}{}
			return nil
		})
	}
	for _, p := range second {
		background.Go(func() error {
			p.receive(s, 2)
			done <- struct{}{}
			return nil
		})
	}
	s.waitUntil(time.Now().Add(400 * time.Millisecond))
	if s.trouble {
		s.record.add("trouble", "SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
	}
	s.waitUntil(time.Now().Add(300 * time.Millisecond))
	for _, p := range second {
		if err := p.send(s, "GET"); err != nil {
			return false, err
		}
	}
	for range 2 * perKind {
		<-done
	}
	lost := 0
	for _, p := range list {
		for i := p.answered; i < len(p.ids); i++ {
			waited := p.endedAt.Sub(p.sentAt[i])
			runs := s.record.runsOf(p.ids[i])
			s.record.add("check", "request %s got no answer; the connection ended %.3f s after its last byte was sent, reset: %v, runs: %d", p.ids[i], waited.Seconds(), p.reset, len(runs))
			if waited > lossSlack && !p.reset {
				lost++
			}
		}
	}
	s.record.add("check", "%d of %d requests were read whole and ended without an answer, later than lossSlackMs after their last byte", lost, 5*perKind)
	return lost == 0, nil
}
