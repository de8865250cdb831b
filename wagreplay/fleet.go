package wagreplay

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

const (
	maxAttempts     = 3
	summaryInterval = 200 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
)

// host is an entry host with its scheduler.
type host struct {
	fleet      *fleet
	dataCentre string
	scheduler  *wagrouting.Scheduler
	requests   map[wagrouting.RequestID]*request
	// idleConnections counts the open connections to each server that are not in
	// use.
	idleConnections []int
	// decisions is kept for reuse.
	decisions    []wagrouting.DelayedDecision
	wakeAt       time.Time
	probeTokens  float64
	controlBytes int64
	// slotRequested is set while a message that asks for a slot is on its way;
	// only SlotShares uses it.
	slotRequested bool
}

// fleet holds the entry hosts of all data centres.
type fleet struct {
	*simulation
	policy wagrouting.Policy
	// hosts holds the entry hosts by data centre; the first one of each owns the
	// server group.
	hosts map[string][]*host
	// lastID is the ID of the latest request that was passed to a scheduler.
	lastID  wagrouting.RequestID
	brokers map[string]*slotBroker
}

func newFleet(s *simulation, p wagrouting.Policy) *fleet {
	f := &fleet{simulation: s, policy: p, hosts: make(map[string][]*host)}
	dataCentres := s.Trace.Header.DataCentres
	for i := range max(s.Hosts, len(dataCentres)) {
		name := dataCentres[i%len(dataCentres)]
		f.hosts[name] = append(f.hosts[name], f.newHost(name, uint64(i)))
	}
	f.scheduleEvents()
	return f
}

func (f *fleet) newHost(dataCentre string, number uint64) *host {
	opts := []wagrouting.Option{wagrouting.WithPolicy(f.policy), wagrouting.WithSeed(f.Seed<<8 + number), wagrouting.WithDataCentre(dataCentre)}
	for _, m := range f.DisabledMechanisms {
		opts = append(opts, wagrouting.WithoutMechanism(m))
	}
	return &host{
		fleet: f, dataCentre: dataCentre, scheduler: wagrouting.New(f.Document, opts...),
		requests: make(map[wagrouting.RequestID]*request), idleConnections: make([]int, len(f.servers)),
	}
}

// scheduleEvents schedules what happens without requests: updates of the server
// list, summaries and probes.
func (f *fleet) scheduleEvents() {
	f.updateServerLists()
	for _, x := range f.Trace.Faults {
		if x.Kind != wagtrace.FaultDrain {
			continue
		}
		f.ScheduleAt(x.Until, f.updateServerLists)
		if !x.ListedAt.IsZero() && x.ListedAt.Before(x.Until) {
			f.ScheduleAt(x.ListedAt, f.updateServerLists)
		}
	}
	if _, ok := f.policy.(wagrouting.SlotShares); ok {
		f.leaseSlots()
	}
	if f.hasGroupOwner() {
		f.ScheduleAfter(0, f.sendSummaries)
		f.ScheduleAfter(0, f.sendProbes)
	}
}

// hasGroupOwner reports whether one host decides for the whole group.
func (f *fleet) hasGroupOwner() bool {
	_, ok := f.policy.(wagrouting.GroupOwner)
	return ok
}

// updateServerLists passes the server list to all schedulers.
func (f *fleet) updateServerLists() {
	for _, name := range f.Trace.Header.DataCentres {
		var servers []wagserver.Server
		for _, v := range f.servers {
			if v.DataCentre == name {
				servers = append(servers, v.listing(f.Trace.Header.Service))
			}
		}
		for _, h := range f.hosts[name] {
			h.scheduler.SetServers(f.Now(), servers)
			h.carryOutAll(h.scheduler.Tick(f.Now(), h.decisions[:0]))
		}
	}
}

// traceRuns reports whether requests still arrive, so that periodic events are
// needed.
func (f *fleet) traceRuns() bool { return f.Now().Before(f.Trace.End()) }

// sendSummaries sends the summary of each group to the other groups.
func (f *fleet) sendSummaries() {
	for _, a := range f.Trace.Header.DataCentres {
		summary := f.hosts[a][0].scheduler.Summary(f.Now())
		for _, b := range f.Trace.Header.DataCentres {
			if a == b {
				continue
			}
			to := f.hosts[b][0]
			f.hosts[a][0].controlBytes += summaryBytes
			f.ScheduleAfter(f.linkDelay(a, b), func() { to.scheduler.SetRemoteSummary(f.Now(), a, summary) })
		}
	}
	if f.traceRuns() {
		f.ScheduleAfter(summaryInterval, f.sendSummaries)
	}
}

// sendProbes spends the probe budget. The part of each group is proportional to
// the number of its servers.
func (f *fleet) sendProbes() {
	for _, name := range f.Trace.Header.DataCentres {
		h := f.hosts[name][0]
		ownServers := 0
		for _, v := range f.servers {
			if v.DataCentre == name {
				ownServers++
			}
		}
		rate := f.Document.Probing.ProbesPerSecond * float64(ownServers) / float64(len(f.servers))
		h.probeTokens = min(h.probeTokens+rate*probeInterval.Seconds(), 1)
		if h.probeTokens >= 1 {
			h.sendProbe()
		}
	}
	if f.traceRuns() {
		f.ScheduleAfter(probeInterval, f.sendProbes)
	}
}

// sendProbe probes a random server that has been silent.
func (h *host) sendProbe() {
	f := h.fleet
	list := h.scheduler.AppendSilentServers(f.Now(), nil)
	if len(list) == 0 {
		return
	}
	h.probeTokens--
	f.stats.probes++
	v := f.byAddress(list[f.random.IntN(len(list))])
	f.ScheduleAfter(probeTime, func() {
		r := wagrouting.ProbeResult{Healthy: !v.hasFault(wagtrace.FaultDown), Load: v.load(), HasLoad: !v.hasFault(wagtrace.FaultDown)}
		if v.hasFault(wagtrace.FaultFailFast) && !v.hasFault(wagtrace.FaultFalseLoad) {
			r.Healthy = false
		}
		h.scheduler.RecordProbe(f.Now(), v.address, r)
		h.carryOutAll(h.scheduler.Tick(f.Now(), h.decisions[:0]))
	})
}

// arrive passes a request to a random entry host of its data centre.
func (f *fleet) arrive(r *request) {
	local := f.hosts[r.DataCentre]
	r.host = local[f.random.IntN(len(local))]
	r.owner = r.host
	if f.hasGroupOwner() && r.host != local[0] {
		r.owner = local[0]
		r.returnDelay = f.Trace.Header.HostDelay
		f.stats.countForwarded(r)
		f.ScheduleAfter(f.Trace.Header.HostDelay, func() { r.owner.submit(r, wagrouting.Request{}) })
		return
	}
	r.owner.submit(r, wagrouting.Request{})
}

// submit asks the scheduler for a decision on a request. routingRequest holds
// what an earlier attempt adds.
func (h *host) submit(r *request, routingRequest wagrouting.Request) {
	f := h.fleet
	f.lastID++
	routingRequest.ID, routingRequest.Caller, routingRequest.Route, routingRequest.Class = f.lastID, r.Caller, r.Route, r.Class
	routingRequest.Deadline, routingRequest.Priority, routingRequest.Pinned = r.Deadline, r.Priority, r.pinned
	h.requests[routingRequest.ID] = r
	h.carryOut(routingRequest.ID, h.scheduler.Submit(f.Now(), routingRequest))
	h.scheduleWake()
}

// carryOut carries out the decision of the scheduler on a request.
func (h *host) carryOut(id wagrouting.RequestID, d wagrouting.Decision) {
	f, r := h.fleet, h.requests[id]
	switch x := d.(type) {
	case wagrouting.Send:
		r.attempts++
		h.send(id, r, f.byAddress(x.Server))
	case wagrouting.Refuse:
		delete(h.requests, id)
		f.endRequest(r, statusNotRun, string(x.Reason))
	case wagrouting.Forward:
		delete(h.requests, id)
		h.forward(r, x.DataCentre)
	case wagrouting.Wait:
	}
}

// forward passes a request to the owner of the group in another data centre.
func (h *host) forward(r *request, dataCentre string) {
	f := h.fleet
	linkDelay := f.linkDelay(h.dataCentre, dataCentre)
	forwardedAt, returnDelay := f.Now(), f.linkDelay(dataCentre, h.dataCentre)
	r.pinned = true
	r.returnDelay += returnDelay
	r.onResponse = func() {
		f.ScheduleAfter(returnDelay, func() { h.scheduler.RecordSpill(f.Now(), dataCentre, f.Now().Sub(forwardedAt)) })
	}
	r.owner = f.hosts[dataCentre][0]
	f.stats.zoneBytes += r.Bytes + headerBytes
	f.stats.spilled++
	f.stats.spilledFrom[h.dataCentre]++
	f.ScheduleAfter(linkDelay, func() { r.owner.submit(r, wagrouting.Request{}) })
}

// send starts an attempt at a server, over an idle connection if there is one.
func (h *host) send(id wagrouting.RequestID, r *request, v *server) {
	f := h.fleet
	delay := f.Trace.Header.ServerDelay
	if h.idleConnections[v.number] > 0 {
		h.idleConnections[v.number]--
	} else {
		f.stats.connections++
		delay += connectTime
	}
	sent := f.Now()
	f.ScheduleAfter(delay, func() {
		v.arrive(r, func(end attemptEnd) {
			load := v.load()
			f.ScheduleAfter(f.Trace.Header.ServerDelay, func() {
				h.endAttempt(id, r, v, end, wagrouting.Result{SentAt: sent, Load: load, HasLoad: true, Bytes: r.Bytes})
			})
		})
	})
}

// endAttempt reports the end of an attempt to the scheduler. It tries again if
// the request was not run, and ends the request otherwise.
func (h *host) endAttempt(id wagrouting.RequestID, r *request, v *server, end attemptEnd, result wagrouting.Result) {
	f := h.fleet
	switch end {
	case attemptDone:
	case attemptFailed:
		result.Fault = wagrouting.FaultStatus
	case attemptRefused:
		result.Fault = wagrouting.FaultCanceled
	case attemptUnreachable:
		result.Fault, result.HasLoad = wagrouting.FaultConnect, false
	case attemptBroken:
		result.Fault, result.HasLoad = wagrouting.FaultBroken, false
	case attemptTimedOut, attemptExpired:
		result.Fault = wagrouting.FaultTimeout
	}
	if end != attemptUnreachable && end != attemptBroken && end != attemptTimedOut {
		h.idleConnections[v.number]++
	}
	delete(h.requests, id)
	h.carryOutAll(h.scheduler.FinishAttempt(f.Now(), id, result, h.decisions[:0]))
	notRun := end == attemptRefused || end == attemptUnreachable
	if notRun && r.attempts < maxAttempts {
		h.submit(r, wagrouting.Request{Avoid: v.address})
		return
	}
	f.endRequest(r, statusOf(end), "server")
}

// carryOutAll carries out the decisions of the scheduler on queued requests.
func (h *host) carryOutAll(decisions []wagrouting.DelayedDecision) {
	h.decisions = decisions
	// The events that these decisions cause may reuse the list, but they run only
	// later.
	for _, s := range decisions {
		h.carryOut(s.Request, s.Decision)
	}
	h.scheduleWake()
}

// scheduleWake plans the next Tick of the scheduler. It also asks for a slot if
// requests wait.
func (h *host) scheduleWake() {
	f := h.fleet
	h.requestSlot()
	at := h.scheduler.NextWake()
	if at.IsZero() || (h.wakeAt.After(f.Now()) && !at.Before(h.wakeAt)) {
		return
	}
	if at.Before(f.Now()) {
		at = f.Now()
	}
	h.wakeAt = at
	f.ScheduleAt(at, func() {
		if !h.wakeAt.Equal(f.Now()) {
			return
		}
		h.wakeAt = time.Time{}
		h.carryOutAll(h.scheduler.Tick(f.Now(), h.decisions[:0]))
	})
}

// sumCounters adds the counters of the schedulers to the statistics.
func (f *fleet) sumCounters() {
	for _, hosts := range f.hosts {
		for _, h := range hosts {
			f.stats.controlBytes = max(f.stats.controlBytes, h.controlBytes)
			f.stats.violations += h.scheduler.Counters().Violations
			f.stats.unfinished += uint64(len(h.requests))
		}
	}
}
