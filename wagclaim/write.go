package wagclaim

import (
	"fmt"
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	headName = "head"
	// maxHeadClaims limits the claims in the head. A claim without an outcome
	// takes about 45 bytes, so a head of such claims stays under half of
	// wagstore.MaxValueBytes.
	maxHeadClaims = 8192
	// maxOutcomeBytes limits the outcomes in a head or an archive.
	maxOutcomeBytes = wagstore.MaxValueBytes / 4
	// minMergedArchives is the least number of small archives that are merged
	// into one.
	minMergedArchives = 16
	// maxStaleReads limits the stale reads in a row before the partition is
	// loaded again.
	maxStaleReads = 8
)

// write is the write in flight. There is only one, and it is repeated unchanged
// until its result is known.
type write struct {
	Write
	// claims become durable with a head, or move from the head to an archive.
	claims []*claim
	// archive is set for the write of an archive.
	archive *archive
	// replaces names the archives whose claims move to this one.
	replaces []string
	// readingBack is set while the object is read to find out whether the write
	// took effect.
	readingBack bool
	// uncertain is set once the result of the write was lost or the version did
	// not match.
	uncertain bool
	// staleReads counts the reads that returned an earlier write.
	staleReads int
}

// startWrite starts the next write if one is due and none is in flight.
func (p *Partition) startWrite(now time.Time) {
	if p.inFlightWrite != nil || !p.IsReady(now) || now.Before(p.retryAt) {
		return
	}
	if p.headBytes > p.archiveThreshold && (p.mergeArchives() || p.writeArchive()) {
		return
	}
	if len(p.queue) > 0 || (!p.flushAt.IsZero() && !now.Before(p.flushAt)) {
		p.writeHead()
	}
}

// sendWrite encodes an object and emits its write.
func (p *Partition) sendWrite(w *write, o *Object) {
	p.retryAt = time.Time{}
	p.sequence++
	o.Writer, o.Sequence = p.writer, p.sequence
	w.Sequence = p.sequence
	w.Value = o.AppendTo(make([]byte, 0, p.headBytes+len(p.queue)*64+256))
	p.inFlightWrite = w
	p.stats.Writes++
	p.commands = append(p.commands, w.Write)
}

// writeHead writes the head with all claims that are in no archive, including the
// queued ones.
func (p *Partition) writeHead() {
	o := &Object{}
	for _, a := range p.archives {
		o.Archives = append(o.Archives, a.Archive)
	}
	p.flushAt = time.Time{}
	o.Records = make([]Record, 0, len(p.headClaims)+len(p.queue))
	bytes := 0
	for _, c := range p.headClaims {
		r := c.Record
		if bytes += len(r.Body); bytes > maxOutcomeBytes {
			// A claim whose outcome does not fit stays open in the store until it
			// is archived.
			r = Record{Key: r.Key, Fingerprint: r.Fingerprint, State: Open, ClaimedAt: r.ClaimedAt}
		}
		o.Records = append(o.Records, r)
	}
	for _, c := range p.queue {
		c.stage = writing
		o.Records = append(o.Records, c.Record)
	}
	w := &write{Write: Write{Name: p.prefix + headName, Expected: p.headVersion}, claims: p.queue}
	p.queue = nil
	p.sendWrite(w, o)
	p.headBytes = len(w.Value)
}

// writeArchive moves terminal claims from the head to a new archive. It reports
// whether there were enough.
func (p *Partition) writeArchive() bool {
	var claims []*claim
	bytes := 0
	for _, c := range p.headClaims {
		if c.stage != terminal {
			continue
		}
		if bytes += c.maxEncodedBytes(); bytes > maxOutcomeBytes {
			break
		}
		claims = append(claims, c)
	}
	if bytes < p.archiveThreshold/2 {
		return false
	}
	p.sendArchive(claims, nil)
	return true
}

// mergeArchives replaces small archives by a single one, because every head
// contains a reference to each archive. Archives that expire far apart are not
// merged. It reports whether there were enough to merge.
func (p *Partition) mergeArchives() bool {
	var small []archive
	bytes := 0
	for _, a := range p.archives {
		if a.maxBytes < maxOutcomeBytes/2 && bytes+a.maxBytes < maxOutcomeBytes {
			small = append(small, a)
			bytes += a.maxBytes
		}
	}
	if len(small) < minMergedArchives || small[len(small)-1].Expires.Sub(small[0].Expires) > p.retention/8 {
		return false
	}
	var claims []*claim
	var names []string
	for _, a := range small {
		claims = append(claims, a.claims...)
		names = append(names, a.Name)
	}
	p.sendArchive(claims, names)
	return true
}

// sendArchive writes an archive under a unique name, so that two owners never
// write the same archive.
func (p *Partition) sendArchive(claims []*claim, replaces []string) {
	const secondsPerHour = 3600
	o := &Object{}
	w := &write{claims: claims, archive: &archive{claims: claims}, replaces: replaces}
	for _, c := range claims {
		o.Records = append(o.Records, c.Record)
		w.archive.maxBytes += c.maxEncodedBytes()
		if end := c.ClaimedAt.Add(p.retention); end.After(w.archive.Expires) {
			w.archive.Expires = end
		}
	}
	w.Name = fmt.Sprintf("%s%d-%s-%d", p.prefix, w.archive.Expires.Unix()/secondsPerHour, p.writer, p.sequence+1)
	w.archive.Name = w.Name
	p.sendWrite(w, o)
}

// maxEncodedBytes returns an upper limit of the encoded size of the claim.
func (c *claim) maxEncodedBytes() int {
	return 48 + len(c.Body)
}

// writeSucceeded handles a write that took effect.
func (p *Partition) writeSucceeded(now time.Time, e Written) {
	w := p.inFlightWrite
	if w == nil || w.Sequence != e.Sequence {
		return
	}
	p.inFlightWrite, p.storeDown = nil, false
	if w.archive != nil {
		p.archiveWritten(now, w)
		return
	}
	p.headVersion = e.Version
	p.headClaims = append(p.headClaims, w.claims...)
	p.stats.Claims += uint64(len(w.claims))
	if p.phase == fencing {
		p.loadNextArchive(now)
		return
	}
	for _, c := range w.claims {
		p.dispatch(now, c)
	}
	for _, name := range p.obsoleteArchives {
		p.commands = append(p.commands, Delete{Name: name})
	}
	p.obsoleteArchives = nil
}

// archiveWritten adds a new archive and removes its claims from the head.
func (p *Partition) archiveWritten(now time.Time, w *write) {
	archived := make(map[*claim]bool, len(w.claims))
	for _, c := range w.claims {
		archived[c] = true
	}
	rest := p.headClaims[:0]
	for _, c := range p.headClaims {
		if !archived[c] {
			rest = append(rest, c)
		}
	}
	p.headClaims, p.headBytes = rest, 0
	p.archives = slices.DeleteFunc(p.archives, func(a archive) bool { return slices.Contains(w.replaces, a.Name) })
	p.archives = append(p.archives, *w.archive)
	p.obsoleteArchives = append(p.obsoleteArchives, w.replaces...)
	p.scheduleFlush(now)
}

// dispatch sends the request of a claim that has just become durable. A claim
// without waiters, or with too little time left, never runs, and the next head
// omits it.
func (p *Partition) dispatch(now time.Time, c *claim) {
	startBy := p.usableUntil()
	for _, w := range c.waiters {
		if !now.Before(w.deadline) {
			continue
		}
		if w.deadline.Before(startBy) {
			startBy = w.deadline
		}
		d := Dispatch{AttemptID: w.attemptID, Key: c.Key, StartBy: startBy}
		if !d.CanSend(now) {
			break
		}
		c.stage = dispatched
		p.stats.Dispatches++
		p.commands = append(p.commands, d)
		return
	}
	c.stage = terminal
	p.respondAll(c, Response{Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonDeadline})
	p.removeClaim(c)
	p.scheduleFlush(now.Add(p.outcomeDelay))
}

// writeNotConfirmed handles a write that did not succeed. If mayHaveTakenEffect
// is set, the object is read back.
func (p *Partition) writeNotConfirmed(now time.Time, sequence uint64, mayHaveTakenEffect bool) {
	w := p.inFlightWrite
	if w == nil || w.Sequence != sequence {
		return
	}
	if mayHaveTakenEffect {
		w.uncertain, w.readingBack = true, true
		p.load(w.Name)
		return
	}
	p.storeDown = true
	p.retryAt = now.Add(storeRetryDelay)
	if w.uncertain || p.phase != ready {
		return
	}
	// Nothing was written: the claims are refused, and the outcomes are written
	// later.
	p.inFlightWrite = nil
	p.scheduleFlush(p.retryAt)
	if w.archive == nil {
		p.refuseClaims(now, w.claims, wagoutcome.ReasonStoreUnavailable)
	}
}

// refuseClaims ends claims that no write contains.
func (p *Partition) refuseClaims(now time.Time, claims []*claim, reason wagoutcome.Reason) {
	r := Response{Outcome: wagoutcome.NotRun, Reason: reason}
	if !p.IsReady(now) {
		r.Outcome, r.MayResubmit = wagoutcome.Unknown, true
	}
	for _, c := range claims {
		delete(p.claims, c.Key)
		c.stage = terminal
		p.respondAll(c, r)
	}
}

// resolveWrite compares the object that was read back with the write in flight.
func (p *Partition) resolveWrite(now time.Time, e Loaded) {
	w := p.inFlightWrite
	w.readingBack = false
	if e.Version == w.Expected {
		// The same write is sent again; at most one of the two takes effect.
		p.retryAt = now.Add(storeRetryDelay)
		return
	}
	o, err := Decode(e.Value)
	if err == nil && o.Writer == p.writer && o.Sequence == w.Sequence {
		p.writeSucceeded(now, Written{Sequence: w.Sequence, Version: e.Version})
		return
	}
	if err == nil && o.Writer == p.writer && p.phase == ready {
		// A stale read returned an earlier write of this host, so the object is
		// read again. After maxStaleReads the partition is taken over again,
		// which is always safe: a host that waited for ever would answer nothing.
		// While fencing this happens at once, because the expected version itself
		// may come from a stale read.
		if w.staleReads++; w.staleReads > maxStaleReads {
			p.reload()
			return
		}
		p.retryAt = now.Add(storeRetryDelay)
		return
	}
	// Another owner has rewritten the head. If this write took effect before
	// that, its claims are unresolved at the other owner.
	p.reload()
}
