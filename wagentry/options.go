package wagentry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

// WithObserver sets the receiver of observations of servers.
func WithObserver(o Observer) Option {
	return func(px *Proxy) { px.observer = o }
}

// WithFreshnessCheck sets the function that reports whether the documents were
// confirmed recently. The host is not ready while it returns false.
func WithFreshnessCheck(fresh func(now time.Time) bool) Option {
	return func(px *Proxy) { px.isFresh = fresh }
}

// WithDocumentStatus sets the function that returns the status of the documents for
// the operator port.
func WithDocumentStatus(status func() any) Option {
	return func(px *Proxy) { px.documentStatus = status }
}

// WithEvents replaces the ring buffer of the events of the host.
func WithEvents(r *wagevent.Ring) Option {
	return func(px *Proxy) { px.events = r }
}

// WithListeners sets listeners that are already open.
func WithListeners(l *Listeners) Option {
	return func(px *Proxy) { px.listeners = l }
}

// WithMembers sets the source of the members. Without it the host is the only member.
func WithMembers(m Membership) Option {
	return func(px *Proxy) { px.members = m }
}

// WithClaims sets the claims of idempotency keys.
func WithClaims(c Claims) Option {
	return func(px *Proxy) { px.claims = c }
}

// WithCallerTerms sets the terms by which requests of callers are admitted.
func WithCallerTerms(t CallerTerms) Option {
	return func(px *Proxy) { px.terms = t }
}

// Port names a port of the host.
type Port string

// Ports.
const (
	CallerPort   Port = "caller"
	ForwardPort  Port = "forward"
	OperatorPort Port = "operator"
)

// WithListenerWrapper sets a function that wraps each listener of the host, for
// example to add TLS.
func WithListenerWrapper(wrap func(Port, net.Listener) net.Listener) Option {
	return func(px *Proxy) { px.wrapListener = wrap }
}

// WithForwardDial replaces the function that opens connections to the forward ports
// of other hosts, for example to use TLS. A request counts as written once bytes are
// passed to the connection that the function returns.
func WithForwardDial(dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)) Option {
	return func(px *Proxy) { px.hostPool.dial = dial }
}

// WithShutdownHook adds a function that is called at the start of a graceful shutdown,
// before the readiness delay, to announce the shutdown to peers.
func WithShutdownHook(announce func(context.Context)) Option {
	return func(px *Proxy) { px.shutdownHooks = append(px.shutdownHooks, announce) }
}
