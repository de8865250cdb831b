// Package wagmetrics holds the metrics of an entry host. All names have the
// form wagtailspar_NOUN_UNIT, where the unit of a counter is total.
package wagmetrics

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// Namespace is the prefix of all names.
const Namespace = "wagtailspar"

// violationsName is the name of the counter of violations.
const violationsName = "violations_total"

// NoService is the service label of calls that no document serves.
const NoService = "none"

// Buckets end at the longest deadline of a document's default.
var (
	latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 20)
	addedBuckets   = []float64{0.00005, 0.0001, 0.0002, 0.0003, 0.00045, 0.0006, 0.001, 0.002, 0.005, 0.02, 0.1}
)

// Metrics holds the collectors of one host. Label values are names from
// documents and constants, never input of callers.
type Metrics struct {
	registry    *prometheus.Registry
	calls       *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	hedges      *prometheus.CounterVec
	forwards    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	violations  *prometheus.CounterVec
	queue       *prometheus.GaugeVec
	connections *prometheus.GaugeVec
	latency     *prometheus.HistogramVec
	added       *prometheus.HistogramVec
}

// New returns metrics on a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry:    prometheus.NewRegistry(),
		calls:       counter("calls_total", "Calls that ended.", "service", "class", "outcome", "reason"),
		attempts:    counter("attempts_total", "Requests sent towards servers.", "service"),
		retries:     counter("retries_total", "Attempts that followed a failed one.", "service"),
		hedges:      counter("hedges_total", "Attempts made beside a slow one.", "service"),
		forwards:    counter("forwards_total", "Calls passed to another entry host.", "service", "hop"),
		refusals:    counter("refusals_total", "Calls that were refused without being run.", "service", "reason"),
		violations:  counter(violationsName, "Violations of an invariant of the design.", "invariant"),
		queue:       gauge("queue_calls", "Calls that wait for a slot.", "service"),
		connections: gauge("server_connections", "Open connections to servers.", "service"),
		latency:     histogram("latency_seconds", "Time from the arrival of a call to the header of its answer.", latencyBuckets, "service", "class"),
		added:       histogram("added_seconds", "Time that a call spent inside the entry host.", addedBuckets, "service"),
	}
	m.registry.MustRegister(m.calls, m.attempts, m.retries, m.hedges, m.forwards, m.refusals, m.violations,
		m.queue, m.connections, m.latency, m.added)
	return m
}

// WithRuntimeCollectors adds the collectors of the Go runtime and the process.
func (m *Metrics) WithRuntimeCollectors() *Metrics {
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// Registerer lets other packages add collectors.
func (m *Metrics) Registerer() prometheus.Registerer { return m.registry }

// Gatherer reads all metrics.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountRequest counts a call that ended.
func (m *Metrics) CountRequest(service string, class wagdocument.Class, o wagoutcome.Outcome, r wagoutcome.Reason) {
	m.calls.WithLabelValues(service, class.String(), o.String(), string(r)).Inc()
	if o == wagoutcome.NotRun {
		m.refusals.WithLabelValues(service, string(r)).Inc()
	}
}

// ObserveLatency observes the times of an answered call.
func (m *Metrics) ObserveLatency(service string, class wagdocument.Class, total, added time.Duration) {
	m.latency.WithLabelValues(service, class.String()).Observe(total.Seconds())
	m.added.WithLabelValues(service).Observe(added.Seconds())
}

// CountAttempt counts a request sent towards a server.
func (m *Metrics) CountAttempt(service string) { m.attempts.WithLabelValues(service).Inc() }

// CountRetry counts an attempt that followed a failed one.
func (m *Metrics) CountRetry(service string) { m.retries.WithLabelValues(service).Inc() }

// CountHedge counts an attempt made beside a slow one.
func (m *Metrics) CountHedge(service string) { m.hedges.WithLabelValues(service).Inc() }

// CountForward counts a call passed to another host over the given kind of hop.
func (m *Metrics) CountForward(service, hop string) { m.forwards.WithLabelValues(service, hop).Inc() }

// CountViolation counts a violation of the named invariant.
func (m *Metrics) CountViolation(invariant string) { m.violations.WithLabelValues(invariant).Inc() }

// Violations returns the counted violations by invariant.
func (m *Metrics) Violations() (counts map[string]uint64, err error) {
	defer func() { err = errors.WithMessage(err, "read the violations") }()
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	counts = make(map[string]uint64)
	for _, f := range families {
		if f.GetName() != prometheus.BuildFQName(Namespace, "", violationsName) {
			continue
		}
		for _, v := range f.GetMetric() {
			counts[v.GetLabel()[0].GetValue()] = uint64(v.GetCounter().GetValue())
		}
	}
	return counts, nil
}

// AddWaiting changes the count of waiting calls.
func (m *Metrics) AddWaiting(service string, change int) {
	m.queue.WithLabelValues(service).Add(float64(change))
}

// AddConnections changes the count of open connections to servers.
func (m *Metrics) AddConnections(service string, change int) {
	m.connections.WithLabelValues(service).Add(float64(change))
}
