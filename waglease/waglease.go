package waglease

import (
	"time"
)

// Version names one state of the lease object in the store. The holder presents
// it as its fencing version. It is compared for equality only.
type Version string

// Event is one of Loaded, Written, Conflicted, WriteUnknown, Unavailable, Tick,
// Want and Release. ID repeats the ID of the command that is answered; an
// answer with another ID is late and is ignored.
type Event interface{ isEvent() }

// Loaded brings the object; without an object the version is empty.
type Loaded struct {
	ID      uint64
	Value   []byte
	Version Version
}

// Written tells that the write took effect.
type Written struct {
	ID      uint64
	Version Version
}

// WriteConflict tells that the object had another version.
type WriteConflict struct{ ID uint64 }

// WriteUnknown tells that the write may have taken effect.
type WriteUnknown struct{ ID uint64 }

// StoreUnavailable tells that the store did not take the command.
type StoreUnavailable struct{ ID uint64 }

// Tick tells that time has passed; see Holder.NextWake.
type Tick struct{}

// Acquire tells that this host is to hold the lease.
type Acquire struct{}

// Release gives the lease up. Held is false from then on.
type Release struct{}

func (Loaded) isEvent()           {}
func (Written) isEvent()          {}
func (WriteConflict) isEvent()    {}
func (WriteUnknown) isEvent()     {}
func (StoreUnavailable) isEvent() {}
func (Tick) isEvent()             {}
func (Acquire) isEvent()          {}
func (Release) isEvent()          {}

// Command is one of Load and Write. A holder has at most one open command; a
// command that gets no answer is given up after AnswerTime.
type Command interface{ isCommand() }

// Load asks for the object.
type Load struct{ ID uint64 }

// Write asks for a conditional write; with an empty expected version it only
// creates.
type Write struct {
	ID       uint64
	Value    []byte
	Expected Version
}

func (Load) isCommand()  {}
func (Write) isCommand() {}

const (
	// MaxTerm is the longest term of a lease. A deadline further away is
	// treated as damaged, so that it cannot block the lease for ever.
	MaxTerm = 10 * time.Minute
	// CommandTimeout is how long a command may stay open.
	CommandTimeout = 5 * time.Second
	// MaxPayloadBytes bounds the payload kept with a lease, in bytes.
	MaxPayloadBytes = 4 << 10
	// MaxValueBytes bounds the encoded lease object, in bytes.
	MaxValueBytes = 8 << 10
)

// PayloadFunc composes the payload of a write that makes or renews a lease. It gets
// the record that is replaced, which is zero when there is none, and the record
// that will be written.
type PayloadFunc func(now time.Time, previous, next Record) []byte
