package waggateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// Guards against a shortage of connections of this host that excludes a server, that is
// tried at one server after the other, or that the caller takes for a request which may
// have run.
func TestTooManyConnectionsToServers(t *testing.T) {
	is := is.New(t)
	a, b := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
	a.hold = make(chan struct{})
	f := newFixture(t, a, b, b)
	f.gateway.upstream = wagupstream.NewPool("Id", wagupstream.WithMaxConnections(1))
	t.Cleanup(f.gateway.upstream.Close)
	var g errgroup.Group
	g.Go(func() error {
		f.send(t, http.MethodPost, "/commit/1", strings.NewReader("x"))
		return nil
	})
	for a.requestCount() == 0 {
		<-time.After(time.Millisecond)
	}
	resp, _ := f.send(t, http.MethodPost, "/commit/2", strings.NewReader("x"))
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(b.requestCount(), 0)
	results := f.placer.reportedResults()
	is.Equal(len(results), 1) // no second server is tried
	is.Equal(results[0].Fault, wagplacement.FaultCanceled)
	close(a.hold)
	_ = g.Wait() // always nil
}

// Guards against a 503 for a request whose earlier attempt may have run, and against a
// further server that is tried although this host has no connection for it.
func TestTooManyConnectionsAfterAnAttempt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	for _, x := range []struct {
		mayHaveRun bool
		status     int
	}{{false, http.StatusServiceUnavailable}, {true, http.StatusBadGateway}} {
		q := &request{gateway: f.gateway, incoming: &http.Request{}, route: &wagsite.Route{Attempts: 3, Idempotent: true}, attempts: 1, serversTried: 1, mayHaveRun: x.mayHaveRun}
		ctx := context.Background()
		last := q.newAttempt(wagowner.Granted{Finish: func(wagplacement.Result) {}})
		last.notSent = true
		last.result, last.reason = q.classify(ctx, nil, wagupstream.ErrTooManyConnections)
		q.finish(last)
		is.Equal(q.attempts, 1)
		resp, final := q.responseOrRetry(ctx, last)
		is.True(final)
		is.Equal(resp.status, x.status)
		is.Equal(resp.reason, ReasonTooManyConnections)
	}
}
