package wagmetrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Buckets of the histograms of a SiteHost, in seconds.
var (
	// requestBuckets end above the longest deadline that callers use, which is 10 s.
	requestBuckets = prometheus.ExponentialBuckets(0.005, 2, 12)
	// waitBuckets separate waits for a probe, which takes 0.5 ms, from waits for a slot.
	waitBuckets = prometheus.ExponentialBuckets(0.0005, 2, 12)
	// reportAgeBuckets separate current reports from those that are too old to use.
	reportAgeBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1}
)

// SiteMetrics holds the metrics of a SiteHost. Label values are constants and names from
// the configuration, never input of callers.
type SiteMetrics struct {
	registry *prometheus.Registry
	// Requests counts the requests that ended.
	Requests *prometheus.CounterVec
	// RequestDuration is the time of requests at this host, and WaitDuration the part of it
	// during which they wait for a server.
	RequestDuration *prometheus.HistogramVec
	WaitDuration    *prometheus.HistogramVec
	// Attempts counts the attempts by their fault, and Repeats those after the first one of
	// a request.
	Attempts *prometheus.CounterVec
	Repeats  *prometheus.CounterVec
	// Grants, Refusals, Spills and Probes count the decisions of this host as an owner.
	Grants   *prometheus.CounterVec
	Refusals *prometheus.CounterVec
	// ColdGrants counts the grants of cold servers whose rate is bounded.
	ColdGrants *prometheus.CounterVec
	Spills     *prometheus.CounterVec
	Probes     *prometheus.CounterVec
	// ReportAge is the age of the load report of a server when a request is assigned to it.
	ReportAge *prometheus.HistogramVec
	// StoreCalls counts the calls to the platform's store.
	StoreCalls *prometheus.CounterVec
	// CallersRefused counts the requests that were refused and the connections of callers
	// that were closed, by cause, because the host is short of memory or connections or
	// because a caller exceeds a limit.
	CallersRefused *prometheus.CounterVec
	// InvalidObjects counts the objects of the platform's store that could not be decoded.
	InvalidObjects *prometheus.CounterVec
	// ConfigVersion is the version of the configuration in force, and ConfigWarnings the
	// number of its parts that are not used as written.
	ConfigVersion  prometheus.Gauge
	ConfigWarnings prometheus.Gauge
}

// NewSiteMetrics returns metrics with a registry of their own.
func NewSiteMetrics() *SiteMetrics {
	s := &SiteMetrics{
		registry:        prometheus.NewRegistry(),
		Requests:        counter("site_requests_total", "Requests that ended.", "route", "outcome", "reason"),
		RequestDuration: histogram("site_request_seconds", "Time of a request at the host.", requestBuckets, "route"),
		WaitDuration:    histogram("site_wait_seconds", "Time that a request waited for a server.", waitBuckets, "service"),
		Attempts:        counter("site_attempts_total", "Requests sent to servers.", "service", "fault"),
		Repeats:         counter("site_repeats_total", "Requests sent to a further server.", "service"),
		Grants:          counter("site_grants_total", "Slots of servers that were granted.", "service"),
		ColdGrants:      counter("site_cold_grants_total", "Slots of cold servers that were granted.", "service"),
		Refusals:        counter("site_refusals_total", "Requests for which no slot was granted.", "service", "reason"),
		Spills:          counter("site_spills_total", "Requests for which another data centre was asked.", "service", "outcome"),
		Probes:          counter("site_probes_total", "Reports asked of servers.", "service", "fault"),
		ReportAge:       histogram("site_report_age_seconds", "Age of the report on which a server was granted.", reportAgeBuckets, "service"),
		StoreCalls:      counter("site_store_calls_total", "Calls to the platform's store.", "kind", "outcome"),
		CallersRefused:  counter("site_callers_refused_total", "Callers refused or closed because of a limit.", "cause"),
		InvalidObjects:  counter("site_invalid_objects_total", "Objects of the platform's store that could not be decoded.", "kind"),
		ConfigVersion:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: "site_config_version", Help: "Version of the configuration in force."}),
		ConfigWarnings:  prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: "site_config_warnings", Help: "Parts of the configuration in force that are not used as written."}),
	}
	s.registry.MustRegister(s.Requests, s.RequestDuration, s.WaitDuration, s.Attempts, s.Repeats, s.Grants, s.ColdGrants, s.Refusals, s.Spills, s.Probes, s.ReportAge, s.StoreCalls, s.CallersRefused, s.InvalidObjects, s.ConfigVersion, s.ConfigWarnings)
	return s
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (s *SiteMetrics) RegisterGauge(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, read))
}

// RegisterCounter registers a counter whose value is read at each scrape.
func (s *SiteMetrics) RegisterCounter(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, read))
}

// CountStoreCall counts a call to the platform's store.
func (s *SiteMetrics) CountStoreCall(kind, outcome string, _ time.Duration) {
	s.StoreCalls.WithLabelValues(kind, outcome).Inc()
}

// Handler serves the metrics.
func (s *SiteMetrics) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
