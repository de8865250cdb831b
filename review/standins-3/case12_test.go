//go:build review

package standins

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"time"
)

func init() { cases["12"] = answerCutDuringPlannedStop }

// windowBytes is the receive buffer of a client. Links have small windows (DEPLOY.md).
const windowBytes = 8 << 10

// answerCutDuringPlannedStop sends SIGTERM to a host while orders run whose clients have sent a
// further idempotent request on the same connection.
func answerCutDuringPlannedStop(s *site) (held bool, err error) {
	if s.store, err = newStore(); err != nil {
		return false, err
	}
	s.bounds, s.zones = largeBounds(), []string{"bayern-a", "bayern-b"}
	for _, zone := range s.zones {
		for n := range 6 {
			x, err := newServer(s.record, fmt.Sprintf("i-%s-%d", zone, n), "tileshop", zone, 3, 1200*time.Millisecond)
			if err != nil {
				return false, err
			}
			x.answerBytes = 28_000
			s.store.write("servers", x.id, x.entry("ready"))
		}
	}
	s.store.write("config", "main", configuration(1, []string{"tileshop"},
		rule("tile-read", "/tile/", "idempotent", "tileshop", 3*time.Second, 2*time.Second, 2),
		rule("tasking-order", "/order/", "non_idempotent", "tileshop", 4*time.Second, 2*time.Second, 2)))
	if err := s.addHosts("bayern-a", "bayern-a", "bayern-b"); err != nil {
		return false, err
	}
	// In touch: nothing happens for stableMs.
	s.waitUntil(time.Now().Add(4 * time.Second))
	h := s.hosts[1]
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	const orders = 10
	type result struct {
		id     string
		answer answer
	}
	results := make(chan result, orders)
	var conns []net.Conn
	for n := range orders {
		c, err := dialer.DialContext(s.ctx, "tcp", h.front)
		if err != nil {
			return false, err
		}
		conns = append(conns, c)
		id := fmt.Sprintf("order-%d", n)
		if _, err := c.Write([]byte(requestText("POST", "/order/1", id, 4*time.Second, "an order for fresh imagery"))); err != nil {
			return false, err
		}
		s.record.add("sent", "request %s (POST /order/1)", id)
		background.Go(func() error {
			defer func() { _ = c.Close() }()
			_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
			a, _ := readAnswer(bufio.NewReader(c), "POST")
			s.record.add("answer", "request %s: %s; %d bytes of the body", id, a, len(a.body))
			results <- result{id, a}
			return nil
		})
	}
	s.waitUntil(time.Now().Add(100 * time.Millisecond))
	for n, c := range conns {
		id := fmt.Sprintf("tile-%d", n)
		if _, err := c.Write([]byte(requestText("GET", "/tile/1", id, 3*time.Second, ""))); err != nil {
			return false, err
		}
		s.record.add("sent", "request %s (GET /tile/1), before the answer to order-%d", id, n)
	}
	s.waitUntil(time.Now().Add(200 * time.Millisecond))
	if s.trouble {
		s.record.add("trouble", "SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
	}
	lost := 0
	for range orders {
		r := <-results
		if r.answer.err != nil && len(s.record.runsOf(r.id)) > 0 {
			lost++
			s.record.add("check", "request %s has run, and its connection ended without a complete answer: %v", r.id, r.answer.err)
		}
	}
	s.record.add("check", "%d of %d orders have run and got no complete answer", lost, orders)
	return lost == 0, nil
}
