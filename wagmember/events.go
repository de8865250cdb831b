package wagmember

import (
	"time"
)

// Entry is what one host reports about another or about itself.
type Entry struct {
	Member Member
	// Refutation is increased by the member itself to refute a suspicion.
	Refutation uint64
}

// Heartbeat is the membership part of the heartbeats that hosts send each other.
// The sender adds the state of other packages, such as the digest of the documents.
type Heartbeat struct {
	// From is the sender; its state is Alive or Leaving.
	From Entry
	// SentAt and NextAt are times of the sender's clock. The next heartbeat to the
	// same host is due at NextAt.
	SentAt time.Time
	NextAt time.Time
	// ReachableDataCentres lists the other data centres that the sender, a
	// delegate, has heard lately.
	ReachableDataCentres []string
	// Entries holds reports about other members, at most MaxEntries.
	Entries []Entry
}

// Event is one of HeartbeatReceived, Tick, SuspicionConfirmed,
// SuspicionNotConfirmed, StoreRecords and Leave.
type Event interface{ isEvent() }

// HeartbeatReceived passes in a heartbeat of another host.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// Tick lets the table do what is due; see Table.NextWake.
type Tick struct{}

// SuspicionConfirmed reports that a third host does not hear the suspect either.
type SuspicionConfirmed struct {
	By          string
	Name        string
	Incarnation uint64
}

// SuspicionNotConfirmed reports that a third host still hears the suspect.
type SuspicionNotConfirmed struct {
	By          string
	Name        string
	Incarnation uint64
}

// StoreRecords passes in the hosts that are recorded in the store when this host
// joins, or a host that replied at the address of a seed.
type StoreRecords struct{ Members []Member }

// Leave starts the graceful shutdown of this host, which it announces to the
// others.
type Leave struct{}

func (HeartbeatReceived) isEvent()     {}
func (Tick) isEvent()                  {}
func (SuspicionConfirmed) isEvent()    {}
func (SuspicionNotConfirmed) isEvent() {}
func (StoreRecords) isEvent()          {}
func (Leave) isEvent()                 {}

// Command is one of SendHeartbeat, AskThirdHost, MemberChanged and Replaced.
type Command interface{ isCommand() }

// SendHeartbeat sends a heartbeat to a member.
type SendHeartbeat struct {
	To        Member
	Heartbeat Heartbeat
}

// AskThirdHost asks a third host whether it hears the suspect. The third host
// replies with the result of Table.IsSilent.
type AskThirdHost struct {
	Third   Member
	Suspect Member
}

// MemberChanged reports that a member has a new state or incarnation.
type MemberChanged struct {
	Member Member
	State  State
}

// Replaced reports that a newer process with the name of this host exists. This
// process has to stop.
type Replaced struct{ Incarnation uint64 }

func (SendHeartbeat) isCommand() {}
func (AskThirdHost) isCommand()  {}
func (MemberChanged) isCommand() {}
func (Replaced) isCommand()      {}
