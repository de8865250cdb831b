package wagmetrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Buckets of the histograms of a site host, in seconds.
var (
	// tookBuckets end above the longest deadline of today's callers, 10 s.
	tookBuckets = prometheus.ExponentialBuckets(0.005, 2, 12)
	// waitBuckets tell waits of a probe, 0.5 ms, from waits for a slot.
	waitBuckets = prometheus.ExponentialBuckets(0.0005, 2, 12)
	// ageBuckets tell reports of this moment from those that are too old to use.
	ageBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1}
)

// SiteMetrics holds the metrics of a host that serves the routes of a site. Label values
// are names from the configuration and constants, never input of callers.
type SiteMetrics struct {
	registry *prometheus.Registry
	// Requests counts the requests that ended.
	Requests *prometheus.CounterVec
	// RequestDuration is the time of requests at this host, Waited their time without a server.
	RequestDuration *prometheus.HistogramVec
	WaitDuration    *prometheus.HistogramVec
	// Attempts counts the requests sent to servers by how they ended, and Repeats
	// those after the first one.
	Attempts *prometheus.CounterVec
	Repeats  *prometheus.CounterVec
	// Grants, Refusals, Spills and Probes count decisions of the owner of a group.
	Grants   *prometheus.CounterVec
	Refusals *prometheus.CounterVec
	Spills   *prometheus.CounterVec
	Probes   *prometheus.CounterVec
	// ReportAge is the age of the report on which a server was granted.
	ReportAge *prometheus.HistogramVec
	// StoreCalls counts the calls to the platform's store.
	StoreCalls *prometheus.CounterVec
	// ConfigVersion is the configuration in force, and CopyAge the time since the store
	// confirmed the host's copy of its objects.
	ConfigVersion prometheus.Gauge
}

// NewSiteMetrics returns the metrics on a registry of their own.
func NewSiteMetrics() *SiteMetrics {
	s := &SiteMetrics{
		registry:        prometheus.NewRegistry(),
		Requests:        counter("site_requests_total", "Requests that ended.", "route", "outcome", "reason"),
		RequestDuration: histogram("site_request_seconds", "Time of a request at the host.", tookBuckets, "route"),
		WaitDuration:    histogram("site_wait_seconds", "Time that a request waited for a server.", waitBuckets, "service"),
		Attempts:        counter("site_attempts_total", "Requests sent to servers.", "service", "fault"),
		Repeats:         counter("site_repeats_total", "Requests sent to a further server.", "service"),
		Grants:          counter("site_grants_total", "Slots of servers that were granted.", "service"),
		Refusals:        counter("site_refusals_total", "Requests for which no slot was granted.", "service", "reason"),
		Spills:          counter("site_spills_total", "Requests for which another data centre was asked.", "service", "outcome"),
		Probes:          counter("site_probes_total", "Reports asked of servers.", "service", "fault"),
		ReportAge:       histogram("site_report_age_seconds", "Age of the report on which a server was granted.", ageBuckets, "service"),
		StoreCalls:      counter("site_store_calls_total", "Calls to the platform's store.", "kind", "outcome"),
		ConfigVersion:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: "site_config_version", Help: "Version of the configuration in force."}),
	}
	s.registry.MustRegister(s.Requests, s.RequestDuration, s.WaitDuration, s.Attempts, s.Repeats, s.Grants, s.Refusals, s.Spills, s.Probes, s.ReportAge, s.StoreCalls, s.ConfigVersion)
	return s
}

// RegisterGauge registers a figure that is read when the metrics are.
func (s *SiteMetrics) RegisterGauge(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, read))
}

// RegisterCounter registers a counter that is read when the metrics are.
func (s *SiteMetrics) RegisterCounter(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, read))
}

// CountStoreCall counts a call to the store.
func (s *SiteMetrics) CountStoreCall(kind, outcome string, _ time.Duration) {
	s.StoreCalls.WithLabelValues(kind, outcome).Inc()
}

// Handler serves the metrics.
func (s *SiteMetrics) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
