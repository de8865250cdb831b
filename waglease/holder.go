package waglease

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// Holder makes, renews and gives up one named lease for one incarnation of one
// host.
type Holder struct {
	host        string
	incarnation uint64
	term        time.Duration
	// jitter returns a number in [0, 1) and spreads renewals and retries.
	jitter  func() float64
	payload PayloadFunc

	wanted bool
	// looks counts the reads of another host's lease since this host wants it.
	looks int
	// held is the latest record of this incarnation that is known to be in the
	// store, and fence its version; fence is empty when there is none.
	held  Record
	fence Version
	// known is the latest known object, whoever wrote it; valid is false when it
	// cannot be decoded.
	known   Record
	version Version
	valid   bool
	// seen is when version was first seen; damaged records expire from there.
	seen time.Time
	// sequence is that of the latest write that was composed.
	sequence uint64
	// step is due at wake unless a command is open.
	step step
	wake time.Time
	// open is the ID of the open command, 0 when there is none; it is given up
	// at expires.
	open    uint64
	expires time.Time
	last    uint64
	// pending is the latest write whose outcome is not known, and planned its
	// record.
	pending Write
	planned Record
	// revoked is the version that a release of unknown outcome expects. A record
	// of that version must not be used: the release may still take effect, and
	// another host would take over at once.
	revoked Version
}

const (
	// promptLooks is how many reads of another host's lease come without a longer
	// pause: a planned release takes about 2 s.
	promptLooks = 4
	// maxDoublings bounds the pause between further ones to a term and as much
	// jitter; a read is due when the known deadline has passed in any case.
	maxDoublings = 5
)

// step is what a holder does next.
type step int

const (
	stepNone step = iota
	stepLoad
	stepWrite
	stepResend
)

// Option sets a variable part of a holder.
type Option func(*Holder)

// WithJitter sets the source of numbers in [0, 1) that spreads renewals.
func WithJitter(jitter func() float64) Option {
	return func(h *Holder) { h.jitter = jitter }
}

// WithPayload sets what composes the payload. Without it the payload of the
// previous record is kept.
func WithPayload(payload PayloadFunc) Option {
	return func(h *Holder) { h.payload = payload }
}

// NewHolder returns a holder that does not want the lease yet.
func NewHolder(host string, incarnation uint64, term time.Duration, options ...Option) *Holder {
	h := &Holder{
		host:        host,
		incarnation: incarnation,
		term:        min(max(term, 4*wagclock.MaxSkew), MaxTerm),
		jitter:      func() float64 { return 0 },
		payload:     func(_ time.Time, previous, _ Record) []byte { return previous.Payload },
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// IsHeld tells whether the lease may be used at now.
func (h *Holder) IsHeld(now time.Time) bool {
	return h.wanted && h.fence != "" && now.Before(h.UsableUntil())
}

// UsableUntil returns when the use of the lease ends unless it is renewed.
func (h *Holder) UsableUntil() time.Time {
	return h.held.Deadline.Add(-wagclock.MaxSkew)
}

// FencingVersion returns the version to present while the lease is held.
func (h *Holder) FencingVersion(now time.Time) (Version, bool) {
	if !h.IsHeld(now) {
		return "", false
	}
	return h.fence, true
}

// Record returns the latest record of this incarnation in the store.
func (h *Holder) Record() Record {
	return h.held
}

// NextWake returns when Tick has to be called, or the zero time.
func (h *Holder) NextWake() time.Time {
	switch {
	case h.open != 0:
		return h.expires
	case h.step == stepNone:
		return time.Time{}
	default:
		return h.wake
	}
}

// Handle takes one event and returns at most one command.
func (h *Holder) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Acquire:
		h.want(now)
	case Release:
		h.release(now)
	case Tick:
		if h.open != 0 && !now.Before(h.expires) {
			h.open = 0
			h.failed(now)
		}
	case Loaded:
		if h.answers(e.ID) {
			h.loaded(now, e)
		}
	case Written:
		if h.answers(e.ID) {
			h.adopt(now, h.planned, e.Version)
		}
	case WriteConflict:
		if h.answers(e.ID) {
			h.pending = Write{}
			h.failed(now)
		}
	case WriteUnknown:
		if h.answers(e.ID) {
			h.failed(now)
		}
	case StoreUnavailable:
		if h.answers(e.ID) {
			h.failed(now)
			h.wake = h.retry(now)
		}
	}
	return h.advance(now)
}

func (h *Holder) answers(id uint64) bool {
	if id == 0 || id != h.open {
		return false
	}
	h.open = 0
	return true
}

func (h *Holder) want(now time.Time) {
	if h.wanted {
		return
	}
	h.wanted, h.looks = true, 0
	h.held, h.fence = Record{}, ""
	h.step, h.wake = stepLoad, now
}

func (h *Holder) release(now time.Time) {
	h.wanted = false
	h.step, h.wake = stepNone, now
	if h.fence != "" {
		h.step = stepWrite
	}
}

// failed follows a command that did not succeed: what is in the store is read
// back. A lease that is not wanted is left to expire.
func (h *Holder) failed(now time.Time) {
	h.step, h.wake = stepLoad, now
	if !h.wanted {
		h.step = stepNone
		h.held, h.fence = Record{}, ""
	}
}

// retry lets several attempts fit between renewal and deadline.
func (h *Holder) retry(now time.Time) time.Time {
	pause := h.term / 32
	return now.Add(pause + time.Duration(h.jitter()*float64(pause)))
}

// lookAgain spreads the reads of another host's lease over up to two terms.
// Hosts of different data centres disagree for a while about who is to hold a
// lease, and would otherwise read it several times a second for that long.
func (h *Holder) lookAgain(now time.Time) time.Time {
	pause := h.term / 32 << min(max(h.looks-promptLooks, 0), maxDoublings)
	h.looks++
	return now.Add(pause + time.Duration(h.jitter()*float64(pause)))
}

// loaded settles a write of unknown outcome. Any record of this incarnation is
// its own, because it never has two writes that expect different versions open
// without reading back in between.
func (h *Holder) loaded(now time.Time, e Loaded) {
	r, err := Decode(e.Value)
	valid := err == nil && e.Version != ""
	own := valid && r.Holder == h.host && r.Incarnation == h.incarnation
	if own {
		h.sequence = max(h.sequence, r.Sequence)
	}
	if own && !r.Released {
		h.adopt(now, r, e.Version)
	} else {
		h.observe(now, r, e.Version, valid)
		h.held, h.fence = Record{}, ""
		h.step, h.wake = stepWrite, h.takeOver()
		if again := h.lookAgain(now); again.Before(h.wake) {
			// The other host may release the lease long before its deadline.
			h.step, h.wake = stepLoad, again
		}
		if !h.wanted {
			h.step = stepNone
		}
	}
	if h.wanted && h.pending.ID != 0 && e.Version == h.pending.Expected && h.renewal(h.planned).After(now) {
		h.step, h.wake = stepResend, now
		return
	}
	h.pending = Write{}
}

func (h *Holder) observe(now time.Time, r Record, version Version, valid bool) {
	if version != h.version || h.seen.IsZero() {
		h.seen = now
	}
	h.known, h.version, h.valid = r, version, valid
}

// adopt takes a record of this incarnation that is in the store.
func (h *Holder) adopt(now time.Time, r Record, version Version) {
	h.observe(now, r, version, true)
	h.pending = Write{}
	if r.Released || version == h.revoked {
		h.held, h.fence = Record{}, ""
		h.step, h.wake = stepWrite, now
		if !h.wanted {
			h.step = stepNone
		}
		return
	}
	h.held, h.fence = r, version
	h.step, h.wake = stepWrite, h.renewal(r)
	if !h.wanted {
		h.wake = now
	}
}

// renewal is at half term, or up to an eighth of the term earlier.
func (h *Holder) renewal(r Record) time.Time {
	early := time.Duration(h.jitter() * float64(h.term) / 8)
	return r.Deadline.Add(-h.term/2 - early)
}

// takeOver returns when the known object may be replaced.
func (h *Holder) takeOver() time.Time {
	if h.version == "" || h.valid && h.known.Released {
		return h.seen
	}
	latest := h.seen.Add(MaxTerm + wagclock.MaxSkew)
	if !h.valid || h.known.Deadline.After(latest) {
		return latest.Add(wagclock.MaxSkew)
	}
	// At the bound itself the former holder's last instant may still run.
	return h.known.Deadline.Add(wagclock.MaxSkew + 1)
}

// advance returns the next command when it is due.
func (h *Holder) advance(now time.Time) []Command {
	if h.open != 0 || h.step == stepNone || now.Before(h.wake) {
		return nil
	}
	next := h.step
	h.step = stepNone
	h.last++
	h.open, h.expires = h.last, now.Add(CommandTimeout)
	switch next {
	case stepLoad:
		return []Command{Load{ID: h.open}}
	case stepResend:
		h.pending.ID = h.open
	default:
		if err := h.compose(now); err != nil {
			h.open = 0
			h.step, h.wake = stepLoad, h.retry(now)
			return nil
		}
	}
	return []Command{h.pending}
}

// compose plans the write that makes, renews or releases the lease.
func (h *Holder) compose(now time.Time) error {
	h.sequence++
	next := Record{Holder: h.host, Incarnation: h.incarnation, Sequence: h.sequence, Released: !h.wanted}
	next.Deadline = now.Add(h.term)
	if next.Released {
		next.Deadline = now
		h.revoked = h.version
	}
	next.Payload = h.payload(now, h.known, next)
	value, err := Encode(next)
	if err != nil {
		return err
	}
	h.pending, h.planned = Write{ID: h.open, Value: value, Expected: h.version}, next
	return nil
}
