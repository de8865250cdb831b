package wagmember

import (
	"time"
)

// Entry is what one host tells of another.
type Entry struct {
	Member Member
	// Refutation is raised by the member itself to refute a suspicion.
	Refutation uint64
}

// Heartbeat is what hosts send each other. The shell adds what other cores have
// to say, such as the digest of revisions.
type Heartbeat struct {
	// From is the sender; its state is Alive or Leaving.
	From Entry
	// SentAt and Next are times of the sender's clock; the next heartbeat to the
	// same host is due at Next.
	SentAt time.Time
	NextAt time.Time
	// ReachableDataCentres lists the other data centres that the sender, a delegate, hears.
	ReachableDataCentres []string
	// Entries has at most MaxEntries elements.
	Entries []Entry
}

// Event is one of Received, Tick, Confirmed, NotConfirmed, StoreRecords and
// Leave.
type Event interface{ isEvent() }

// HeartbeatReceived brings a heartbeat.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// Tick tells that time has passed; see Table.NextWake.
type Tick struct{}

// SuspicionConfirmed tells that a third host does not hear the suspect either.
type SuspicionConfirmed struct {
	By          string
	Name        string
	Incarnation uint64
}

// SuspicionNotConfirmed tells that a third host still hears the suspect.
type SuspicionNotConfirmed struct {
	By          string
	Name        string
	Incarnation uint64
}

// StoreRecords brings the records of hosts/ that were read at joining.
type StoreRecords struct{ Members []Member }

// Leave announces that this host is leaving.
type Leave struct{}

func (HeartbeatReceived) isEvent()     {}
func (Tick) isEvent()                  {}
func (SuspicionConfirmed) isEvent()    {}
func (SuspicionNotConfirmed) isEvent() {}
func (StoreRecords) isEvent()          {}
func (Leave) isEvent()                 {}

// Command is one of SendHeartbeat, AskThird, Changed and Replaced.
type Command interface{ isCommand() }

// SendHeartbeat asks for a heartbeat to a member.
type SendHeartbeat struct {
	To        Member
	Heartbeat Heartbeat
}

// AskThirdHost asks a third host whether it hears the suspect. The third host
// answers with Table.Silent.
type AskThirdHost struct {
	Third   Member
	Suspect Member
}

// MemberChanged tells that a member has a new state or incarnation.
type MemberChanged struct {
	Member Member
	State  State
}

// Replaced tells that a newer incarnation of this host's name exists; this
// process has to stop.
type Replaced struct{ Incarnation uint64 }

func (SendHeartbeat) isCommand() {}
func (AskThirdHost) isCommand()  {}
func (MemberChanged) isCommand() {}
func (Replaced) isCommand()      {}
