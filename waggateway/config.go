package waggateway

import (
	"net/http"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// noConfigRetryDelay is the Retry-After of a refusal by a host that has no
// configuration yet.
const noConfigRetryDelay = 200 * time.Millisecond

// SetConfig applies a configuration to the requests that follow, unless the current one
// is at least as new.
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

// Ready reports whether the gateway has a configuration and is not shutting down.
func (g *Gateway) Ready() bool {
	return g.config.Load() != nil && !g.shuttingDown.Load()
}

// awaitConfig returns the current configuration. A host that has just started waits for
// its first one until configWaitUntil, but no longer than the caller waits; the result
// is nil when none arrives in time.
func (g *Gateway) awaitConfig(r *http.Request) *wagsite.Config {
	if c := g.config.Load(); c != nil {
		return c
	}
	until := g.configWaitUntil
	if callerTimeout, ok := g.protocol.CallerTimeout(r.Header); ok {
		until = wagclock.Earlier(until, g.clock.Now().Add(callerTimeout-timeoutMargin))
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
