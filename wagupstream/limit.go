package wagupstream

import (
	"syscall"

	"github.com/pkg/errors"
)

// ErrTooManyConnections means that the request would have needed a connection beyond the
// bound of the pool or the descriptors of the process, so that it was not sent. It says
// nothing about the server. It matches ErrNotSent, too.
var ErrTooManyConnections = errors.WithMessage(ErrNotSent, "too many connections to servers")

// reserve counts a connection that is about to be opened. At the bound, it closes the
// connection that has been idle longest, whatever its server; without one it returns
// ErrTooManyConnections.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxConnections > 0 && p.open.Load() >= int64(p.maxConnections) {
		oldest := p.takeLongestIdle()
		if oldest == nil {
			p.stats.Refused++
			return ErrTooManyConnections
		}
		oldest.close()
		p.stats.Evicted++
	}
	p.open.Add(1)
	return nil
}

// unreserve counts a connection that was closed or could not be opened.
func (p *Pool) unreserve() { p.open.Add(-1) }

// takeLongestIdle removes and returns the connection that has been idle longest, or
// returns nil. It looks at one connection of each server, which is needed only at the
// bound. p.mu must be held.
func (p *Pool) takeLongestIdle() (oldest *conn) {
	var server Server
	for s, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			server, oldest = s, list[0]
		}
	}
	if oldest != nil {
		p.idle[server] = p.idle[server][1:]
	}
	return oldest
}

// isOutOfDescriptors reports whether a connection could not be opened because the process
// or the machine has no descriptor left, which is no fault of the server.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
