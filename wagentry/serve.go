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
	// readHeaderTimeout bounds the time in which a client sends a header.
	readHeaderTimeout = 10 * time.Second
	// writeTimeout bounds the writing of responses to which no deadline of a request
	// applies.
	writeTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection of a client is kept. It exceeds
	// hostIdleConnTimeout.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// maxEventsPerPage bounds the events in one response of the operator port.
	maxEventsPerPage = 4096
)

// ports holds the HTTP servers of a host and their listeners.
type ports struct {
	callerServer, forwardServer, operatorServer       *http.Server
	callerListener, forwardListener, operatorListener net.Listener
}

// Run serves until ctx ends and then shuts down gracefully: it fails the readiness
// check, finishes the requests in flight and returns.
func (px *Proxy) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "run reverse proxy") }()
	p, err := px.openPorts()
	if err != nil {
		return err
	}
	return px.serve(ctx, p)
}

// serve runs the servers and loops of the proxy until ctx ends and the shutdown is
// complete.
func (px *Proxy) serve(ctx context.Context, p *ports) error {
	loopsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, gctx := errgroup.WithContext(loopsCtx)
	g.Go(func() error { return serve(p.callerServer, p.callerListener) })
	g.Go(func() error { return serve(p.forwardServer, p.forwardListener) })
	g.Go(func() error { return serve(p.operatorServer, p.operatorListener) })
	g.Go(func() error { return px.runGroupTimers(gctx) })
	g.Go(func() error { return px.pruneHostConnections(gctx) })
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-gctx.Done():
		}
		return px.shutdown(p)
	})
	px.events.Record(wagevent.Event{Kind: wagevent.KindStart})
	return g.Wait()
}

// openPorts creates the HTTP servers and opens their ports, unless WithListeners has
// provided open ones.
func (px *Proxy) openPorts() (p *ports, err error) {
	l := px.listeners
	if l == nil {
		addresses := px.settings.Listen
		if l, err = Listen(addresses.Caller, addresses.Forward, addresses.Operator); err != nil {
			return nil, err
		}
	}
	return &ports{
		callerServer: newServer(px.callerHandler()), callerListener: px.wrapListener(CallerPort, l.Caller),
		forwardServer: newForwardServer(px.forwardHandler()), forwardListener: px.wrapListener(ForwardPort, l.Forward),
		operatorServer: newServer(px.operatorHandler()), operatorListener: px.wrapListener(OperatorPort, l.Operator),
	}, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// newForwardServer returns the HTTP server of the forward port. Other hosts keep a
// connection on which they have not sent a request yet, like any idle one.
func newForwardServer(h http.Handler) *http.Server {
	s := newServer(h)
	s.ReadHeaderTimeout = idleTimeout
	return s
}

// shutdown stops the proxy in an order that cuts off no request in flight within the
// setting stopTime. The forward port accepts connections until the requests on the
// caller port have finished, and then finishes the forwarded requests as well.
func (px *Proxy) shutdown(p *ports) error {
	px.shuttingDown.Store(true)
	px.events.Record(wagevent.Event{Kind: wagevent.KindStop})
	px.log.Info("graceful shutdown started")
	ctx, cancel := context.WithTimeout(context.Background(), px.settings.Host.ReadyDelay+px.settings.Host.StopTime)
	defer cancel()
	for _, announce := range px.shutdownHooks {
		announce(ctx)
	}
	fired, release := px.clock.TimerAt(px.clock.Now().Add(px.settings.Host.ReadyDelay))
	<-fired
	release()
	for _, s := range []*http.Server{p.callerServer, p.forwardServer} {
		if err := s.Shutdown(ctx); err != nil {
			px.log.WithError(err).Warning("stopTime is over: cutting off requests in flight")
			_ = s.Close()
		}
	}
	return p.operatorServer.Close()
}

// pruneHostConnections closes the idle connections to hosts that are no longer
// members, once a minute.
func (px *Proxy) pruneHostConnections(ctx context.Context) error {
	for ctx.Err() == nil {
		live := make(map[netip.AddrPort]bool)
		for _, m := range px.members.Members(px.clock.Now()) {
			live[m.Forward] = true
		}
		px.hostPool.retain(func(a netip.AddrPort) bool { return live[a] })
		wagclock.Wait(ctx, px.clock, px.clock.Now().Add(time.Minute))
	}
	return nil
}

// serve runs an HTTP server. It returns nil after a shutdown.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (px *Proxy) callerHandler() http.Handler {
	r := echo.New()
	r.Any("/*", px.serveCaller)
	r.RouteNotFound("/*", px.serveCaller)
	return r
}

func (px *Proxy) forwardHandler() http.Handler {
	r := echo.New()
	r.Any("/*", px.serveForward)
	r.RouteNotFound("/*", px.serveForward)
	return r
}

// eventPage is the response to a request for events.
type eventPage struct {
	// Next is the value of the parameter after for the next page.
	Next uint64 `json:"next"`
	// Lost counts the requested events that have already been overwritten.
	Lost   uint64           `json:"lost"`
	Events []wagevent.Event `json:"events"`
}

func (px *Proxy) operatorHandler() http.Handler {
	r := echo.New()
	r.GET("/ready", func(c echo.Context) error {
		if px.shuttingDown.Load() || !px.snapshot.Load().IsComplete() || !px.isFresh(px.clock.Now()) {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	r.GET("/metrics", echo.WrapHandler(px.metrics.Handler()))
	r.GET("/events", px.serveEvents)
	if px.documentStatus != nil {
		r.GET("/documents", func(c echo.Context) error { return c.JSON(http.StatusOK, px.documentStatus()) })
	}
	return r
}

// serveEvents responds with a page of the events whose sequence number is above the
// parameter after.
func (px *Proxy) serveEvents(c echo.Context) error {
	after := uint64(0)
	if text := c.QueryParam("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return c.String(http.StatusBadRequest, "after: a whole number is allowed\n")
		}
		after = n
	}
	events, lost := px.events.Since(after)
	page := eventPage{Next: after, Lost: lost, Events: []wagevent.Event{}}
	page.Events = append(page.Events, events[:min(len(events), maxEventsPerPage)]...)
	if n := len(page.Events); n > 0 {
		page.Next = page.Events[n-1].Sequence
	}
	return c.JSON(http.StatusOK, page)
}
