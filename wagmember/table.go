package wagmember

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/waglease"
)

const (
	// MinHeartbeatInterval is the shortest time between two heartbeats to a member. It is
	// lengthened so that a round of heartbeats stays within BytesPerSecond.
	MinHeartbeatInterval = 200 * time.Millisecond
	// MaxBytesPerSecond is half of the control traffic of a host (11 KB/s).
	MaxBytesPerSecond = 11 * 1024 / 2
	// MissedHeartbeats is how many heartbeats a suspect has missed.
	MissedHeartbeats = 3
	// DelegateCount is the number of hosts that speak for a data centre.
	DelegateCount = 2
	// UnreachableTimeout is how long at least no delegate hears a data centre before
	// it is unreachable; it is lengthened with the delegates' intervals.
	UnreachableTimeout = 6 * time.Second
	// DeadMemberRetention is how long a dead member stays in the table.
	DeadMemberRetention = 10 * time.Minute

	// joinTime is how long a member that was never heard may be silent.
	joinTime = 3 * time.Second
	// askTime is the pause between two questions about the same suspect.
	askTime = time.Second
	// deadRounds is every how many rounds a dead member gets a heartbeat, so that
	// a host that was cut off learns that it has to refute.
	deadRounds = 10
	// refreshTime is how long a member of another data centre stays without word
	// of it. Delegates name one member every turnRounds rounds of up to 4.3 s (at
	// 1,500 hosts), so that a turn of MaxMembers takes 20 h.
	refreshTime = 24 * time.Hour
	// turnRounds is every how many rounds a delegate passes on one more member
	// and the data centres it reaches; with 28 of them that is most of a message.
	turnRounds = 4
	// changeRounds is in how many rounds a change is repeated.
	changeRounds = 3
)

// Table holds what one host believes of all others.
type Table struct {
	self    Entry
	members map[string]*member
	// names is the sorted key set of members; nil when it has to be rebuilt.
	names   []string
	history history
	// centres holds until when another data centre counts as reached by this host
	// or a delegate of its own; heard holds only what it heard itself. Only the
	// latter is told to others, or delegates would confirm each other for ever.
	centres map[string]time.Time
	heard   map[string]time.Time
	// delegates caches the delegates of all data centres; nil when a member
	// changed since.
	delegates map[string][]string
	// changes holds how often a changed member is still to be passed on.
	changes map[string]int
	round   int
	next    time.Time
	size    func(Heartbeat) int
	counts  Counts
}

// Counts counts what should be rare.
type Counts struct {
	// Malformed messages break a bound of size, state or time.
	Malformed uint64
	// StaleIncarnations entries carry an incarnation below the latest known one.
	StaleIncarnations uint64
	// RejectedWhenFull counts members that found no room.
	RejectedWhenFull uint64
}

type member struct {
	Entry
	// lost is when the member counts as silent unless it is heard.
	lost time.Time
	// ask is when the next third host is asked, and asked the latest one.
	ask    time.Time
	asked  string
	thirds int
	// forget is when a dead member, or one of another data centre without word of
	// it, leaves the table.
	forget time.Time
}

// Option sets a variable part of a table.
type Option func(*Table)

// WithSizeEstimator sets how many bytes a heartbeat takes on the wire.
func WithSizeEstimator(size func(Heartbeat) int) Option {
	return func(t *Table) { t.size = size }
}

// NewTable returns a table that knows only its own host.
func NewTable(now time.Time, self Member, options ...Option) *Table {
	self.State = Alive
	t := &Table{
		self:    Entry{Member: self},
		members: make(map[string]*member),
		history: newHistory(),
		centres: make(map[string]time.Time),
		heard:   make(map[string]time.Time),
		changes: make(map[string]int),
		next:    now,
		size:    EstimateSize,
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Self returns this host as it tells others of itself.
func (t *Table) Self() Member {
	return t.self.Member
}

// Members returns all others, ordered by name.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members))
	for _, name := range t.sorted() {
		list = append(list, t.members[name].Member)
	}
	return list
}

// AliveNames returns the names of a data centre's members that may own something,
// this host included, in order.
func (t *Table) AliveNames(dataCentre string) []string {
	var list []string
	if t.self.Member.DataCentre == dataCentre && t.self.Member.State == Alive {
		list = append(list, t.self.Member.Name)
	}
	for _, name := range t.sorted() {
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

// IsDelegate tells whether this host is a delegate of its data centre.
func (t *Table) IsDelegate() bool {
	return contains(t.DelegatesOf(t.self.Member.DataCentre), t.self.Member.Name)
}

// Counts returns the counters.
func (t *Table) Counts() Counts {
	return t.counts
}

// NextWake returns when Tick has to be called.
func (t *Table) NextWake() time.Time {
	return t.next
}

// IsSilent answers another host's AskThird. It is not ok when this host does not
// exchange heartbeats with the suspect; then no answer is given.
func (t *Table) IsSilent(now time.Time, name string, incarnation uint64) (silent, ok bool) {
	m := t.members[name]
	if m == nil || m.Member.Incarnation != incarnation || !t.local(m) {
		return false, false
	}
	return !now.Before(m.lost), true
}

// Handle takes one event.
func (t *Table) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case HeartbeatReceived:
		return t.received(now, e.Heartbeat)
	case StoreRecords:
		return t.records(now, e.Members)
	case SuspicionConfirmed:
		return t.confirmed(now, e)
	case SuspicionNotConfirmed:
		if m := t.members[e.Name]; m != nil && m.Member.Incarnation == e.Incarnation && m.asked == e.By {
			m.asked = ""
		}
	case Leave:
		t.self.Member.State = Leaving
		t.delegates = nil
		t.next = now
		return t.tick(now)
	case Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Table) tick(now time.Time) []Command {
	var commands []Command
	for _, name := range t.sorted() {
		commands = append(commands, t.check(now, t.members[name])...)
	}
	if now.Before(t.next) {
		return commands
	}
	return append(commands, t.beat(now)...)
}

// check moves one member by the time that has passed.
func (t *Table) check(now time.Time, m *member) []Command {
	if !t.local(m) {
		return t.reach(now, m)
	}
	switch m.Member.State {
	case Alive:
		if !now.Before(m.lost) {
			m.ask = now
			return append(t.change(m, Suspect), t.question(now, m)...)
		}
	case Suspect:
		return t.question(now, m)
	case Leaving:
		// A host that announced its leaving needs no third opinion.
		if !now.Before(m.lost) {
			return t.died(now, m)
		}
	case Dead:
		if !now.Before(m.forget) {
			t.remove(m.Member.Name)
		}
	}
	return nil
}

// reach marks the members of a data centre that no delegate hears. They are not
// declared dead: only their own data centre does that.
func (t *Table) reach(now time.Time, m *member) []Command {
	state := m.Member.State
	gone := !t.centres[m.Member.DataCentre].After(now)
	switch {
	case state != Unreachable && !now.Before(m.forget):
		t.remove(m.Member.Name)
	case state == Alive && gone:
		return t.change(m, Unreachable)
	case state == Unreachable && !gone:
		m.forget = now.Add(refreshTime)
		return t.change(m, Alive)
	}
	return nil
}

// question asks one more host of the data centre about a suspect. Without one
// the suspect stays suspect: a host that is cut off must not take over.
func (t *Table) question(now time.Time, m *member) []Command {
	if now.Before(m.ask) {
		return nil
	}
	m.ask, m.asked = now.Add(askTime), ""
	candidates := t.AliveNames(t.self.Member.DataCentre)
	for range candidates {
		m.thirds++
		name := candidates[m.thirds%len(candidates)]
		if third := t.members[name]; third != nil {
			m.asked = name
			return []Command{AskThirdHost{Third: third.Member, Suspect: m.Member}}
		}
	}
	return nil
}

func (t *Table) confirmed(now time.Time, e SuspicionConfirmed) []Command {
	m := t.members[e.Name]
	if m == nil || m.Member.Incarnation != e.Incarnation || m.Member.State != Suspect || m.asked != e.By {
		return nil
	}
	return t.died(now, m)
}

func (t *Table) died(now time.Time, m *member) []Command {
	m.forget = now.Add(DeadMemberRetention)
	m.asked = ""
	return t.change(m, Dead)
}

// change is the only place where the state of a known incarnation changes.
func (t *Table) change(m *member, state State) []Command {
	if m.Member.State == state {
		return nil
	}
	m.Member.State = state
	t.delegates = nil
	t.changes[m.Member.Name] = changeRounds
	return []Command{MemberChanged{Member: m.Member, State: state}}
}

func (t *Table) local(m *member) bool {
	return m.Member.DataCentre == t.self.Member.DataCentre
}

func (t *Table) remove(name string) {
	delete(t.members, name)
	delete(t.changes, name)
	t.names, t.delegates = nil, nil
}

func (t *Table) sorted() []string {
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

// begun tells whether an incarnation starts no later than the clocks allow.
func begun(now time.Time, incarnation uint64) bool {
	return incarnation != 0 && !StartTime(incarnation).After(now.Add(wagclock.MaxSkew))
}
