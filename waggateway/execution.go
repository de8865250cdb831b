package waggateway

import (
	"context"
	"net/http"
	"time"
)

// execution is a request that is placed and sent to servers, up to its response.
type execution struct {
	incoming *http.Request
	cancel   context.CancelFunc
	start    time.Time
	// ended is closed when a request that runs ahead has a response; nil for others.
	ended chan struct{}
	// request is nil when the request was not accepted.
	request  *request
	response response
	// headCost is the memory in bytes that is reserved for the head of a request that runs
	// ahead.
	headCost int64
}

// isFor reports whether the execution is that of a request. Beside the request itself, the
// key has to be the same, so that no caller receives a response for another customer.
func (x *execution) isFor(p Protocol, r *http.Request) bool {
	return hasSameKey(p, x.incoming.Header, r.Header) && x.incoming.Method == r.Method && x.incoming.RequestURI == r.RequestURI && x.incoming.Host == r.Host && p.RequestID(x.incoming.Header) == p.RequestID(r.Header)
}

// startAhead begins the execution of a pipelined request. It returns nil for a request
// that has to wait for its turn. None starts during a shutdown, because the connection
// closes after the response that the caller waits for.
func (g *Gateway) startAhead(c *callerConn, p pipelinedRequest) *execution {
	r := p.request
	config := g.config.Load()
	if config == nil || g.shuttingDown.Load() {
		return nil
	}
	route := config.Match(r.Host, routePath(r))
	if route == nil || !route.Idempotent {
		return nil
	}
	if accessOf(config, route, g.keyOf(r.Header)).isDenied() {
		// The key may be known when it is the turn of the request.
		return nil
	}
	x := g.newExecution(r.WithContext(connContext(c.ctx, c)))
	x.ended, x.headCost = make(chan struct{}), p.cost
	c.tasks.Go(func() error {
		x.runAhead(g)
		return nil
	})
	return x
}

// runAhead executes the request. net/http recovers from a panic of a handler; here it
// must not end the program either.
func (x *execution) runAhead(g *Gateway) {
	defer close(x.ended)
	defer func() {
		if cause := recover(); cause != nil {
			g.log.WithField("panic", cause).Error("the execution of a request panicked")
			x.response = response{status: http.StatusBadGateway, outcome: OutcomeFailed, reason: "panic"}
		}
	}()
	x.accept(g)
	x.run()
}

// newExecution returns the execution of a request. accept and run have to follow.
func (g *Gateway) newExecution(r *http.Request) *execution {
	ctx, cancel := context.WithCancel(r.Context())
	return &execution{incoming: r.WithContext(ctx), cancel: cancel, start: g.clock.Now()}
}

// accept checks the request and reads its body.
func (x *execution) accept(g *Gateway) { x.request, x.response = g.newRequest(x.incoming) }

// run places and sends an accepted request.
func (x *execution) run() {
	if x.request != nil {
		x.response = x.request.run()
	}
}

// await waits until the response is there.
func (x *execution) await() {
	if x.ended != nil {
		<-x.ended
	}
}

// release ends what still runs for the execution, after its response was written.
func (x *execution) release() {
	x.await()
	if x.request != nil {
		x.request.cancelAttempts()
		x.request.releaseBody()
		x.request.releaseResponse()
	}
	x.cancel()
}
