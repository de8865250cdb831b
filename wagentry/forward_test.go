package wagentry

import (
	"net"
	"net/http"
	"net/http/httptest"
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

// peers returns a member that owns the group of lots in dc1 and one that does
// not, by name.
func peers(t *testing.T) (owning, other string) {
	chosen, ok := wagmember.Owner([]wagmember.Member{{Name: "a", DataCentre: "dc1"}, {Name: "b", DataCentre: "dc1"}}, "lots", "dc1")
	is.New(t).True(ok)
	if chosen.Name == "a" {
		return "a", "b"
	}
	return "b", "a"
}

// Guards against calls that do not reach the owner, lose their outcome, or are
// forwarded twice.
func TestForwardToOwner(t *testing.T) {
	tests := []struct {
		name     string
		ownerRev int
		status   int
		outcome  string
		// attempts at the server by the owner and by the receiving host.
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
			address := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(tt.status)
			}))
			owning, other := peers(t)
			own := newHost(t, owning, "attempts = 1", servers(address))
			for n := 2; n <= tt.ownerRev; n++ {
				own.put(n, "attempts = 1")
			}
			members := table{member(owning, "dc1", own.forward), member(other, "dc1", "127.0.0.1:1")}
			h := newHost(t, other, "attempts = 1", servers(address), WithMembers(members))
			resp, _, err := do(t, "POST", h.caller, "/lots/x", "body", "Request-Id", "r9")
			is.NoErr(err)
			is.Equal(resp.Header[wagoutcome.OutcomeHeader], []string{tt.outcome})
			is.Equal(resp.Header.Get(wagoutcome.RevisionHeader), "1")
			is.Equal(got.Header.Get("Request-Id"), "r9")
			is.Equal(got.Header.Get(wagoutcome.HopHeader), "")
			is.Equal(total(t, own, "wagtailspar_attempts_total"), tt.byOwner)
			is.Equal(total(t, h, "wagtailspar_attempts_total"), tt.byOther)
		})
	}
}

// total sums a metric over its labels.
func total(t *testing.T, h *host, name string) (sum float64) {
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

// Guards against calls that run twice, or are lost, when their owner fails.
func TestOwnerFails(t *testing.T) {
	tests := []struct {
		name, path string
		respond    func(net.Conn, int) bool
		outcome    string
		ran        int64
	}{
		{"can not be reached", "/lots/x", nil, "done", 1},
		{"dies after the request", "/lots/x", func(net.Conn, int) bool { return false }, "unknown", 0},
		{"dies after a repeatable request", "/lots/repeat", func(net.Conn, int) bool { return false }, "done", 1},
		{"states no outcome", "/lots/x", write(ok), "unknown", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			address := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
			owning, other := peers(t)
			forward := refusing(t)
			if tt.respond != nil {
				forward = newRawServer(t, tt.respond).address
			}
			h := newHost(t, other, "", servers(address), WithMembers(table{member(owning, "dc1", forward), member(other, "dc1", "127.0.0.1:1")}))
			resp, _, err := do(t, "POST", h.caller, tt.path, "body")
			is.NoErr(err)
			is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), tt.outcome)
			is.Equal(ran.Load(), tt.ran)
		})
	}
}

// Guards against a service without servers here being refused while another
// data centre has some.
func TestForwardToDataCentre(t *testing.T) {
	is := is.New(t)
	address := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	far := newHost(t, "z", "", servers(address))
	remote := server(address)
	remote.DataCentre = "dc2"
	members := table{member("a", "dc1", "127.0.0.1:1"), member("z", "dc2", far.forward)}
	h := newHost(t, "a", "", []wagserver.Server{remote}, WithMembers(members))
	resp, _, err := do(t, "GET", h.caller, "/lots/x", "")
	is.NoErr(err)
	is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "done")
	is.Equal(total(t, h, "wagtailspar_forwards_total"), 1.0)
}

// Guards against a second forward between data centres, and against calls that
// are lost when the other data centre can not be reached.
func TestSpill(t *testing.T) {
	address := newRawServer(t, write(ok)).address
	far := newHost(t, "z", "", servers(address))
	tests := []struct {
		name, forward string
		hop           hop
		outcome       wagoutcome.Outcome
		far, here     float64
	}{
		{"first forward", far.forward, hop{}, wagoutcome.Done, 1, 0},
		{"after the owner's hop", far.forward, hop{owner: true}, wagoutcome.Done, 1, 0},
		{"second forward", far.forward, hop{zone: true}, wagoutcome.NotRun, 0, 0},
		{"not reachable", refusing(t), hop{}, wagoutcome.Done, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			members := table{member("a", "dc1", "127.0.0.1:1"), member("z", "dc2", tt.forward)}
			h := newHost(t, "a", "", servers(address), WithMembers(members))
			before := total(t, far, "wagtailspar_attempts_total")
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/lots/x", nil)
			p := h.newProxiedCall(r, h.snapshot.Load(), h.snapshot.Load().Documents["lots"])
			p.ctx, p.caller, p.hop, p.deadline = t.Context(), "c", tt.hop, time.Now().Add(time.Minute)
			a := p.spill("dc2")
			is.Equal(a.outcome, tt.outcome)
			if a.try != nil {
				a.try.finish()
			}
			is.Equal(total(t, far, "wagtailspar_attempts_total")-before, tt.far)
			is.Equal(total(t, h, "wagtailspar_attempts_total"), tt.here)
		})
	}
}

// Guards against the forward port accepting what no host sends.
func TestForwardPortRefuses(t *testing.T) {
	good := []string{wagoutcome.HopHeader, "owner", wagoutcome.ServiceHeader, "lots", wagoutcome.RevisionHeader, "1",
		wagoutcome.CallerHeader, "c", wagoutcome.DeadlineHeader, time.Now().Add(time.Minute).Format(time.RFC3339Nano)}
	h := newHost(t, "a", "", servers(newRawServer(t, write(ok)).address))
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
			resp, _, err := do(t, "GET", h.forward, "/lots/x", "", append(good, tt.header, tt.value)...)
			is.NoErr(err)
			is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), tt.outcome)
			is.Equal(resp.Header.Get(wagoutcome.ReasonHeader), tt.reason)
		})
	}
}

// Guards against retries that are lost, mix answers, or multiply attempts.
func TestRetry(t *testing.T) {
	const bad, good = "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nbad", ok
	proof := "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	below := "HTTP/1.1 500 No\r\nWagtailspar-Attempt: 2; retried\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, path, first, marker string
		status, runs              int
		answer                    string
	}{
		{"bad, repeatable", "/lots/repeat", bad, "", 200, 2, "2; retried"},
		{"bad, not repeatable", "/lots/x", bad, "", 500, 1, "1"},
		{"proven not run", "/lots/x", proof, "", 200, 2, "2; retried"},
		{"retried below", "/lots/repeat", below, "", 500, 1, "2; retried"},
		{"most attempts made above", "/lots/repeat", bad, "3; retried", 500, 1, "3; retried"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			respond := func(c net.Conn, n int) bool {
				if runs.Add(1) == 1 {
					return write(tt.first)(c, n)
				}
				return write(good)(c, n)
			}
			h := newHost(t, "a", "", servers(newRawServer(t, respond).address, newRawServer(t, respond).address))
			resp, _, err := do(t, "POST", h.caller, tt.path, "body", wagoutcome.AttemptHeader, tt.marker)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(int(runs.Load()), tt.runs)
			is.Equal(resp.Header.Get(wagoutcome.AttemptHeader), tt.answer)
		})
	}
}

// Guards against hedges that do not start, and losers that run on.
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
	h := newHost(t, "a", "hedge = true", servers(start(t, handler), start(t, handler)))
	for range 1000 {
		h.group("lots").times.Observe(time.Millisecond)
	}
	resp, text, err := do(t, "GET", h.caller, "/lots/repeat", "")
	is.NoErr(err)
	is.Equal(text, "second")
	is.Equal(resp.Header.Get(wagoutcome.AttemptHeader), "2; retried")
	<-canceled
}

// Guards against more connections to a server than the host's share.
func TestConnectionShare(t *testing.T) {
	is := is.New(t)
	x := newPool().get(server(newRawServer(t, write(ok)).address).Address, 2, func(int) {})
	first, err := x.dial(t.Context())
	is.NoErr(err)
	_, err = x.dial(t.Context())
	is.NoErr(err)
	third := make(chan error)
	beside(t, func() {
		_, err := x.dial(t.Context())
		third <- err
	})
	select {
	case err := <-third:
		t.Fatal("a third connection was opened", err)
	default:
	}
	is.NoErr(first.Close())
	is.NoErr(<-third)
	is.Equal(x.open, 2)
}

// Guards against an operator port without bounds or with faults passed over.
func TestEvents(t *testing.T) {
	h := newHost(t, "a", "", nil)
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
		{"0", 200, `"next":` + strconv.Itoa(maxEvents+11)},
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
