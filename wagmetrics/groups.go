package wagmetrics

import "github.com/prometheus/client_golang/prometheus"

// GroupCounts are the counters of one server group, which never decrease.
type GroupCounts struct {
	Exclusions, Spilled, Refused, Expired uint64
}

// groups reads the counters of server groups when the metrics are read, so that
// calls pay nothing for them.
type groups struct {
	read                                  func() map[string]GroupCounts
	exclusions, spilled, refused, expired *prometheus.Desc
}

var _ prometheus.Collector = (*groups)(nil)

// RegisterGroups exports the counters of the server groups, by service name.
func (m *Metrics) RegisterGroups(read func() map[string]GroupCounts) {
	m.registry.MustRegister(&groups{
		read:       read,
		exclusions: groupDesc("exclusions", "Times that a server was taken out of service."),
		spilled:    groupDesc("spilled", "Calls that were given to another data centre."),
		refused:    groupDesc("refused", "Calls that were refused on arrival."),
		expired:    groupDesc("expired", "Calls that were refused after waiting."),
	})
}

func groupDesc(noun, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(Namespace, "group", noun+"_total"), help, []string{"service"}, nil)
}

// Describe names the metrics.
func (g *groups) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{g.exclusions, g.spilled, g.refused, g.expired} {
		out <- d
	}
}

// Collect reads the counters.
func (g *groups) Collect(out chan<- prometheus.Metric) {
	for service, c := range g.read() {
		emit := func(d *prometheus.Desc, n uint64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), service)
		}
		emit(g.exclusions, c.Exclusions)
		emit(g.spilled, c.Spilled)
		emit(g.refused, c.Refused)
		emit(g.expired, c.Expired)
	}
}
