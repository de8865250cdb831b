package wagentry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// Guards against a core that judges servers and routes by less than the attempt
// showed, and against new work for a server whose report of its drain came at
// the head of an answer that is still under way.
func TestResult(t *testing.T) {
	is := is.New(t)
	clock := wagclock.NewManual(time.Now())
	sent := clock.Now()
	var drained string
	h := newHost(t, "a", "attempts = 1", nil, WithClock(clock))
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clock.Advance(time.Second)
		if drained == "" {
			drained = r.Host
			w.Header().Set(wagoutcome.LoadHeader, "inFlight=3; slots=4; draining")
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = w.Write([]byte("answer"))
	})
	h.SetServers(servers(start(t, handler), start(t, handler)))
	attempt := func() *try {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/lots/x", nil)
		p := h.newProxiedCall(r, h.snapshot.Load(), h.snapshot.Load().Documents["lots"])
		p.ctx, p.caller, p.deadline = t.Context(), "c", clock.Now().Add(time.Minute)
		return p.run().try
	}
	first := attempt()
	is.NoErr(first.passBody(httptest.NewRecorder()))
	is.Equal(first.result, wagrouting.Result{
		Fault: wagrouting.FaultStatus, SentAt: sent, HeaderReceivedAt: sent.Add(time.Second), Bytes: 6,
		Load: wagrouting.Load{InFlight: 3, Slots: 4, Draining: true}, HasLoad: true,
	})
	for range 8 {
		second := attempt()
		is.True(second.server != first.server)
		second.finish()
	}
	first.finish()
}

// Guards against violations of a core, and counters of it, that nobody sees.
func TestViolation(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "a", "", servers("127.0.0.1:1", "127.0.0.1:2"))
	core := h.group("lots").core
	now := time.Now()
	call := wagrouting.Request{ID: 1, Deadline: now.Add(time.Minute)}
	core.Submit(now, call)
	core.Submit(now, call)
	core.Submit(now, wagrouting.Request{ID: 2, Deadline: now})
	counts, err := h.metrics.Violations()
	is.NoErr(err)
	is.Equal(counts, map[string]uint64{"sentOnce": 1})
	events, _ := h.events.Since(0)
	last := events[len(events)-1]
	is.Equal([]string{string(last.Kind), last.Service, last.Detail}, []string{"violation", "lots", "sentOnce"})
	is.Equal(total(t, h, "wagtailspar_group_refused_total"), 1.0)
}
