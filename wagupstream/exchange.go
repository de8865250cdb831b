package wagupstream

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// maxForeign bounds the answers to earlier requests that are passed over on one
// connection. Servers were seen to repeat one answer.
const maxForeign = 2

// sentGrace is how long the end of a long body is waited for after the answer: a
// server may answer before the goroutine that wrote the last byte runs again.
const sentGrace = 5 * time.Millisecond

// Exchange sends a request to a server and returns its answer. A connection has
// to be there by dialBy, and the answer until ctx ends. reused tells that the
// request was sent on a kept connection.
func (p *Pool) Exchange(ctx context.Context, s Server, r *Request, dialBy time.Time) (resp *Response, reused bool, err error) {
	c, reused, err := p.get(ctx, s, r.AtMostOnce, dialBy)
	if err != nil {
		return nil, false, err
	}
	p.count(func(s *Stats) { s.Exchanges++ })
	stop := context.AfterFunc(ctx, c.close)
	x := &exchange{pool: p, server: s, conn: c, stop: stop}
	resp, err = x.run(r)
	if err != nil {
		x.end(false)
		if reused && ctx.Err() == nil && !p.now().Before(c.briefUntil) {
			p.dropped()
		}
		if !c.written.Load() {
			err = errors.WithMessage(ErrNotSent, err.Error())
		}
		return nil, reused, err
	}
	if resp.BodyRest != nil {
		resp.BodyRest = &rest{source: resp.BodyRest, exchange: x}
		return resp, reused, nil
	}
	x.end(true)
	return resp, reused, nil
}

// exchange is one request on a connection.
type exchange struct {
	pool   *Pool
	server Server
	conn   *conn
	// stop ends the watch over the context; it returns false when that has closed
	// the connection.
	stop func() bool
	// writer runs while a long body is sent.
	writer errgroup.Group
	// sent is closed when all of the request was written; nil for short ones.
	sent chan struct{}
	// keep tells whether the connection can carry another request.
	keep bool
}

// run writes the request and reads its answer.
func (x *exchange) run(r *Request) (resp *Response, err error) {
	c := x.conn
	c.written.Store(false)
	if r.BodyRest == nil && len(r.Body) <= shortBody {
		if err := c.writeShort(r); err != nil {
			return nil, errors.WithMessage(err, "write the request")
		}
	} else {
		x.sent = make(chan struct{})
		x.writer.Go(func() error {
			err := c.writeLong(r)
			if err != nil {
				// The server must not wait for the rest of the body.
				c.close()
				return err
			}
			close(x.sent)
			return nil
		})
	}
	for range maxForeign + 1 {
		resp, keep, err := c.read(r.Method)
		if err != nil {
			return nil, err
		}
		if resp.Header.Get(x.pool.idHeader) == r.ID {
			x.keep = keep
			now := x.pool.now()
			c.idleUntil, c.briefUntil = now.Add(idleTime(resp.Header)), now.Add(briefIdle)
			return resp, nil
		}
		x.pool.count(func(s *Stats) { s.Mismatched++ })
		if !keep || resp.BodyRest != nil {
			break
		}
	}
	return nil, ErrResponseMismatch
}

// end gives the connection back, or closes it. complete tells that the answer was
// read to its end.
func (x *exchange) end(complete bool) {
	live := x.stop()
	if x.sent != nil {
		select {
		case <-x.sent:
		case <-time.After(sentGrace):
			// The server answered before it had the whole body. Whatever followed on
			// the connection would be taken for the rest of it.
			x.keep = false
		}
	}
	if !complete || !live || !x.keep || x.conn.reader.Buffered() > 0 {
		x.conn.close()
		return
	}
	x.pool.put(x.server, x.conn)
}

// rest is the part of an answer that is passed on as it arrives.
type rest struct {
	source   io.Reader
	exchange *exchange
	// ended tells that the connection was given back or closed.
	ended bool
}

// Read reads on. An error other than io.EOF tells that the answer is not complete.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		r.finish(true)
	case err != nil:
		r.finish(false)
		err = broken(err)
	}
	return n, err
}

// Close ends the exchange.
func (r *rest) Close() error {
	r.finish(false)
	return nil
}

func (r *rest) finish(complete bool) {
	if !r.ended {
		r.ended = true
		r.exchange.end(complete)
	}
}
