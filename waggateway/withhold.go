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
