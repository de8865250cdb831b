package wagcontrol

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagpeer"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

const (
	// maxLoads bounds the loads of one heartbeat.
	maxLoads = 16
	// loadTime is how long the load of a group of another data centre is used.
	loadTime = 5 * time.Second
)

// remoteKey names a server group.
type remoteKey struct {
	service, dataCentre string
}

// remote is what is known of a server group.
type remote struct {
	summary wagrouting.Summary
	// at is when the group's owner made the summary.
	at time.Time
}

// exchangeLoads notes the loads of the groups that this host owns and forgets old
// ones; c.mu is held.
func (c *Control) exchangeLoads(now time.Time) {
	if c.view == nil {
		return
	}
	for service, s := range c.view.Summaries() {
		if c.owns(service) {
			c.remotes[remoteKey{service, c.self.DataCentre}] = remote{summary: s, at: now}
		}
	}
	for key, r := range c.remotes {
		if now.Sub(r.at) > loadTime {
			delete(c.remotes, key)
		}
	}
}

// takeLoads keeps the loads of a heartbeat that are newer and tells the cores
// those of other data centres. A core is told each summary once: it counts what
// it spilled since, and drops a summary by its age; c.mu is held.
func (c *Control) takeLoads(now time.Time, loads []wagpeer.GroupLoad) {
	documents := c.catalog.Snapshot().Documents
	for _, l := range loads {
		key := remoteKey{l.Service, l.DataCentre}
		if documents[l.Service] == nil || !l.At.After(c.remotes[key].at) || l.At.After(now.Add(loadTime)) {
			continue
		}
		c.remotes[key] = remote{at: l.At, summary: l.Summary}
		if c.view != nil && key.dataCentre != c.self.DataCentre {
			c.view.SetRemoteSummary(key.service, key.dataCentre, l.Summary)
		}
	}
}

// loads returns the loads that matter most: those with the longest wait; c.mu is
// held.
func (c *Control) loads() []wagpeer.GroupLoad {
	list := make([]wagpeer.GroupLoad, 0, len(c.remotes))
	for key, r := range c.remotes {
		list = append(list, wagpeer.GroupLoad{Service: key.service, DataCentre: key.dataCentre, At: r.at, Summary: r.summary})
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

// owns tells whether this host owns its data centre's group of a service; c.mu
// is held.
func (c *Control) owns(service string) bool {
	m, ok := wagmember.Owner(c.local, service, c.self.DataCentre)
	return ok && m.Name == c.self.Name
}
