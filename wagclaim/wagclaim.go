// Package wagclaim runs keyed work at most once. The owner of a partition of
// the keys claims them in batches, in conditional updates of one object of the
// store. The package does no I/O: events go in with the time, commands come out.
package wagclaim

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// Event is something that happened to a partition: one of Acquired, Renewed,
// Lost, Submit, Written, Conflicted, WriteUnknown, WriteFailed, Loaded,
// LoadFailed, Finished, NotSent and Tick.
type Event interface{ event() }

// LeaseAcquired tells that the host has taken the partition's lease.
type LeaseAcquired struct{ Deadline time.Time }

// LeaseRenewed tells that the host still holds the lease, until a later deadline.
type LeaseRenewed struct{ Deadline time.Time }

// LeaseLost tells that the host gave up the lease.
type LeaseLost struct{}

// Submit is one attempt at a keyed call, from any host.
type Submit struct {
	// AttemptID is unique among the attempts that one partition waits for.
	AttemptID uint64
	Key       Key
	// Fingerprint identifies method, path and body; see Fingerprint.
	Fingerprint Digest
	// Deadline is the caller's.
	Deadline time.Time
}

// Written tells that the write with this sequence took effect.
type Written struct {
	Sequence uint64
	Version  wagstore.Version
}

// WriteConflict tells that the object had another version than expected.
type WriteConflict struct{ Sequence uint64 }

// WriteUnknown tells that the write may have taken effect.
type WriteUnknown struct{ Sequence uint64 }

// WriteFailed tells that the store did not take the write.
type WriteFailed struct{ Sequence uint64 }

// Loaded is the result of a read. An object that is absent has no version.
type Loaded struct {
	Name    string
	Value   []byte
	Version wagstore.Version
}

// LoadFailed tells that a read failed.
type LoadFailed struct{ Name string }

// DispatchFinished is the end of a call that was dispatched.
type DispatchFinished struct {
	Key     Digest
	Outcome wagoutcome.Outcome
	// Status and Body belong to an answer that is Done.
	Status int
	Body   []byte
}

// DispatchNotSent tells that Dispatch.Sendable failed and that no byte was sent.
type DispatchNotSent struct{ Key Digest }

// Tick tells that the time of NextWake has come.
type Tick struct{}

func (LeaseAcquired) event()    {}
func (LeaseRenewed) event()     {}
func (LeaseLost) event()        {}
func (Submit) event()           {}
func (Written) event()          {}
func (WriteConflict) event()    {}
func (WriteUnknown) event()     {}
func (WriteFailed) event()      {}
func (Loaded) event()           {}
func (LoadFailed) event()       {}
func (DispatchFinished) event() {}
func (DispatchNotSent) event()  {}
func (Tick) event()             {}

// Command is something to be done: one of Write, Load, Remove, Dispatch and
// Answer.
type Command interface{ command() }

// Write is a conditional update. With an empty expected version it creates.
type Write struct {
	Name     string
	Value    []byte
	Expected wagstore.Version
	Sequence uint64
}

// Load is a read of one object.
type Load struct{ Name string }

// Delete deletes an object that nothing refers to any more. It may fail.
type Delete struct{ Name string }

// Dispatch sends a call to a server. It is given once for a claim.
type Dispatch struct {
	// AttemptID is the attempt whose request is sent.
	AttemptID uint64
	Key       Digest
	// StartBy goes to the server as the deadline of the call. It lies inside
	// the lease, so that a server refuses what a former owner sends late.
	StartBy time.Time
}

// CanSend is checked immediately before the first byte is written, after every
// point at which the process may wait. When it fails, NotSent has to follow.
func (d Dispatch) CanSend(now time.Time) bool {
	return now.Before(d.StartBy)
}

// Response ends one attempt.
type Response struct {
	AttemptID uint64
	Outcome   wagoutcome.Outcome
	Reason    wagoutcome.Reason
	// Status and Body are those of the recorded answer when Outcome is Done.
	Status int
	Body   []byte
	// BodyKept is false when the recorded answer was too long to be kept.
	BodyKept bool
	// MayResubmit tells that this host never sends the attempt, so that it may be
	// submitted to the present owner instead of being answered.
	MayResubmit bool
}

func (Write) command()    {}
func (Load) command()     {}
func (Delete) command()   {}
func (Dispatch) command() {}
func (Response) command() {}

// Bounds of a partition. They keep 64 partitions of a few services inside the
// 256 MB of a host.
const (
	// MaxBodyBytes is the longest answer that is recorded, in bytes.
	MaxBodyBytes = 1024
	// maxBodies bounds the recorded answers of a partition in memory, in bytes.
	// Further answers are recorded without their bodies.
	maxBodies = 1 << 20
	// DefaultMaxClaims bounds the claims that one partition remembers.
	DefaultMaxClaims = 1 << 16
	// DefaultMaxPending bounds the claims that wait for the store.
	DefaultMaxPending = 1024
	// DefaultArchiveThreshold is the size of the head from which settled claims
	// move to an archive. Every write carries the whole head: with 64 KB a claim
	// that is alone in its write costs 32 KB, more than a host may send a second.
	DefaultArchiveThreshold = 8 << 10
	// DefaultRetention is how long a settled claim is remembered.
	DefaultRetention = 24 * time.Hour
	// MaxWaitingAttempts bounds the attempts that wait for one claim.
	MaxWaitingAttempts = 64
)

const (
	// DefaultOutcomeDelay lets outcomes wait for the next claim, so that they do not
	// double the number of writes.
	DefaultOutcomeDelay = 50 * time.Millisecond
	// storeWait separates attempts at a store that fails.
	storeWait = 200 * time.Millisecond
)
