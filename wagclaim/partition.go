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

// phase is how far the host has taken the partition over.
type phase int

const (
	// idle: the host does not hold the lease.
	idle phase = iota
	// readingHead: the head is being read.
	readingHead
	// fencing: the head is being rewritten, so that writes of a former owner
	// fail.
	fencing
	// readingArchives: the archives are being read.
	readingArchives
	// ready: the partition accepts new claims.
	ready
)

// stage is the progress of a claim at this owner.
type stage int

const (
	// queued: no write contains the claim yet.
	queued stage = iota
	// writing: the write in flight contains the claim.
	writing
	// dispatched: the request was dispatched.
	dispatched
	// terminal: the claim is settled or stays unresolved.
	terminal
)

// waiter is an attempt that waits for the outcome of a claim.
type waiter struct {
	attemptID uint64
	deadline  time.Time
}

// claim is a claim in memory.
type claim struct {
	Record
	stage stage
	// waiters holds the attempts without a response, oldest first.
	waiters []waiter
}

// Partition is the state of one partition of the keys at one host. Only Step
// changes it. The same events at the same times give the same commands.
//
// A missing claim proves that a key is not claimed only while the host has
// authority: it has rewritten the head under its lease, and the lease has not
// ended. Without authority, the outcome of a key that is not in memory is
// reported as unknown.
type Partition struct {
	// prefix is the prefix of the names of the objects of the partition. It ends
	// with a slash.
	prefix string
	// writer identifies this Partition value in the objects. It is unique, also
	// across restarts of the host.
	writer string

	maxClaims, maxPending, archiveThreshold int

	retention, outcomeDelay time.Duration
	opaqueKeys              bool

	phase phase
	// leaseDeadline is the deadline in the lease object in the store.
	leaseDeadline time.Time
	// claims holds every claim of the partition. Claims that were in flight when
	// the host lost the partition are in orphans only.
	claims  map[Digest]*claim
	orphans map[Digest]*claim
	// queue holds the claims in stage queued.
	queue []*claim
	// headClaims holds the claims in the stages dispatched and terminal that are
	// in no archive.
	headClaims []*claim
	// claimsWithWaiters holds every claim that may have waiters.
	claimsWithWaiters []*claim
	archives          []archive
	// unreadArchives lists the archives that are not read yet.
	unreadArchives []Archive
	// obsoleteArchives names the archives to delete after the next write of the
	// head, which no longer refers to them.
	obsoleteArchives []string

	// headVersion is the version of the head. It is the fencing token of the
	// writes to the head.
	headVersion wagstore.Version
	// sequence is the number of the latest write. It only grows.
	sequence      uint64
	inFlightWrite *write
	headBytes     int
	// bodyBytes is the size of all recorded bodies in memory.
	bodyBytes int
	// flushAt is when the head is written even if no claim is queued, zero if it
	// need not be.
	flushAt time.Time
	// retryAt is when a failed request to the store is repeated.
	retryAt time.Time
	// storeDown is set after a failed request to the store.
	storeDown bool
	// nextExpirySweep is when expired claims are removed next.
	nextExpirySweep time.Time
	// earliestDeadline is at or before the deadline of every waiter.
	earliestDeadline time.Time

	stats Stats
	// commands collects the commands of the current Step.
	commands []Command
}

// archive is an archive in memory.
type archive struct {
	Archive
	claims []*claim
	// maxBytes is an upper limit of the size of the object.
	maxBytes int
}

// Stats holds the counters of a partition.
type Stats struct {
	// Refused counts the responses with the outcome NotRun.
	Claims, Writes, Loads, Dispatches, Refused uint64
	// MalformedObjects counts the objects in the store that could not be decoded.
	MalformedObjects uint64
	// Remembered is the number of claims in memory.
	Remembered int
}

// Option configures a new Partition.
type Option func(*Partition)

// WithRetention sets how long settled claims are kept.
func WithRetention(d time.Duration) Option {
	return func(p *Partition) { p.retention = d }
}

// WithOpaqueKeys accepts keys that contain no time. A request with such a key
// runs at most once only within the retention. After that, a repeat is a new
// claim.
func WithOpaqueKeys() Option {
	return func(p *Partition) { p.opaqueKeys = true }
}

// WithOutcomeDelay sets how long an outcome waits to be written together with a
// claim. If the host is lost in the meantime, the outcome is unknown.
func WithOutcomeDelay(d time.Duration) Option {
	return func(p *Partition) { p.outcomeDelay = d }
}

// WithLimits sets how many claims are kept in memory and how many may wait for a
// write.
func WithLimits(claims, pending int) Option {
	return func(p *Partition) { p.maxClaims, p.maxPending = claims, pending }
}

// WithArchiveThreshold sets the size of the head, in bytes, above which claims
// are archived.
func WithArchiveThreshold(n int) Option {
	return func(p *Partition) { p.archiveThreshold = n }
}

// New returns a partition of a service. The writer identifies the host
// incarnation and must be unique to the returned value.
func New(service string, number int, writer string, options ...Option) *Partition {
	p := &Partition{
		prefix: fmt.Sprintf("claims/%s/%d/", service, number), writer: writer,
		maxClaims: DefaultMaxClaims, maxPending: DefaultMaxPending, archiveThreshold: DefaultArchiveThreshold,
		retention: DefaultRetention, outcomeDelay: DefaultOutcomeDelay,
		claims: make(map[Digest]*claim), orphans: make(map[Digest]*claim),
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

// IsReady reports whether the partition accepts new claims at the given time.
func (p *Partition) IsReady(now time.Time) bool {
	return p.phase == ready && now.Before(p.usableUntil())
}

// usableUntil returns the end of the use of the lease.
func (p *Partition) usableUntil() time.Time {
	return p.leaseDeadline.Add(-wagclock.MaxSkew)
}

// Step handles one event and appends the resulting commands to out.
func (p *Partition) Step(now time.Time, event Event, out []Command) []Command {
	p.commands = out
	switch e := event.(type) {
	case LeaseAcquired:
		p.leaseDeadline = e.Deadline
		p.reload()
	case LeaseRenewed:
		if e.Deadline.After(p.leaseDeadline) {
			p.leaseDeadline = e.Deadline
		}
	case LeaseLost:
		p.reset(idle)
	case Submit:
		p.submit(now, e)
	case Written:
		p.writeSucceeded(now, e)
	case WriteConflict:
		p.writeNotConfirmed(now, e.Sequence, true)
	case WriteUnknown:
		p.writeNotConfirmed(now, e.Sequence, true)
	case WriteFailed:
		p.writeNotConfirmed(now, e.Sequence, false)
	case Loaded:
		p.loaded(now, e)
	case LoadFailed:
		p.storeDown = true
		p.retryAt = now.Add(storeRetryDelay)
	case DispatchFinished:
		p.dispatchFinished(now, e)
	case DispatchNotSent:
		p.dispatchFinished(now, DispatchFinished{Key: e.Key, Outcome: wagoutcome.NotRun})
	case Tick:
		p.tick(now)
	}
	p.startWrite(now)
	out, p.commands = p.commands, nil
	return out
}

// respond emits a response.
func (p *Partition) respond(r Response) {
	if r.Outcome == wagoutcome.NotRun {
		p.stats.Refused++
	}
	p.commands = append(p.commands, r)
}

// submit handles an attempt: it makes a new claim, adds the attempt to the
// waiters of a claim in progress, or responds at once.
func (p *Partition) submit(now time.Time, s Submit) {
	c := p.claims[s.Key.Digest]
	switch {
	case c == nil:
		p.addClaim(now, s)
	case c.Fingerprint != s.Fingerprint:
		p.respond(p.keyReusedResponse(now, s, c))
	case c.stage != terminal:
		p.addWaiter(c, s)
	case c.State == Settled:
		p.respond(c.recordedResponse(s.AttemptID))
	default:
		p.respond(Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonForgotten})
	}
}

// keyReusedResponse returns the response to a request whose key belongs to
// another request. A claim that is not durable proves nothing if the host may
// have lost the partition.
func (p *Partition) keyReusedResponse(now time.Time, s Submit, c *claim) Response {
	r := Response{AttemptID: s.AttemptID, Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonKeyReused}
	if (c.stage == queued || c.stage == writing) && !p.IsReady(now) {
		r.Outcome, r.MayResubmit = wagoutcome.Unknown, true
	}
	return r
}

// addWaiter adds an attempt to the waiters of a claim.
func (p *Partition) addWaiter(c *claim, s Submit) {
	if len(c.waiters) >= MaxWaitingAttempts {
		p.respond(Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonInFlight})
		return
	}
	c.waiters = append(c.waiters, waiter{attemptID: s.AttemptID, deadline: s.Deadline})
	p.earliestDeadline = earlierNonZero(p.earliestDeadline, s.Deadline)
}

// addClaim queues a new claim for the key of an attempt, or responds with the
// reason why it does not.
func (p *Partition) addClaim(now time.Time, s Submit) {
	if reason := p.refusalReason(now, s); reason != "" {
		p.respond(Response{AttemptID: s.AttemptID, Outcome: wagoutcome.NotRun, Reason: reason})
		return
	}
	if !p.IsReady(now) {
		p.respond(Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonStoreUnavailable, MayResubmit: true})
		return
	}
	if s.Key.mayBeForgotten(now, p.retention) {
		p.respond(Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonForgotten})
		return
	}
	c := &claim{Record: Record{Key: s.Key.Digest, Fingerprint: s.Fingerprint, State: Open, ClaimedAt: now}}
	p.claims[c.Key] = c
	p.queue = append(p.queue, c)
	p.claimsWithWaiters = append(p.claimsWithWaiters, c)
	p.addWaiter(c, s)
}

// refusalReason returns why a key that is certainly not claimed cannot be claimed
// now, or an empty reason. Only a host with authority may refuse a key, because a
// forgotten one may have run.
func (p *Partition) refusalReason(now time.Time, s Submit) wagoutcome.Reason {
	switch {
	case !p.IsReady(now) || s.Key.mayBeForgotten(now, p.retention):
		return ""
	case s.Key.CreatedAt.IsZero() && !p.opaqueKeys, s.Key.isInFuture(now):
		return wagoutcome.ReasonBadRequest
	case !now.Before(s.Deadline):
		return wagoutcome.ReasonDeadline
	case p.storeDown:
		return wagoutcome.ReasonStoreUnavailable
	case len(p.queue) >= p.maxPending || len(p.claims) >= p.maxClaims || len(p.headClaims) >= maxHeadClaims:
		return wagoutcome.ReasonQueueFull
	}
	return ""
}

// recordedResponse returns the recorded response of a settled claim.
func (c *claim) recordedResponse(attemptID uint64) Response {
	return Response{AttemptID: attemptID, Outcome: wagoutcome.Done, Status: c.Status, Body: c.Body, BodyKept: c.BodyKept}
}

// recordResponse settles the claim with the response of the server. It omits a
// body that is longer than maxBytes.
func (c *claim) recordResponse(f DispatchFinished, maxBytes int) {
	c.State, c.Status = Settled, f.Status
	if len(f.Body) <= min(MaxBodyBytes, maxBytes) {
		c.Body, c.BodyKept = append([]byte(nil), f.Body...), true
	}
}

// dispatchFinished handles the end of the only dispatch of a claim. The claim is
// durable and no other host dispatches it, so NotRun is true even without
// authority.
func (p *Partition) dispatchFinished(now time.Time, f DispatchFinished) {
	c := p.claims[f.Key]
	current := c != nil && c.stage == dispatched
	if !current {
		if c = p.orphans[f.Key]; c == nil {
			return
		}
		delete(p.orphans, f.Key)
	}
	p.respondAll(c, f.response())
	if current {
		p.settle(now, c, f)
	}
}

// response returns the response to the waiters of the claim.
func (f DispatchFinished) response() Response {
	switch f.Outcome {
	case wagoutcome.Done:
		return Response{Outcome: f.Outcome, Status: f.Status, Body: f.Body, BodyKept: true}
	case wagoutcome.NotRun:
		return Response{Outcome: f.Outcome, Reason: wagoutcome.ReasonRefusedByServer}
	default:
		return Response{Reason: wagoutcome.ReasonConnection}
	}
}

// settle records how the dispatch of a claim ended and schedules the write of the
// outcome.
func (p *Partition) settle(now time.Time, c *claim, f DispatchFinished) {
	c.stage = terminal
	switch f.Outcome {
	case wagoutcome.Done:
		c.recordResponse(f, maxRecordedBytes-p.bodyBytes)
		p.bodyBytes += len(c.Body)
	case wagoutcome.NotRun:
		// The next head omits the claim. Until then it is open in the store, and
		// a new owner treats it as unresolved.
		p.removeClaim(c)
	default:
		c.State = Unresolved
	}
	p.scheduleFlush(now.Add(p.outcomeDelay))
}

// removeClaim removes a claim from memory and from the next head.
func (p *Partition) removeClaim(c *claim) {
	delete(p.claims, c.Key)
	for i, other := range p.headClaims {
		if other == c {
			p.headClaims = append(p.headClaims[:i], p.headClaims[i+1:]...)
			return
		}
	}
}

// scheduleFlush schedules a write of the head at the given time or earlier.
func (p *Partition) scheduleFlush(at time.Time) {
	p.flushAt = earlierNonZero(p.flushAt, at)
}

// respondAll responds to all waiters of a claim.
func (p *Partition) respondAll(c *claim, r Response) {
	for _, w := range c.waiters {
		r.AttemptID = w.attemptID
		p.respond(r)
	}
	c.waiters = nil
}

// sortByKey sorts claims by key, because the iteration order of a map is random.
func sortByKey(claims []*claim) {
	sort.Slice(claims, func(i, j int) bool { return bytes.Compare(claims[i].Key[:], claims[j].Key[:]) < 0 })
}
