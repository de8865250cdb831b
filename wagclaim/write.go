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
	// maxHeadClaims keeps a head of claims without outcome under half of
	// wagstore.MaxValue: a claim takes about 45 bytes.
	maxHeadClaims = 8192
	// settledBytes bounds the outcomes in a head or archive.
	settledBytes = wagstore.MaxValueBytes / 4
	// mergeCount is how many small archives are merged into one.
	mergeCount = 16
	// maxStale is how many stale reads in a row are waited for.
	maxStale = 8
)

// write is the one write in flight. It is repeated unchanged until its effect is
// known.
type write struct {
	Write
	// claims become durable with a head, or leave the head for an archive.
	claims []*claim
	// archived is set for the write of an archive.
	archived *archive
	// replaces names the archives that this one takes the claims of.
	replaces []string
	// asking is set while the object is being read back.
	asking bool
	// doubtful is set once an answer was lost or the version did not fit.
	doubtful bool
	// stale counts reads that showed an earlier write.
	stale int
}

// startWrite begins the next write when there is one to do and none in flight.
func (p *Partition) startWrite(now time.Time) {
	if p.write != nil || !p.IsReady(now) || now.Before(p.retryAt) {
		return
	}
	if p.headBytes > p.archiveBytes && (p.mergeArchives() || p.writeArchive()) {
		return
	}
	if len(p.queue) > 0 || (!p.dirtyAt.IsZero() && !now.Before(p.dirtyAt)) {
		p.writeHead()
	}
}

func (p *Partition) send(w *write, o *Object) {
	p.retryAt = time.Time{}
	p.sequence++
	o.Writer, o.Sequence = p.writer, p.sequence
	w.Sequence = p.sequence
	w.Value = o.AppendTo(make([]byte, 0, p.headBytes+len(p.queue)*64+256))
	p.write = w
	p.stats.Writes++
	p.out = append(p.out, w.Write)
}

func (p *Partition) writeHead() {
	o := &Object{}
	for _, a := range p.archives {
		o.Archives = append(o.Archives, a.Archive)
	}
	p.dirtyAt = time.Time{}
	o.Records = make([]Record, 0, len(p.head)+len(p.queue))
	bytes := 0
	for _, c := range p.head {
		r := c.Record
		if bytes += len(r.Body); bytes > settledBytes {
			// An outcome that does not fit stays open in the store until an
			// archive takes it.
			r = Record{Key: r.Key, Fingerprint: r.Fingerprint, State: Open, ClaimedAt: r.ClaimedAt}
		}
		o.Records = append(o.Records, r)
	}
	for _, c := range p.queue {
		c.stage = writing
		o.Records = append(o.Records, c.Record)
	}
	w := &write{Write: Write{Name: p.prefix + headName, Expected: p.version}, claims: p.queue}
	p.queue = nil
	p.send(w, o)
	p.headBytes = len(w.Value)
}

// writeArchive moves resting claims to an object of their own.
func (p *Partition) writeArchive() bool {
	var claims []*claim
	bytes := 0
	for _, c := range p.head {
		if c.stage != resting {
			continue
		}
		if bytes += c.bytes(); bytes > settledBytes {
			break
		}
		claims = append(claims, c)
	}
	if bytes < p.archiveBytes/2 {
		return false
	}
	p.sendArchive(claims, nil)
	return true
}

// mergeArchives replaces small archives by one, because every head carries a
// reference to each archive. Archives that end far apart stay apart.
func (p *Partition) mergeArchives() bool {
	var small []archive
	bytes := 0
	for _, a := range p.archives {
		if a.bytes < settledBytes/2 && bytes+a.bytes < settledBytes {
			small = append(small, a)
			bytes += a.bytes
		}
	}
	if len(small) < mergeCount || small[len(small)-1].Expires.Sub(small[0].Expires) > p.retention/8 {
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

// sendArchive writes an archive under a name that no other write has, so that no
// two owners write the same archive.
func (p *Partition) sendArchive(claims []*claim, replaces []string) {
	const hour = 3600
	o := &Object{}
	w := &write{claims: claims, archived: &archive{claims: claims}, replaces: replaces}
	for _, c := range claims {
		o.Records = append(o.Records, c.Record)
		w.archived.bytes += c.bytes()
		if end := c.ClaimedAt.Add(p.retention); end.After(w.archived.Expires) {
			w.archived.Expires = end
		}
	}
	w.Name = fmt.Sprintf("%s%d-%s-%d", p.prefix, w.archived.Expires.Unix()/hour, p.writer, p.sequence+1)
	w.archived.Name = w.Name
	p.send(w, o)
}

// bytes bounds the encoded size of a claim.
func (c *claim) bytes() int {
	return 48 + len(c.Body)
}

func (p *Partition) written(now time.Time, e Written) {
	w := p.write
	if w == nil || w.Sequence != e.Sequence {
		return
	}
	p.write, p.storeDown = nil, false
	if w.archived != nil {
		p.adopt(now, w)
		return
	}
	p.version = e.Version
	p.head = append(p.head, w.claims...)
	p.stats.Claims += uint64(len(w.claims))
	if p.phase == fencing {
		p.gather(now)
		return
	}
	for _, c := range w.claims {
		p.dispatch(now, c)
	}
	for _, name := range p.garbage {
		p.out = append(p.out, Delete{Name: name})
	}
	p.garbage = nil
}

// adopt refers to a new archive; the next head no longer has its claims.
func (p *Partition) adopt(now time.Time, w *write) {
	in := make(map[*claim]bool, len(w.claims))
	for _, c := range w.claims {
		in[c] = true
	}
	rest := p.head[:0]
	for _, c := range p.head {
		if !in[c] {
			rest = append(rest, c)
		}
	}
	p.head, p.headBytes = rest, 0
	p.archives = slices.DeleteFunc(p.archives, func(a archive) bool { return slices.Contains(w.replaces, a.Name) })
	p.archives = append(p.archives, *w.archived)
	p.garbage = append(p.garbage, w.replaces...)
	p.markDirty(now)
}

// dispatch sends a claim that has just become durable. Without a waiter or with
// too little time left it never runs, and the next head omits it.
func (p *Partition) dispatch(now time.Time, c *claim) {
	notAfter := p.leaseEnd()
	for _, w := range c.waiters {
		if !now.Before(w.deadline) {
			continue
		}
		if w.deadline.Before(notAfter) {
			notAfter = w.deadline
		}
		d := Dispatch{AttemptID: w.attempt, Key: c.Key, StartBy: notAfter}
		if !d.CanSend(now) {
			break
		}
		c.stage = running
		p.stats.Dispatches++
		p.out = append(p.out, d)
		return
	}
	c.stage = resting
	p.answerAll(c, Response{Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonDeadline})
	p.drop(c)
	p.markDirty(now.Add(p.outcomeWait))
}

// uncertain handles a write that did not succeed. taken is false when the store
// certainly did not take it.
func (p *Partition) uncertain(now time.Time, sequence uint64, taken bool) {
	w := p.write
	if w == nil || w.Sequence != sequence {
		return
	}
	if taken {
		w.doubtful, w.asking = true, true
		p.load(w.Name)
		return
	}
	p.storeDown = true
	p.retryAt = now.Add(storeWait)
	if w.doubtful || p.phase != ready {
		return
	}
	// Nothing was written: the claims are refused, the outcomes wait.
	p.write = nil
	p.markDirty(p.retryAt)
	if w.archived == nil {
		p.refuse(now, w.claims, wagoutcome.ReasonStoreUnavailable)
	}
}

// refuse ends claims that are in no write.
func (p *Partition) refuse(now time.Time, claims []*claim, reason wagoutcome.Reason) {
	a := Response{Outcome: wagoutcome.NotRun, Reason: reason}
	if !p.IsReady(now) {
		a.Outcome, a.MayResubmit = wagoutcome.Unknown, true
	}
	for _, c := range claims {
		delete(p.claims, c.Key)
		c.stage = resting
		p.answerAll(c, a)
	}
}

// resolve compares what was read back with the write in doubt.
func (p *Partition) resolve(now time.Time, e Loaded) {
	w := p.write
	w.asking = false
	if e.Version == w.Expected {
		// The same value is sent again; at most one of the two takes effect.
		p.retryAt = now.Add(storeWait)
		return
	}
	o, err := Decode(e.Value)
	if err == nil && o.Writer == p.writer && o.Sequence == w.Sequence {
		p.written(now, Written{Sequence: w.Sequence, Version: e.Version})
		return
	}
	if err == nil && o.Writer == p.writer && p.phase == ready {
		// A stale read of an earlier write. While fencing it may instead be that
		// the version to be rewritten was read stale. A host that waits for ever
		// would answer nothing; starting over is always safe.
		if w.stale++; w.stale > maxStale {
			p.reload()
			return
		}
		p.retryAt = now.Add(storeWait)
		return
	}
	// Another owner has rewritten the head. What this write claimed, if it took
	// effect before, is unresolved there.
	p.reload()
}
