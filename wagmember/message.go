package wagmember

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// MaxEntries bounds the entries of a heartbeat.
	MaxEntries = 16
	// MaxReachableDataCentres bounds the data centres in a heartbeat.
	MaxReachableDataCentres = 64
	// MaxHeartbeatInterval bounds the announced time to the next heartbeat.
	MaxHeartbeatInterval = 10 * time.Second

	maxName       = 64
	maxAge        = 10 * time.Second
	maxRefutation = 1 << 32
	// maxChanges bounds the changes in a heartbeat; the rest of the entries is
	// for the turn of the other members and for the recipient itself.
	maxChanges = 8

	// Bytes on the wire beside the fields: IP, TCP, TLS and drpc frames with one
	// acknowledgement, and the tags, ports and numbers of a member.
	frameBytes  = 120
	memberBytes = 64
)

// EstimateSize returns an upper bound of the bytes of a heartbeat on the wire.
func EstimateSize(h Heartbeat) int {
	bytes := frameBytes + entrySize(h.From) + 2*8
	for _, name := range h.ReachableDataCentres {
		bytes += len(name) + 2
	}
	for _, e := range h.Entries {
		bytes += entrySize(e) + 2
	}
	return bytes
}

func entrySize(e Entry) int {
	m := e.Member
	return memberBytes + len(m.Name) + len(m.DataCentre) + len(m.Region)
}

// beat sends a round of heartbeats and sets the time of the next one by the
// bytes of this one.
func (t *Table) beat(now time.Time) []Command {
	t.round++
	delegate := t.IsDelegate()
	near := Heartbeat{From: t.self, SentAt: now, Entries: t.entries(false)}
	far := Heartbeat{From: t.self, SentAt: now, Entries: t.entries(true)}
	if delegate && t.round%turnRounds == 0 {
		near.ReachableDataCentres = t.reached(now)
	}
	t.age()
	var sends []SendHeartbeat
	bytes := 0
	for _, name := range t.sorted() {
		m := t.members[name]
		if !t.contacts(m, delegate) {
			continue
		}
		h := far
		if t.local(m) {
			h = near
		}
		if m.Member.State == Suspect || m.Member.State == Dead {
			// The recipient learns that it has to refute.
			h.Entries = append([]Entry{m.Entry}, h.Entries...)
		}
		bytes += t.size(h)
		sends = append(sends, SendHeartbeat{To: m.Member, Heartbeat: h})
	}
	interval := max(MinHeartbeatInterval, time.Duration(bytes)*time.Second/MaxBytesPerSecond)
	t.next = now.Add(min(interval, MaxHeartbeatInterval))
	commands := make([]Command, len(sends))
	for i := range sends {
		sends[i].Heartbeat.NextAt = t.next
		commands[i] = sends[i]
	}
	return commands
}

// contacts tells whether a member gets a heartbeat in this round.
func (t *Table) contacts(m *member, delegate bool) bool {
	if t.local(m) {
		return m.Member.State != Dead || t.round%deadRounds == 0
	}
	if !delegate || m.Member.State == Dead {
		return false
	}
	if m.Member.State == Unreachable {
		// Its delegates are not known; members are tried in turn.
		return t.round%len(t.members) == sort.SearchStrings(t.sorted(), m.Member.Name)
	}
	delegates := t.DelegatesOf(m.Member.DataCentre)
	return len(delegates) > 0 && delegates[t.round%len(delegates)] == m.Member.Name
}

// entries returns the latest changes and, from a delegate, one more member in
// turn every few rounds. Another data centre is told of this one's members, and this data centre
// of the others, because its own members hear each other. Suspicions are not
// passed on, because only the suspect itself can end them.
func (t *Table) entries(far bool) []Entry {
	var list []Entry
	for _, name := range t.sorted() {
		m := t.members[name]
		if t.changes[name] > 0 && len(list) < maxChanges && (!far || t.local(m)) {
			list = append(list, told(m))
		}
	}
	names := t.sorted()
	if !t.IsDelegate() || t.round%turnRounds != 0 {
		return list
	}
	for i := range names {
		m := t.members[names[(t.round/turnRounds+i)%len(names)]]
		if t.local(m) == far {
			return append(list, told(m))
		}
	}
	return list
}

// age counts down how often the changes of this round are still repeated.
func (t *Table) age() {
	sent := 0
	for _, name := range t.sorted() {
		left, ok := t.changes[name]
		if !ok || sent == maxChanges {
			continue
		}
		sent++
		t.changes[name] = left - 1
		if left <= 1 {
			delete(t.changes, name)
		}
	}
}

func told(m *member) Entry {
	e := m.Entry
	if e.Member.State == Suspect || e.Member.State == Unreachable {
		e.Member.State = Alive
	}
	return e
}

func (t *Table) reached(now time.Time) []string {
	var list []string
	for name, heard := range t.heard {
		if heard.After(now) && len(list) < MaxReachableDataCentres {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	return list
}

// received takes a heartbeat.
func (t *Table) received(now time.Time, h Heartbeat) []Command {
	from := h.From.Member
	if !t.wellFormed(now, h) {
		t.counts.Malformed++
		return nil
	}
	if from.Name == t.self.Member.Name {
		return t.aboutSelf(h.From)
	}
	commands := t.learn(now, h.From, true)
	m := t.members[from.Name]
	if m == nil || m.Member.Incarnation != from.Incarnation {
		return commands
	}
	m.lost = now.Add(MissedHeartbeats * h.NextAt.Sub(h.SentAt))
	if m.Member.State == Suspect {
		commands = append(commands, t.change(m, Alive)...)
	}
	if !t.local(m) {
		until := now.Add(max(UnreachableTimeout, MissedHeartbeats*DelegateCount*h.NextAt.Sub(h.SentAt)))
		t.centres[from.DataCentre] = wagclock.Later(t.centres[from.DataCentre], until)
		t.heard[from.DataCentre] = wagclock.Later(t.heard[from.DataCentre], until)
	} else if contains(t.DelegatesOf(from.DataCentre), from.Name) {
		t.hearsay(now.Add(max(UnreachableTimeout, MissedHeartbeats*turnRounds*h.NextAt.Sub(h.SentAt))), h.ReachableDataCentres)
	}
	for _, e := range h.Entries {
		commands = append(commands, t.relayed(now, from, e)...)
	}
	return commands
}

// hearsay notes the data centres that a delegate of this one reaches.
func (t *Table) hearsay(until time.Time, reached []string) {
	for _, name := range reached {
		if known, ok := t.centres[name]; ok {
			t.centres[name] = wagclock.Later(known, until)
		}
	}
}

// relayed takes what another host tells of a third one. Hosts of a data centre
// are the authority for its members; the own data centre passes that on.
func (t *Table) relayed(now time.Time, from Member, e Entry) []Command {
	if e.Member.Name == t.self.Member.Name {
		return t.aboutSelf(e)
	}
	if from.DataCentre != t.self.Member.DataCentre && from.DataCentre != e.Member.DataCentre {
		return nil
	}
	commands := t.learn(now, e, false)
	if m := t.members[e.Member.Name]; m != nil && t.refreshes(from, m) && m.Member.State != Dead {
		m.forget = now.Add(refreshTime)
	}
	return commands
}

// refreshes tells whether word from a host shows that a member of another data
// centre is still listed there. Hosts of one data centre must not keep a member
// for each other, so a delegate takes only the word of that data centre and the
// others take only that of a delegate.
func (t *Table) refreshes(from Member, m *member) bool {
	if from.DataCentre == m.Member.DataCentre {
		return true
	}
	return !t.IsDelegate() && contains(t.DelegatesOf(from.DataCentre), from.Name)
}

// aboutSelf refutes a suspicion, or learns that a newer start of this host runs.
func (t *Table) aboutSelf(e Entry) []Command {
	switch {
	case e.Member.Incarnation > t.self.Member.Incarnation:
		return []Command{Replaced{Incarnation: e.Member.Incarnation}}
	case e.Member.Incarnation < t.self.Member.Incarnation:
		t.counts.StaleIncarnations++
	case e.Member.State != Alive && e.Member.State != t.self.Member.State && e.Refutation >= t.self.Refutation:
		t.self.Refutation = e.Refutation + 1
	}
	return nil
}

// learn takes an entry; direct tells that the member itself sent it.
func (t *Table) learn(now time.Time, e Entry, direct bool) []Command {
	name := e.Member.Name
	if !t.history.admits(name, e.Member.Incarnation) {
		t.counts.StaleIncarnations++
		return nil
	}
	m := t.members[name]
	if m == nil || e.Member.Incarnation > m.Member.Incarnation {
		return t.add(now, e)
	}
	if e.Refutation < m.Refutation || e.Refutation == m.Refutation && rank(e.Member.State) <= rank(m.Member.State) {
		return nil
	}
	if !direct && t.local(m) && e.Member.State == Dead && now.Before(m.lost) {
		// This host hears it.
		return nil
	}
	m.Refutation = e.Refutation
	t.changes[name] = changeRounds
	if e.Member.State == Dead {
		return t.died(now, m)
	}
	if e.Member.State == Alive && m.Member.State != Dead && m.Member.State != Leaving {
		return nil
	}
	m.lost = now.Add(joinTime)
	return t.change(m, e.Member.State)
}

// rank orders the states of one incarnation with the same refutation.
func rank(s State) int {
	switch s {
	case Leaving:
		return 1
	case Dead:
		return 2
	default:
		return 0
	}
}

// add takes a new name or a newer incarnation of a known one.
func (t *Table) add(now time.Time, e Entry) []Command {
	name := e.Member.Name
	if t.members[name] == nil && (e.Member.State == Dead || len(t.members) >= MaxMembers) {
		if e.Member.State != Dead {
			t.counts.RejectedWhenFull++
			return nil
		}
		t.history.note(name, e.Member.Incarnation, t.members)
		return nil
	}
	m := &member{Entry: e, lost: now.Add(joinTime), forget: now.Add(refreshTime)}
	m.ask = m.lost
	t.members[name] = m
	t.names, t.delegates = nil, nil
	t.history.note(name, e.Member.Incarnation, t.members)
	if _, ok := t.centres[e.Member.DataCentre]; !ok && !t.local(m) {
		t.centres[e.Member.DataCentre] = now.Add(UnreachableTimeout)
	}
	t.changes[name] = changeRounds
	if e.Member.State == Dead {
		m.forget = now.Add(DeadMemberRetention)
	}
	return []Command{MemberChanged{Member: m.Member, State: m.Member.State}}
}

// records takes the store's records. Members are suspect until they are heard,
// because the record of a host that was killed stays.
func (t *Table) records(now time.Time, list []Member) []Command {
	var commands []Command
	for _, r := range list {
		e := Entry{Member: r}
		e.Member.State = Suspect
		if r.DataCentre != t.self.Member.DataCentre {
			e.Member.State = Alive
		}
		if !t.entryWellFormed(now, e) {
			t.counts.Malformed++
			continue
		}
		if r.Name == t.self.Member.Name {
			e.Member.State = Alive
			commands = append(commands, t.aboutSelf(e)...)
			continue
		}
		commands = append(commands, t.learn(now, e, false)...)
	}
	return commands
}

func (t *Table) wellFormed(now time.Time, h Heartbeat) bool {
	state := h.From.Member.State
	if !t.entryWellFormed(now, h.From) || state != Alive && state != Leaving {
		return false
	}
	if h.SentAt.After(now.Add(wagclock.MaxSkew)) || h.SentAt.Before(now.Add(-maxAge)) {
		return false
	}
	if interval := h.NextAt.Sub(h.SentAt); interval <= 0 || interval > MaxHeartbeatInterval {
		return false
	}
	if len(h.Entries) > MaxEntries || len(h.ReachableDataCentres) > MaxReachableDataCentres {
		return false
	}
	for _, e := range h.Entries {
		if !t.entryWellFormed(now, e) {
			return false
		}
	}
	return true
}

func (t *Table) entryWellFormed(now time.Time, e Entry) bool {
	m := e.Member
	return named(m.Name) && named(m.DataCentre) && len(m.Region) <= maxName &&
		m.Forward.IsValid() && m.Peer.IsValid() && begun(now, m.Incarnation) &&
		m.State >= Alive && m.State <= Dead+1 && e.Refutation < maxRefutation
}

func named(s string) bool {
	return s != "" && len(s) <= maxName
}
