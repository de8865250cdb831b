package waggateway

import (
	"context"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagowner"
)

const (
	// firstWithheldDelay is the delay before a request is placed again whose grant was
	// withheld for the second time in a row: the owner does not know of the change yet. The
	// first time there is no delay, because the grant may be older than the change. The
	// delay doubles up to maxWithheldDelay, so that many such requests do not keep a busy
	// owner from its work.
	firstWithheldDelay = 20 * time.Millisecond
	maxWithheldDelay   = 160 * time.Millisecond
)

// WithSendCheck sets a function that is asked right before each attempt whether a request
// may be sent to the server with an ID. If not, the grant is given back unused, and the
// request is placed again: it counts as no attempt and excludes no server.
func WithSendCheck(maySend func(serverID string) bool) Option {
	return func(g *Gateway) { g.maySend = maySend }
}

// maxPlacedAgain bounds how often a request is placed again, after a refusal, because the
// servers that were granted before have left.
const maxPlacedAgain = 4

// WithDepartureCheck sets a function that is asked right before each attempt whether a
// server has left, or is leaving, as far as this host knows. An owner that does not know
// may have granted it. The grant is given back unused then, and the request is placed again
// without that server.
func WithDepartureCheck(hasLeft func(serverID string) bool) Option {
	return func(g *Gateway) { g.hasLeft = hasLeft }
}

// isDeparted reports whether a server that was granted has left or is leaving.
func (g *Gateway) isDeparted(granted wagowner.Granted) bool {
	return g.hasLeft != nil && g.hasLeft(granted.Server.ID)
}

// awaitNewList waits until a refused request may be placed again because the owner has
// granted servers that have left: it may know others soon. It returns false if the refusal
// is final.
func (q *request) awaitNewList(ctx context.Context) bool {
	if len(q.departedServers) == 0 || q.placedAgain >= maxPlacedAgain || !q.awaitOtherServer(ctx) {
		return false
	}
	q.placedAgain++
	q.withheld++
	q.departedServers = nil
	return true
}

// mayAttempt reports whether a request may be sent to a server that was granted.
func (g *Gateway) mayAttempt(granted wagowner.Granted) bool {
	return g.maySend == nil || g.maySend(granted.Server.ID)
}

// awaitOtherServer waits until the request may be placed again after one more withheld
// grant. It returns false if the request ends first.
func (q *request) awaitOtherServer(ctx context.Context) bool {
	if q.withheld == 0 {
		return ctx.Err() == nil
	}
	delay := min(firstWithheldDelay<<min(q.withheld-1, 8), maxWithheldDelay)
	return wagclock.Wait(ctx, q.gateway.clock, q.gateway.clock.Now().Add(delay))
}
