package wagupstream

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagpanic"
)

// maxMismatched bounds the responses to earlier requests that are skipped on one
// connection. Servers were seen to send a response twice.
const maxMismatched = 2

// bodySentTimeout bounds the wait for the end of a long request body after the response
// has arrived: a server may respond before the goroutine that wrote the last byte runs
// again.
const bodySentTimeout = 5 * time.Millisecond

const (
	// resetTimeout bounds the wait for the goroutine that writes a request, after its
	// connection has ended: the kernel has woken it if there was a reset.
	resetTimeout       = 500 * time.Millisecond
	resetCheckInterval = time.Millisecond
)

// Exchange sends a request to a server and returns its response. The connection has to
// be open by dialBy, and the response has to arrive before ctx ends. reused reports
// whether the request was sent on a reused connection. The error is ErrRestricted while
// a restriction of the server is in force.
func (p *Pool) Exchange(ctx context.Context, s Server, r *Request, dialBy time.Time) (resp *Response, reused bool, err error) {
	if _, restricted := p.RestrictionOf(s); restricted {
		return nil, false, ErrRestricted
	}
	c, reused, err := p.acquire(ctx, s, r, dialBy)
	if err != nil {
		return nil, false, err
	}
	p.updateStats(func(s *Stats) { s.Exchanges++ })
	stop := context.AfterFunc(ctx, c.close)
	x := &exchange{pool: p, server: s, conn: c, stop: stop}
	panicked := true
	defer func() {
		if panicked {
			c.close()
		}
	}()
	resp, err = x.run(r)
	panicked = false
	if err != nil {
		x.finish(false)
		if reused && ctx.Err() == nil && !p.now().Before(c.shortIdleUntil) {
			p.recordDrop()
		}
		if !c.written.Load() {
			err = errors.WithMessage(ErrNotSent, err.Error())
		}
		return nil, reused, err
	}
	if resp.BodyRest != nil {
		resp.BodyRest = &bodyRest{source: resp.BodyRest, exchange: x, endsWithConnection: resp.endsWithConnection}
		return resp, reused, nil
	}
	if resp.endsWithConnection && x.wasReset() {
		x.finish(false)
		return nil, reused, errReset
	}
	x.finish(true)
	return resp, reused, nil
}

// errReset means that a body without a length was ended by a reset of its connection.
var errReset = invalidResponse(errors.New("the connection was reset while the request was sent"))

// exchange is one request and its response on a connection.
type exchange struct {
	pool   *Pool
	server Server
	conn   *conn
	// stop keeps the end of the context from closing the connection; it returns false
	// when that has happened already.
	stop func() bool
	// writer runs while a long body is sent.
	writer errgroup.Group
	// writeEnded is closed when writer ends, and writeErr is its error; nil for short bodies,
	// which have been written before the response is read.
	writeEnded chan struct{}
	writeErr   error
	// keep reports whether the connection can carry another request.
	keep bool
}

// run writes the request and reads its response.
func (x *exchange) run(r *Request) (resp *Response, err error) {
	c := x.conn
	c.written.Store(false)
	if r.BodyRest == nil && len(r.Body) <= maxShortBody {
		if err := c.writeShort(r); err != nil {
			return nil, errors.WithMessage(err, "write the request")
		}
	} else {
		x.writeEnded = make(chan struct{})
		x.writer.Go(func() error {
			defer close(x.writeEnded)
			// The body comes from a caller.
			x.writeErr = wagpanic.Catch(x.pool.log, func() error { return c.writeLong(r) })
			if x.writeErr != nil {
				// The server must not wait for the rest of the body.
				c.close()
			}
			return x.writeErr
		})
	}
	for range maxMismatched + 1 {
		resp, keep, err := c.read(r.Method, r.MayBuffer)
		if err != nil {
			return nil, err
		}
		if resp.Header.Get(x.pool.idHeader) == r.ID {
			x.keep = keep
			now := x.pool.now()
			c.idleUntil, c.shortIdleUntil = now.Add(idleTimeoutFor(resp.Header)), now.Add(shortIdleTimeout)
			return resp, nil
		}
		x.pool.updateStats(func(s *Stats) { s.Mismatched++ })
		if !keep || resp.BodyRest != nil {
			break
		}
	}
	return nil, ErrResponseMismatch
}

// wasReset reports whether a connection whose end was read has been reset. The kernel reports
// a reset once, to the next read or write: when that is a write, the read that follows sees
// the proper end of the connection.
func (x *exchange) wasReset() bool {
	if x.writeEnded == nil {
		return false // nothing is written while the response is read
	}
	before := x.conn.writes.Load()
	ticker := time.NewTicker(resetCheckInterval)
	defer ticker.Stop()
	expired := time.After(resetTimeout)
	for {
		select {
		case <-x.writeEnded:
			return x.writeErr != nil
		case <-expired:
			return false // a write that waits has met no reset
		case <-ticker.C:
			if !x.conn.writing.Load() || x.conn.writes.Load() != before {
				return false
			}
		}
	}
}

// isSent reports whether the request was written completely. It waits for that.
func (x *exchange) isSent(timeout time.Duration) bool {
	if x.writeEnded == nil {
		return true
	}
	select {
	case <-x.writeEnded:
		return x.writeErr == nil
	case <-time.After(timeout):
		return false
	}
}

// finish returns the connection to the pool, or closes it. complete reports whether the
// whole response was read.
func (x *exchange) finish(complete bool) {
	live := x.stop()
	if !x.isSent(bodySentTimeout) {
		// The server responded before it had read the whole body. It would take the next
		// request on the connection for the rest of the body.
		x.keep = false
	}
	if !complete || !live || !x.keep || x.conn.reader.Buffered() > 0 {
		x.conn.close()
		return
	}
	x.pool.release(x.server, x.conn)
}

// bodyRest streams the part of a response body that is not in memory.
type bodyRest struct {
	source   io.Reader
	exchange *exchange
	// endsWithConnection is that of the response.
	endsWithConnection bool
	// finished reports whether the connection was returned or closed.
	finished bool
}

// Read reads from the body. An error other than io.EOF means that the response is
// incomplete.
func (r *bodyRest) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	switch {
	case errors.Is(err, io.EOF) && r.endsWithConnection && !r.finished && r.exchange.wasReset():
		r.finish(false)
		err = errReset
	case errors.Is(err, io.EOF):
		r.finish(true)
	case err != nil:
		r.finish(false)
		err = invalidResponse(err)
	}
	return n, err
}

// Close ends the exchange. Unless the body was read to its end, it closes the
// connection. The error is always nil.
func (r *bodyRest) Close() error {
	r.finish(false)
	return nil
}

func (r *bodyRest) finish(complete bool) {
	if !r.finished {
		r.finished = true
		r.exchange.finish(complete)
	}
}
