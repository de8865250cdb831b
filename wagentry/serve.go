package wagentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
)

const (
	// headerTimeout bounds how long a caller may take to send a header.
	headerTimeout = 10 * time.Second
	// writeTimeout bounds answers that have no deadline of a call.
	writeTimeout = 30 * time.Second
	// idleTimeout closes connections of callers that send nothing.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the header of a call in bytes.
	maxHeader = 64 << 10
	// maxEvents bounds the events of one answer of the operator port.
	maxEvents = 4096
)

// ports holds the HTTP servers of a host and their listeners.
type ports struct {
	callers, forwards, operators          *http.Server
	callerPort, forwardPort, operatorPort net.Listener
}

// Run serves until ctx ends, then stops as planned: it fails the readiness
// check, finishes the calls in flight and returns.
func (e *Proxy) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "run entry host") }()
	p, err := e.open()
	if err != nil {
		return err
	}
	return e.serve(ctx, p)
}

// serve runs the loops of the host until ctx ends and the stop is complete.
func (e *Proxy) serve(ctx context.Context, p *ports) error {
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, gctx := errgroup.WithContext(loops)
	g.Go(func() error { return serve(p.callers, p.callerPort) })
	g.Go(func() error { return serve(p.forwards, p.forwardPort) })
	g.Go(func() error { return serve(p.operators, p.operatorPort) })
	g.Go(func() error { return e.followWakes(gctx) })
	g.Go(func() error { return e.followHosts(gctx) })
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-gctx.Done():
		}
		return e.stop(p)
	})
	e.events.Record(wagevent.Event{Kind: wagevent.KindStart})
	return g.Wait()
}

// open builds the HTTP servers on the ports, which it opens unless they were
// given.
func (e *Proxy) open() (p *ports, err error) {
	l := e.listeners
	if l == nil {
		listen := e.settings.Listen
		if l, err = Listen(listen.Caller, listen.Forward, listen.Operator); err != nil {
			return nil, err
		}
	}
	return &ports{
		callers: newServer(e.callerHandler()), callerPort: e.wrap(CallerPort, l.Caller),
		forwards: newServer(e.forwardHandler()), forwardPort: e.wrap(ForwardPort, l.Forward),
		operators: newServer(e.operatorHandler()), operatorPort: e.wrap(OperatorPort, l.Operator),
	}, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

// stop ends the host in the order that cuts off nothing in flight. The forward
// port stays open until the calls of other hosts have finished as well.
func (e *Proxy) stop(p *ports) error {
	e.stopping.Store(true)
	e.events.Record(wagevent.Event{Kind: wagevent.KindStop})
	e.log.Info("entry host is stopping")
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Host.ReadyDelay+e.settings.Host.StopTime)
	defer cancel()
	for _, announce := range e.leaving {
		announce(ctx)
	}
	fired, release := e.clock.TimerAt(e.clock.Now().Add(e.settings.Host.ReadyDelay))
	<-fired
	release()
	for _, s := range []*http.Server{p.callers, p.forwards} {
		if err := s.Shutdown(ctx); err != nil {
			e.log.WithError(err).Warning("calls in flight were cut off at the end of the stop time")
			_ = s.Close()
		}
	}
	return p.operators.Close()
}

// followHosts closes the connections to hosts that are no longer members.
func (e *Proxy) followHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		live := make(map[netip.AddrPort]bool)
		for _, m := range e.members.Members(e.clock.Now()) {
			live[m.Forward] = true
		}
		e.hosts.keep(func(a netip.AddrPort) bool { return live[a] })
		wagclock.Wait(ctx, e.clock, e.clock.Now().Add(time.Minute))
	}
	return nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (e *Proxy) callerHandler() http.Handler {
	r := echo.New()
	r.Any("/*", e.serveCaller)
	r.RouteNotFound("/*", e.serveCaller)
	return r
}

func (e *Proxy) forwardHandler() http.Handler {
	r := echo.New()
	r.Any("/*", e.serveForward)
	r.RouteNotFound("/*", e.serveForward)
	return r
}

// eventPage is the answer to a read of events.
type eventPage struct {
	// Next is the value of after for the next read.
	Next uint64 `json:"next"`
	// Lost counts the events after the given one that were overwritten.
	Lost   uint64           `json:"lost"`
	Events []wagevent.Event `json:"events"`
}

func (e *Proxy) operatorHandler() http.Handler {
	r := echo.New()
	r.GET("/ready", func(c echo.Context) error {
		if e.stopping.Load() || !e.snapshot.Load().IsComplete() || !e.fresh(e.clock.Now()) {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	r.GET("/metrics", echo.WrapHandler(e.metrics.Handler()))
	r.GET("/events", e.serveEvents)
	if e.status != nil {
		r.GET("/documents", func(c echo.Context) error { return c.JSON(http.StatusOK, e.status()) })
	}
	return r
}

func (e *Proxy) serveEvents(c echo.Context) error {
	after := uint64(0)
	if text := c.QueryParam("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return c.String(http.StatusBadRequest, "after: a whole number is allowed\n")
		}
		after = n
	}
	events, lost := e.events.Since(after)
	page := eventPage{Next: after, Lost: lost, Events: []wagevent.Event{}}
	page.Events = append(page.Events, events[:min(len(events), maxEvents)]...)
	if n := len(page.Events); n > 0 {
		page.Next = page.Events[n-1].Sequence
	}
	return c.JSON(http.StatusOK, page)
}
