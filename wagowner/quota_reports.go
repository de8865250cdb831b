package wagowner

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagquota"
)

// tickQuota sends the reports that are due. It returns when the next call is due, or the
// zero time. The caller must hold o.mu.
func (o *Owner) tickQuota(now time.Time) (next time.Time) {
	q := &o.quota
	for shard := range q.shards {
		if len(q.shards[shard]) == 0 {
			continue
		}
		coordinator, isSelf := q.links.QuotaCoordinator(shard)
		for _, service := range q.services {
			k := partKey{service, shard}
			part := o.quotaPart(now, k)
			part.SetCoordinator(now, coordinator)
			if r, due := part.Flush(now); due {
				if isSelf {
					part.Handle(now, coordinator, o.coordinator(now, shard).Handle(now, r))
				} else {
					q.stats.ReportsSent++
					q.links.SendQuotaReport(shard, service, r)
				}
			}
			next = earlierWake(next, part.NextWake())
		}
		// The role of this host may change.
		next = earlierWake(next, now.Add(wagquota.AnnounceInterval))
	}
	return earlierWake(next, o.retryQuota(now))
}

// coordinator returns the coordinator of a shard and creates it if needed. The caller must
// hold o.mu.
func (o *Owner) coordinator(now time.Time, shard int) *wagquota.Coordinator {
	c, ok := o.quota.coordinators[shard]
	if !ok {
		c = wagquota.NewCoordinator(now)
		c.SetLimits(now, o.quota.shards[shard], o.quota.partCount)
		o.quota.coordinators[shard] = c
	}
	return c
}

// HandleQuotaReport handles the report of a part to this host as the coordinator of a
// shard. It returns false if this host does not know the shard.
func (o *Owner) HandleQuotaReport(shard int, r wagquota.Report) (wagquota.Reply, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if shard < 0 || shard >= len(o.quota.shards) {
		return wagquota.Reply{}, false
	}
	o.quota.stats.ReportsReceived++
	now := o.clock.Now()
	return o.coordinator(now, shard).Handle(now, r), true
}

// HandleQuotaReply handles the reply of the coordinator of a shard to a report of a part.
func (o *Owner) HandleQuotaReply(shard int, service, coordinator string, r wagquota.Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	part, ok := o.quota.parts[partKey{service, shard}]
	if !ok {
		return
	}
	now := o.clock.Now()
	part.Handle(now, coordinator, r)
	o.retryQuota(now)
}
