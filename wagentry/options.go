package wagentry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

// WithObserver sets who is told what attempts show of servers.
func WithObserver(o Observer) Option {
	return func(e *Proxy) { e.observer = o }
}

// WithFreshnessCheck sets what tells whether the documents were confirmed lately. A host
// that is not fresh is not ready.
func WithFreshnessCheck(fresh func(now time.Time) bool) Option {
	return func(e *Proxy) { e.fresh = fresh }
}

// WithDocumentStatus sets what operators read of the documents in force.
func WithDocumentStatus(status func() any) Option {
	return func(e *Proxy) { e.status = status }
}

// WithEvents replaces the ring of events of the host.
func WithEvents(r *wagevent.Ring) Option {
	return func(e *Proxy) { e.events = r }
}

// WithListeners sets the open ports of the host.
func WithListeners(l *Listeners) Option {
	return func(e *Proxy) { e.listeners = l }
}

// WithMembers sets the source of the membership. Without it the host is alone.
func WithMembers(m Membership) Option {
	return func(e *Proxy) { e.members = m }
}

// WithClaims sets the claims of keyed work.
func WithClaims(c Claims) Option {
	return func(e *Proxy) { e.claims = c }
}

// WithCallerTerms sets the admission by callers' terms.
func WithCallerTerms(t CallerTerms) Option {
	return func(e *Proxy) { e.terms = t }
}

// Port names a port of the host.
type Port string

// Ports.
const (
	CallerPort   Port = "caller"
	ForwardPort  Port = "forward"
	OperatorPort Port = "operator"
)

// WithListenerWrapper wraps the listeners of the host, as for TLS.
func WithListenerWrapper(wrap func(Port, net.Listener) net.Listener) Option {
	return func(e *Proxy) { e.wrap = wrap }
}

// WithForwardDial replaces how connections to the forward ports of other hosts
// are opened, as for TLS. Writes are counted above the connection it returns.
func WithForwardDial(dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)) Option {
	return func(e *Proxy) { e.hosts.open = dial }
}

// WithShutdownHook sets a function that is called at the start of a planned stop,
// before the readiness delay, to announce it to peers.
func WithShutdownHook(announce func(context.Context)) Option {
	return func(e *Proxy) { e.leaving = append(e.leaving, announce) }
}
