package wagprobe

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/waglease"
)

const (
	// RateIncreaseDelay is how long a higher rate waits until it takes effect. By
	// then, every group has seen the change that made room for it (requirement
	// I7: 11 s at full size).
	RateIncreaseDelay = 12 * time.Second
	// sendSlackDivisor limits how long after its decision a probe may be sent:
	// for the spacing of the probes, divided by it.
	sendSlackDivisor = 10
	// maxRate is the highest rate that a document may set, in probes per second.
	maxRate = 10000
)

// Allowance is the payload of a probe lease. It is durable before any of its
// probes is sent.
type Allowance struct {
	// Allowed counts all probes that the group was ever allowed.
	Allowed uint64 `json:"allowed"`
	// Count is the part of Allowed that belongs to this latest allowance.
	Count uint64 `json:"count"`
	// From and Through limit the time of the probes of the latest allowance. The
	// next holder starts after Through.
	From    time.Time `json:"from"`
	Through time.Time `json:"through"`
}

// Budget decides when the probes of one server group may be sent. Each host may
// run one; only the holder of the lease of the group gets probes.
type Budget struct {
	holder *waglease.Holder
	// rate is in force, in probes per second; pendingRate replaces it at
	// pendingRateAt.
	rate          float64
	pendingRate   float64
	pendingRateAt time.Time
	// nextProbe is the earliest time of the next probe. It never decreases.
	nextProbe time.Time
	// allowanceEnd is the end of the confirmed allowance; remaining is how many
	// of its probes are left.
	allowanceEnd time.Time
	remaining    uint64
	// sequence is the number of the lease record that the allowance was read
	// from.
	sequence uint64
	// granted and spent count the probes over the life of this budget. spent is
	// never above granted; violations counts the probes that would have made it
	// so.
	granted    uint64
	spent      uint64
	violations uint64
	// lastProbes holds the time of the latest probe of each server. Its size is
	// limited to twice the number of candidates.
	lastProbes probeTimes
}

// New returns a budget without a rate. The options are passed to its lease.
func New(host string, incarnation uint64, term time.Duration, options ...waglease.Option) *Budget {
	b := &Budget{lastProbes: make(probeTimes)}
	b.holder = waglease.NewHolder(host, incarnation, term, append(options, waglease.WithPayload(b.composeAllowance))...)
	return b
}

// SetRate sets the rate of the document and the number of server groups that
// share it. A lower rate takes effect at once, a higher one after
// RateIncreaseDelay.
func (b *Budget) SetRate(now time.Time, perSecond float64, groups int) {
	b.applyPendingRate(now)
	rate := min(max(perSecond, 0), maxRate) / float64(max(groups, 1))
	switch {
	case rate <= b.rate:
		b.lowerRate(rate)
		b.pendingRate = rate
	case rate > b.pendingRate:
		b.pendingRate, b.pendingRateAt = rate, now.Add(RateIncreaseDelay)
	default:
		b.pendingRate = rate
	}
}

// lowerRate sets a lower rate. After a probe at the former rate, it also delays
// the next probe.
func (b *Budget) lowerRate(rate float64) {
	if b.spent > 0 && rate > 0 && rate < b.rate {
		b.nextProbe = b.nextProbe.Add(probeSpacing(rate) - probeSpacing(b.rate))
	}
	b.rate = rate
}

// applyPendingRate puts a pending higher rate in force once its delay has passed.
func (b *Budget) applyPendingRate(now time.Time) {
	if b.pendingRate > b.rate && !now.Before(b.pendingRateAt) {
		b.rate = b.pendingRate
	}
}

// probeSpacing returns the least time between two probes at a rate.
func probeSpacing(rate float64) time.Duration {
	return time.Duration(float64(time.Second)/rate) + 1
}

// spacingWithSlack returns the time that one probe takes up at a rate, including
// the slack for sending it.
func spacingWithSlack(rate float64) time.Duration {
	return probeSpacing(rate) + probeSpacing(rate)/sendSlackDivisor
}

// Handle passes an event to the lease and returns the commands of the lease.
func (b *Budget) Handle(now time.Time, event waglease.Event) []waglease.Command {
	b.applyPendingRate(now)
	commands := b.holder.Handle(now, event)
	b.applyAllowance()
	return commands
}

// NextWake returns when the lease needs a Tick, or the zero time if it needs
// none.
func (b *Budget) NextWake() time.Time {
	return b.holder.NextWake()
}

// NextProbeTime returns the earliest time at which TakeProbe may return a probe.
func (b *Budget) NextProbeTime() time.Time {
	return b.nextProbe
}

// Counts returns how many probes were granted and spent, and how often a probe
// was withheld because all granted ones were spent already; that would be a bug.
func (b *Budget) Counts() (granted, spent, violations uint64) {
	return b.granted, b.spent, b.violations
}

// composeAllowance reserves the probes that may be sent until the deadline of the
// next lease record.
func (b *Budget) composeAllowance(now time.Time, previous, next waglease.Record) []byte {
	a := Allowance{From: now, Through: next.Deadline.Add(-wagclock.MaxSkew)}
	previousAllowance, err := decodeAllowance(previous)
	sameHolder := previous.Holder == next.Holder && previous.Incarnation == next.Incarnation
	switch {
	case sameHolder:
		a.From = wagclock.Later(now, b.nextProbe)
	case previous.Holder != "":
		a.From = wagclock.Later(now, previousAllowance.Through.Add(wagclock.MaxSkew))
	}
	if err == nil {
		a.Allowed = previousAllowance.Allowed
	}
	if next.Released {
		// The rest of the allowance is given up: nothing is sent after a release,
		// so the next holder may start right after the latest probe.
		a.Through = a.From
	}
	a.Count = b.probesThatFit(a)
	a.Allowed += a.Count
	value, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return value
}

// probesThatFit returns how many probes fit into the time of an allowance.
func (b *Budget) probesThatFit(a Allowance) uint64 {
	span := a.Through.Sub(a.From)
	if b.rate <= 0 || span <= 0 {
		return 0
	}
	return uint64(span / spacingWithSlack(b.rate))
}

// decodeAllowance reads the allowance of a lease record. A damaged one counts as
// used until the deadline of its lease.
func decodeAllowance(r waglease.Record) (a Allowance, err error) {
	defer func() { err = errors.WithMessage(err, "decode allowance") }()
	if err = json.Unmarshal(r.Payload, &a); err != nil {
		return Allowance{Through: r.Deadline}, err
	}
	if a.Through.After(r.Deadline.Add(waglease.MaxTerm)) || a.From.After(a.Through) {
		return Allowance{Through: r.Deadline}, errors.New("the times are out of range")
	}
	return a, nil
}

// applyAllowance adopts the allowance of a lease record that has become durable.
func (b *Budget) applyAllowance() {
	r := b.holder.Record()
	if r.Sequence == 0 || r.Sequence == b.sequence {
		return
	}
	b.sequence = r.Sequence
	b.remaining = 0
	a, err := decodeAllowance(r)
	if err != nil {
		return
	}
	b.nextProbe = wagclock.Later(b.nextProbe, a.From)
	b.allowanceEnd = a.Through
	b.remaining = a.Count
	b.granted += b.remaining
}
