package waglease

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// Holder acquires, renews and releases one lease for one incarnation of a host.
// It does no I/O: it takes events and the current time, and returns commands.
type Holder struct {
	host        string
	incarnation uint64
	term        time.Duration
	// jitter returns a number in [0, 1). It spreads renewals and retries.
	jitter  func() float64
	payload PayloadFunc

	// wanted is set between Acquire and Release.
	wanted bool
	// foreignReads counts the reads that found the lease of another host since
	// Acquire.
	foreignReads int
	// ownRecord is the latest record of this incarnation that is known to be in
	// the store. fencingVersion is its version, or empty if there is none.
	ownRecord      Record
	fencingVersion Version
	// storedRecord is the latest known record in the store, by any writer, and
	// storedVersion its version. storedValid is false if it could not be decoded.
	storedRecord  Record
	storedVersion Version
	storedValid   bool
	// firstSeenAt is when storedVersion was first seen. The expiry of a damaged
	// record counts from then.
	firstSeenAt time.Time
	// sequence is the number of the latest write that was composed.
	sequence uint64
	// nextStep is due at nextStepAt unless a command is in flight.
	nextStep   step
	nextStepAt time.Time
	// inFlightCommand is the ID of the command in flight, 0 if there is none. It
	// times out at commandExpiresAt.
	inFlightCommand  uint64
	commandExpiresAt time.Time
	lastCommandID    uint64
	// pendingWrite is the latest write whose result is not known, and
	// pendingRecord its record.
	pendingWrite  Write
	pendingRecord Record
	// revokedVersion is the version that the latest release was to replace. If
	// the result of that release is unknown, a record of this version must not be
	// used: the release may still take effect, and another host would take the
	// lease over at once.
	revokedVersion Version
}

const (
	// promptReads is how many reads of the lease of another host come without a
	// longer pause. A planned release takes about 2 s.
	promptReads = 4
	// maxPauseDoublings limits the pause between further reads to one term, plus
	// up to one term of jitter. A takeover at the known deadline does not depend
	// on it.
	maxPauseDoublings = 5
)

// step is the next action of a holder.
type step int

const (
	stepNone step = iota
	stepLoad
	stepWrite
	stepResend
)

// Option configures a new Holder.
type Option func(*Holder)

// WithJitter sets the source of the random numbers in [0, 1) that spread renewals
// and retries.
func WithJitter(jitter func() float64) Option {
	return func(h *Holder) { h.jitter = jitter }
}

// WithPayload sets the function that returns the payload. By default, the payload
// of the previous record is kept.
func WithPayload(payload PayloadFunc) Option {
	return func(h *Holder) { h.payload = payload }
}

// NewHolder returns a holder without a lease. The first Acquire makes it ask for
// the lease.
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

// IsHeld reports whether the lease may be used at the given time.
func (h *Holder) IsHeld(now time.Time) bool {
	return h.wanted && h.fencingVersion != "" && now.Before(h.UsableUntil())
}

// UsableUntil returns when the use of the lease ends unless it is renewed.
func (h *Holder) UsableUntil() time.Time {
	return h.ownRecord.Deadline.Add(-wagclock.MaxSkew)
}

// FencingVersion returns the version to present as fencing token, and false if
// the lease is not held.
func (h *Holder) FencingVersion(now time.Time) (Version, bool) {
	if !h.IsHeld(now) {
		return "", false
	}
	return h.fencingVersion, true
}

// Record returns the latest record of this incarnation that is known to be in the
// store.
func (h *Holder) Record() Record {
	return h.ownRecord
}

// NextWake returns when the next Tick is due, or the zero time if none is.
func (h *Holder) NextWake() time.Time {
	switch {
	case h.inFlightCommand != 0:
		return h.commandExpiresAt
	case h.nextStep == stepNone:
		return time.Time{}
	default:
		return h.nextStepAt
	}
}

// Handle handles one event and returns at most one command.
func (h *Holder) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Acquire:
		h.acquire(now)
	case Release:
		h.release(now)
	case Tick:
		if h.inFlightCommand != 0 && !now.Before(h.commandExpiresAt) {
			h.inFlightCommand = 0
			h.commandFailed(now)
		}
	case Loaded:
		if h.closeCommand(e.ID) {
			h.loaded(now, e)
		}
	case Written:
		if h.closeCommand(e.ID) {
			h.adoptRecord(now, h.pendingRecord, e.Version)
		}
	case WriteConflict:
		if h.closeCommand(e.ID) {
			h.pendingWrite = Write{}
			h.commandFailed(now)
		}
	case WriteUnknown:
		if h.closeCommand(e.ID) {
			h.commandFailed(now)
		}
	case StoreUnavailable:
		if h.closeCommand(e.ID) {
			h.commandFailed(now)
			h.nextStepAt = h.retryTime(now)
		}
	}
	return h.nextCommand(now)
}

// closeCommand ends the command in flight if it has the given ID, and reports
// whether it did.
func (h *Holder) closeCommand(id uint64) bool {
	if id == 0 || id != h.inFlightCommand {
		return false
	}
	h.inFlightCommand = 0
	return true
}

// acquire starts to acquire the lease with a read.
func (h *Holder) acquire(now time.Time) {
	if h.wanted {
		return
	}
	h.wanted, h.foreignReads = true, 0
	h.ownRecord, h.fencingVersion = Record{}, ""
	h.nextStep, h.nextStepAt = stepLoad, now
}

// release schedules the write that releases the lease, if it is held.
func (h *Holder) release(now time.Time) {
	h.wanted = false
	h.nextStep, h.nextStepAt = stepNone, now
	if h.fencingVersion != "" {
		h.nextStep = stepWrite
	}
}

// commandFailed handles a command that did not succeed: it schedules a read of
// what is in the store. A lease that is not wanted is left to expire.
func (h *Holder) commandFailed(now time.Time) {
	h.nextStep, h.nextStepAt = stepLoad, now
	if !h.wanted {
		h.nextStep = stepNone
		h.ownRecord, h.fencingVersion = Record{}, ""
	}
}

// retryTime returns when to retry. Several retries fit between the renewal and
// the deadline.
func (h *Holder) retryTime(now time.Time) time.Time {
	pause := h.term / 32
	return now.Add(pause + time.Duration(h.jitter()*float64(pause)))
}

// nextReadTime counts a read of another host's lease and returns when to read it
// again. It spreads these reads over up to two terms. Hosts of different data
// centres disagree for a while about the owner, and would otherwise read the
// lease several times a second for that long.
func (h *Holder) nextReadTime(now time.Time) time.Time {
	pause := h.term / 32 << min(max(h.foreignReads-promptReads, 0), maxPauseDoublings)
	h.foreignReads++
	return now.Add(pause + time.Duration(h.jitter()*float64(pause)))
}

// loaded handles the result of a read, which also settles a write of unknown
// result. Any record of this incarnation was written by this holder, because it
// never has two writes with different expected versions in flight without a read
// in between.
func (h *Holder) loaded(now time.Time, e Loaded) {
	r, err := Decode(e.Value)
	valid := err == nil && e.Version != ""
	own := valid && r.Holder == h.host && r.Incarnation == h.incarnation
	if own {
		h.sequence = max(h.sequence, r.Sequence)
	}
	if own && !r.Released {
		h.adoptRecord(now, r, e.Version)
	} else {
		h.observe(now, r, e.Version, valid)
		h.ownRecord, h.fencingVersion = Record{}, ""
		h.nextStep, h.nextStepAt = stepWrite, h.takeoverTime()
		if nextRead := h.nextReadTime(now); nextRead.Before(h.nextStepAt) {
			// The other host may release the lease long before its deadline.
			h.nextStep, h.nextStepAt = stepLoad, nextRead
		}
		if !h.wanted {
			h.nextStep = stepNone
		}
	}
	if h.wanted && h.pendingWrite.ID != 0 && e.Version == h.pendingWrite.Expected && h.renewalTime(h.pendingRecord).After(now) {
		h.nextStep, h.nextStepAt = stepResend, now
		return
	}
	h.pendingWrite = Write{}
}

// observe stores the latest known object of the store.
func (h *Holder) observe(now time.Time, r Record, version Version, valid bool) {
	if version != h.storedVersion || h.firstSeenAt.IsZero() {
		h.firstSeenAt = now
	}
	h.storedRecord, h.storedVersion, h.storedValid = r, version, valid
}

// adoptRecord handles a record of this incarnation that is in the store.
func (h *Holder) adoptRecord(now time.Time, r Record, version Version) {
	h.observe(now, r, version, true)
	h.pendingWrite = Write{}
	if r.Released || version == h.revokedVersion {
		h.ownRecord, h.fencingVersion = Record{}, ""
		h.nextStep, h.nextStepAt = stepWrite, now
		if !h.wanted {
			h.nextStep = stepNone
		}
		return
	}
	h.ownRecord, h.fencingVersion = r, version
	h.nextStep, h.nextStepAt = stepWrite, h.renewalTime(r)
	if !h.wanted {
		h.nextStepAt = now
	}
}

// renewalTime returns when to renew a lease: at half its term, or up to an eighth
// of the term earlier.
func (h *Holder) renewalTime(r Record) time.Time {
	early := time.Duration(h.jitter() * float64(h.term) / 8)
	return r.Deadline.Add(-h.term/2 - early)
}

// takeoverTime returns when the object in the store may be replaced.
func (h *Holder) takeoverTime() time.Time {
	if h.storedVersion == "" || h.storedValid && h.storedRecord.Released {
		return h.firstSeenAt
	}
	// No holder writes a deadline after latest.
	latest := h.firstSeenAt.Add(MaxTerm + wagclock.MaxSkew)
	if !h.storedValid || h.storedRecord.Deadline.After(latest) {
		return latest.Add(wagclock.MaxSkew)
	}
	// Exactly at the limit, the last instant of the former holder may not be over
	// yet, so a nanosecond is added.
	return h.storedRecord.Deadline.Add(wagclock.MaxSkew + 1)
}

// nextCommand returns the next command if it is due.
func (h *Holder) nextCommand(now time.Time) []Command {
	if h.inFlightCommand != 0 || h.nextStep == stepNone || now.Before(h.nextStepAt) {
		return nil
	}
	next := h.nextStep
	h.nextStep = stepNone
	h.lastCommandID++
	h.inFlightCommand, h.commandExpiresAt = h.lastCommandID, now.Add(CommandTimeout)
	switch next {
	case stepLoad:
		return []Command{Load{ID: h.inFlightCommand}}
	case stepResend:
		h.pendingWrite.ID = h.inFlightCommand
	default:
		if err := h.composeWrite(now); err != nil {
			h.inFlightCommand = 0
			h.nextStep, h.nextStepAt = stepLoad, h.retryTime(now)
			return nil
		}
	}
	return []Command{h.pendingWrite}
}

// composeWrite prepares the write that acquires, renews or releases the lease.
func (h *Holder) composeWrite(now time.Time) error {
	h.sequence++
	next := Record{Holder: h.host, Incarnation: h.incarnation, Sequence: h.sequence, Released: !h.wanted}
	next.Deadline = now.Add(h.term)
	if next.Released {
		next.Deadline = now
		h.revokedVersion = h.storedVersion
	}
	next.Payload = h.payload(now, h.storedRecord, next)
	value, err := Encode(next)
	if err != nil {
		return err
	}
	h.pendingWrite, h.pendingRecord = Write{ID: h.inFlightCommand, Value: value, Expected: h.storedVersion}, next
	return nil
}
