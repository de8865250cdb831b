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

// host is an entry host with its core.
type host struct {
	fleet      *fleet
	dataCentre string
	core       *wagrouting.Scheduler
	calls      map[wagrouting.RequestID]*call
	// idle counts the open connections to each server that are not in use.
	idle         []int
	starts       []wagrouting.DelayedDecision
	wake         time.Time
	tokens       float64
	controlBytes int64
	// asking tells that a request for a slot is on its way; SlotShares only.
	asking bool
}

// fleet is the entry hosts of all data centres.
type fleet struct {
	*simulation
	policy wagrouting.Policy
	// hosts holds the entry hosts of each data centre; the first one owns the
	// server group.
	hosts map[string][]*host
	next  wagrouting.RequestID
	bank  map[string]*bank
}

func newFleet(s *simulation, p wagrouting.Policy) *fleet {
	f := &fleet{simulation: s, policy: p, hosts: make(map[string][]*host)}
	centres := s.Trace.Header.DataCentres
	for i := range max(s.Hosts, len(centres)) {
		name := centres[i%len(centres)]
		f.hosts[name] = append(f.hosts[name], f.newHost(name, uint64(i)))
	}
	f.plan()
	return f
}

func (f *fleet) newHost(dataCentre string, number uint64) *host {
	opts := []wagrouting.Option{wagrouting.WithPolicy(f.policy), wagrouting.WithSeed(f.Seed<<8 + number), wagrouting.WithDataCentre(dataCentre)}
	for _, m := range f.DisabledMechanisms {
		opts = append(opts, wagrouting.WithoutMechanism(m))
	}
	return &host{
		fleet: f, dataCentre: dataCentre, core: wagrouting.New(f.Document, opts...),
		calls: make(map[wagrouting.RequestID]*call), idle: make([]int, len(f.servers)),
	}
}

// plan sets up what happens without calls: the host list, summaries, probes.
func (f *fleet) plan() {
	f.list()
	for _, x := range f.Trace.Faults {
		if x.Kind != wagtrace.FaultDrain {
			continue
		}
		f.At(x.Until, f.list)
		if !x.ListedAt.IsZero() && x.ListedAt.Before(x.Until) {
			f.At(x.ListedAt, f.list)
		}
	}
	if _, ok := f.policy.(wagrouting.SlotShares); ok {
		f.lease()
	}
	if f.owned() {
		f.After(0, f.summarise)
		f.After(0, f.probe)
	}
}

// owned tells whether one host decides for the whole group.
func (f *fleet) owned() bool {
	_, ok := f.policy.(wagrouting.GroupOwner)
	return ok
}

// list passes the host list to all cores.
func (f *fleet) list() {
	for _, name := range f.Trace.Header.DataCentres {
		var list []wagserver.Server
		for _, v := range f.servers {
			if v.DataCentre == name {
				list = append(list, v.listed(f.Trace.Header.Service))
			}
		}
		for _, h := range f.hosts[name] {
			h.core.SetServers(f.Now(), list)
			h.startAll(h.core.Tick(f.Now(), h.starts[:0]))
		}
	}
}

// running tells whether periodic events still have a purpose.
func (f *fleet) running() bool { return f.Now().Before(f.Trace.End()) }

// summarise sends the summary of each group to the other groups.
func (f *fleet) summarise() {
	for _, a := range f.Trace.Header.DataCentres {
		summary := f.hosts[a][0].core.Summary(f.Now())
		for _, b := range f.Trace.Header.DataCentres {
			if a == b {
				continue
			}
			to := f.hosts[b][0]
			f.hosts[a][0].controlBytes += summaryBytes
			f.After(f.linkDelay(a, b), func() { to.core.SetRemoteSummary(f.Now(), a, summary) })
		}
	}
	if f.running() {
		f.After(summaryInterval, f.summarise)
	}
}

// probe spends the measuring budget; each group has the part of its servers.
func (f *fleet) probe() {
	for _, name := range f.Trace.Header.DataCentres {
		h := f.hosts[name][0]
		mine := 0
		for _, v := range f.servers {
			if v.DataCentre == name {
				mine++
			}
		}
		rate := f.Document.Measure.ProbesPerSecond * float64(mine) / float64(len(f.servers))
		h.tokens = min(h.tokens+rate*probeInterval.Seconds(), 1)
		if h.tokens >= 1 {
			h.probe()
		}
	}
	if f.running() {
		f.After(probeInterval, f.probe)
	}
}

func (h *host) probe() {
	f := h.fleet
	list := h.core.AppendSilentServers(f.Now(), nil)
	if len(list) == 0 {
		return
	}
	h.tokens--
	f.stats.probes++
	v := f.byAddress(list[f.random.IntN(len(list))])
	f.After(probeCost, func() {
		r := wagrouting.ProbeResult{Healthy: !v.has(wagtrace.FaultDown), Load: v.load(), HasLoad: !v.has(wagtrace.FaultDown)}
		if v.has(wagtrace.FaultFailFast) && !v.has(wagtrace.FaultFalseLoad) {
			r.Healthy = false
		}
		h.core.RecordProbe(f.Now(), v.address, r)
		h.startAll(h.core.Tick(f.Now(), h.starts[:0]))
	})
}

// arrive takes a call at a random entry host of its data centre.
func (f *fleet) arrive(c *call) {
	local := f.hosts[c.DataCentre]
	c.host = local[f.random.IntN(len(local))]
	c.owner = c.host
	if f.owned() && c.host != local[0] {
		c.owner = local[0]
		c.back = f.Trace.Header.HostDelay
		f.stats.forwarded(c)
		f.After(f.Trace.Header.HostDelay, func() { c.owner.submit(c, wagrouting.Request{}) })
		return
	}
	c.owner.submit(c, wagrouting.Request{})
}

// submit asks the core; again holds what an earlier attempt adds.
func (h *host) submit(c *call, again wagrouting.Request) {
	f := h.fleet
	f.next++
	again.ID, again.Caller, again.Route, again.Class = f.next, c.Caller, c.Route, c.Class
	again.Deadline, again.Priority, again.Pinned = c.Deadline, c.Priority, c.pinned
	h.calls[again.ID] = c
	h.decided(again.ID, h.core.Submit(f.Now(), again))
	h.plan()
}

func (h *host) decided(id wagrouting.RequestID, d wagrouting.Decision) {
	f, c := h.fleet, h.calls[id]
	switch x := d.(type) {
	case wagrouting.Send:
		c.attempts++
		h.send(id, c, f.byAddress(x.Server))
	case wagrouting.Refuse:
		delete(h.calls, id)
		f.end(c, endNotRun, string(x.Reason))
	case wagrouting.Forward:
		delete(h.calls, id)
		h.forward(c, x.DataCentre)
	case wagrouting.Wait:
	}
}

// forward passes a call to the group owner of another data centre.
func (h *host) forward(c *call, dataCentre string) {
	f := h.fleet
	there := f.linkDelay(h.dataCentre, dataCentre)
	left, back := f.Now(), f.linkDelay(dataCentre, h.dataCentre)
	c.pinned = true
	c.back += back
	c.returned = func() {
		f.After(back, func() { h.core.RecordSpill(f.Now(), dataCentre, f.Now().Sub(left)) })
	}
	c.owner = f.hosts[dataCentre][0]
	f.stats.zoneBytes += c.Bytes + headBytes
	f.stats.spilled++
	f.stats.spilledFrom[h.dataCentre]++
	f.After(there, func() { c.owner.submit(c, wagrouting.Request{}) })
}

func (h *host) send(id wagrouting.RequestID, c *call, v *server) {
	f := h.fleet
	delay := f.Trace.Header.ServerDelay
	if h.idle[v.number] > 0 {
		h.idle[v.number]--
	} else {
		f.stats.connections++
		delay += connectCost
	}
	sent := f.Now()
	f.After(delay, func() {
		v.arrive(c, func(o visitEnd) {
			load := v.load()
			f.After(f.Trace.Header.ServerDelay, func() {
				h.answered(id, c, v, o, wagrouting.Result{SentAt: sent, Load: load, HasLoad: true, Bytes: c.Bytes})
			})
		})
	})
}

// answered takes the end of an attempt.
func (h *host) answered(id wagrouting.RequestID, c *call, v *server, o visitEnd, r wagrouting.Result) {
	f := h.fleet
	switch o {
	case visitDone:
	case visitFailed:
		r.Fault = wagrouting.FaultStatus
	case visitRefused:
		r.Fault = wagrouting.FaultCanceled
	case visitUnreachable:
		r.Fault, r.HasLoad = wagrouting.FaultConnect, false
	case visitBroken:
		r.Fault, r.HasLoad = wagrouting.FaultBroken, false
	case visitCut, visitExpired:
		r.Fault = wagrouting.FaultTimeout
	}
	if o != visitUnreachable && o != visitBroken && o != visitCut {
		h.idle[v.number]++
	}
	delete(h.calls, id)
	h.startAll(h.core.FinishAttempt(f.Now(), id, r, h.starts[:0]))
	again := o == visitRefused || o == visitUnreachable
	if again && c.attempts < maxAttempts {
		h.submit(c, wagrouting.Request{Avoid: v.address})
		return
	}
	f.end(c, endOf(o), "server")
}

func (h *host) startAll(starts []wagrouting.DelayedDecision) {
	h.starts = starts
	// The list is reused by the events that the starts cause only later.
	for _, s := range starts {
		h.decided(s.Request, s.Decision)
	}
	h.plan()
}

// plan wakes the core when it asks for it.
func (h *host) plan() {
	f := h.fleet
	h.ask()
	at := h.core.NextWake()
	if at.IsZero() || (h.wake.After(f.Now()) && !at.Before(h.wake)) {
		return
	}
	if at.Before(f.Now()) {
		at = f.Now()
	}
	h.wake = at
	f.At(at, func() {
		if !h.wake.Equal(f.Now()) {
			return
		}
		h.wake = time.Time{}
		h.startAll(h.core.Tick(f.Now(), h.starts[:0]))
	})
}

// count adds up the counters of the cores.
func (f *fleet) count() {
	for _, list := range f.hosts {
		for _, h := range list {
			f.stats.controlBytes = max(f.stats.controlBytes, h.controlBytes)
			f.stats.violations += h.core.Counters().Violations
			f.stats.abandoned += uint64(len(h.calls))
		}
	}
}
