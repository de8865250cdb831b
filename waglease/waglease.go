package waglease

import (
	"time"
)

// Version identifies one state of the lease object in the store. The holder
// presents it as its fencing token. Versions can only be compared for equality.
type Version string

// Event is an input of a Holder: one of Loaded, Written, WriteConflict,
// WriteUnknown, StoreUnavailable, Tick, Acquire and Release. The first five are
// replies; their ID is that of the command. A reply with another ID is late and
// ignored.
type Event interface{ isEvent() }

// Loaded is the result of a read. The version of a missing object is empty.
type Loaded struct {
	ID      uint64
	Value   []byte
	Version Version
}

// Written reports that the write took effect.
type Written struct {
	ID      uint64
	Version Version
}

// WriteConflict reports that the object had another version than expected.
type WriteConflict struct{ ID uint64 }

// WriteUnknown reports that the write may have taken effect.
type WriteUnknown struct{ ID uint64 }

// StoreUnavailable reports that the store did not execute the command.
type StoreUnavailable struct{ ID uint64 }

// Tick reports that the time returned by Holder.NextWake has come.
type Tick struct{}

// Acquire makes the holder acquire the lease and keep it renewed.
type Acquire struct{}

// Release makes the holder release the lease. Holder.IsHeld returns false from
// then on.
type Release struct{}

func (Loaded) isEvent()           {}
func (Written) isEvent()          {}
func (WriteConflict) isEvent()    {}
func (WriteUnknown) isEvent()     {}
func (StoreUnavailable) isEvent() {}
func (Tick) isEvent()             {}
func (Acquire) isEvent()          {}
func (Release) isEvent()          {}

// Command is an output of a Holder: one of Load and Write. A holder has at most
// one command in flight. A command without a reply times out after
// CommandTimeout.
type Command interface{ isCommand() }

// Load reads the object.
type Load struct{ ID uint64 }

// Write updates the object if it still has the expected version. An empty
// expected version creates the object.
type Write struct {
	ID       uint64
	Value    []byte
	Expected Version
}

func (Load) isCommand()  {}
func (Write) isCommand() {}

const (
	// MaxTerm is the longest term of a lease. A record with a later deadline is
	// treated as damaged, so that it cannot block the lease for ever.
	MaxTerm = 10 * time.Minute
	// CommandTimeout bounds how long a command waits for its reply.
	CommandTimeout = 5 * time.Second
	// MaxPayloadBytes limits the payload that is stored with a lease.
	MaxPayloadBytes = 4 << 10
	// MaxValueBytes limits the encoded lease object.
	MaxValueBytes = 8 << 10
)

// PayloadFunc returns the payload of a write that acquires, renews or releases a
// lease. Its arguments are the record to be replaced, which is zero if there is
// none, and the record to be written.
type PayloadFunc func(now time.Time, previous, next Record) []byte
