package wagupstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxIdle is how long a connection is kept without use. Servers close idle
	// connections after a timeout that they may tell; a request on a connection
	// that is being closed is lost.
	maxIdle = 6 * time.Second
	// idlePart is the part of a server's own idle timeout that is used.
	idlePart = 0.6
	// noKeepAlive turns keep-alive probes off, which need four system calls for each
	// connection: requests have deadlines, and idle connections are closed soon.
	noKeepAlive = -1
	// briefIdle is how long a connection is kept while servers drop connections early;
	// some did so after 220 ms, without notice.
	briefIdle = 100 * time.Millisecond
	// briefTime is for how long that holds after a server has dropped one. Other
	// requests are sent again: with new connections for all of them, these doubled
	// and took slots of servers.
	briefTime = 10 * time.Second
	// maxKept bounds the idle connections to one server.
	maxKept = 16
)

// Pool holds connections to servers.
type Pool struct {
	dialer   Dialer
	idHeader string
	now      func() time.Time

	mu sync.Mutex
	// briefUntil is until when requests that must not be sent again use connections
	// within briefIdle only, because a server has dropped a kept one.
	briefUntil time.Time
	// idle holds the idle connections of each server, the latest used last.
	idle   map[Server][]*conn
	closed bool
	stats  Stats
}

// Stats count what a pool did.
type Stats struct {
	Dialed, Reused, Exchanges uint64
	// Mismatched counts answers that belonged to other requests.
	Mismatched uint64
	// Dropped counts kept connections that broke when they were used again.
	Dropped uint64
}

// Option sets a property of a Pool.
type Option func(*Pool)

// WithDialer replaces the dialer.
func WithDialer(d Dialer) Option { return func(p *Pool) { p.dialer = d } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// NewPool returns a pool without connections. idHeader is the header in which
// servers echo the ID of a request.
func NewPool(idHeader string, opts ...Option) *Pool {
	p := &Pool{dialer: &net.Dialer{KeepAlive: noKeepAlive}, idHeader: idHeader, now: time.Now, idle: make(map[Server][]*conn)}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// dropped notes that a server has dropped a kept connection.
func (p *Pool) dropped() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.briefUntil = p.now().Add(briefTime)
	p.stats.Dropped++
}

// take returns an idle connection that is still usable, or nil.
func (p *Pool) take(s Server, once bool) *conn {
	for {
		p.mu.Lock()
		now, list := p.now(), p.idle[s]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		if once && now.Before(p.briefUntil) && !now.Before(c.briefUntil) {
			// It is the one that was used last.
			p.mu.Unlock()
			return nil
		}
		p.idle[s] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.quiet() {
			return c
		}
		c.close()
	}
}

// get returns an idle connection, or dials. reused tells which.
func (p *Pool) get(ctx context.Context, s Server, once bool, dialBy time.Time) (c *conn, reused bool, err error) {
	if c := p.take(s, once); c != nil {
		p.count(func(s *Stats) { s.Reused++ })
		return c, true, nil
	}
	ctx, cancel := context.WithDeadline(ctx, dialBy)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", s.Address.String())
	if err != nil {
		return nil, false, errors.WithMessage(ErrNotSent, err.Error())
	}
	p.count(func(s *Stats) { s.Dialed++ })
	return newConn(raw), false, nil
}

// put keeps a connection for later requests.
func (p *Pool) put(s Server, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[s]) >= maxKept {
		c.close()
		return
	}
	p.idle[s] = append(p.idle[s], c)
}

func (p *Pool) count(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

// Prune closes the idle connections of servers that keep does not select, and
// those that were idle for too long.
func (p *Pool) Prune(keep func(Server) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for s, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(s) && now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, s)
			continue
		}
		p.idle[s] = kept
	}
}

// Close closes the idle connections; later ones are not kept.
func (p *Pool) Close() {
	p.Prune(func(Server) bool { return false })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
