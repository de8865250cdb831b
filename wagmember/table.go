package wagmember

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/waglease"
)

const (
	// MinHeartbeatInterval is the least time between two rounds of heartbeats. The
	// interval gets longer when a round would exceed MaxBytesPerSecond.
	MinHeartbeatInterval = 200 * time.Millisecond
	// MaxBytesPerSecond bounds the heartbeats that a host sends: half of the 11 KB/s
	// that its control traffic may take.
	MaxBytesPerSecond = 11 * 1024 / 2
	// MissedHeartbeats is the number of intervals without a heartbeat after which a
	// member becomes suspect.
	MissedHeartbeats = 3
	// DelegateCount is the number of delegates of a data centre: the hosts that
	// exchange heartbeats with other data centres on behalf of all.
	DelegateCount = 2
	// UnreachableTimeout is the least time without a heartbeat to any delegate after
	// which a data centre is unreachable. It gets longer with the intervals of the
	// heartbeats of delegates.
	UnreachableTimeout = 6 * time.Second
	// DeadMemberRetention is how long a dead member stays in the table.
	DeadMemberRetention = 10 * time.Minute

	// firstHeartbeatTimeout bounds the time to the first heartbeat of a new member.
	firstHeartbeatTimeout = 3 * time.Second
	// askInterval is the time between two questions to third hosts about the same
	// suspect.
	askInterval = time.Second
	// roundsPerDeadHeartbeat is the number of rounds between two heartbeats to a dead
	// member. They show a host that was cut off that it has to refute its death.
	roundsPerDeadHeartbeat = 10
	// remoteMemberRetention is how long a member of another data centre stays in the
	// table without any report about it. Delegates report one member every
	// roundsPerRotation rounds of up to 4.3 s (with 1,500 hosts), so that all
	// MaxMembers are reported once in 20 h.
	remoteMemberRetention = 24 * time.Hour
	// roundsPerRotation is the number of rounds after which a delegate reports the
	// next member in turn and the data centres that it hears. Not every round does,
	// because with 28 data centres this is most of a message.
	roundsPerRotation = 4
	// changeRepeats is the number of rounds in which a change is reported.
	changeRepeats = 3
)

// Table holds the members as one host sees them.
type Table struct {
	self    Entry
	members map[string]*member
	// names holds the sorted keys of members, or nil when it has to be rebuilt.
	names   []string
	history history
	// reachableUntil holds until when each other data centre counts as reachable,
	// because this host or a delegate of its data centre heard it. heardUntil
	// contains only what this host heard itself. Only the latter is reported to
	// others, or delegates would confirm each other forever.
	reachableUntil map[string]time.Time
	heardUntil     map[string]time.Time
	// delegates caches the delegates of each data centre. It is reset to nil when a
	// member changes.
	delegates map[string][]string
	// repeatsLeft holds in how many more rounds each changed member is reported.
	repeatsLeft  map[string]int
	round        int
	nextRound    time.Time
	estimateSize func(Heartbeat) int
	counts       Counts
}

// Counts holds counters of rare events.
type Counts struct {
	// Malformed counts messages that violate a bound of size, state or time.
	Malformed uint64
	// StaleIncarnations counts entries with an incarnation below the latest known
	// one.
	StaleIncarnations uint64
	// RejectedWhenFull counts new members that were not added because the table was
	// full.
	RejectedWhenFull uint64
}

// member is a member with the state that only this host keeps.
type member struct {
	Entry
	// silentAt is when the member counts as silent unless a heartbeat arrives.
	silentAt time.Time
	// nextAsk is when the next third host is asked. askedHost is the host whose reply
	// is awaited, or empty. askCount selects the hosts to ask in turn.
	nextAsk   time.Time
	askedHost string
	askCount  int
	// removeAt is when a dead member, or a member of another data centre that
	// nothing was reported about, is removed from the table.
	removeAt time.Time
}

// Option sets a property of a Table.
type Option func(*Table)

// WithSizeEstimator sets the function that estimates the size of a heartbeat on the
// wire, in bytes. The default is EstimateSize.
func WithSizeEstimator(size func(Heartbeat) int) Option {
	return func(t *Table) { t.estimateSize = size }
}

// NewTable returns a table that contains only this host.
func NewTable(now time.Time, self Member, options ...Option) *Table {
	self.State = Alive
	t := &Table{
		self:           Entry{Member: self},
		members:        make(map[string]*member),
		history:        newHistory(),
		reachableUntil: make(map[string]time.Time),
		heardUntil:     make(map[string]time.Time),
		repeatsLeft:    make(map[string]int),
		nextRound:      now,
		estimateSize:   EstimateSize,
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Self returns this host.
func (t *Table) Self() Member {
	return t.self.Member
}

// Members returns all other hosts, sorted by name.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members))
	for _, name := range t.sortedNames() {
		list = append(list, t.members[name].Member)
	}
	return list
}

// AliveNames returns the sorted names of the hosts of a data centre that are alive
// and may own groups and leases, this host included.
func (t *Table) AliveNames(dataCentre string) []string {
	var list []string
	if t.self.Member.DataCentre == dataCentre && t.self.Member.State == Alive {
		list = append(list, t.self.Member.Name)
	}
	for _, name := range t.sortedNames() {
		m := t.members[name].Member
		if m.DataCentre == dataCentre && m.State == Alive {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	return list
}

// DelegatesOf returns the delegates of a data centre.
func (t *Table) DelegatesOf(dataCentre string) []string {
	if t.delegates == nil {
		t.delegates = make(map[string][]string)
	}
	list, ok := t.delegates[dataCentre]
	if !ok {
		list = waglease.Rank("delegates/"+dataCentre, t.AliveNames(dataCentre), DelegateCount)
		t.delegates[dataCentre] = list
	}
	return list
}

// IsDelegate reports whether this host is a delegate of its data centre.
func (t *Table) IsDelegate() bool {
	return contains(t.DelegatesOf(t.self.Member.DataCentre), t.self.Member.Name)
}

// Counts returns the counters.
func (t *Table) Counts() Counts {
	return t.counts
}

// NextWake returns when the next Tick has to be passed in.
func (t *Table) NextWake() time.Time {
	return t.nextRound
}

// IsSilent reports whether this host, as a third host, does not hear a suspect. It
// returns not ok if this host exchanges no heartbeats with the suspect and thus
// cannot tell.
func (t *Table) IsSilent(now time.Time, name string, incarnation uint64) (silent, ok bool) {
	m := t.members[name]
	if m == nil || m.Member.Incarnation != incarnation || !t.isLocal(m) {
		return false, false
	}
	return !now.Before(m.silentAt), true
}

// Handle handles an event and returns the commands to execute.
func (t *Table) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case HeartbeatReceived:
		return t.handleHeartbeat(now, e.Heartbeat)
	case StoreRecords:
		return t.handleRecords(now, e.Members)
	case SuspicionConfirmed:
		return t.handleConfirmed(now, e)
	case SuspicionNotConfirmed:
		if m := t.members[e.Name]; m != nil && m.Member.Incarnation == e.Incarnation && m.askedHost == e.By {
			m.askedHost = ""
		}
	case Leave:
		t.self.Member.State = Leaving
		t.delegates = nil
		t.nextRound = now
		return t.tick(now)
	case Tick:
		return t.tick(now)
	}
	return nil
}

// tick checks all members and sends a round of heartbeats if it is due.
func (t *Table) tick(now time.Time) []Command {
	var commands []Command
	for _, name := range t.sortedNames() {
		commands = append(commands, t.checkMember(now, t.members[name])...)
	}
	if now.Before(t.nextRound) {
		return commands
	}
	return append(commands, t.sendRound(now)...)
}

// checkMember changes the state of a member if it is due by now.
func (t *Table) checkMember(now time.Time, m *member) []Command {
	if !t.isLocal(m) {
		return t.updateReachability(now, m)
	}
	switch m.Member.State {
	case Alive:
		if !now.Before(m.silentAt) {
			m.nextAsk = now
			return append(t.setState(m, Suspect), t.askThirdHost(now, m)...)
		}
	case Suspect:
		return t.askThirdHost(now, m)
	case Leaving:
		// A host that announced its shutdown is dead once it is silent; no third host
		// is asked.
		if !now.Before(m.silentAt) {
			return t.markDead(now, m)
		}
	case Dead:
		if !now.Before(m.removeAt) {
			t.remove(m.Member.Name)
		}
	}
	return nil
}

// updateReachability marks a member of another data centre as unreachable if no
// delegate hears that data centre, and removes it when its retention is over. It
// is not declared dead: only hosts of its own data centre do that.
func (t *Table) updateReachability(now time.Time, m *member) []Command {
	state := m.Member.State
	unreachable := !t.reachableUntil[m.Member.DataCentre].After(now)
	switch {
	case state != Unreachable && !now.Before(m.removeAt):
		t.remove(m.Member.Name)
	case state == Alive && unreachable:
		return t.setState(m, Unreachable)
	case state == Unreachable && !unreachable:
		m.removeAt = now.Add(remoteMemberRetention)
		return t.setState(m, Alive)
	}
	return nil
}

// askThirdHost asks the next host of the data centre about a suspect. Without
// another host the member stays suspect, because a host that is cut off must not
// take over what the others own.
func (t *Table) askThirdHost(now time.Time, m *member) []Command {
	if now.Before(m.nextAsk) {
		return nil
	}
	m.nextAsk, m.askedHost = now.Add(askInterval), ""
	candidates := t.AliveNames(t.self.Member.DataCentre)
	for range candidates {
		m.askCount++
		name := candidates[m.askCount%len(candidates)]
		if third := t.members[name]; third != nil {
			m.askedHost = name
			return []Command{AskThirdHost{Third: third.Member, Suspect: m.Member}}
		}
	}
	return nil
}

// handleConfirmed declares a suspect dead if the third host that was asked last
// does not hear it either.
func (t *Table) handleConfirmed(now time.Time, e SuspicionConfirmed) []Command {
	m := t.members[e.Name]
	if m == nil || m.Member.Incarnation != e.Incarnation || m.Member.State != Suspect || m.askedHost != e.By {
		return nil
	}
	return t.markDead(now, m)
}

func (t *Table) markDead(now time.Time, m *member) []Command {
	m.removeAt = now.Add(DeadMemberRetention)
	m.askedHost = ""
	return t.setState(m, Dead)
}

// setState changes the state of a known incarnation. Nothing else may do so.
func (t *Table) setState(m *member, state State) []Command {
	if m.Member.State == state {
		return nil
	}
	m.Member.State = state
	t.delegates = nil
	t.repeatsLeft[m.Member.Name] = changeRepeats
	return []Command{MemberChanged{Member: m.Member, State: state}}
}

func (t *Table) isLocal(m *member) bool {
	return m.Member.DataCentre == t.self.Member.DataCentre
}

func (t *Table) remove(name string) {
	delete(t.members, name)
	delete(t.repeatsLeft, name)
	t.names, t.delegates = nil, nil
}

func (t *Table) sortedNames() []string {
	if t.names == nil {
		t.names = make([]string, 0, len(t.members))
		for name := range t.members {
			t.names = append(t.names, name)
		}
		sort.Strings(t.names)
	}
	return t.names
}

func contains(list []string, name string) bool {
	for _, v := range list {
		if v == name {
			return true
		}
	}
	return false
}

// plausibleStart reports whether the start time of an incarnation is not in the
// future by more than the clocks may differ.
func plausibleStart(now time.Time, incarnation uint64) bool {
	return incarnation != 0 && !StartTime(incarnation).After(now.Add(wagclock.MaxSkew))
}
