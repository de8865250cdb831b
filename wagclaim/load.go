package wagclaim

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// expireEvery separates searches for claims past their retention.
const expireEvery = time.Minute

// abandon forgets the partition. Calls in flight stay to be answered.
func (p *Partition) abandon(next phase) {
	moved := Response{Reason: wagoutcome.ReasonStoreUnavailable, MayResubmit: true}
	for _, c := range p.waiting {
		switch c.stage {
		case queued:
			p.answerAll(c, moved)
		case writing:
			// Nothing was sent, and the owner that finds the claim never sends.
			p.answerAll(c, moved)
		case running:
			p.stray[c.Key] = c
		case resting:
		}
	}
	p.phase = next
	p.claims = make(map[Digest]*claim)
	p.queue, p.head, p.archives, p.missing, p.garbage = nil, nil, nil, nil, nil
	p.write, p.version, p.headBytes, p.bodies = nil, "", 0, 0
	p.dirtyAt, p.retryAt = time.Time{}, time.Time{}
	p.waiting = p.waiting[:0]
	for _, c := range p.stray {
		p.waiting = append(p.waiting, c)
	}
	sortClaims(p.waiting)
}

func (p *Partition) reload() {
	p.abandon(reading)
	p.load(p.prefix + headName)
}

func (p *Partition) load(name string) {
	p.stats.Loads++
	p.out = append(p.out, Load{Name: name})
}

func (p *Partition) loaded(now time.Time, e Loaded) {
	p.storeDown = false
	switch {
	case p.write != nil && p.write.asking && p.write.Name == e.Name:
		p.resolve(now, e)
	case p.phase == reading && e.Name == p.prefix+headName:
		p.fence(now, e)
	case p.phase == gathering && len(p.missing) > 0 && p.missing[0].Name == e.Name:
		p.gathered(now, e)
	}
}

// fence rewrites the head, so that no write of a former owner succeeds any more.
// It is done only under the lease: a host that was paused would otherwise stop
// the present owner.
func (p *Partition) fence(now time.Time, e Loaded) {
	if !now.Before(p.leaseEnd()) {
		p.retryAt = now.Add(time.Second)
		return
	}
	o := &Object{}
	if e.Version != "" {
		var err error
		if o, err = Decode(e.Value); err != nil {
			p.stats.MalformedObjects++
			p.retryAt = now.Add(time.Second)
			return
		}
	}
	p.phase, p.version = fencing, e.Version
	p.missing = append([]Archive(nil), o.Archives...)
	for i := range o.Records {
		p.head = append(p.head, p.inherit(o.Records[i]))
		o.Records[i] = p.head[i].Record
	}
	w := &write{Write: Write{Name: e.Name, Expected: e.Version}}
	p.send(w, o)
	p.headBytes = len(w.Value)
}

// inherit remembers a claim of the store. A claim without an outcome may have
// been dispatched by its owner and is never dispatched again.
func (p *Partition) inherit(r Record) *claim {
	if r.State == Open {
		r.State = Unresolved
	}
	c := &claim{Record: r, stage: resting}
	p.bodies += len(r.Body)
	p.claims[r.Key] = c
	return c
}

// gather reads the archives one after another.
func (p *Partition) gather(now time.Time) {
	p.phase = gathering
	if len(p.missing) == 0 {
		p.phase = ready
		p.expireAt = now
		p.expire(now)
		return
	}
	p.load(p.missing[0].Name)
}

func (p *Partition) gathered(now time.Time, e Loaded) {
	o, err := Decode(e.Value)
	if err != nil {
		// A stale read may show no object yet.
		p.stats.MalformedObjects++
		p.retryAt = now.Add(time.Second)
		return
	}
	a := archive{Archive: p.missing[0], bytes: len(e.Value)}
	for _, r := range o.Records {
		a.claims = append(a.claims, p.inherit(r))
	}
	p.archives = append(p.archives, a)
	p.missing = p.missing[1:]
	p.gather(now)
}

func (p *Partition) tick(now time.Time) {
	p.overdue(now)
	if p.phase == ready && !p.IsReady(now) {
		queue := p.queue
		p.queue = nil
		p.refuse(now, queue, wagoutcome.ReasonStoreUnavailable)
		if !p.dirtyAt.IsZero() {
			// The lease may still be renewed.
			p.dirtyAt = now.Add(storeWait)
		}
	}
	p.retry(now)
	p.expire(now)
}

// retry repeats a call of the store that failed.
func (p *Partition) retry(now time.Time) {
	if p.retryAt.IsZero() || now.Before(p.retryAt) {
		return
	}
	p.retryAt = time.Time{}
	if p.phase == ready || p.phase == idle {
		p.storeDown = false
	}
	switch {
	case p.write != nil && p.write.asking:
		p.load(p.write.Name)
	case p.write != nil:
		p.stats.Writes++
		p.out = append(p.out, p.write.Write)
	case p.phase == reading:
		p.load(p.prefix + headName)
	case p.phase == gathering && len(p.missing) > 0:
		p.load(p.missing[0].Name)
	}
}

// overdue answers the waiters whose deadline has passed.
func (p *Partition) overdue(now time.Time) {
	if p.soonest.IsZero() || now.Before(p.soonest) {
		return
	}
	p.soonest = time.Time{}
	rest := p.waiting[:0]
	for _, c := range p.waiting {
		p.overdueOf(now, c)
		if len(c.waiters) > 0 || c.stage == writing || c.stage == running {
			rest = append(rest, c)
		}
	}
	p.waiting = rest
	live := p.queue[:0]
	for _, c := range p.queue {
		if len(c.waiters) > 0 {
			live = append(live, c)
			continue
		}
		delete(p.claims, c.Key)
	}
	p.queue = live
}

func (p *Partition) overdueOf(now time.Time, c *claim) {
	a := Response{Reason: wagoutcome.ReasonDeadline}
	if (c.stage == queued || c.stage == writing) && p.IsReady(now) {
		// A claim without waiters is never dispatched.
		a.Outcome = wagoutcome.NotRun
	}
	rest := c.waiters[:0]
	for _, w := range c.waiters {
		if now.Before(w.deadline) {
			rest = append(rest, w)
			p.soonest = sooner(p.soonest, w.deadline)
			continue
		}
		a.AttemptID = w.attempt
		p.answer(a)
	}
	c.waiters = rest
}

// expire forgets claims past their retention.
func (p *Partition) expire(now time.Time) {
	if p.phase != ready || now.Before(p.expireAt) || p.write != nil {
		return
	}
	p.expireAt = now.Add(expireEvery)
	archives := p.archives[:0]
	for _, a := range p.archives {
		if now.Before(a.Expires) {
			archives = append(archives, a)
			continue
		}
		p.garbage = append(p.garbage, a.Name)
		p.forget(now, a.claims)
	}
	p.archives = archives
	live := make([]*claim, 0, len(p.head))
	for _, c := range p.head {
		if c.stage != resting || now.Before(c.ClaimedAt.Add(p.retention)) {
			live = append(live, c)
			continue
		}
		p.forget(now, []*claim{c})
	}
	p.head = live
}

func (p *Partition) forget(now time.Time, claims []*claim) {
	for _, c := range claims {
		if p.claims[c.Key] == c {
			delete(p.claims, c.Key)
			p.bodies -= len(c.Body)
		}
	}
	p.markDirty(now)
}

// NextWake returns when Tick is due, zero when no time is known.
func (p *Partition) NextWake() time.Time {
	next := sooner(p.soonest, p.retryAt)
	if p.phase != ready {
		return next
	}
	if len(p.queue) > 0 {
		next = sooner(next, p.leaseEnd())
	}
	if p.write != nil {
		return next
	}
	return sooner(sooner(next, p.dirtyAt), p.expireAt)
}

// sooner returns the earlier of two times; the zero time stands for never, unlike in
// wagclock.Earlier.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
