package waghost

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// storeCallCounter counts the calls to the object store.
type storeCallCounter struct {
	calls *prometheus.CounterVec
}

var _ wagstore.Observer = storeCallCounter{}

func newStoreCallCounter(r prometheus.Registerer) storeCallCounter {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: wagmetrics.Namespace, Name: "store_calls_total", Help: "Calls to the object store.",
	}, []string{"kind", "outcome"})
	r.MustRegister(calls)
	return storeCallCounter{calls: calls}
}

// Observe counts a call by its operation and outcome.
func (s storeCallCounter) Observe(kind wagstore.Operation, outcome wagstore.Outcome) {
	s.calls.WithLabelValues(string(kind), string(outcome)).Inc()
}

// registerControlMetrics registers the metrics of control messages, probes, members and
// idempotency keys.
func (h *Host) registerControlMetrics(r prometheus.Registerer) {
	r.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: wagmetrics.Namespace, Name: "control_bytes_total", Help: "Bytes of control messages between hosts, in both directions.",
		}, func() float64 {
			read, written := h.ControlTraffic()
			return float64(read + written)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: wagmetrics.Namespace, Name: "probes_total", Help: "Probes that were sent to servers.",
		}, func() float64 { return float64(h.control.ProbesSent()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: wagmetrics.Namespace, Name: "live_members", Help: "Entry hosts that are alive, this one included.",
		}, func() float64 { return float64(h.countLiveMembers()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: wagmetrics.Namespace, Name: "keyed_claims_total", Help: "Keys that were claimed in the store.",
		}, func() float64 { return float64(h.claims.Stats().Claims) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: wagmetrics.Namespace, Name: "keyed_writes_total", Help: "Writes of claims and outcomes to the store.",
		}, func() float64 { return float64(h.claims.Stats().Writes) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: wagmetrics.Namespace, Name: "keyed_claims_remembered", Help: "Claims in memory.",
		}, func() float64 { return float64(h.claims.Stats().Remembered) }),
	)
}

// countLiveMembers returns the number of hosts that are alive, this one included.
func (h *Host) countLiveMembers() int {
	n := 0
	for _, m := range h.control.Members(h.clock.Now()) {
		if m.State == wagmember.Alive {
			n++
		}
	}
	return n
}
