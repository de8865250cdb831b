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
	// defaultHeaderTimeout and defaultIdleTimeout hold while the configuration sets
	// no others.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a request before the limit of the
	// configuration is looked at.
	maxHeaderBytes = 1 << 20
	// limitTime is how often unused connections are looked for.
	limitTime = 500 * time.Millisecond
	// acceptPart is the part of the grace during which a stopping host accepts
	// connections. The platform needs two missed checks, a second apart, to notice.
	acceptPart = 0.5
	// finishPart is the part of the grace after which connections are closed
	// whatever they wait for.
	finishPart = 0.95
	// drainTime is how often a stopping host looks for connections that are not in
	// use any more.
	drainTime = 50 * time.Millisecond
	// newGrace is how long a stopping host waits for the first request on a
	// connection. Callers give up a request that is not read within a second.
	newGrace = time.Second
	// idleGrace is how long it keeps a connection that is idle after an answer.
	idleGrace = 300 * time.Millisecond
)

// ShutdownOptions tells how a planned stop goes.
type ShutdownOptions struct {
	// GracePeriod is the time between the signal and the kill.
	GracePeriod time.Duration
	// Announce is called at the beginning.
	Announce func()
}

// Run serves callers on a listener until ctx ends, and then stops: it fails its
// readiness check, goes on serving until no new connections are to be expected,
// and lets requests in flight finish.
func (g *Gateway) Run(ctx context.Context, l net.Listener, plan ShutdownOptions) (err error) {
	defer func() { err = errors.WithMessage(err, "serve callers") }()
	open := newConnections()
	server := &http.Server{
		Handler: g, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(c net.Conn, s http.ConnState) { open.note(g.clock.Now(), c, s) },
	}
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, net.ErrClosed) || !g.stopping.Load() {
			return err
		}
		return nil
	})
	for wagclock.Wait(running, g.clock, g.clock.Now().Add(limitTime)) {
		header, idle := g.timeouts()
		now := g.clock.Now()
		open.endUnused(now.Add(-header), now.Add(-idle))
	}
	if ctx.Err() != nil {
		g.stop(l, open, plan)
	}
	_ = server.Close() // what is open now is given up
	return group.Wait()
}

// timeouts returns how long a connection may wait for its first request, and for
// another one.
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

// stop carries out a planned stop. Requests that arrive on open connections are
// served to its end: http.Server.Shutdown would drop one that it has just read.
func (g *Gateway) stop(l net.Listener, open *connections, plan ShutdownOptions) {
	begun := g.clock.Now()
	g.stopping.Store(true)
	g.log.Info("planned stop")
	if plan.Announce != nil {
		plan.Announce()
	}
	always := context.Background()
	wagclock.Wait(always, g.clock, begun.Add(part(plan.GracePeriod, acceptPart)))
	// It fails only when the listener is closed already.
	_ = l.Close()
	finish := begun.Add(part(plan.GracePeriod, finishPart))
	for {
		now := g.clock.Now()
		left := open.endUnused(now.Add(-newGrace), now.Add(-idleGrace))
		if left == 0 {
			g.log.Info("all connections of callers are closed")
			return
		}
		if !now.Before(finish) {
			g.log.WithField("open", left).Warning("connections were open at the end of the stop")
			return
		}
		wagclock.Wait(always, g.clock, now.Add(drainTime))
	}
}

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}
