package waggateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// defaultHeaderTimeout, defaultIdleTimeout and defaultHeaderBytes hold until
	// a configuration is in force.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = 64 << 10
	// acceptPart is the part of the grace during which a stopping host accepts
	// connections. The platform needs two missed checks, a second apart, to notice.
	acceptPart = 0.5
	// finishPart is the part of the grace after which connections are closed
	// whatever they wait for.
	finishPart = 0.95
)

// StopPlan tells how a planned stop goes.
type StopPlan struct {
	// Grace is the time between the signal and the kill.
	Grace time.Duration
	// Announce is called at the beginning.
	Announce func()
}

// Run serves callers on a listener until ctx ends, and then stops: it fails its
// readiness check, goes on serving until no new connections are to be expected,
// and lets requests in flight finish.
func (g *Gateway) Run(ctx context.Context, l net.Listener, plan StopPlan) (err error) {
	defer func() { err = errors.WithMessage(err, "serve callers") }()
	var open atomic.Int64
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultHeaderBytes,
		ConnState: func(_ net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				open.Add(1)
			case http.StateClosed, http.StateHijacked:
				open.Add(-1)
			}
		},
	}
	var group errgroup.Group
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	<-ctx.Done()
	begun := g.clock.Now()
	g.stopping.Store(true)
	g.log.Info("planned stop")
	if plan.Announce != nil {
		plan.Announce()
	}
	wagclock.Wait(context.Background(), g.clock, begun.Add(part(plan.Grace, acceptPart)))
	finish, cancel := context.WithDeadline(context.Background(), begun.Add(part(plan.Grace, finishPart)))
	defer cancel()
	if err := server.Shutdown(finish); err != nil {
		g.log.WithField("open", open.Load()).Warning("connections were open at the end of the stop")
		_ = server.Close()
	}
	return group.Wait()
}

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}
