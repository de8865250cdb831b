// Package wagmetrics defines the metrics of an entry host. Their names have the form
// wagtailspar_NOUN_UNIT, where the unit of a counter is total.
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

// Namespace is the prefix of the names of all metrics.
const Namespace = "wagtailspar"

// violationsMetric is the name of the counter of violated invariants, without the prefix.
const violationsMetric = "violations_total"

// NoService is the service label of requests that are malformed or match no service.
const NoService = "none"

// Buckets of the histograms of a Host, in seconds.
var (
	// latencyBuckets end at 262 s. By default, documents permit deadlines of up to 10 minutes.
	latencyBuckets      = prometheus.ExponentialBuckets(0.0005, 2, 20)
	addedLatencyBuckets = []float64{0.00005, 0.0001, 0.0002, 0.0003, 0.00045, 0.0006, 0.001, 0.002, 0.005, 0.02, 0.1}
)

// Metrics holds the metrics of a Host. Label values are constants and names from documents,
// never input of callers.
type Metrics struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	hedges       *prometheus.CounterVec
	forwards     *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	violations   *prometheus.CounterVec
	waiting      *prometheus.GaugeVec
	connections  *prometheus.GaugeVec
	latency      *prometheus.HistogramVec
	addedLatency *prometheus.HistogramVec
}

// New returns metrics with a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry:     prometheus.NewRegistry(),
		requests:     counter("calls_total", "Calls that ended.", "service", "class", "outcome", "reason"),
		attempts:     counter("attempts_total", "Requests sent towards servers.", "service"),
		retries:      counter("retries_total", "Attempts that followed a failed one.", "service"),
		hedges:       counter("hedges_total", "Attempts made beside a slow one.", "service"),
		forwards:     counter("forwards_total", "Calls passed to another entry host.", "service", "hop"),
		refusals:     counter("refusals_total", "Calls that were refused without being run.", "service", "reason"),
		violations:   counter(violationsMetric, "Violations of an invariant of the design.", "invariant"),
		waiting:      gauge("queue_calls", "Calls that wait for a slot.", "service"),
		connections:  gauge("server_connections", "Open connections to servers.", "service"),
		latency:      histogram("latency_seconds", "Time from the arrival of a call to the header of its answer.", latencyBuckets, "service", "class"),
		addedLatency: histogram("added_seconds", "Time that a call spent inside the entry host.", addedLatencyBuckets, "service"),
	}
	m.registry.MustRegister(m.requests, m.attempts, m.retries, m.hedges, m.forwards, m.refusals, m.violations,
		m.waiting, m.connections, m.latency, m.addedLatency)
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

// Registerer returns the registry, to which other packages add collectors.
func (m *Metrics) Registerer() prometheus.Registerer { return m.registry }

// Gatherer returns the registry, for reading all metrics.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountRequest counts a request that has ended.
func (m *Metrics) CountRequest(service string, class wagdocument.Class, outcome wagoutcome.Outcome, reason wagoutcome.Reason) {
	m.requests.WithLabelValues(service, class.String(), outcome.String(), string(reason)).Inc()
	if outcome == wagoutcome.NotRun {
		m.refusals.WithLabelValues(service, string(reason)).Inc()
	}
}

// ObserveLatency records the time of a request until the header of its response, and the
// part of it that the host added.
func (m *Metrics) ObserveLatency(service string, class wagdocument.Class, total, added time.Duration) {
	m.latency.WithLabelValues(service, class.String()).Observe(total.Seconds())
	m.addedLatency.WithLabelValues(service).Observe(added.Seconds())
}

// CountAttempt counts an attempt to send a request to a server.
func (m *Metrics) CountAttempt(service string) { m.attempts.WithLabelValues(service).Inc() }

// CountRetry counts an attempt that follows a failed one.
func (m *Metrics) CountRetry(service string) { m.retries.WithLabelValues(service).Inc() }

// CountHedge counts an attempt made in parallel to a slow one.
func (m *Metrics) CountHedge(service string) { m.hedges.WithLabelValues(service).Inc() }

// CountForward counts a request that is forwarded to another host over the given kind of
// hop.
func (m *Metrics) CountForward(service, hop string) { m.forwards.WithLabelValues(service, hop).Inc() }

// CountViolation counts a violation of an invariant.
func (m *Metrics) CountViolation(invariant string) { m.violations.WithLabelValues(invariant).Inc() }

// Violations returns the number of violations of each invariant.
func (m *Metrics) Violations() (counts map[string]uint64, err error) {
	defer func() { err = errors.WithMessage(err, "read the violations") }()
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	counts = make(map[string]uint64)
	for _, family := range families {
		if family.GetName() != prometheus.BuildFQName(Namespace, "", violationsMetric) {
			continue
		}
		for _, metric := range family.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] = uint64(metric.GetCounter().GetValue())
		}
	}
	return counts, nil
}

// AddWaiting changes the number of requests that wait for a slot.
func (m *Metrics) AddWaiting(service string, change int) {
	m.waiting.WithLabelValues(service).Add(float64(change))
}

// AddConnections changes the number of open connections to servers.
func (m *Metrics) AddConnections(service string, change int) {
	m.connections.WithLabelValues(service).Add(float64(change))
}
