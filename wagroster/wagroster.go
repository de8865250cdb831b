// Package wagroster holds what a host knows of the other hosts of its site, and
// chooses from it which host has which duty. All hosts choose alike as far as
// they know the same hosts. It does no input or output.
package wagroster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/waglease"
)

// Member is one host of the site.
type Member struct {
	Name       string
	DataCentre string
	// Generation differs between two starts of a host. Clocks can be set back, so
	// that a later start may have a lower one.
	Generation uint64
	// Address is where other hosts connect to.
	Address netip.AddrPort
	// MilliCores is the share of a core that the host has, in thousandths.
	MilliCores int
	// Leaving hosts finish what they began and have no duties.
	Leaving bool
}

const (
	// firstTry is after how long a host that did not answer is tried again.
	firstTry = time.Second
	// maxTry bounds that time, which doubles at each failure in a row.
	maxTry = 30 * time.Second
	// maxMembers bounds the members that are kept. The largest planned site has
	// 1,500 hosts.
	maxMembers = 4096
)

// Roster holds the members of a site. It is not safe for concurrent use.
type Roster struct {
	self    Member
	members map[string]*entry
	// reach is that of the host itself.
	reach reach
}

// reach tells whether a host reaches the store.
type reach struct {
	// disconnectedUntil is until when the host is taken not to reach the store, and since
	// when it first was.
	since, disconnectedUntil time.Time
}

func (s *reach) disconnected(now time.Time) bool { return now.Before(s.disconnectedUntil) }

type entry struct {
	Member
	// failures counts how often in a row the host did not answer. It gets no duty
	// until it is heard again.
	failures int
	// nextTry is when the host is to be tried again; zero when it answers.
	nextTry time.Time
	reach   reach
}

// New returns a roster that knows only the host itself.
func New(self Member) *Roster {
	return &Roster{self: self, members: make(map[string]*entry)}
}

// Self returns the host itself.
func (r *Roster) Self() Member { return r.self }

// Leave marks the host itself as leaving.
func (r *Roster) Leave() { r.self.Leaving = true }

// UpdateFromMember takes what a member says of itself, which counts more than what others
// say. It tells whether that is new.
func (r *Roster) UpdateFromMember(m Member) bool {
	if m.Name == r.self.Name || m.Name == "" {
		return false
	}
	e, ok := r.members[m.Name]
	if !ok && len(r.members) >= maxMembers {
		return false
	}
	if !ok {
		e = &entry{}
		r.members[m.Name] = e
	}
	changed := e.Member != m
	e.Member = m
	if !m.Leaving {
		e.failures, e.nextTry = 0, time.Time{}
	}
	return changed
}

// UpdateFromOthers takes what a member says of others, and tells whether any of it is new.
func (r *Roster) UpdateFromOthers(list []Member) (changed bool) {
	for _, m := range list {
		e, ok := r.members[m.Name]
		older := ok && (m.Generation < e.Generation || m.Generation == e.Generation && (e.Leaving || !m.Leaving))
		if older || m.Name == r.self.Name || m.Name == "" || !ok && len(r.members) >= maxMembers {
			continue
		}
		if !ok {
			e = &entry{}
			r.members[m.Name] = e
		}
		if m.Generation != e.Generation {
			e.failures, e.nextTry = 0, time.Time{}
		}
		e.Member = m
		changed = true
	}
	return changed
}

// MarkUnreachable notes that a member did not answer. It gets no duty until it is heard.
func (r *Roster) MarkUnreachable(now time.Time, name string) {
	e, ok := r.members[name]
	if !ok {
		return
	}
	e.nextTry = now.Add(min(firstTry<<min(e.failures, 8), maxTry))
	e.failures++
}

// DueRetries returns the members that did not answer and are to be tried again now.
func (r *Roster) DueRetries(now time.Time) (list []Member) {
	for _, e := range r.members {
		if e.failures > 0 && !e.Leaving && !now.Before(e.nextTry) {
			list = append(list, e.Member)
		}
	}
	return list
}

// Members returns all members, the host itself first.
func (r *Roster) Members() []Member {
	list := []Member{r.self}
	for _, e := range r.members {
		list = append(list, e.Member)
	}
	slices.SortFunc(list[1:], func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Find returns a member by its name.
func (r *Roster) Find(name string) (Member, bool) {
	if name == r.self.Name {
		return r.self, true
	}
	e, ok := r.members[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// strongPart is the part of the processor of the strongest host that a host needs
// to have duties. The hosts of a data centre can differ by a factor of five, and
// the owner of a busy group has to answer within milliseconds.
const strongPart = 0.5

// Owner returns the member of a data centre that has a duty, or false when none
// is known that could have it.
func (r *Roster) Owner(duty, dataCentre string) (owner Member, ok bool) {
	candidates := r.candidates(dataCentre)
	item := duty + "/" + dataCentre
	var best uint64
	for _, m := range candidates {
		score := waglease.Score(item, m.Name)
		if !ok || score > best || score == best && m.Name < owner.Name {
			owner, best, ok = m, score, true
		}
	}
	return owner, ok
}

// candidates returns the members of a data centre that can have duties.
func (r *Roster) candidates(dataCentre string) []Member {
	// The usual number of hosts of a data centre fits without an allocation.
	list := make([]Member, 0, 40)
	most := 0
	consider := func(m Member) {
		if m.DataCentre == dataCentre && !m.Leaving {
			list = append(list, m)
			most = max(most, m.MilliCores)
		}
	}
	consider(r.self)
	for _, e := range r.members {
		if e.failures == 0 {
			consider(e.Member)
		}
	}
	return slices.DeleteFunc(list, func(m Member) bool { return float64(m.MilliCores) < strongPart*float64(most) })
}

// StandbyRank returns how many members of the data centre come before this host when
// someone has to stand in for the relay.
func (r *Roster) StandbyRank() (rank int) {
	own := waglease.Score(RoleRelay, r.self.Name)
	for _, e := range r.members {
		if e.DataCentre == r.self.DataCentre && !e.Leaving && e.failures == 0 && waglease.Score(RoleRelay, e.Name) > own {
			rank++
		}
	}
	return rank
}

// RoleRelay is the duty of the host through which the others of its data centre
// learn of changes.
const RoleRelay = "relay"

// Relay returns the host from which the others of a data centre learn of changes.
func (r *Roster) Relay(dataCentre string) (Member, bool) {
	return r.Owner(RoleRelay, dataCentre)
}

const (
	// disconnectedTime is how long a host counts as one that does not reach the store
	// after it said so. Hosts repeat it with each beat.
	disconnectedTime = 4 * time.Second
	// takeoverTime is how long several relays follow the store after another one
	// was found not to reach it. A host needs up to 1.2 s to find that out, and
	// others may have lost the store with the first one.
	takeoverTime = 3 * time.Second
	// takeoverRelays bounds these relays.
	takeoverRelays = 4
)

// SetDisconnected notes whether a member, or the host itself, is known not to reach the store.
func (r *Roster) SetDisconnected(now time.Time, name string, disconnected bool) {
	s, ok := r.reachOf(name)
	switch {
	case !ok:
	case !disconnected:
		*s = reach{}
	default:
		if !s.disconnected(now) {
			s.since = now
		}
		s.disconnectedUntil = now.Add(disconnectedTime)
	}
}

// IsDisconnected tells whether a member, or the host itself, does not reach the store.
func (r *Roster) IsDisconnected(now time.Time, name string) bool {
	s, ok := r.reachOf(name)
	return ok && s.disconnected(now)
}

func (r *Roster) reachOf(name string) (*reach, bool) {
	if name == r.self.Name {
		return &r.reach, true
	}
	e, ok := r.members[name]
	if !ok {
		return nil, false
	}
	return &e.reach, true
}

// relays returns the relays of all data centres: those that may reach the store
// first, then in a fixed order.
func (r *Roster) relays(now time.Time) (list []Member) {
	for _, dataCentre := range r.DataCentres() {
		if m, ok := r.Relay(dataCentre); ok {
			list = append(list, m)
		}
	}
	order := func(m Member) (disconnected int, score uint64) {
		if r.IsDisconnected(now, m.Name) {
			disconnected = 1
		}
		return disconnected, waglease.Score("lead", m.DataCentre)
	}
	slices.SortFunc(list, func(a, b Member) int {
		lostA, scoreA := order(a)
		lostB, scoreB := order(b)
		return cmp.Or(lostA-lostB, cmp.Compare(scoreB, scoreA))
	})
	return list
}

// Leader returns the relay that follows the store for the whole site: the first one
// in a fixed order of the data centres that reaches the store, or else the first.
func (r *Roster) Leader(now time.Time) Member {
	list := r.relays(now)
	if len(list) == 0 {
		return r.self
	}
	return list[0]
}

// LeaderMayBeDisconnected tells whether the lead may have lost the store: a relay was found not to reach
// it a short time ago, or none does.
func (r *Roster) LeaderMayBeDisconnected(now time.Time) bool {
	relays := r.relays(now)
	all := len(relays) > 0
	for _, m := range relays {
		s, _ := r.reachOf(m.Name)
		if s.disconnected(now) && now.Before(s.since.Add(takeoverTime)) {
			return true
		}
		all = all && s.disconnected(now)
	}
	return all
}

// IsBackupFollower tells whether this host is one of the relays that follow the store beside
// the lead while that may have lost it.
func (r *Roster) IsBackupFollower(now time.Time) bool {
	for i, m := range r.relays(now) {
		if m.Name == r.self.Name {
			return i < takeoverRelays && !r.reach.disconnected(now) && r.LeaderMayBeDisconnected(now)
		}
	}
	return false
}

// Upstream returns the host from which this one learns of changes, or false when
// it follows the store itself.
func (r *Roster) Upstream(now time.Time) (Member, bool) {
	relay, ok := r.Relay(r.self.DataCentre)
	if ok && relay.Name != r.self.Name {
		return relay, true
	}
	if lead := r.Leader(now); lead.Name != r.self.Name {
		return lead, true
	}
	return Member{}, false
}

// DataCentres returns the data centres that have members, in order.
func (r *Roster) DataCentres() []string {
	seen := map[string]bool{r.self.DataCentre: true}
	list := []string{r.self.DataCentre}
	for _, e := range r.members {
		if !seen[e.DataCentre] {
			seen[e.DataCentre] = true
			list = append(list, e.DataCentre)
		}
	}
	slices.Sort(list)
	return list
}
