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
// known, and against a configuration that goes back to an older one.
func TestConfigInForce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, newBackend(t, "a", answerOK))
	resp, _ := f.call(t, http.MethodGet, "/none/", nil)
	is.Equal(resp.StatusCode, 404)
	clock := wagclock.NewManual(time.Unix(1_800_000_000, 0))
	fresh := New(testProtocol{}, f.placer, nil, WithClock(clock))
	is.True(!fresh.Ready())
	clock.Advance(wagowner.StartupWaitTimeout)
	_, a := fresh.take(statusRequest())
	is.Equal(a.status, 503)
	fresh.SetConfig(testConfig(t, 7, time.Second))
	fresh.SetConfig(testConfig(t, 6, time.Minute))
	is.Equal(fresh.config.Load().Version, testConfig(t, 7, time.Second).Version)
	is.True(fresh.Ready())
}

func statusRequest() *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/status/1", nil)
	r.Host = "a.example"
	r.Header.Set("Patience", testPatience)
	return r
}

// waitingClock tells when something waits on it.
type waitingClock struct {
	*wagclock.Manual
	waits chan struct{}
}

func (c waitingClock) TimerAt(deadline time.Time) (<-chan time.Time, func()) {
	fired, release := c.Manual.TimerAt(deadline)
	c.waits <- struct{}{}
	return fired, release
}

// Guards against requests that a host refuses in the tenths of a second between its
// start and its first configuration: the start of a single host, or of all hosts after
// a power failure.
func TestRequestDuringStart(t *testing.T) {
	for name, x := range map[string]struct {
		happens func(*Gateway, waitingClock, context.CancelFunc)
		taken   bool
	}{
		"configuration in time": {func(g *Gateway, _ waitingClock, _ context.CancelFunc) { g.SetConfig(testConfig(t, 1, time.Second)) }, true},
		"no configuration":      {func(_ *Gateway, c waitingClock, _ context.CancelFunc) { c.Advance(wagowner.StartupWaitTimeout) }, false},
		"caller leaves":         {func(_ *Gateway, _ waitingClock, leave context.CancelFunc) { leave() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := waitingClock{wagclock.NewManual(time.Unix(1_800_000_000, 0)), make(chan struct{}, 1)}
			g := New(testProtocol{}, &placer{}, nil, WithClock(clock))
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			var q *request
			var a answer
			done := make(chan struct{})
			var group errgroup.Group
			group.Go(func() error {
				q, a = g.take(statusRequest().WithContext(ctx))
				close(done)
				return nil
			})
			select {
			case <-clock.waits:
			case <-done:
			}
			x.happens(g, clock, leave)
			is.NoErr(group.Wait())
			is.Equal(q != nil, x.taken)
			if !x.taken {
				is.Equal(a.status, 503)
			}
		})
	}
}

// Guards against a request that waits for the configuration for longer than its caller.
func TestStartWithinPatience(t *testing.T) {
	is := is.New(t)
	clock := waitingClock{wagclock.NewManual(time.Unix(1_800_000_000, 0)), make(chan struct{}, 1)}
	g := New(testProtocol{}, &placer{}, nil, WithClock(clock))
	r := statusRequest()
	r.Header.Set("Patience", "100")
	var group errgroup.Group
	group.Go(func() error {
		defer close(clock.waits)
		g.take(r)
		return nil
	})
	_, waited := <-clock.waits
	is.True(waited)
	clock.Advance(100*time.Millisecond - timeoutMargin)
	is.NoErr(group.Wait())
}
