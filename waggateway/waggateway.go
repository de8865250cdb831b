// Package waggateway is the path of a request through an entry host: it takes
// the request from the caller, finds its route, has it placed on a server,
// sends it there and passes the answer on.
package waggateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// Protocol is what requests and answers carry in headers besides HTTP.
type Protocol interface {
	// RequestID returns the identity of a request, or an empty string.
	RequestID(h http.Header) string
	// CallerTimeout returns how long the caller waits, or false when it does not tell.
	CallerTimeout(h http.Header) (time.Duration, bool)
	// SetServerHeaders sets what a server is told: how long it may work and which start of
	// a server is meant.
	SetServerHeaders(h http.Header, left time.Duration, serverID string)
	// LoadReport reads what a server says of itself on an answer.
	LoadReport(h http.Header) (wagplacement.Report, bool)
	// ProvesNotRun tells whether an answer proves that the server did not run the
	// request.
	ProvesNotRun(status int, h http.Header) bool
	// IsMisdirected tells whether another server has the address.
	IsMisdirected(status int) bool
	// ServerID returns the identity that a server gives itself, or an empty string.
	ServerID(h http.Header) string
	// HasSignature tells whether an answer is the work of a server.
	HasSignature(h http.Header) bool
	// RemoveSignature removes what marks an answer as the work of a server.
	RemoveSignature(h http.Header)
	// SetRequestID repeats the identity of a request on an answer.
	SetRequestID(h http.Header, id string)
}

// Placer places requests on servers.
type Placer interface {
	Place(ctx context.Context, service string, r wagplacement.Request) wagowner.Outcome
}

// Gateway takes requests of callers. It is safe for concurrent use.
type Gateway struct {
	protocol Protocol
	placer   Placer
	upstream *wagupstream.Pool
	clock    wagclock.Clock
	log      logrus.FieldLogger
	observer Observer

	// config is nil until the first configuration is in force; configured is closed
	// then.
	config     atomic.Pointer[wagsite.Config]
	configured chan struct{}
	// startUntil is until when requests wait for the first configuration.
	startUntil time.Time
	stopping   atomic.Bool
	counters   sync.Map // route name to *atomic.Uint64, numbers the requests of a route
}

// Option sets a property of a Gateway.
type Option func(*Gateway)

// WithClock replaces the clock.
func WithClock(c wagclock.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithLog replaces the standard logger.
func WithLog(l logrus.FieldLogger) Option { return func(g *Gateway) { g.log = l } }

// New returns a gateway without a configuration.
func New(protocol Protocol, placer Placer, upstream *wagupstream.Pool, opts ...Option) *Gateway {
	g := &Gateway{protocol: protocol, placer: placer, upstream: upstream, clock: wagclock.System{}, log: logrus.StandardLogger(), observer: discard{}, configured: make(chan struct{})}
	for _, o := range opts {
		o(g)
	}
	g.startUntil = g.clock.Now().Add(wagowner.StartupWaitTimeout)
	return g
}

// HealthPath returns what probes ask the servers of a service for, or an empty
// string.
func (g *Gateway) HealthPath(service string) string {
	c := g.config.Load()
	if c == nil {
		return ""
	}
	s, _ := c.Service(service)
	return s.HealthPath
}

// number returns the number of a request among those of its route.
func (g *Gateway) number(route string) uint64 {
	n, ok := g.counters.Load(route)
	if !ok {
		n, _ = g.counters.LoadOrStore(route, new(atomic.Uint64))
	}
	return n.(*atomic.Uint64).Add(1)
}
