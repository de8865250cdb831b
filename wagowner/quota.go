package wagowner

import (
	"maps"
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagquota"
)

// QuotaLinks reaches the quota coordinators. Its methods must not block or call the owner.
type QuotaLinks interface {
	// QuotaCoordinator returns an identity of the coordinator of a shard, which differs
	// between two starts of a host, and whether it is this host.
	QuotaCoordinator(shard int) (identity string, isSelf bool)
	// SendQuotaReport sends a report of a part to the coordinator of a shard.
	SendQuotaReport(shard int, service string, r wagquota.Report)
	// QuotaRole returns whether this host is the owner of the group of a service, the number
	// of known hosts of its data centre, and the identity of this host.
	QuotaRole(service string) (isOwner bool, hosts int, identity string)
}

// localLinks serves an owner without other hosts.
type localLinks struct{}

// QuotaCoordinator returns this host.
func (localLinks) QuotaCoordinator(int) (string, bool) { return "", true }

// SendQuotaReport does nothing.
func (localLinks) SendQuotaReport(int, string, wagquota.Report) {}

// QuotaRole returns the role of an owner.
func (localLinks) QuotaRole(string) (isOwner bool, hosts int, identity string) { return true, 1, "" }

var _ QuotaLinks = localLinks{}

// quotas holds the parts that this host acts for, and the shards it may coordinate.
type quotas struct {
	links QuotaLinks
	// shards holds the limits of the customers by shard. It is empty while no customer has
	// a limit.
	shards       []wagquota.Limits
	partCount    int
	services     []string
	parts        map[partKey]*wagquota.Part
	coordinators map[int]*wagquota.Coordinator
	// waiting holds the requests that wait for credit, the earliest first.
	waiting []quotaWaiter
	stats   QuotaStats
	// totalBase is the largest total of the parts that were removed.
	totalBase uint64
}

// partKey identifies a part of the data centre of this host.
type partKey struct {
	service string
	shard   int
}

// quotaWaiter is a request that waits for credit of its customer until a time.
type quotaWaiter struct {
	group   *group
	request wagplacement.Request
	until   time.Time
}

// QuotaStats counts the decisions and messages of quotas at this host.
type QuotaStats struct {
	Admitted, Waited, Refused, ReportsSent, ReportsReceived uint64
	// PartsAlone is the number of parts that spend their share by themselves now, because
	// their coordinator does not answer.
	PartsAlone int
}

// QuotaStats returns the counts since the start.
func (o *Owner) QuotaStats() QuotaStats {
	o.mu.Lock()
	defer o.mu.Unlock()
	stats, now := o.quota.stats, o.clock.Now()
	for _, part := range o.quota.parts {
		if part.IsAlone(now) {
			stats.PartsAlone++
		}
	}
	return stats
}

// SetQuotaLinks sets how other hosts are reached. It must be called before Run.
func (o *Owner) SetQuotaLinks(l QuotaLinks) { o.quota.links = l }

// SetCustomers sets the limits of the customers, and the services of the configuration.
func (o *Owner) SetCustomers(limits wagquota.Limits, services []string) {
	if o.limits.Quota.Window <= 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	q, now := &o.quota, o.clock.Now()
	q.shards, q.services = nil, services
	q.partCount = max(len(services), 1) * max(o.limits.Quota.DataCentres, 1)
	if len(limits) > 0 {
		n := wagquota.Shards(len(limits))
		for range n {
			q.shards = append(q.shards, make(wagquota.Limits))
		}
		extra := wagquota.ExtraBurst(o.limits.Quota.Slack, q.partCount)
		for name, limit := range limits {
			limit.Burst += extra
			q.shards[wagquota.ShardOf(name, n)][name] = limit
		}
	}
	for k, part := range q.parts {
		if k.shard >= len(q.shards) {
			q.totalBase = max(q.totalBase, part.MaxTotal())
			delete(q.parts, k)
			continue
		}
		part.SetLimits(q.shards[k.shard], q.partCount, o.debtLimit())
	}
	maps.DeleteFunc(q.coordinators, func(shard int, _ *wagquota.Coordinator) bool { return shard >= len(q.shards) })
	for shard, c := range q.coordinators {
		c.SetLimits(now, q.shards[shard], q.partCount)
	}
	if len(q.shards) > 0 {
		o.scheduleWake(now)
	}
}

func (o *Owner) debtLimit() int { return wagquota.DebtLimit(o.limits.Quota.Slack, o.quota.partCount) }

// quotaPart returns a part and creates it if needed. The caller must hold o.mu.
func (o *Owner) quotaPart(now time.Time, k partKey) *wagquota.Part {
	q := &o.quota
	isOwner, hosts, identity := q.links.QuotaRole(k.service)
	part, ok := q.parts[k]
	if !ok {
		part = wagquota.NewPart(now, k.service+"/"+o.dataCentre, identity, q.totalBase)
		part.SetLimits(q.shards[k.shard], q.partCount, o.debtLimit())
		q.parts[k] = part
	}
	part.SetRole(now, isOwner, hosts)
	return part
}

// quotaPartOf returns the part that limits a request, or nil. The caller must hold o.mu.
func (o *Owner) quotaPartOf(now time.Time, service string, r wagplacement.Request) *wagquota.Part {
	shards := o.quota.shards
	if len(shards) == 0 || r.Customer == "" || r.Repeat || r.Hedge || r.Foreign || r.PlacedAgain {
		return nil
	}
	shard := wagquota.ShardOf(r.Customer, len(shards))
	if _, limited := shards[shard][r.Customer]; !limited || !slices.Contains(o.quota.services, service) {
		return nil
	}
	return o.quotaPart(now, partKey{service, shard})
}

// takeQuota charges the customer of a new request. It returns false if the request waits
// for credit or was refused. The caller must hold o.mu.
func (o *Owner) takeQuota(now time.Time, g *group, r wagplacement.Request) bool {
	part := o.quotaPartOf(now, g.service, r)
	if part == nil {
		return true
	}
	d := part.Take(now, r.Customer)
	if at := part.NextWake(); !at.IsZero() {
		o.scheduleWake(at)
	}
	if _, waits := d.(wagquota.Wait); waits {
		o.quota.stats.Waited++
		until := wagclock.Earlier(now.Add(wagquota.WaitTimeout), r.Deadline)
		o.quota.waiting = append(o.quota.waiting, quotaWaiter{group: g, request: r, until: until})
		o.scheduleWake(until)
		return false
	}
	return o.applyQuota(g, r, d)
}

// applyQuota applies a final decision on a request and reports whether it was admitted.
// The caller must hold o.mu.
func (o *Owner) applyQuota(g *group, r wagplacement.Request, d wagquota.Decision) bool {
	switch x := d.(type) {
	case wagquota.Admit:
		o.quota.stats.Admitted++
		w := g.waiters[r.ID]
		w.customer, w.admit = r.Customer, x
		g.waiters[r.ID] = w
		return true
	case wagquota.Refuse:
		o.quota.stats.Refused++
		o.observer.ObserveRefusal(g.service, o.waitTime(g, r.ID), wagplacement.Refuse{Request: r, Reason: wagplacement.ReasonQuota, RetryAt: x.Until})
		g.reply(r.ID, Refused{Reason: wagplacement.ReasonQuota, RetryAt: x.Until})
	}
	return false
}

// returnQuota gives back the charge of a request that ends without a grant. The caller
// must hold o.mu.
func (o *Owner) returnQuota(now time.Time, g *group, id wagplacement.RequestID) {
	w, ok := g.waiters[id]
	if !ok || w.customer == "" || len(o.quota.shards) == 0 {
		return
	}
	if part, ok := o.quota.parts[partKey{g.service, wagquota.ShardOf(w.customer, len(o.quota.shards))}]; ok {
		part.Return(now, w.customer, w.admit)
	}
}

// retryQuota decides again on the requests that wait for credit, and refuses those that
// have waited long enough. The caller must hold o.mu.
func (o *Owner) retryQuota(now time.Time) (next time.Time) {
	list := o.quota.waiting
	o.quota.waiting = nil
	for _, w := range list {
		part := o.quotaPartOf(now, w.group.service, w.request)
		if _, waiting := w.group.waiters[w.request.ID]; !waiting {
			if part != nil {
				part.GiveUp(w.request.Customer)
			}
			continue
		}
		var d wagquota.Decision = wagquota.Admit{}
		if part != nil {
			d = part.Retake(now, w.request.Customer)
		}
		if _, waits := d.(wagquota.Wait); waits {
			if now.Before(w.until) {
				o.quota.waiting = append(o.quota.waiting, w)
				next = earlierWake(next, w.until)
				continue
			}
			part.GiveUp(w.request.Customer)
			d = wagquota.Refuse{Until: now.Add(wagquota.BatchInterval)}
		}
		if o.applyQuota(w.group, w.request, d) {
			o.submitAdmitted(now, w.group, w.request)
		}
	}
	return next
}

// earlierWake returns the earlier one of two times, of which a zero one means never.
func earlierWake(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
