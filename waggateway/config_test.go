package waggateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagowner"
)

// Guards against a request that is answered 404 before the first configuration is
// known, and against an older configuration that replaces a newer one.
func TestConfigInForce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, newTestServer(t, "a", responseOK))
	resp, _ := f.send(t, http.MethodGet, "/none/", nil)
	is.Equal(resp.StatusCode, 404)
	clock := wagclock.NewManual(time.Unix(1_800_000_000, 0))
	fresh := New(testProtocol{}, f.placer, nil, WithClock(clock))
	is.True(!fresh.Ready())
	clock.Advance(wagowner.StartupWaitTimeout)
	_, rejection := fresh.newRequest(newStatusRequest())
	is.Equal(rejection.status, 503)
	fresh.SetConfig(testConfig(t, 7, time.Second))
	fresh.SetConfig(testConfig(t, 6, time.Minute))
	is.Equal(fresh.config.Load().Version, testConfig(t, 7, time.Second).Version)
	is.True(fresh.Ready())
}

func newStatusRequest() *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/status/1", nil)
	r.Host = "a.example"
	r.Header.Set("Patience", testCallerTimeout)
	return r
}

// waitingClock signals each call of TimerAt.
type waitingClock struct {
	*wagclock.Manual
	waits chan struct{}
}

func (c waitingClock) TimerAt(deadline time.Time) (<-chan time.Time, func()) {
	fired, release := c.Manual.TimerAt(deadline)
	c.waits <- struct{}{}
	return fired, release
}

// Guards against refusals in the tenths of a second between the start of a host and its
// first configuration, as when a single host starts, or all hosts start after a power
// failure.
func TestRequestDuringStart(t *testing.T) {
	for name, x := range map[string]struct {
		event    func(*Gateway, waitingClock, context.CancelFunc)
		accepted bool
	}{
		"configuration in time": {func(g *Gateway, _ waitingClock, _ context.CancelFunc) { g.SetConfig(testConfig(t, 1, time.Second)) }, true},
		"no configuration":      {func(_ *Gateway, c waitingClock, _ context.CancelFunc) { c.Advance(wagowner.StartupWaitTimeout) }, false},
		"caller leaves":         {func(_ *Gateway, _ waitingClock, leave context.CancelFunc) { leave() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := waitingClock{wagclock.NewManual(time.Unix(1_800_000_000, 0)), make(chan struct{}, 1)}
			g := New(testProtocol{}, &fakePlacer{}, nil, WithClock(clock))
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			var q *request
			var rejection response
			done := make(chan struct{})
			var group errgroup.Group
			group.Go(func() error {
				q, rejection = g.newRequest(newStatusRequest().WithContext(ctx))
				close(done)
				return nil
			})
			select {
			case <-clock.waits:
			case <-done:
			}
			x.event(g, clock, leave)
			is.NoErr(group.Wait())
			is.Equal(q != nil, x.accepted)
			if !x.accepted {
				is.Equal(rejection.status, 503)
			}
		})
	}
}

// Guards against a request that waits for the configuration longer than its caller
// waits.
func TestStartWithinPatience(t *testing.T) {
	is := is.New(t)
	clock := waitingClock{wagclock.NewManual(time.Unix(1_800_000_000, 0)), make(chan struct{}, 1)}
	g := New(testProtocol{}, &fakePlacer{}, nil, WithClock(clock))
	r := newStatusRequest()
	r.Header.Set("Patience", "100")
	var group errgroup.Group
	group.Go(func() error {
		defer close(clock.waits)
		g.newRequest(r)
		return nil
	})
	_, waited := <-clock.waits
	is.True(waited)
	clock.Advance(100*time.Millisecond - timeoutMargin)
	is.NoErr(group.Wait())
}
