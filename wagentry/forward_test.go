package wagentry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// ownerAndOther returns the names of two members: the owner of the group of lots in dc1
// and another one.
func ownerAndOther(t *testing.T) (owner, other string) {
	m, ok := wagmember.Owner([]wagmember.Member{{Name: "a", DataCentre: "dc1"}, {Name: "b", DataCentre: "dc1"}}, "lots", "dc1")
	is.New(t).True(ok)
	if m.Name == "a" {
		return "a", "b"
	}
	return "b", "a"
}

// Guards against requests that don't reach the owner, lose their outcome, or are forwarded
// twice.
func TestForwardToOwner(t *testing.T) {
	tests := []struct {
		name     string
		ownerRev int
		status   int
		outcome  string
		// attempts at the server by the owner and by the host that received the request
		byOwner, byOther float64
	}{
		{"same revision", 1, 200, "done", 1, 0},
		{"not run at the server", 1, 503, "not-run", 1, 0},
		{"newer revision at the owner", 2, 200, "done", 1, 0},
		{"unknown revision at the owner", 3, 200, "done", 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var got *http.Request
			address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(tt.status)
			}))
			owner, other := ownerAndOther(t)
			ownerHost := newTestHost(t, owner, "attempts = 1", liveServers(address))
			for n := 2; n <= tt.ownerRev; n++ {
				ownerHost.setDocument(n, "attempts = 1")
			}
			members := staticMembership{member(owner, "dc1", ownerHost.forward), member(other, "dc1", "127.0.0.1:1")}
			h := newTestHost(t, other, "attempts = 1", liveServers(address), WithMembers(members))
			resp, _, err := doRequest(t, "POST", h.caller, "/lots/x", "body", "Request-Id", "r9")
			is.NoErr(err)
			is.Equal(resp.Header[wagoutcome.OutcomeHeader], []string{tt.outcome})
			is.Equal(resp.Header.Get(wagoutcome.RevisionHeader), "1")
			is.Equal(got.Header.Get("Request-Id"), "r9")
			is.Equal(got.Header.Get(wagoutcome.HopHeader), "")
			is.Equal(sumMetric(t, ownerHost, "wagtailspar_attempts_total"), tt.byOwner)
			is.Equal(sumMetric(t, h, "wagtailspar_attempts_total"), tt.byOther)
		})
	}
}

// sumMetric returns the sum of a metric over its labels.
func sumMetric(t *testing.T, h *testHost, name string) (sum float64) {
	families, err := h.metrics.Gatherer().Gather()
	is.New(t).NoErr(err)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

// Guards against requests that run twice, or are lost, when the owner of the group fails.
func TestOwnerFails(t *testing.T) {
	tests := []struct {
		name, path string
		respond    func(net.Conn, int) bool
		outcome    string
		ran        int64
	}{
		{"unreachable owner", "/lots/x", nil, "done", 1},
		{"dies after the request", "/lots/x", func(net.Conn, int) bool { return false }, "unknown", 0},
		{"dies after a repeatable request", "/lots/repeat", func(net.Conn, int) bool { return false }, "done", 1},
		{"reports no outcome", "/lots/x", respondWith(okResponse), "unknown", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			address := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
			owner, other := ownerAndOther(t)
			forward := refusingAddress(t)
			if tt.respond != nil {
				forward = newRawServer(t, tt.respond).address
			}
			h := newTestHost(t, other, "", liveServers(address), WithMembers(staticMembership{member(owner, "dc1", forward), member(other, "dc1", "127.0.0.1:1")}))
			resp, _, err := doRequest(t, "POST", h.caller, tt.path, "body")
			is.NoErr(err)
			is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), tt.outcome)
			is.Equal(ran.Load(), tt.ran)
		})
	}
}

// Guards against refusals of requests for a service that has servers only in another data
// centre.
func TestForwardToDataCentre(t *testing.T) {
	is := is.New(t)
	address := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	far := newTestHost(t, "z", "", liveServers(address))
	remote := liveServer(address)
	remote.DataCentre = "dc2"
	members := staticMembership{member("a", "dc1", "127.0.0.1:1"), member("z", "dc2", far.forward)}
	h := newTestHost(t, "a", "", []wagserver.Server{remote}, WithMembers(members))
	resp, _, err := doRequest(t, "GET", h.caller, "/lots/x", "")
	is.NoErr(err)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "done")
	is.Equal(sumMetric(t, h, "wagtailspar_forwards_total"), 1.0)
}

// Guards against a second forward between data centres, and against requests that are lost
// when the other data centre is unreachable.
func TestSpill(t *testing.T) {
	address := newRawServer(t, respondWith(okResponse)).address
	remote := newTestHost(t, "z", "", liveServers(address))
	tests := []struct {
		name, forward string
		hops          hops
		outcome       wagoutcome.Outcome
		remote, local float64
	}{
		{"first forward", remote.forward, hops{}, wagoutcome.Done, 1, 0},
		{"after the forward to the owner", remote.forward, hops{owner: true}, wagoutcome.Done, 1, 0},
		{"second forward", remote.forward, hops{dataCentre: true}, wagoutcome.NotRun, 0, 0},
		{"unreachable data centre", refusingAddress(t), hops{}, wagoutcome.Done, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			members := staticMembership{member("a", "dc1", "127.0.0.1:1"), member("z", "dc2", tt.forward)}
			h := newTestHost(t, "a", "", liveServers(address), WithMembers(members))
			before := sumMetric(t, remote, "wagtailspar_attempts_total")
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/lots/x", nil)
			p := h.newProxiedRequest(r, h.snapshot.Load(), h.snapshot.Load().Documents["lots"])
			p.ctx, p.caller, p.hops, p.deadline = t.Context(), "c", tt.hops, time.Now().Add(time.Minute)
			res := p.spill("dc2")
			is.Equal(res.outcome, tt.outcome)
			if res.attempt != nil {
				res.attempt.finish()
			}
			is.Equal(sumMetric(t, remote, "wagtailspar_attempts_total")-before, tt.remote)
			is.Equal(sumMetric(t, h, "wagtailspar_attempts_total"), tt.local)
		})
	}
}

// Guards against a forward port that accepts requests without the headers that hosts send,
// or with malformed ones.
func TestForwardPortRefuses(t *testing.T) {
	good := []string{wagoutcome.HopHeader, "owner", wagoutcome.ServiceHeader, "lots", wagoutcome.RevisionHeader, "1",
		wagoutcome.CallerHeader, "c", wagoutcome.DeadlineHeader, time.Now().Add(time.Minute).Format(time.RFC3339Nano)}
	h := newTestHost(t, "a", "", liveServers(newRawServer(t, respondWith(okResponse)).address))
	tests := []struct {
		header, value, outcome, reason string
	}{
		{"X-Other", "", "done", ""},
		{wagoutcome.HopHeader, "", "not-run", "bad-request"},
		{wagoutcome.HopHeader, "owner,elsewhere", "not-run", "bad-request"},
		{wagoutcome.RevisionHeader, "x", "not-run", "bad-request"},
		{wagoutcome.RevisionHeader, "7", "not-run", "stale-configuration"},
		{wagoutcome.ServiceHeader, "none", "not-run", "stale-configuration"},
		{wagoutcome.CallerHeader, strings.Repeat("c", 200), "not-run", "bad-request"},
		{wagoutcome.DeadlineHeader, "soon", "not-run", "bad-request"},
	}
	for _, tt := range tests {
		t.Run(tt.header+" "+tt.reason, func(t *testing.T) {
			is := is.New(t)
			resp, _, err := doRequest(t, "GET", h.forward, "/lots/x", "", append(good, tt.header, tt.value)...)
			is.NoErr(err)
			is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), tt.outcome)
			is.Equal(resp.Header.Get(wagoutcome.ReasonHeader), tt.reason)
		})
	}
}

// Guards against retries that are not made, that mix two responses, or that multiply along
// a path.
func TestRetry(t *testing.T) {
	const bad, good = "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nbad", okResponse
	proof := "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	reported := "HTTP/1.1 500 No\r\nWagtailspar-Attempt: 2; retried\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, path, first, attemptHeader string
		status, runs                     int
		wantHeader                       string
	}{
		{"bad, repeatable", "/lots/repeat", bad, "", 200, 2, "2; retried"},
		{"bad, not repeatable", "/lots/x", bad, "", 500, 1, "1"},
		{"proven not run", "/lots/x", proof, "", 200, 2, "2; retried"},
		{"retried further along the path", "/lots/repeat", reported, "", 500, 1, "2; retried"},
		{"no attempts left on arrival", "/lots/repeat", bad, "3; retried", 500, 1, "3; retried"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			respond := func(c net.Conn, n int) bool {
				if runs.Add(1) == 1 {
					return respondWith(tt.first)(c, n)
				}
				return respondWith(good)(c, n)
			}
			h := newTestHost(t, "a", "", liveServers(newRawServer(t, respond).address, newRawServer(t, respond).address))
			resp, _, err := doRequest(t, "POST", h.caller, tt.path, "body", wagoutcome.AttemptHeader, tt.attemptHeader)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(int(runs.Load()), tt.runs)
			is.Equal(resp.Header.Get(wagoutcome.AttemptHeader), tt.wantHeader)
		})
	}
}

// Guards against hedges that don't start, and against slower attempts that are not
// cancelled.
func TestHedge(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	canceled := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			<-r.Context().Done()
			close(canceled)
			return
		}
		_, _ = w.Write([]byte("second"))
	})
	h := newTestHost(t, "a", "hedge = true", liveServers(startServer(t, handler), startServer(t, handler)))
	for range 1000 {
		h.group("lots").serviceTimes.Observe(time.Millisecond)
	}
	resp, text, err := doRequest(t, "GET", h.caller, "/lots/repeat", "")
	is.NoErr(err)
	is.Equal(text, "second")
	is.Equal(resp.Header.Get(wagoutcome.AttemptHeader), "2; retried")
	<-canceled
}

// Guards against more connections to a server than this host's share of them.
func TestConnectionShare(t *testing.T) {
	is := is.New(t)
	ep := newPool(idleConnTimeout).get(liveServer(newRawServer(t, respondWith(okResponse)).address).Address, 2, func(int) {})
	first, err := ep.dial(t.Context())
	is.NoErr(err)
	_, err = ep.dial(t.Context())
	is.NoErr(err)
	third := make(chan error)
	runInBackground(t, func() {
		_, err := ep.dial(t.Context())
		third <- err
	})
	select {
	case err := <-third:
		t.Fatal("a third connection was opened beyond the limit of two:", err)
	default:
	}
	is.NoErr(first.Close())
	is.NoErr(<-third)
	is.Equal(ep.openConns, 2)
}

// Guards against an operator port that returns unlimited events, doesn't report overwritten
// ones, or accepts malformed parameters.
func TestEvents(t *testing.T) {
	h := newTestHost(t, "a", "", nil)
	for range eventRingSize + 11 {
		h.events.Record(wagevent.Event{})
	}
	w := httptest.NewRecorder()
	h.operatorHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.New(t).True(strings.Contains(w.Body.String(), "go_goroutines"))
	tests := []struct {
		after  string
		status int
		part   string
	}{
		{"0", 200, `"next":` + strconv.Itoa(maxEventsPerPage+11)},
		{"0", 200, `"lost":11`},
		{"x", 400, "after"},
		{"-1", 400, "after"},
		{"9223372036854775807", 200, `"events":[]`},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		h.operatorHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/events?after="+tt.after, nil))
		is.New(t).Equal(w.Code, tt.status)
		is.New(t).True(strings.Contains(w.Body.String(), tt.part))
	}
}

// Guards against a response that ends the process while a request is hedged, and against a
// slot that stays taken by it.
func TestPanicDuringHedge(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	servers := liveServers(startServer(t, handler), startServer(t, handler))
	h := newTestHost(t, "a", "hedge = true", servers)
	for range 1000 {
		h.group("lots").serviceTimes.Observe(time.Millisecond)
	}
	for _, s := range servers {
		h.serverPool.get(s.Address, 10, func(int) {}).transport.Proxy = func(*http.Request) (*url.URL, error) { panic("unexpected") }
	}
	for range 20 {
		resp, _, err := doRequest(t, "GET", h.caller, "/lots/repeat", "")
		is.NoErr(err)
		is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "unknown")
	}
}
