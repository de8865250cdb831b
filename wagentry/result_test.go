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

// Guards against attempts whose result reaches the scheduler incompletely, and
// against new requests to a server that reported draining in the header of a response
// whose body is still in flight.
func TestAttemptResult(t *testing.T) {
	is := is.New(t)
	clock := wagclock.NewManual(time.Now())
	sentAt := clock.Now()
	var drained string
	h := newTestHost(t, "a", "attempts = 1", nil, WithClock(clock))
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clock.Advance(time.Second)
		if drained == "" {
			drained = r.Host
			w.Header().Set(wagoutcome.LoadHeader, "inFlight=3; slots=4; draining")
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = w.Write([]byte("answer"))
	})
	h.SetServers(liveServers(startServer(t, handler), startServer(t, handler)))
	send := func() *attempt {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/lots/x", nil)
		p := h.newProxiedRequest(r, h.snapshot.Load(), h.snapshot.Load().Documents["lots"])
		p.ctx, p.caller, p.deadline = t.Context(), "c", clock.Now().Add(time.Minute)
		return p.run().attempt
	}
	first := send()
	is.NoErr(first.copyBody(httptest.NewRecorder()))
	is.Equal(first.result, wagrouting.Result{
		Fault: wagrouting.FaultStatus, SentAt: sentAt, HeaderReceivedAt: sentAt.Add(time.Second), Bytes: 6,
		Load: wagrouting.Load{InFlight: 3, Slots: 4, Draining: true}, HasLoad: true,
	})
	for range 8 {
		second := send()
		is.True(second.server != first.server)
		second.finish()
	}
	first.finish()
}

// Guards against violations that appear neither in the metrics nor in the events, and
// against counters of a scheduler that are missing in the metrics.
func TestViolation(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t, "a", "", liveServers("127.0.0.1:1", "127.0.0.1:2"))
	scheduler := h.group("lots").scheduler
	now := time.Now()
	request := wagrouting.Request{ID: 1, Deadline: now.Add(time.Minute)}
	scheduler.Submit(now, request)
	scheduler.Submit(now, request)
	scheduler.Submit(now, wagrouting.Request{ID: 2, Deadline: now})
	counts, err := h.metrics.Violations()
	is.NoErr(err)
	is.Equal(counts, map[string]uint64{"sentOnce": 1})
	events, _ := h.events.Since(0)
	last := events[len(events)-1]
	is.Equal([]string{string(last.Kind), last.Service, last.Detail}, []string{"violation", "lots", "sentOnce"})
	is.Equal(sumMetric(t, h, "wagtailspar_group_refused_total"), 1.0)
}
