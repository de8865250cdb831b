package wagexplore

import (
	"encoding/binary"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

const (
	callTime = 3 * time.Second
	// repeats is how often a caller repeats a call whose outcome is not done.
	repeats = 3
)

// call is one piece of work of a caller.
type call struct {
	id        int
	kind      callKind
	key       wagclaim.Key
	issued    wagclaim.IssuedKey
	issuer    int
	partition int
	request   wagclaim.Digest
	begun     time.Duration
	attempts  int
	first     wagoutcome.Outcome
	final     wagoutcome.Outcome
	// answered is set once the first attempt has ended.
	answered bool
}

// attempt is one sending of a call to an entry host.
type attempt struct {
	id       int
	call     *call
	request  wagclaim.Digest
	deadline time.Time
	entry    *host
	owner    *host
	tries    int
	told     bool
	outcome  wagoutcome.Outcome
}

type callers struct {
	w        *world
	calls    []*call
	attempts []*attempt
}

func digest(kind byte, n int) (d wagclaim.Digest) {
	// The multiplication spreads the numbers over the partitions.
	binary.BigEndian.PutUint64(d[:8], uint64(n+1)*0x9e3779b97f4a7c15>>3)
	binary.BigEndian.PutUint32(d[8:12], uint32(n))
	d[15] = kind
	return d
}

func (c *callers) begin(a *action) {
	k := &call{id: len(c.calls), kind: a.kind, begun: c.w.now}
	k.key = wagclaim.Key{Digest: digest(1, k.id), CreatedAt: c.w.time().Truncate(time.Millisecond)}
	if c.w.config.sabotage == opaqueKeys {
		k.key.CreatedAt = time.Time{}
	}
	k.request = digest(2, k.id)
	k.partition = wagclaim.PartitionOf(k.key.Digest, partitionCount)
	c.calls = append(c.calls, k)
	if k.kind == issued && !c.issue(k, a.target) {
		k.kind = keyed
	}
	c.send(k, a.target, k.request)
	if a.change && k.kind != plain {
		c.w.after(c.w.between(0, time.Second), func() { c.send(k, c.w.random.IntN(hostCount), digest(3, k.id)) })
	}
	if a.late > 0 {
		c.w.after(a.late, func() { c.send(k, c.w.random.IntN(hostCount), k.request) })
	}
	if c.w.random.IntN(8) == 0 {
		c.w.terms.call(a.target)
	}
}

func (c *callers) issue(k *call, place int) bool {
	h := c.w.hosts[place]
	if !h.alive || c.w.now < h.paused {
		return false
	}
	var err error
	k.issued, err = secrets.Verify(h.issuer.Issue(h.now()))
	k.issuer = place
	return err == nil
}

// send makes one attempt at an entry host.
func (c *callers) send(k *call, place int, request wagclaim.Digest) {
	a := &attempt{id: len(c.attempts), call: k, request: request, deadline: c.w.time().Add(callTime)}
	c.attempts = append(c.attempts, a)
	if request == k.request {
		k.attempts++
	}
	c.w.record(wagevent.KindRequest, place, uint64(k.id), uint64(a.id))
	c.w.note(wagevent.KindRequest, place, "call %d attempt %d", k.id, a.id)
	// The platform's balancer passes over hosts that refuse connections.
	for n := 0; n < hostCount && !c.w.hosts[place].alive; n++ {
		place = (place + 1) % hostCount
	}
	h := c.w.hosts[place]
	a.entry = h
	c.w.after(callTime+100*time.Millisecond, func() { c.tell(a, wagoutcome.Unknown, "") })
	h.after(time.Millisecond, func() { c.arrive(h, a) })
}

func (c *callers) arrive(h *host, a *attempt) {
	switch a.call.kind {
	case keyed:
		h.receive(a)
	case issued:
		h.receiveIssued(a)
	default:
		h.after(h.w.between(200*time.Microsecond, 400*time.Microsecond), func() {
			h.send(wagclaim.Dispatch{AttemptID: uint64(a.id), StartBy: a.deadline}, func(f wagclaim.DispatchFinished) {
				c.tell(a, f.Outcome, string(f.Body))
			})
		})
	}
}

// receiveIssued passes an attempt to the issuer of its key.
func (h *host) receiveIssued(a *attempt) {
	o := h.w.hosts[a.call.issuer]
	if !h.linked(o) {
		return
	}
	if !o.alive {
		h.after(h.latency(o), func() { h.w.callers.tell(a, wagoutcome.Unknown, "") })
		return
	}
	o.after(h.latency(o), func() {
		a.owner, a.entry = o, h
		s := wagclaim.Submit{AttemptID: uint64(a.id), Fingerprint: a.request, Deadline: a.deadline}
		o.doIssued(o.issuer.Submit(o.now(), a.call.issued, s, nil))
	})
}

func (h *host) doIssued(commands []wagclaim.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case wagclaim.Response:
			h.answer(c)
		case wagclaim.Dispatch:
			h.pauseMaybe()
			h.after(50*time.Microsecond, func() { h.sendIssued(c) })
		}
	}
}

func (h *host) sendIssued(d wagclaim.Dispatch) {
	finished := func(f wagclaim.DispatchFinished) { h.doIssued(h.issuer.FinishDispatch(f, nil)) }
	if !d.CanSend(h.now()) {
		finished(wagclaim.DispatchFinished{Key: d.Key, Outcome: wagoutcome.NotRun})
		return
	}
	h.send(d, finished)
}

// tell ends an attempt at the caller. Only the first answer counts.
func (c *callers) tell(a *attempt, o wagoutcome.Outcome, body string) {
	if a.told {
		return
	}
	a.told, a.outcome = true, o
	c.w.record(wagevent.KindOutcome, 0, uint64(a.id), uint64(o))
	c.w.note(wagevent.KindOutcome, 0, "caller of call %d gets %s for attempt %d", a.call.id, o, a.id)
	c.w.runs.answered(a, body)
	k := a.call
	if a.request != k.request {
		return
	}
	c.settle(k, o)
	if o != wagoutcome.Done && k.kind != plain && k.attempts <= repeats {
		c.w.after(c.w.between(100*time.Millisecond, 5*time.Second), func() { c.send(k, c.w.random.IntN(hostCount), k.request) })
	}
}

func (c *callers) settle(k *call, o wagoutcome.Outcome) {
	if !k.answered {
		k.answered, k.first = true, o
		c.time(k, o)
	}
	if k.final != wagoutcome.Done {
		k.final = o
	}
}

func (c *callers) time(k *call, o wagoutcome.Outcome) {
	if o != wagoutcome.Done {
		return
	}
	switch k.kind {
	case keyed:
		c.w.counts.KeyedTime += c.w.now - k.begun
		c.w.counts.KeyedDone++
	case plain:
		c.w.counts.UnkeyedTime += c.w.now - k.begun
		c.w.counts.UnkeyedDone++
	}
}

// count adds up the outcomes of the keyed calls that have ended.
func (c *callers) count() {
	for _, k := range c.calls {
		if k.kind == plain || !k.answered {
			continue
		}
		c.w.counts.EndedRequests++
		c.w.counts.FirstOutcomes[k.first]++
		c.w.counts.FinalOutcomes[k.final]++
	}
}
