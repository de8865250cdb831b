// Package wagroster keeps the membership list of a site and selects the hosts that have
// the roles of owner, relay and leader. Hosts that know the same members select the
// same ones. It does no I/O.
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
	// Generation differs between two starts of a host. A later start can have a lower
	// one, because clocks can be set back.
	Generation uint64
	// Address is the address that other hosts connect to.
	Address netip.AddrPort
	// MilliCores is the CPU share of the host, in thousandths of a core.
	MilliCores int
	// Leaving is set during a graceful shutdown. The host finishes its requests and
	// has no roles.
	Leaving bool
}

const (
	// firstRetryDelay is the delay before an unreachable host is tried again.
	firstRetryDelay = time.Second
	// maxRetryDelay bounds that delay, which doubles with each failure in a row.
	maxRetryDelay = 30 * time.Second
	// maxMembers bounds the members of a roster. The largest planned site has 1,500
	// hosts.
	maxMembers = 4096
)

// Roster is the membership list of a site, as this host knows it. It is not safe for
// concurrent use.
type Roster struct {
	self    Member
	members map[string]*entry
	// dataCentres holds the members of each data centre.
	dataCentres map[string]*dataCentre
	// unreachable holds the members with failures, by name.
	unreachable map[string]*entry
	// selfStore is the store state of this host.
	selfStore storeState
}

// dataCentre holds the members of one data centre.
type dataCentre struct {
	// members holds the other hosts, by name.
	members map[string]*entry
	// owners holds the selected hosts by role. It is nil when the members have changed
	// since.
	owners map[string]Member
	// candidates holds the members that can have roles; valid unless owners is nil.
	candidates []Member
	// ranked holds the reachable members of the own data centre in the order in which they
	// take over from the relay, and rank is the index of this host. Both are valid unless
	// owners is nil.
	ranked []Member
	rank   int
	// ownShare is the place of this host in its own data centre; valid unless owners is nil.
	ownShare OwnShare
}

// storeState records whether a host is disconnected from the store.
type storeState struct {
	// disconnectedUntil is when the report that the host is disconnected expires.
	disconnectedUntil time.Time
}

func (s *storeState) isDisconnected(now time.Time) bool { return now.Before(s.disconnectedUntil) }

// entry is a member and its reachability.
type entry struct {
	Member
	// failures counts the failed attempts in a row to reach the host. It has no role
	// while this is above 0.
	failures int
	// nextRetry is when an unreachable host is tried again; zero when it is reachable.
	nextRetry time.Time
	store     storeState
}

// New returns a roster that contains only this host.
func New(self Member) *Roster {
	r := &Roster{self: self, members: make(map[string]*entry), dataCentres: make(map[string]*dataCentre), unreachable: make(map[string]*entry)}
	r.dataCentre(self.DataCentre)
	return r
}

// dataCentre returns a data centre and adds it if it is not known.
func (r *Roster) dataCentre(name string) *dataCentre {
	d, ok := r.dataCentres[name]
	if !ok {
		d = &dataCentre{members: make(map[string]*entry)}
		r.dataCentres[name] = d
	}
	return d
}

// set replaces what is known of a member. The selected hosts of its data centre are
// selected again.
func (r *Roster) set(e *entry, m Member) {
	if e.DataCentre != m.DataCentre {
		if old, ok := r.dataCentres[e.DataCentre]; ok {
			delete(old.members, m.Name)
			old.owners = nil
		}
	}
	e.Member = m
	d := r.dataCentre(m.DataCentre)
	d.members[m.Name] = e
	d.owners = nil
}

// setFailures sets the failed attempts in a row to reach a member.
func (r *Roster) setFailures(e *entry, failures int) {
	if (e.failures == 0) != (failures == 0) {
		r.dataCentre(e.DataCentre).owners = nil
	}
	e.failures = failures
	if failures == 0 {
		delete(r.unreachable, e.Name)
	} else {
		r.unreachable[e.Name] = e
	}
}

// Self returns this host.
func (r *Roster) Self() Member { return r.self }

// Leave marks this host as leaving.
func (r *Roster) Leave() {
	r.self.Leaving = true
	r.dataCentre(r.self.DataCentre).owners = nil
}

// UpdateFromMember updates a member from its own report, which replaces the reports of
// others and shows that it is reachable. It reports whether anything changed.
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
	if changed {
		r.set(e, m)
	}
	if !m.Leaving {
		r.setFailures(e, 0)
		e.nextRetry = time.Time{}
	}
	return changed
}

// UpdateFromOthers updates members from the report of another one. It ignores what is
// older than the known state and reports whether anything changed.
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
			r.setFailures(e, 0)
			e.nextRetry = time.Time{}
		}
		r.set(e, m)
		changed = true
	}
	return changed
}

// MarkUnreachable records that a member could not be reached. It has no role until it
// reports itself again, or others report a later start of it.
func (r *Roster) MarkUnreachable(now time.Time, name string) {
	e, ok := r.members[name]
	if !ok {
		return
	}
	e.nextRetry = now.Add(min(firstRetryDelay<<min(e.failures, 8), maxRetryDelay))
	r.setFailures(e, e.failures+1)
}

// DueRetries returns the unreachable members that are due to be tried again.
func (r *Roster) DueRetries(now time.Time) (list []Member) {
	for _, e := range r.unreachable {
		if !e.Leaving && !now.Before(e.nextRetry) {
			list = append(list, e.Member)
		}
	}
	return list
}

// Members returns all members, this host first.
func (r *Roster) Members() []Member {
	list := []Member{r.self}
	for _, e := range r.members {
		list = append(list, e.Member)
	}
	slices.SortFunc(list[1:], func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Find returns the member with a name.
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

// minCoreShare is the least CPU share of a host with a role, relative to the largest in
// its data centre. The hosts of a data centre can differ by a factor of five, and the
// owner of a busy group has to reply within milliseconds.
const minCoreShare = 0.5

// Owner returns the member of a data centre that has a role: RoleRelay, or the owner of
// the group of the service with that name. It returns false when no member can have
// it. Rendezvous hashing moves only the roles of a member that leaves.
func (r *Roster) Owner(role, dataCentreName string) (owner Member, ok bool) {
	d, known := r.dataCentres[dataCentreName]
	if !known {
		return Member{}, false
	}
	r.refresh(dataCentreName, d)
	owner, ok = d.owners[role]
	if !ok {
		owner, ok = selectOwner(role+"/"+dataCentreName, d.candidates)
		if ok && len(d.owners) < maxRoles {
			d.owners[role] = owner
		}
	}
	return owner, ok
}

// refresh selects the candidates of a data centre again if its members have changed.
func (r *Roster) refresh(name string, d *dataCentre) {
	if d.owners != nil {
		return
	}
	d.owners, d.candidates = make(map[string]Member), r.selectCandidates(name, d)
	if name == r.self.DataCentre {
		r.rankMembers(d)
		d.ownShare = r.countOwnShare(d)
	}
}

// rankMembers orders the members of the own data centre: those that can have roles come
// first, so that the hosts which pass changes on are strong ones. This host comes last
// while it is leaving.
func (r *Roster) rankMembers(d *dataCentre) {
	key := RoleRelay + "/" + r.self.DataCentre
	scores, isCandidate := make(map[string]uint64), make(map[string]bool)
	d.ranked = append(d.ranked[:0], d.candidates...)
	for _, m := range d.candidates {
		isCandidate[m.Name] = true
	}
	for _, e := range d.members {
		if !e.Leaving && e.failures == 0 && !isCandidate[e.Name] {
			d.ranked = append(d.ranked, e.Member)
		}
	}
	if !isCandidate[r.self.Name] && !r.self.Leaving {
		d.ranked = append(d.ranked, r.self)
	}
	for _, m := range d.ranked {
		scores[m.Name] = waglease.Score(key, m.Name)
	}
	byScore := func(a, b Member) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	}
	slices.SortFunc(d.ranked[:len(d.candidates)], byScore)
	slices.SortFunc(d.ranked[len(d.candidates):], byScore)
	if r.self.Leaving {
		d.ranked = append(d.ranked, r.self)
	}
	d.rank = slices.IndexFunc(d.ranked, func(m Member) bool { return m.Name == r.self.Name })
}

// maxRoles bounds the roles whose hosts are remembered for a data centre.
const maxRoles = 1024

// selectOwner returns the candidate with the highest score for a key.
func selectOwner(key string, candidates []Member) (owner Member, ok bool) {
	var best uint64
	for _, m := range candidates {
		score := waglease.Score(key, m.Name)
		if !ok || score > best || score == best && m.Name < owner.Name {
			owner, best, ok = m, score, true
		}
	}
	return owner, ok
}

// selectCandidates returns the members of a data centre that can have roles.
func (r *Roster) selectCandidates(name string, d *dataCentre) (list []Member) {
	maxCores := 0
	addCandidate := func(m Member) {
		if !m.Leaving {
			list = append(list, m)
			maxCores = max(maxCores, m.MilliCores)
		}
	}
	if r.self.DataCentre == name {
		addCandidate(r.self)
	}
	for _, e := range d.members {
		if e.failures == 0 {
			addCandidate(e.Member)
		}
	}
	return slices.DeleteFunc(list, func(m Member) bool { return float64(m.MilliCores) < minCoreShare*float64(maxCores) })
}

// Rank returns how many members of the data centre precede this host in the order in
// which they take over from the relay, whose rank is 0.
func (r *Roster) Rank() int {
	d := r.dataCentre(r.self.DataCentre)
	r.refresh(r.self.DataCentre, d)
	return d.rank
}

// Fallbacks returns the first hosts of the data centre in rank, except this one and the
// one with a name.
func (r *Roster) Fallbacks(count int, except string) (list []Member) {
	d := r.dataCentre(r.self.DataCentre)
	r.refresh(r.self.DataCentre, d)
	for _, m := range d.ranked {
		if len(list) == count {
			break
		}
		if m.Name != r.self.Name && m.Name != except {
			list = append(list, m)
		}
	}
	return list
}

// HasNeighbour reports whether another reachable host is in the data centre of this one.
func (r *Roster) HasNeighbour() bool {
	d := r.dataCentre(r.self.DataCentre)
	r.refresh(r.self.DataCentre, d)
	return len(d.ranked) > 1
}

// maxChildren bounds the hosts of its data centre to which a host passes changes on.
const maxChildren = 32

// RoleRelay is the role of the host that passes the changes of the store on to the
// others of its data centre.
const RoleRelay = "relay"

// Relay returns the relay of a data centre.
func (r *Roster) Relay(dataCentre string) (Member, bool) {
	return r.Owner(RoleRelay, dataCentre)
}

// disconnectedTimeout is how long a host counts as disconnected after it reported that.
// Hosts repeat the report with each heartbeat.
const disconnectedTimeout = 4 * time.Second

// SetDisconnected records whether a member, or this host, is disconnected from the
// store.
func (r *Roster) SetDisconnected(now time.Time, name string, disconnected bool) {
	s, ok := r.storeStateOf(name)
	switch {
	case !ok:
	case !disconnected:
		*s = storeState{}
	default:
		s.disconnectedUntil = now.Add(disconnectedTimeout)
	}
}

// IsDisconnected reports whether a member, or this host, is disconnected from the
// store.
func (r *Roster) IsDisconnected(now time.Time, name string) bool {
	s, ok := r.storeStateOf(name)
	return ok && s.isDisconnected(now)
}

// storeStateOf returns the store state of a member or of this host.
func (r *Roster) storeStateOf(name string) (*storeState, bool) {
	if name == r.self.Name {
		return &r.selfStore, true
	}
	e, ok := r.members[name]
	if !ok {
		return nil, false
	}
	return &e.store, true
}

// relays returns the relays of all data centres. Disconnected ones come last; apart
// from that, the order depends only on the names of the data centres.
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
		disconnectedA, scoreA := order(a)
		disconnectedB, scoreB := order(b)
		return cmp.Or(disconnectedA-disconnectedB, cmp.Compare(scoreB, scoreA))
	})
	return list
}

// Leader returns the relay that follows the store for the whole site: the first one
// that is not disconnected in the order of relays, or the first one when all are.
func (r *Roster) Leader(now time.Time) Member {
	list := r.relays(now)
	if len(list) == 0 {
		return r.self
	}
	return list[0]
}

// StoreMayBeDown reports whether the store is probably down for all hosts: the relays of
// two data centres, or the only relay, are disconnected from it.
func (r *Roster) StoreMayBeDown(now time.Time) bool {
	relays := r.relays(now)
	disconnected := 0
	for _, m := range relays {
		if r.IsDisconnected(now, m.Name) {
			disconnected++
		}
	}
	return disconnected > 0 && disconnected >= min(len(relays), minDisconnectedRelays)
}

// minDisconnectedRelays is the number of disconnected relays from which the store is
// probably down. A single one may be cut off.
const minDisconnectedRelays = 2

// Upstream returns the host from which this one receives the changes of the store. The
// hosts of a data centre form a tree below its relay: each has up to maxChildren others
// below it, and its upstream host precedes it in rank. Hosts that know different members
// therefore form no circle. The relay receives changes from the leader; Upstream returns
// false for the leader itself.
func (r *Roster) Upstream(now time.Time) (Member, bool) {
	if rank := r.Rank(); rank > 0 {
		return r.dataCentre(r.self.DataCentre).ranked[(rank-1)/maxChildren], true
	}
	if leader := r.Leader(now); leader.Name != r.self.Name {
		return leader, true
	}
	return Member{}, false
}

// DataCentres returns the data centres that have members, in alphabetical order.
func (r *Roster) DataCentres() (list []string) {
	for name, d := range r.dataCentres {
		if name == r.self.DataCentre || len(d.members) > 0 {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}
