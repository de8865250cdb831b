package wagupstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// maxIdleTimeout bounds how long an idle connection is kept. Servers close idle
	// connections after a timeout, which they may state; a request on a connection that
	// is being closed is lost.
	maxIdleTimeout = 6 * time.Second
	// idleTimeoutFraction is the fraction of the idle timeout stated by a server after
	// which a connection is no longer reused.
	idleTimeoutFraction = 0.6
	// keepAliveDisabled turns off TCP keep-alive probes, which cost four system calls
	// for each connection: requests have deadlines, and idle connections are closed
	// soon.
	keepAliveDisabled = -1
	// shortIdleTimeout replaces maxIdleTimeout during dropCooldown: some servers
	// dropped idle connections after 220 ms without notice.
	shortIdleTimeout = 100 * time.Millisecond
	// dropCooldown is how long shortIdleTimeout applies after a server dropped a
	// connection. It applies only to requests that must not be sent again. Other
	// requests are retried: when they used new connections as well, the number of
	// connections doubled, which took slots of servers.
	dropCooldown = 10 * time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 16
)

// Pool keeps connections to servers for reuse.
type Pool struct {
	dialer   Dialer
	idHeader string
	now      func() time.Time
	log      logrus.FieldLogger

	mu sync.Mutex
	// cooldownUntil is until when requests that must not be sent again reuse
	// connections within shortIdleTimeout only, because a server dropped a reused one.
	cooldownUntil time.Time
	// idle holds the idle connections of each server; the last one was used most
	// recently.
	idle   map[Server][]*conn
	closed bool
	stats  Stats
	// maxConnections bounds open; 0 means no bound.
	maxConnections int
	// open counts the connections that are open or being opened. It grows only while mu
	// is held, so that it never exceeds maxConnections.
	open atomic.Int64

	restrictions restrictions
}

// Stats counts the events of a pool.
type Stats struct {
	Dialed, Reused, Exchanges uint64
	// Mismatched counts responses that belonged to other requests.
	Mismatched uint64
	// Dropped counts connections that broke when they were reused.
	Dropped uint64
	// Open is the number of connections that are open or being opened, and Limit its
	// bound; 0 means none.
	Open, Limit int
	// Evicted counts idle connections that were closed because of the bound, and Refused
	// the exchanges that ended with ErrTooManyConnections.
	Evicted, Refused uint64
}

// Option sets a property of a Pool.
type Option func(*Pool)

// WithDialer replaces the default dialer.
func WithDialer(d Dialer) Option { return func(p *Pool) { p.dialer = d } }

// WithNow replaces the system clock.
func WithNow(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(p *Pool) { p.log = l } }

// WithMaxConnections bounds the connections that are open at the same time; 0 means no
// bound.
func WithMaxConnections(n int) Option { return func(p *Pool) { p.maxConnections = n } }

// NewPool returns an empty pool. idHeader names the header in which servers echo the ID
// of a request.
func NewPool(idHeader string, opts ...Option) *Pool {
	p := &Pool{dialer: &net.Dialer{KeepAlive: keepAliveDisabled}, idHeader: idHeader, now: time.Now, log: logrus.StandardLogger(), idle: make(map[Server][]*conn)}
	p.restrictions.byServer = make(map[Server]storedRestriction)
	for _, o := range opts {
		o(p)
	}
	return p
}

// Stats returns the current counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Open, stats.Limit = int(p.open.Load()), p.maxConnections
	return stats
}

// recordDrop records that a server dropped a reused connection.
func (p *Pool) recordDrop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cooldownUntil = p.now().Add(dropCooldown)
	p.stats.Dropped++
}

// takeIdle removes and returns a reusable idle connection, or returns nil.
func (p *Pool) takeIdle(s Server, atMostOnce bool) *conn {
	for {
		p.mu.Lock()
		now, list := p.now(), p.idle[s]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		if atMostOnce && now.Before(p.cooldownUntil) && !now.Before(c.shortIdleUntil) {
			// The other connections have been idle for longer.
			p.mu.Unlock()
			return nil
		}
		p.idle[s] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.isReusable() {
			return c
		}
		c.close()
	}
}

// acquire returns an idle connection for a request, or opens one. reused reports which.
func (p *Pool) acquire(ctx context.Context, s Server, r *Request, dialBy time.Time) (c *conn, reused bool, err error) {
	if !r.SentBefore {
		if c := p.takeIdle(s, r.AtMostOnce); c != nil {
			p.updateStats(func(s *Stats) { s.Reused++ })
			return c, true, nil
		}
	}
	ctx, cancel := context.WithDeadline(ctx, dialBy)
	defer cancel()
	if err := p.reserve(); err != nil {
		return nil, false, err
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", s.Address.String())
	if err != nil {
		p.unreserve()
		if isOutOfDescriptors(err) {
			p.updateStats(func(s *Stats) { s.Refused++ })
			return nil, false, ErrTooManyConnections
		}
		return nil, false, errors.WithMessage(ErrNotSent, err.Error())
	}
	p.updateStats(func(s *Stats) { s.Dialed++ })
	return newConn(raw, p.unreserve), false, nil
}

// release keeps a connection for later requests.
func (p *Pool) release(s Server, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[s]) >= maxIdlePerServer {
		c.close()
		return
	}
	c.idleSince = p.now()
	p.idle[s] = append(p.idle[s], c)
}

func (p *Pool) updateStats(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

// Prune closes the idle connections to servers that keep rejects, and those that have
// been idle for too long. It drops the restrictions that have ended.
func (p *Pool) Prune(keep func(Server) bool) {
	p.restrictions.prune(p.now(), keep)
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

// Close closes the idle connections. Connections that are in use are closed when their
// request ends.
func (p *Pool) Close() {
	p.Prune(func(Server) bool { return false })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
