package wagprobe

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/waglease"
)

const (
	// RateIncreaseDelay is how long a higher rate waits. By then every group has seen
	// the change that made room for it (requirement I7: 11 s at full size).
	RateIncreaseDelay = 12 * time.Second
	// slackShare is the part of the spacing within which a probe may be sent
	// later than it was decided.
	slackShare = 10
	// maxRate is the highest rate of a document.
	maxRate = 10000
)

// Allowance is the payload of a probe lease. It is durable before any probe of
// it is sent.
type Allowance struct {
	// Allowed counts the probes of the group that were ever allowed.
	Allowed uint64 `json:"allowed"`
	// Count is the part of Allowed that belongs to the latest allowance.
	Count uint64 `json:"count"`
	// From and Through limit the probes of the latest allowance. The next holder
	// starts after Through.
	From    time.Time `json:"from"`
	Through time.Time `json:"through"`
}

// Budget decides when the probes of one server group may be sent. All hosts may
// run one; only the holder of the group's lease gets probes.
type Budget struct {
	holder *waglease.Holder
	// rate is in force, in probes a second; raised replaces it at raiseAt.
	rate    float64
	raised  float64
	raiseAt time.Time
	// next is the earliest time of the next probe. It never decreases.
	next time.Time
	// through ends the confirmed allowance; left is what remains of it.
	through time.Time
	left    uint64
	// sequence is that of the lease record the allowance was read from.
	sequence uint64
	// granted and spent count over the life of this budget; spent is never
	// above granted.
	granted    uint64
	spent      uint64
	violations uint64
	// probed holds the latest probe of a server and is bounded by the list of
	// candidates.
	probed probes
}

// New returns a budget without a rate. The options are passed to its lease.
func New(host string, incarnation uint64, term time.Duration, options ...waglease.Option) *Budget {
	b := &Budget{probed: make(probes)}
	b.holder = waglease.NewHolder(host, incarnation, term, append(options, waglease.WithPayload(b.compose))...)
	return b
}

// SetRate sets the document's rate and the number of server groups that share
// it. A lower rate takes effect at once, a higher one after RaiseTime.
func (b *Budget) SetRate(now time.Time, perSecond float64, groups int) {
	b.raise(now)
	rate := min(max(perSecond, 0), maxRate) / float64(max(groups, 1))
	switch {
	case rate <= b.rate:
		b.slow(rate)
		b.raised = rate
	case rate > b.raised:
		b.raised, b.raiseAt = rate, now.Add(RateIncreaseDelay)
	default:
		b.raised = rate
	}
}

// slow also delays the probe after one that was sent at the former rate.
func (b *Budget) slow(rate float64) {
	if b.spent > 0 && rate > 0 && rate < b.rate {
		b.next = b.next.Add(spacing(rate) - spacing(b.rate))
	}
	b.rate = rate
}

func (b *Budget) raise(now time.Time) {
	if b.raised > b.rate && !now.Before(b.raiseAt) {
		b.rate = b.raised
	}
}

func spacing(rate float64) time.Duration {
	return time.Duration(float64(time.Second)/rate) + 1
}

// pitch is the time that one probe takes up, including the slack for sending.
func pitch(rate float64) time.Duration {
	return spacing(rate) + spacing(rate)/slackShare
}

// Handle passes an event to the lease.
func (b *Budget) Handle(now time.Time, event waglease.Event) []waglease.Command {
	b.raise(now)
	commands := b.holder.Handle(now, event)
	b.read()
	return commands
}

// NextWake returns when a Tick of the lease is due, or the zero time.
func (b *Budget) NextWake() time.Time {
	return b.holder.NextWake()
}

// NextProbeTime returns the earliest time at which Next may return a probe.
func (b *Budget) NextProbeTime() time.Time {
	return b.next
}

// Counts returns how many probes were allowed and spent, and how often the
// check of both failed.
func (b *Budget) Counts() (granted, spent, violations uint64) {
	return b.granted, b.spent, b.violations
}

// compose reserves what may be sent until the new deadline.
func (b *Budget) compose(now time.Time, previous, next waglease.Record) []byte {
	a := Allowance{From: now, Through: next.Deadline.Add(-wagclock.Bound)}
	old, err := decode(previous)
	own := previous.Holder == next.Holder && previous.Incarnation == next.Incarnation
	switch {
	case own:
		a.From = wagclock.Later(now, b.next)
	case previous.Holder != "":
		a.From = wagclock.Later(now, old.Through.Add(wagclock.Bound))
	}
	if err == nil {
		a.Allowed = old.Allowed
	}
	if next.Released {
		// The rest of the allowance is given back: nothing is sent after a
		// release, so that the next holder may start after the latest probe.
		a.Through = a.From
	}
	a.Count = b.fits(a)
	a.Allowed += a.Count
	value, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return value
}

// fits returns how many probes an allowance has room for.
func (b *Budget) fits(a Allowance) uint64 {
	room := a.Through.Sub(a.From)
	if b.rate <= 0 || room <= 0 {
		return 0
	}
	return uint64(room / pitch(b.rate))
}

// decode reads the allowance of a lease record. A damaged one counts as used up
// to the deadline of its lease.
func decode(r waglease.Record) (a Allowance, err error) {
	defer func() { err = errors.WithMessage(err, "decode allowance") }()
	if err = json.Unmarshal(r.Payload, &a); err != nil {
		return Allowance{Through: r.Deadline}, err
	}
	if a.Through.After(r.Deadline.Add(waglease.MaxTerm)) || a.From.After(a.Through) {
		return Allowance{Through: r.Deadline}, errors.New("the times are out of range")
	}
	return a, nil
}

// read takes over the allowance of a record that became durable.
func (b *Budget) read() {
	r := b.holder.Record()
	if r.Sequence == 0 || r.Sequence == b.sequence {
		return
	}
	b.sequence = r.Sequence
	b.left = 0
	a, err := decode(r)
	if err != nil {
		return
	}
	b.next = wagclock.Later(b.next, a.From)
	b.through = a.Through
	b.left = a.Count
	b.granted += b.left
}
