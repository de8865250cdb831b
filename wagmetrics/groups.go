package wagmetrics

import "github.com/prometheus/client_golang/prometheus"

// GroupCounts holds the counters of one server group. They never decrease.
type GroupCounts struct {
	Exclusions, Spilled, Refused, Expired uint64
}

// groupCollector reads the counters of server groups at each scrape, so that they cost
// requests nothing.
type groupCollector struct {
	read                                  func() map[string]GroupCounts
	exclusions, spilled, refused, expired *prometheus.Desc
}

var _ prometheus.Collector = (*groupCollector)(nil)

// RegisterGroups registers the counters of the server groups, which read returns by
// service name.
func (m *Metrics) RegisterGroups(read func() map[string]GroupCounts) {
	m.registry.MustRegister(&groupCollector{
		read:       read,
		exclusions: groupDesc("exclusions", "Times that a server was taken out of service."),
		spilled:    groupDesc("spilled", "Calls that were given to another data centre."),
		refused:    groupDesc("refused", "Calls that were refused on arrival."),
		expired:    groupDesc("expired", "Calls that were refused after waiting."),
	})
}

// groupDesc returns the description of a counter of server groups. The name of the metric
// is NAMESPACE_group_NAME_total.
func groupDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(Namespace, "group", name+"_total"), help, []string{"service"}, nil)
}

// Describe sends the descriptions of the metrics.
func (g *groupCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{g.exclusions, g.spilled, g.refused, g.expired} {
		out <- d
	}
}

// Collect reads the counters and sends them.
func (g *groupCollector) Collect(out chan<- prometheus.Metric) {
	for service, counts := range g.read() {
		emit := func(d *prometheus.Desc, n uint64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), service)
		}
		emit(g.exclusions, counts.Exclusions)
		emit(g.spilled, counts.Spilled)
		emit(g.refused, counts.Refused)
		emit(g.expired, counts.Expired)
	}
}
