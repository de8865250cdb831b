package waggateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply unless the configuration sets
	// others.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a request until its size is compared with the
	// limit of the configuration.
	maxHeaderBytes = 1 << 20
	// unusedCheckInterval is how often unused connections are closed.
	unusedCheckInterval = 500 * time.Millisecond
	// acceptFraction is the fraction of the grace period during which a host that shuts
	// down still accepts connections. The platform notices the shutdown after two
	// failed readiness checks, which are a second apart.
	acceptFraction = 0.5
	// finishFraction is the fraction of the grace period after which the remaining
	// connections are closed, even with requests in flight.
	finishFraction = 0.95
	// lateAfter is how long after the signal to shut down a request counts as late: the
	// platform has noticed the shutdown by then.
	lateAfter = 3 * time.Second
	// signalSlack is how long after the signal the shutdown may begin on a busy host.
	signalSlack = 250 * time.Millisecond
	// drainCheckInterval is how often a host that shuts down ends waits and closes unused
	// connections.
	drainCheckInterval = 50 * time.Millisecond
	// firstRequestTimeout bounds how long a host that shuts down waits for the first
	// request on a connection. Callers give up a request that is not read within a
	// second.
	firstRequestTimeout = time.Second
	// drainIdleTimeout bounds how long a host that shuts down keeps a connection that
	// is idle after a response.
	drainIdleTimeout = 300 * time.Millisecond
)

// ShutdownOptions configure the graceful shutdown of a gateway.
type ShutdownOptions struct {
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// Announce is called when the shutdown begins; nil for none.
	Announce func()
}

// Run serves callers on a listener until ctx ends, and then shuts down gracefully:
// Ready returns false, requests are served until no new connections are expected, and
// requests in flight finish.
func (g *Gateway) Run(ctx context.Context, l net.Listener, options ShutdownOptions) (err error) {
	defer func() { err = errors.WithMessage(err, "serve callers") }()
	conns := newConnTracker()
	server := &http.Server{
		Handler: g, MaxHeaderBytes: maxHeaderBytes, ConnContext: connContext,
		ConnState: func(c net.Conn, s http.ConnState) {
			conns.setState(g.clock.Now(), c, s)
			connState(c, s)
		},
	}
	group, runCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(callerListener{Listener: l, gateway: g})
		// The shutdown closes the listener first, and then the server.
		if g.shuttingDown.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
			return nil
		}
		return err
	})
	for wagclock.Wait(runCtx, g.clock, g.clock.Now().Add(unusedCheckInterval)) {
		header, idle := g.timeouts()
		now := g.clock.Now()
		conns.closeUnused(now.Add(-header), now.Add(-idle))
		g.endStalled(now)
	}
	if ctx.Err() != nil {
		g.shutDown(l, conns, options)
	}
	g.ending.Store(true)
	_ = server.Close() // closes the connections that remain
	return group.Wait()
}

// timeouts returns how long a connection may wait for its first request, and for each
// further one.
func (g *Gateway) timeouts() (header, idle time.Duration) {
	header, idle = defaultHeaderTimeout, defaultIdleTimeout
	c := g.config.Load()
	if c == nil {
		return header, idle
	}
	if c.Limits.HeaderTimeout > 0 {
		header = c.Limits.HeaderTimeout
	}
	if c.Limits.IdleTimeout > 0 {
		idle = c.Limits.IdleTimeout
	}
	return header, idle
}

// shutDown shuts down gracefully. Requests that arrive on open connections are served
// until its end: http.Server.Shutdown would drop one that it has just read.
func (g *Gateway) shutDown(l net.Listener, conns *connTracker, options ShutdownOptions) {
	start := g.clock.Now()
	times := newShutdownTimes(start, options.GracePeriod)
	g.shutdown.Store(times)
	g.shuttingDown.Store(true)
	g.log.Info("planned stop")
	if options.Announce != nil {
		options.Announce()
	}
	acceptUntil := start.Add(fraction(options.GracePeriod, acceptFraction))
	for now := start; ; now = g.clock.Now() {
		g.inFlight.endWaits(now, times.answerBy)
		g.endStalled(now)
		remaining := -1 // more may be accepted
		if !now.Before(acceptUntil) {
			// Fails only when the listener is closed already.
			_ = l.Close()
			remaining = conns.closeUnused(now.Add(-firstRequestTimeout), now.Add(-drainIdleTimeout))
		}
		if remaining == 0 {
			g.log.Info("all connections of callers are closed")
			return
		}
		if !now.Before(times.closeAt) {
			g.log.WithField("open", remaining).Warning("graceful shutdown ended with open connections of callers")
			return
		}
		next := now.Add(drainCheckInterval)
		for _, at := range []time.Time{acceptUntil, times.answerBy} {
			if at.After(now) {
				next = wagclock.Earlier(next, at)
			}
		}
		wagclock.Wait(context.Background(), g.clock, next)
	}
}

func fraction(d time.Duration, share float64) time.Duration {
	return wagclock.FromNanoseconds(float64(d) * share)
}
