// Package wagclaim runs requests with an idempotency key at most once. The keys
// are divided into partitions. The owner of a partition claims keys in batches,
// with conditional updates of one object in the store. The package does no I/O:
// it takes events and the current time, and returns commands.
package wagclaim

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// Event is an input of a Partition: one of LeaseAcquired, LeaseRenewed,
// LeaseLost, Submit, Written, WriteConflict, WriteUnknown, WriteFailed, Loaded,
// LoadFailed, DispatchFinished, DispatchNotSent and Tick.
type Event interface{ event() }

// LeaseAcquired reports that the host has acquired the lease of the partition.
type LeaseAcquired struct{ Deadline time.Time }

// LeaseRenewed reports that the host has extended the lease to a later deadline.
type LeaseRenewed struct{ Deadline time.Time }

// LeaseLost reports that the host has given up the lease.
type LeaseLost struct{}

// Submit is one attempt at a keyed request, from any host.
type Submit struct {
	// AttemptID is unique among the attempts that wait at one partition.
	AttemptID uint64
	Key       Key
	// Fingerprint identifies the method, path and body; see the function
	// Fingerprint.
	Fingerprint Digest
	// Deadline is the caller's deadline for the request.
	Deadline time.Time
}

// Written reports that the write with this sequence number took effect.
type Written struct {
	Sequence uint64
	Version  wagstore.Version
}

// WriteConflict reports that the object had another version than expected.
type WriteConflict struct{ Sequence uint64 }

// WriteUnknown reports that the write may have taken effect.
type WriteUnknown struct{ Sequence uint64 }

// WriteFailed reports that the write did not take effect.
type WriteFailed struct{ Sequence uint64 }

// Loaded is the result of a read. The version of a missing object is empty.
type Loaded struct {
	Name    string
	Value   []byte
	Version wagstore.Version
}

// LoadFailed reports that a read failed.
type LoadFailed struct{ Name string }

// DispatchFinished reports how a dispatched request ended.
type DispatchFinished struct {
	Key     Digest
	Outcome wagoutcome.Outcome
	// Status and Body are those of the response when Outcome is Done.
	Status int
	Body   []byte
}

// DispatchNotSent reports that Dispatch.CanSend returned false and no byte was
// sent.
type DispatchNotSent struct{ Key Digest }

// Tick reports that the time returned by NextWake has come.
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

// Command is an output of a Partition or an Issuer: one of Write, Load, Delete,
// Dispatch and Response.
type Command interface{ command() }

// Write updates an object if it still has the expected version. An empty expected
// version creates the object.
type Write struct {
	Name     string
	Value    []byte
	Expected wagstore.Version
	Sequence uint64
}

// Load reads an object.
type Load struct{ Name string }

// Delete removes an object that is no longer referenced. It may fail.
type Delete struct{ Name string }

// Dispatch sends the request to a server. There is at most one Dispatch for a
// claim.
type Dispatch struct {
	// AttemptID is the attempt whose request is sent.
	AttemptID uint64
	Key       Digest
	// StartBy is sent to the server as the latest time at which it may start the
	// request. It is within the lease, so a server refuses a request that a
	// former owner sends late.
	StartBy time.Time
}

// CanSend reports whether the request may still be sent. It must be checked
// immediately before the first byte is written, after every point at which the
// process may block. If it returns false, DispatchNotSent must follow.
func (d Dispatch) CanSend(now time.Time) bool {
	return now.Before(d.StartBy)
}

// Response ends one attempt.
type Response struct {
	AttemptID uint64
	Outcome   wagoutcome.Outcome
	Reason    wagoutcome.Reason
	// Status and Body are those of the recorded response when Outcome is Done.
	Status int
	Body   []byte
	// BodyKept is false when the body of the recorded response was not kept: it
	// was too long, or the partition had no room for it.
	BodyKept bool
	// MayResubmit is set when this host will never send the attempt's request.
	// The attempt may then be submitted to the current owner instead of being
	// answered.
	MayResubmit bool
}

func (Write) command()    {}
func (Load) command()     {}
func (Delete) command()   {}
func (Dispatch) command() {}
func (Response) command() {}

// Limits of a partition. With them, 64 partitions of a few services fit into the
// 256 MB of a host.
const (
	// MaxBodyBytes is the size of the longest response body that is recorded.
	MaxBodyBytes = 1024
	// maxRecordedBytes limits the recorded bodies that a partition keeps in
	// memory. Further responses are recorded without their bodies.
	maxRecordedBytes = 1 << 20
	// DefaultMaxClaims limits the claims that a partition keeps in memory.
	DefaultMaxClaims = 1 << 16
	// DefaultMaxPending limits the claims that wait for a write to the store.
	DefaultMaxPending = 1024
	// DefaultArchiveThreshold is the size of the head, in bytes, above which
	// settled claims move to an archive. Every write contains the whole head:
	// with a threshold of 64 KB, a write with a single claim would cost 32 KB,
	// more than a host may send per second.
	DefaultArchiveThreshold = 8 << 10
	// DefaultRetention is how long a settled claim is kept.
	DefaultRetention = 24 * time.Hour
	// MaxWaitingAttempts limits the attempts that wait for one claim.
	MaxWaitingAttempts = 64
)

const (
	// DefaultOutcomeDelay is how long an outcome waits to be written together
	// with the next claim. Writing each outcome at once would double the number
	// of writes.
	DefaultOutcomeDelay = 50 * time.Millisecond
	// storeRetryDelay is the pause before a failed request to the store is
	// repeated.
	storeRetryDelay = 200 * time.Millisecond
)
