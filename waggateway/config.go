package waggateway

import (
	"net/http"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// startRetry is when a caller is told to come again to a host that knows no
// configuration by then.
const startRetry = 200 * time.Millisecond

// SetConfig puts a configuration in force for the requests that follow, unless a
// newer one is.
func (g *Gateway) SetConfig(c *wagsite.Config) {
	for {
		old := g.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if g.config.CompareAndSwap(old, c) {
			if old == nil {
				close(g.configured)
			}
			return
		}
	}
}

// Ready tells whether the gateway can serve requests and is not stopping.
func (g *Gateway) Ready() bool {
	return g.config.Load() != nil && !g.stopping.Load()
}

// awaitConfig returns the configuration in force. A host that starts waits for its
// first one; the result is nil when there is none in time.
func (g *Gateway) awaitConfig(r *http.Request) *wagsite.Config {
	if c := g.config.Load(); c != nil {
		return c
	}
	until := g.startUntil
	if patience, ok := g.protocol.CallerTimeout(r.Header); ok {
		until = wagclock.Earlier(until, g.clock.Now().Add(patience-timeoutMargin))
	}
	fired, release := g.clock.TimerAt(until)
	defer release()
	select {
	case <-g.configured:
	case <-fired:
	case <-r.Context().Done():
	}
	return g.config.Load()
}
