package wagclaim

import (
	"bytes"
	"fmt"
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

type phase int

const (
	// idle is a partition whose lease the host does not hold.
	idle phase = iota
	// reading waits for the head.
	reading
	// fencing waits for the rewrite of the head that stops a former owner.
	fencing
	// gathering waits for the archives.
	gathering
	ready
)

// stage is how far a claim has come at this owner.
type stage int

const (
	// queued claims are in no write yet.
	queued stage = iota
	// writing claims are in the write in flight.
	writing
	// running claims were dispatched.
	running
	// resting claims are settled or will stay unresolved.
	resting
)

type waiter struct {
	attempt  uint64
	deadline time.Time
}

type claim struct {
	Record
	stage stage
	// waiters holds the attempts without an answer, the oldest first.
	waiters []waiter
}

// Partition is the state of one partition of the keys at one host. Only Step
// changes it. The same events at the same times give the same commands.
//
// A key counts as not claimed only while the host has authority: it has rewritten
// the head under its lease, and the lease ends in the future. Without authority
// nothing is said of a key that is not in memory but that it is unknown.
type Partition struct {
	// prefix is that of the partition's objects and ends with a slash.
	prefix string
	// writer is unique to this value, also among restarts of the host.
	writer string

	maxClaims, maxPending, archiveBytes int

	retention, outcomeWait time.Duration
	opaque                 bool

	phase phase
	// lease is the deadline in the store's lease object.
	lease time.Time
	// claims holds every claim that counts; those in flight when the partition
	// was lost are in stray only.
	claims map[Digest]*claim
	stray  map[Digest]*claim
	// queue holds the claims in stage queued.
	queue []*claim
	// head holds the claims in stage running and resting that no archive has.
	head []*claim
	// waiting holds every claim that may have waiters.
	waiting  []*claim
	archives []archive
	// missing lists the archives that are still to be read.
	missing []Archive
	// garbage lists archives that the next head does not refer to.
	garbage []string

	// version is that of the head and is the fence.
	version wagstore.Version
	// sequence numbers the writes of this writer and only grows.
	sequence  uint64
	write     *write
	headBytes int
	// bodies is the length of all recorded answers.
	bodies int
	// dirtyAt is when outcomes are to be written, zero when all are.
	dirtyAt time.Time
	// retryAt is when a failed call of the store is repeated.
	retryAt   time.Time
	storeDown bool
	expireAt  time.Time
	// soonest is at or before the deadline of every waiter.
	soonest time.Time

	stats Stats
	out   []Command
}

type archive struct {
	Archive
	claims []*claim
	// bytes bounds the size of the object.
	bytes int
}

// Stats counts what a partition did.
type Stats struct {
	Claims, Writes, Loads, Dispatches, Refused uint64
	// MalformedObjects counts objects of the store that could not be decoded.
	MalformedObjects uint64
	// Remembered is the number of claims in memory.
	Remembered int
}

// Option changes a partition that is being made.
type Option func(*Partition)

// WithRetention sets how long settled claims are remembered.
func WithRetention(d time.Duration) Option {
	return func(p *Partition) { p.retention = d }
}

// WithOpaqueKeys accepts keys that carry no time. For them work runs at most
// once only within the retention: a repeat after it is a new claim.
func WithOpaqueKeys() Option {
	return func(p *Partition) { p.opaque = true }
}

// WithOutcomeDelay sets how long outcomes wait for a claim to be written with. The
// outcomes of a host that is lost meanwhile are unknown.
func WithOutcomeDelay(d time.Duration) Option {
	return func(p *Partition) { p.outcomeWait = d }
}

// WithLimits sets how many claims are remembered and how many wait.
func WithLimits(claims, pending int) Option {
	return func(p *Partition) { p.maxClaims, p.maxPending = claims, pending }
}

// WithArchiveThreshold sets the size of the head from which claims are archived.
func WithArchiveThreshold(n int) Option {
	return func(p *Partition) { p.archiveBytes = n }
}

// New returns partition number of a service at the host incarnation writer.
func New(service string, number int, writer string, options ...Option) *Partition {
	p := &Partition{
		prefix: fmt.Sprintf("claims/%s/%d/", service, number), writer: writer,
		maxClaims: DefaultMaxClaims, maxPending: DefaultMaxPending, archiveBytes: DefaultArchiveThreshold,
		retention: DefaultRetention, outcomeWait: DefaultOutcomeDelay,
		claims: make(map[Digest]*claim), stray: make(map[Digest]*claim),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Stats returns the counters.
func (p *Partition) Stats() Stats {
	s := p.stats
	s.Remembered = len(p.claims)
	return s
}

// IsReady tells whether the partition takes new claims at the given time.
func (p *Partition) IsReady(now time.Time) bool {
	return p.phase == ready && now.Before(p.leaseEnd())
}

func (p *Partition) leaseEnd() time.Time {
	return p.lease.Add(-wagclock.MaxSkew)
}

// Step takes one event and appends the commands that follow to out.
func (p *Partition) Step(now time.Time, event Event, out []Command) []Command {
	p.out = out
	switch e := event.(type) {
	case LeaseAcquired:
		p.lease = e.Deadline
		p.reload()
	case LeaseRenewed:
		if e.Deadline.After(p.lease) {
			p.lease = e.Deadline
		}
	case LeaseLost:
		p.abandon(idle)
	case Submit:
		p.submit(now, e)
	case Written:
		p.written(now, e)
	case WriteConflict:
		p.uncertain(now, e.Sequence, true)
	case WriteUnknown:
		p.uncertain(now, e.Sequence, true)
	case WriteFailed:
		p.uncertain(now, e.Sequence, false)
	case Loaded:
		p.loaded(now, e)
	case LoadFailed:
		p.storeDown = true
		p.retryAt = now.Add(storeWait)
	case DispatchFinished:
		p.finished(now, e)
	case DispatchNotSent:
		p.finished(now, DispatchFinished{Key: e.Key, Outcome: wagoutcome.NotRun})
	case Tick:
		p.tick(now)
	}
	p.startWrite(now)
	out, p.out = p.out, nil
	return out
}

func (p *Partition) answer(a Response) {
	if a.Outcome == wagoutcome.NotRun {
		p.stats.Refused++
	}
	p.out = append(p.out, a)
}

func (p *Partition) submit(now time.Time, s Submit) {
	c := p.claims[s.Key.Digest]
	switch {
	case c == nil:
		p.claim(now, s)
	case c.Fingerprint != s.Fingerprint:
		p.answer(p.reused(now, s, c))
	case c.stage != resting:
		p.join(c, s)
	case c.State == Settled:
		p.answer(c.settled(s.AttemptID))
	default:
		p.answer(Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonForgotten})
	}
}

// reused answers a request whose key another request has. A claim that is not
// durable proves nothing to a host that may have lost the partition.
func (p *Partition) reused(now time.Time, s Submit, c *claim) Response {
	a := Response{AttemptID: s.AttemptID, Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonKeyReused}
	if (c.stage == queued || c.stage == writing) && !p.IsReady(now) {
		a.Outcome, a.MayResubmit = wagoutcome.Unknown, true
	}
	return a
}

func (p *Partition) join(c *claim, s Submit) {
	if len(c.waiters) >= MaxWaitingAttempts {
		p.answer(Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonInFlight})
		return
	}
	c.waiters = append(c.waiters, waiter{attempt: s.AttemptID, deadline: s.Deadline})
	p.soonest = sooner(p.soonest, s.Deadline)
}

func (p *Partition) claim(now time.Time, s Submit) {
	if reason := p.refusal(now, s); reason != "" {
		p.answer(Response{AttemptID: s.AttemptID, Outcome: wagoutcome.NotRun, Reason: reason})
		return
	}
	if !p.IsReady(now) {
		p.answer(Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonStoreUnavailable, MayResubmit: true})
		return
	}
	if s.Key.forgettable(now, p.retention) {
		p.answer(Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonForgotten})
		return
	}
	c := &claim{Record: Record{Key: s.Key.Digest, Fingerprint: s.Fingerprint, State: Open, ClaimedAt: now}}
	p.claims[c.Key] = c
	p.queue = append(p.queue, c)
	p.waiting = append(p.waiting, c)
	p.join(c, s)
}

// refusal returns why a key that is certainly not claimed is not claimed now.
// Only a host with authority may refuse; a forgotten key may have run.
func (p *Partition) refusal(now time.Time, s Submit) wagoutcome.Reason {
	switch {
	case !p.IsReady(now) || s.Key.forgettable(now, p.retention):
		return ""
	case s.Key.CreatedAt.IsZero() && !p.opaque, s.Key.ahead(now):
		return wagoutcome.ReasonBadRequest
	case !now.Before(s.Deadline):
		return wagoutcome.ReasonDeadline
	case p.storeDown:
		return wagoutcome.ReasonStoreUnavailable
	case len(p.queue) >= p.maxPending || len(p.claims) >= p.maxClaims || len(p.head) >= maxHeadClaims:
		return wagoutcome.ReasonQueueFull
	}
	return ""
}

func (c *claim) settled(attempt uint64) Response {
	return Response{AttemptID: attempt, Outcome: wagoutcome.Done, Status: c.Status, Body: c.Body, BodyKept: c.BodyKept}
}

// keep records the answer of a call that ran, without its body when that is
// longer than room.
func (c *claim) keep(f DispatchFinished, room int) {
	c.State, c.Status = Settled, f.Status
	if len(f.Body) <= min(MaxBodyBytes, room) {
		c.Body, c.BodyKept = append([]byte(nil), f.Body...), true
	}
}

// finished ends the one call of a claim. The claim is durable and no other host
// ever dispatches it, so that NotRun is true without authority.
func (p *Partition) finished(now time.Time, f DispatchFinished) {
	c := p.claims[f.Key]
	current := c != nil && c.stage == running
	if !current {
		if c = p.stray[f.Key]; c == nil {
			return
		}
		delete(p.stray, f.Key)
	}
	p.answerAll(c, f.answer())
	if current {
		p.settle(now, c, f)
	}
}

// answer returns what the end of a call tells its waiters.
func (f DispatchFinished) answer() Response {
	switch f.Outcome {
	case wagoutcome.Done:
		return Response{Outcome: f.Outcome, Status: f.Status, Body: f.Body, BodyKept: true}
	case wagoutcome.NotRun:
		return Response{Outcome: f.Outcome, Reason: wagoutcome.ReasonRefusedByServer}
	default:
		return Response{Reason: wagoutcome.ReasonConnection}
	}
}

func (p *Partition) settle(now time.Time, c *claim, f DispatchFinished) {
	c.stage = resting
	switch f.Outcome {
	case wagoutcome.Done:
		c.keep(f, maxBodies-p.bodies)
		p.bodies += len(c.Body)
	case wagoutcome.NotRun:
		// The next head omits the claim. Until then the store shows it as open,
		// which a new owner takes as unresolved.
		p.drop(c)
	default:
		c.State = Unresolved
	}
	p.markDirty(now.Add(p.outcomeWait))
}

func (p *Partition) drop(c *claim) {
	delete(p.claims, c.Key)
	for i, other := range p.head {
		if other == c {
			p.head = append(p.head[:i], p.head[i+1:]...)
			return
		}
	}
}

func (p *Partition) markDirty(at time.Time) {
	p.dirtyAt = sooner(p.dirtyAt, at)
}

func (p *Partition) answerAll(c *claim, a Response) {
	for _, w := range c.waiters {
		a.AttemptID = w.attempt
		p.answer(a)
	}
	c.waiters = nil
}

// sortClaims orders claims by key, because the order of a map differs from run
// to run.
func sortClaims(claims []*claim) {
	sort.Slice(claims, func(i, j int) bool { return bytes.Compare(claims[i].Key[:], claims[j].Key[:]) < 0 })
}
