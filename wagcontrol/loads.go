package wagcontrol

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagpeer"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

const (
	// maxLoads bounds the number of loads in one heartbeat.
	maxLoads = 16
	// maxLoadAge bounds the age of the loads that are kept and passed on.
	maxLoadAge = 5 * time.Second
)

// groupKey names a server group.
type groupKey struct {
	service, dataCentre string
}

// groupLoad is the latest known load of a server group.
type groupLoad struct {
	summary wagrouting.Summary
	// measuredAt is when the owner of the group made the summary, by its clock.
	measuredAt time.Time
}

// refreshLoads updates the loads of the groups that this host owns and drops those
// that are older than maxLoadAge. c.mu must be held.
func (c *Control) refreshLoads(now time.Time) {
	if c.dataPlane == nil {
		return
	}
	for service, s := range c.dataPlane.Summaries() {
		if c.ownsGroup(service) {
			c.groupLoads[groupKey{service, c.self.DataCentre}] = groupLoad{summary: s, measuredAt: now}
		}
	}
	for key, r := range c.groupLoads {
		if now.Sub(r.measuredAt) > maxLoadAge {
			delete(c.groupLoads, key)
		}
	}
}

// mergeLoads takes the loads of a heartbeat that are newer than the known ones and
// passes those of other data centres to the data plane. Each summary is passed on
// only once, because the scheduler counts the requests that it spilled since then
// and drops the summary when it is too old. c.mu must be held.
func (c *Control) mergeLoads(now time.Time, loads []wagpeer.GroupLoad) {
	documents := c.catalog.Snapshot().Documents
	for _, l := range loads {
		key := groupKey{l.Service, l.DataCentre}
		if documents[l.Service] == nil || !l.At.After(c.groupLoads[key].measuredAt) || l.At.After(now.Add(maxLoadAge)) {
			continue
		}
		c.groupLoads[key] = groupLoad{measuredAt: l.At, summary: l.Summary}
		if c.dataPlane != nil && key.dataCentre != c.self.DataCentre {
			c.dataPlane.SetRemoteSummary(key.service, key.dataCentre, l.Summary)
		}
	}
}

// loadsToSend returns the loads for a heartbeat: at most maxLoads, those with the
// longest expected wait first. c.mu must be held.
func (c *Control) loadsToSend() []wagpeer.GroupLoad {
	list := make([]wagpeer.GroupLoad, 0, len(c.groupLoads))
	for key, r := range c.groupLoads {
		list = append(list, wagpeer.GroupLoad{Service: key.service, DataCentre: key.dataCentre, At: r.measuredAt, Summary: r.summary})
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Summary.ExpectedWait != b.Summary.ExpectedWait {
			return a.Summary.ExpectedWait > b.Summary.ExpectedWait
		}
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.DataCentre < b.DataCentre
	})
	return list[:min(len(list), maxLoads)]
}

// ownsGroup reports whether this host owns the group of a service in its data
// centre. c.mu must be held.
func (c *Control) ownsGroup(service string) bool {
	m, ok := wagmember.Owner(c.localMembers, service, c.self.DataCentre)
	return ok && m.Name == c.self.Name
}
