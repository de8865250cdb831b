package wagmember

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// MaxEntries bounds the number of entries in a heartbeat.
	MaxEntries = 16
	// MaxReachableDataCentres bounds the number of data centres in a heartbeat.
	MaxReachableDataCentres = 64
	// MaxHeartbeatInterval bounds the time to the next heartbeat that a heartbeat
	// announces.
	MaxHeartbeatInterval = 10 * time.Second

	maxNameBytes = 64
	// maxHeartbeatAge bounds the age of a heartbeat that is accepted.
	maxHeartbeatAge = 10 * time.Second
	maxRefutation   = 1 << 32
	// maxChangeEntries bounds the number of changes in a heartbeat. The other
	// entries are for the member that is in turn and for the recipient itself.
	maxChangeEntries = 8

	// messageOverheadBytes is the size of the IP, TCP, TLS and drpc frames of a
	// message and of one acknowledgement.
	messageOverheadBytes = 120
	// fixedMemberBytes is the size of a member without its names: tags, ports and
	// numbers.
	fixedMemberBytes = 64
)

// EstimateSize returns an upper bound of the size of a heartbeat on the wire, in
// bytes.
func EstimateSize(h Heartbeat) int {
	bytes := messageOverheadBytes + entrySize(h.From) + 2*8
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
	return fixedMemberBytes + len(m.Name) + len(m.DataCentre) + len(m.Region)
}

// sendRound sends a round of heartbeats. The time to the next round depends on the
// size of this one.
func (t *Table) sendRound(now time.Time) []Command {
	t.round++
	delegate := t.IsDelegate()
	localHeartbeat := Heartbeat{From: t.self, SentAt: now, Entries: t.roundEntries(false)}
	remoteHeartbeat := Heartbeat{From: t.self, SentAt: now, Entries: t.roundEntries(true)}
	if delegate && t.round%roundsPerRotation == 0 {
		localHeartbeat.ReachableDataCentres = t.reachableDataCentres(now)
	}
	t.countDownRepeats()
	var sends []SendHeartbeat
	bytes := 0
	for _, name := range t.sortedNames() {
		m := t.members[name]
		if !t.getsHeartbeat(m, delegate) {
			continue
		}
		h := remoteHeartbeat
		if t.isLocal(m) {
			h = localHeartbeat
		}
		if m.Member.State == Suspect || m.Member.State == Dead {
			// Its own entry tells the recipient that it has to refute.
			h.Entries = append([]Entry{m.Entry}, h.Entries...)
		}
		bytes += t.estimateSize(h)
		sends = append(sends, SendHeartbeat{To: m.Member, Heartbeat: h})
	}
	interval := max(MinHeartbeatInterval, time.Duration(bytes)*time.Second/MaxBytesPerSecond)
	t.nextRound = now.Add(min(interval, MaxHeartbeatInterval))
	commands := make([]Command, len(sends))
	for i := range sends {
		sends[i].Heartbeat.NextAt = t.nextRound
		commands[i] = sends[i]
	}
	return commands
}

// getsHeartbeat reports whether a member gets a heartbeat in this round.
func (t *Table) getsHeartbeat(m *member, delegate bool) bool {
	if t.isLocal(m) {
		return m.Member.State != Dead || t.round%roundsPerDeadHeartbeat == 0
	}
	if !delegate || m.Member.State == Dead {
		return false
	}
	if m.Member.State == Unreachable {
		// The delegates of its data centre are not known, so the members are tried in
		// turn.
		return t.round%len(t.members) == sort.SearchStrings(t.sortedNames(), m.Member.Name)
	}
	delegates := t.DelegatesOf(m.Member.DataCentre)
	return len(delegates) > 0 && delegates[t.round%len(delegates)] == m.Member.Name
}

// roundEntries returns the entries of a heartbeat to this data centre or to another
// one: the latest changes and, from a delegate and every few rounds, the next
// member in turn. To another data centre, only members of this one are reported.
// In this data centre, only members of others are reported in turn, because its
// own members hear each other. Suspicions are not reported, because only the
// suspect itself can end them.
func (t *Table) roundEntries(toRemote bool) []Entry {
	var list []Entry
	for _, name := range t.sortedNames() {
		m := t.members[name]
		if t.repeatsLeft[name] > 0 && len(list) < maxChangeEntries && (!toRemote || t.isLocal(m)) {
			list = append(list, reportedEntry(m))
		}
	}
	names := t.sortedNames()
	if !t.IsDelegate() || t.round%roundsPerRotation != 0 {
		return list
	}
	for i := range names {
		m := t.members[names[(t.round/roundsPerRotation+i)%len(names)]]
		if t.isLocal(m) == toRemote {
			return append(list, reportedEntry(m))
		}
	}
	return list
}

// countDownRepeats reduces the remaining repeats of the changes that this round
// reported.
func (t *Table) countDownRepeats() {
	sent := 0
	for _, name := range t.sortedNames() {
		repeats, ok := t.repeatsLeft[name]
		if !ok || sent == maxChangeEntries {
			continue
		}
		sent++
		t.repeatsLeft[name] = repeats - 1
		if repeats <= 1 {
			delete(t.repeatsLeft, name)
		}
	}
}

// reportedEntry returns the entry of a member as it is reported to others.
func reportedEntry(m *member) Entry {
	e := m.Entry
	if e.Member.State == Suspect || e.Member.State == Unreachable {
		e.Member.State = Alive
	}
	return e
}

// reachableDataCentres returns the other data centres that this host heard lately.
func (t *Table) reachableDataCentres(now time.Time) []string {
	var list []string
	for name, heard := range t.heardUntil {
		if heard.After(now) && len(list) < MaxReachableDataCentres {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	return list
}

// handleHeartbeat handles the heartbeat of another host.
func (t *Table) handleHeartbeat(now time.Time, h Heartbeat) []Command {
	from := h.From.Member
	if !t.wellFormed(now, h) {
		t.counts.Malformed++
		return nil
	}
	if from.Name == t.self.Member.Name {
		return t.handleOwnEntry(h.From)
	}
	commands := t.mergeEntry(now, h.From, true)
	m := t.members[from.Name]
	if m == nil || m.Member.Incarnation != from.Incarnation {
		return commands
	}
	m.silentAt = now.Add(MissedHeartbeats * h.NextAt.Sub(h.SentAt))
	if m.Member.State == Suspect {
		commands = append(commands, t.setState(m, Alive)...)
	}
	if !t.isLocal(m) {
		until := now.Add(max(UnreachableTimeout, MissedHeartbeats*DelegateCount*h.NextAt.Sub(h.SentAt)))
		t.reachableUntil[from.DataCentre] = wagclock.Later(t.reachableUntil[from.DataCentre], until)
		t.heardUntil[from.DataCentre] = wagclock.Later(t.heardUntil[from.DataCentre], until)
	} else if contains(t.DelegatesOf(from.DataCentre), from.Name) {
		t.extendReachable(now.Add(max(UnreachableTimeout, MissedHeartbeats*roundsPerRotation*h.NextAt.Sub(h.SentAt))), h.ReachableDataCentres)
	}
	for _, e := range h.Entries {
		commands = append(commands, t.handleRelayedEntry(now, from, e)...)
	}
	return commands
}

// extendReachable extends the time for which known data centres count as reachable
// after a delegate of this data centre reported that it hears them.
func (t *Table) extendReachable(until time.Time, reached []string) {
	for _, name := range reached {
		if knownUntil, ok := t.reachableUntil[name]; ok {
			t.reachableUntil[name] = wagclock.Later(knownUntil, until)
		}
	}
}

// handleRelayedEntry handles the entry of a third host. About a member of another
// data centre, only hosts of that data centre are trusted, and those of this one,
// which pass on what they heard from it.
func (t *Table) handleRelayedEntry(now time.Time, from Member, e Entry) []Command {
	if e.Member.Name == t.self.Member.Name {
		return t.handleOwnEntry(e)
	}
	if from.DataCentre != t.self.Member.DataCentre && from.DataCentre != e.Member.DataCentre {
		return nil
	}
	commands := t.mergeEntry(now, e, false)
	if m := t.members[e.Member.Name]; m != nil && t.extendsRetention(from, m) && m.Member.State != Dead {
		m.removeAt = now.Add(remoteMemberRetention)
	}
	return commands
}

// extendsRetention reports whether an entry from a host shows that a member of
// another data centre is still listed there. Hosts of one data centre must not
// keep a member alive for each other. Therefore a delegate trusts only that data
// centre, and the other hosts trust only that data centre and their delegates.
func (t *Table) extendsRetention(from Member, m *member) bool {
	if from.DataCentre == m.Member.DataCentre {
		return true
	}
	return !t.IsDelegate() && contains(t.DelegatesOf(from.DataCentre), from.Name)
}

// handleOwnEntry handles an entry about this host. It refutes a suspicion, or
// reports that a newer process of this host runs.
func (t *Table) handleOwnEntry(e Entry) []Command {
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

// mergeEntry updates a member from an entry unless the entry is older than what is
// known. The argument direct is set when the member itself sent the entry.
func (t *Table) mergeEntry(now time.Time, e Entry, direct bool) []Command {
	name := e.Member.Name
	if !t.history.admits(name, e.Member.Incarnation) {
		t.counts.StaleIncarnations++
		return nil
	}
	m := t.members[name]
	if m == nil || e.Member.Incarnation > m.Member.Incarnation {
		return t.addMember(now, e)
	}
	if e.Refutation < m.Refutation || e.Refutation == m.Refutation && stateRank(e.Member.State) <= stateRank(m.Member.State) {
		return nil
	}
	if !direct && t.isLocal(m) && e.Member.State == Dead && now.Before(m.silentAt) {
		// This host still hears the member.
		return nil
	}
	m.Refutation = e.Refutation
	t.repeatsLeft[name] = changeRepeats
	if e.Member.State == Dead {
		return t.markDead(now, m)
	}
	if e.Member.State == Alive && m.Member.State != Dead && m.Member.State != Leaving {
		return nil
	}
	m.silentAt = now.Add(firstHeartbeatTimeout)
	return t.setState(m, e.Member.State)
}

// stateRank returns the rank of a state among entries of one incarnation with the
// same refutation. A higher rank overrides a lower one.
func stateRank(s State) int {
	switch s {
	case Leaving:
		return 1
	case Dead:
		return 2
	default:
		return 0
	}
}

// addMember adds a member with a new name, or replaces a known one by a newer
// incarnation.
func (t *Table) addMember(now time.Time, e Entry) []Command {
	name := e.Member.Name
	if t.members[name] == nil && (e.Member.State == Dead || len(t.members) >= MaxMembers) {
		if e.Member.State != Dead {
			t.counts.RejectedWhenFull++
			return nil
		}
		t.history.record(name, e.Member.Incarnation, t.members)
		return nil
	}
	m := &member{Entry: e, silentAt: now.Add(firstHeartbeatTimeout), removeAt: now.Add(remoteMemberRetention)}
	m.nextAsk = m.silentAt
	t.members[name] = m
	t.names, t.delegates = nil, nil
	t.history.record(name, e.Member.Incarnation, t.members)
	if _, ok := t.reachableUntil[e.Member.DataCentre]; !ok && !t.isLocal(m) {
		t.reachableUntil[e.Member.DataCentre] = now.Add(UnreachableTimeout)
	}
	t.repeatsLeft[name] = changeRepeats
	if e.Member.State == Dead {
		m.removeAt = now.Add(DeadMemberRetention)
	}
	return []Command{MemberChanged{Member: m.Member, State: m.Member.State}}
}

// handleRecords handles the records of the store. Members of this data centre are
// suspect until they are heard, because the record of a killed host may still be
// there.
func (t *Table) handleRecords(now time.Time, list []Member) []Command {
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
			commands = append(commands, t.handleOwnEntry(e)...)
			continue
		}
		commands = append(commands, t.mergeEntry(now, e, false)...)
	}
	return commands
}

// wellFormed reports whether a heartbeat is within all bounds.
func (t *Table) wellFormed(now time.Time, h Heartbeat) bool {
	state := h.From.Member.State
	if !t.entryWellFormed(now, h.From) || state != Alive && state != Leaving {
		return false
	}
	if h.SentAt.After(now.Add(wagclock.MaxSkew)) || h.SentAt.Before(now.Add(-maxHeartbeatAge)) {
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

// entryWellFormed reports whether an entry is within all bounds.
func (t *Table) entryWellFormed(now time.Time, e Entry) bool {
	m := e.Member
	return validName(m.Name) && validName(m.DataCentre) && len(m.Region) <= maxNameBytes &&
		m.Forward.IsValid() && m.Peer.IsValid() && plausibleStart(now, m.Incarnation) &&
		m.State >= Alive && m.State <= Dead+1 && e.Refutation < maxRefutation
}

func validName(s string) bool {
	return s != "" && len(s) <= maxNameBytes
}
