package wagclaim

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// expirySweepInterval is the time between two removals of expired claims.
const expirySweepInterval = time.Minute

// reset drops the state of the partition and enters the next phase. Dispatched
// claims are kept as orphans, whose waiters get a response when the request ends.
func (p *Partition) reset(next phase) {
	resubmit := Response{Reason: wagoutcome.ReasonStoreUnavailable, MayResubmit: true}
	for _, c := range p.claimsWithWaiters {
		switch c.stage {
		case queued:
			p.respondAll(c, resubmit)
		case writing:
			// Nothing was sent, and an owner that finds the claim never sends it.
			p.respondAll(c, resubmit)
		case dispatched:
			p.orphans[c.Key] = c
		case terminal:
		}
	}
	p.phase = next
	p.claims = make(map[Digest]*claim)
	p.queue, p.headClaims, p.archives, p.unreadArchives, p.obsoleteArchives = nil, nil, nil, nil, nil
	p.inFlightWrite, p.headVersion, p.headBytes, p.bodyBytes = nil, "", 0, 0
	p.flushAt, p.retryAt = time.Time{}, time.Time{}
	p.claimsWithWaiters = p.claimsWithWaiters[:0]
	for _, c := range p.orphans {
		p.claimsWithWaiters = append(p.claimsWithWaiters, c)
	}
	sortByKey(p.claimsWithWaiters)
}

// reload takes the partition over from the start: it reads the head again.
func (p *Partition) reload() {
	p.reset(readingHead)
	p.load(p.prefix + headName)
}

// load emits a read of an object.
func (p *Partition) load(name string) {
	p.stats.Loads++
	p.commands = append(p.commands, Load{Name: name})
}

// loaded handles the result of a read.
func (p *Partition) loaded(now time.Time, e Loaded) {
	p.storeDown = false
	switch {
	case p.inFlightWrite != nil && p.inFlightWrite.readingBack && p.inFlightWrite.Name == e.Name:
		p.resolveWrite(now, e)
	case p.phase == readingHead && e.Name == p.prefix+headName:
		p.fenceHead(now, e)
	case p.phase == readingArchives && len(p.unreadArchives) > 0 && p.unreadArchives[0].Name == e.Name:
		p.archiveLoaded(now, e)
	}
}

// fenceHead rewrites the head, so that all further writes of a former owner fail.
// It does so only under the lease. Otherwise a host that was paused would fence
// off the current owner.
func (p *Partition) fenceHead(now time.Time, e Loaded) {
	if !now.Before(p.usableUntil()) {
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
	p.phase, p.headVersion = fencing, e.Version
	p.unreadArchives = append([]Archive(nil), o.Archives...)
	for i := range o.Records {
		p.headClaims = append(p.headClaims, p.restoreClaim(o.Records[i]))
		o.Records[i] = p.headClaims[i].Record
	}
	w := &write{Write: Write{Name: e.Name, Expected: e.Version}}
	p.sendWrite(w, o)
	p.headBytes = len(w.Value)
}

// restoreClaim restores a claim from the store. An open claim may have been
// dispatched by its owner, so it becomes unresolved and is never dispatched
// again.
func (p *Partition) restoreClaim(r Record) *claim {
	if r.State == Open {
		r.State = Unresolved
	}
	c := &claim{Record: r, stage: terminal}
	p.bodyBytes += len(r.Body)
	p.claims[r.Key] = c
	return c
}

// loadNextArchive reads the next archive. When all are read, the partition is
// ready.
func (p *Partition) loadNextArchive(now time.Time) {
	p.phase = readingArchives
	if len(p.unreadArchives) == 0 {
		p.phase = ready
		p.nextExpirySweep = now
		p.expireClaims(now)
		return
	}
	p.load(p.unreadArchives[0].Name)
}

// archiveLoaded restores the claims of an archive.
func (p *Partition) archiveLoaded(now time.Time, e Loaded) {
	o, err := Decode(e.Value)
	if err != nil {
		// A stale read may miss an object that was written recently.
		p.stats.MalformedObjects++
		p.retryAt = now.Add(time.Second)
		return
	}
	a := archive{Archive: p.unreadArchives[0], maxBytes: len(e.Value)}
	for _, r := range o.Records {
		a.claims = append(a.claims, p.restoreClaim(r))
	}
	p.archives = append(p.archives, a)
	p.unreadArchives = p.unreadArchives[1:]
	p.loadNextArchive(now)
}

// tick does what is due: it expires waiters, refuses queued claims after the end
// of the lease, repeats a failed request to the store and removes expired claims.
func (p *Partition) tick(now time.Time) {
	p.expireWaiters(now)
	if p.phase == ready && !p.IsReady(now) {
		queue := p.queue
		p.queue = nil
		p.refuseClaims(now, queue, wagoutcome.ReasonStoreUnavailable)
		if !p.flushAt.IsZero() {
			// The host may still renew the lease.
			p.flushAt = now.Add(storeRetryDelay)
		}
	}
	p.retryStoreRequest(now)
	p.expireClaims(now)
}

// retryStoreRequest repeats a failed request to the store when it is due.
func (p *Partition) retryStoreRequest(now time.Time) {
	if p.retryAt.IsZero() || now.Before(p.retryAt) {
		return
	}
	p.retryAt = time.Time{}
	if p.phase == ready || p.phase == idle {
		p.storeDown = false
	}
	switch {
	case p.inFlightWrite != nil && p.inFlightWrite.readingBack:
		p.load(p.inFlightWrite.Name)
	case p.inFlightWrite != nil:
		p.stats.Writes++
		p.commands = append(p.commands, p.inFlightWrite.Write)
	case p.phase == readingHead:
		p.load(p.prefix + headName)
	case p.phase == readingArchives && len(p.unreadArchives) > 0:
		p.load(p.unreadArchives[0].Name)
	}
}

// expireWaiters responds to the waiters whose deadline has passed, and removes
// queued claims without waiters.
func (p *Partition) expireWaiters(now time.Time) {
	if p.earliestDeadline.IsZero() || now.Before(p.earliestDeadline) {
		return
	}
	p.earliestDeadline = time.Time{}
	rest := p.claimsWithWaiters[:0]
	for _, c := range p.claimsWithWaiters {
		p.expireWaitersOf(now, c)
		if len(c.waiters) > 0 || c.stage == writing || c.stage == dispatched {
			rest = append(rest, c)
		}
	}
	p.claimsWithWaiters = rest
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

// expireWaitersOf responds to the waiters of a claim whose deadline has passed.
func (p *Partition) expireWaitersOf(now time.Time, c *claim) {
	r := Response{Reason: wagoutcome.ReasonDeadline}
	if (c.stage == queued || c.stage == writing) && p.IsReady(now) {
		// A claim without waiters is never dispatched.
		r.Outcome = wagoutcome.NotRun
	}
	rest := c.waiters[:0]
	for _, w := range c.waiters {
		if now.Before(w.deadline) {
			rest = append(rest, w)
			p.earliestDeadline = earlierNonZero(p.earliestDeadline, w.deadline)
			continue
		}
		r.AttemptID = w.attemptID
		p.respond(r)
	}
	c.waiters = rest
}

// expireClaims removes the claims whose retention has ended.
func (p *Partition) expireClaims(now time.Time) {
	if p.phase != ready || now.Before(p.nextExpirySweep) || p.inFlightWrite != nil {
		return
	}
	p.nextExpirySweep = now.Add(expirySweepInterval)
	archives := p.archives[:0]
	for _, a := range p.archives {
		if now.Before(a.Expires) {
			archives = append(archives, a)
			continue
		}
		p.obsoleteArchives = append(p.obsoleteArchives, a.Name)
		p.removeClaims(now, a.claims)
	}
	p.archives = archives
	live := make([]*claim, 0, len(p.headClaims))
	for _, c := range p.headClaims {
		if c.stage != terminal || now.Before(c.ClaimedAt.Add(p.retention)) {
			live = append(live, c)
			continue
		}
		p.removeClaims(now, []*claim{c})
	}
	p.headClaims = live
}

// removeClaims removes claims from memory and schedules a write of the head.
func (p *Partition) removeClaims(now time.Time, claims []*claim) {
	for _, c := range claims {
		if p.claims[c.Key] == c {
			delete(p.claims, c.Key)
			p.bodyBytes -= len(c.Body)
		}
	}
	p.scheduleFlush(now)
}

// NextWake returns when the next Tick is due, or the zero time if none is.
func (p *Partition) NextWake() time.Time {
	next := earlierNonZero(p.earliestDeadline, p.retryAt)
	if p.phase != ready {
		return next
	}
	if len(p.queue) > 0 {
		next = earlierNonZero(next, p.usableUntil())
	}
	if p.inFlightWrite != nil {
		return next
	}
	return earlierNonZero(earlierNonZero(next, p.flushAt), p.nextExpirySweep)
}

// earlierNonZero returns the earlier of two times. A zero time means never,
// unlike in wagclock.Earlier.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
