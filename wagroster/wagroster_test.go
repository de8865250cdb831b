package wagroster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func member(dataCentre string, n int) Member {
	return Member{
		Name: fmt.Sprintf("%s-%d", dataCentre, n), DataCentre: dataCentre, Generation: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, dataCentre[0], byte(n)}), 8082),
	}
}

// site returns the members of two data centres and the roster of each of them.
func site(hosts int) (rosters []*Roster, members []Member) {
	for _, dataCentre := range []string{"a", "b"} {
		for n := range hosts {
			members = append(members, member(dataCentre, n))
		}
	}
	for _, m := range members {
		r := New(m)
		r.UpdateFromOthers(members)
		rosters = append(rosters, r)
	}
	return rosters, members
}

// Guards against hosts that select different owners or leaders although they know the
// same members.
func TestHostsSelectSameOwners(t *testing.T) {
	is := is.New(t)
	rosters, _ := site(5)
	first := rosters[0]
	for _, r := range rosters[1:] {
		is.Equal(r.Leader(start).Name, first.Leader(start).Name)
		for _, dataCentre := range []string{"a", "b"} {
			for _, service := range []string{"lots", "assays"} {
				want, _ := first.Owner(service, dataCentre)
				got, ok := r.Owner(service, dataCentre)
				is.True(ok)
				is.Equal(got.Name, want.Name)
				is.Equal(got.DataCentre, dataCentre)
			}
		}
	}
}

// Guards against a role that moves between remaining hosts when another host is lost,
// and against one that stays with an unreachable host.
func TestLossMovesOnlyRolesOfLostHost(t *testing.T) {
	is := is.New(t)
	rosters, members := site(5)
	lost := members[2]
	for i, r := range rosters {
		if members[i].Name == lost.Name {
			continue
		}
		before := make(map[string]string)
		for n := range 50 {
			role := fmt.Sprint("service", n)
			owner, _ := r.Owner(role, "a")
			before[role] = owner.Name
		}
		r.MarkUnreachable(start, lost.Name)
		for role, name := range before {
			owner, ok := r.Owner(role, "a")
			is.True(ok)
			is.True(owner.Name != lost.Name)
			is.True(name == lost.Name || owner.Name == name)
		}
	}
}

// Guards against a host that gets its roles back although it is still unreachable,
// against one that is never tried again, and against one that is tried again without
// delay.
func TestUnreachableUntilHeard(t *testing.T) {
	is := is.New(t)
	rosters, members := site(2)
	r, other := rosters[0], members[1]
	role := ""
	for n := 0; role == ""; n++ {
		if owner, _ := r.Owner(fmt.Sprint(n), "a"); owner.Name == other.Name {
			role = fmt.Sprint(n)
		}
	}
	owns := func() bool {
		owner, _ := r.Owner(role, "a")
		return owner.Name == other.Name
	}
	r.MarkUnreachable(start, other.Name)
	is.True(!owns())
	is.Equal(len(r.DueRetries(start.Add(firstRetryDelay-1))), 0)
	is.Equal(r.DueRetries(start.Add(firstRetryDelay)), []Member{other})
	r.MarkUnreachable(start, other.Name)
	is.Equal(len(r.DueRetries(start.Add(2*firstRetryDelay-1))), 0)
	is.Equal(len(r.DueRetries(start.Add(2*firstRetryDelay))), 1)
	for range 20 {
		r.MarkUnreachable(start, other.Name)
	}
	is.Equal(len(r.DueRetries(start.Add(maxRetryDelay))), 1)
	r.UpdateFromOthers(members) // a report of others does not show that it is reachable
	is.True(!owns())
	r.UpdateFromMember(other)
	is.True(owns())
	is.Equal(len(r.DueRetries(start.Add(time.Hour))), 0)
}

// Guards against a host that keeps its roles during its graceful shutdown, and against
// one that gets none after a restart because its clock was set back.
func TestLeavingAndReturning(t *testing.T) {
	is := is.New(t)
	rosters, members := site(1)
	r := rosters[0]
	other := members[1]
	other.Leaving = true
	is.True(r.UpdateFromOthers([]Member{other}))
	_, ok := r.Owner("lots", "b")
	is.True(!ok)
	stale := members[1]
	is.True(!r.UpdateFromOthers([]Member{stale})) // others report an older state
	_, ok = r.Owner("lots", "b")
	is.True(!ok)
	again := members[1]
	again.Generation = 0 // its clock was set back
	is.True(r.UpdateFromMember(again))
	_, ok = r.Owner("lots", "b")
	is.True(ok)
}

// Guards against a site that receives no changes because its leader is disconnected
// while another relay is not, and against a site without a leader when all are.
func TestLeaderReachesStore(t *testing.T) {
	is := is.New(t)
	rosters, _ := site(3)
	r := rosters[0]
	leader := r.Leader(start)
	r.SetDisconnected(start, leader.Name, true)
	is.True(r.IsDisconnected(start, leader.Name))
	nextLeader := r.Leader(start)
	is.True(nextLeader.DataCentre != leader.DataCentre)
	r.SetDisconnected(start, nextLeader.Name, true)
	is.Equal(r.Leader(start).Name, leader.Name) // all are disconnected
	is.Equal(r.Leader(start.Add(disconnectedTimeout)).Name, leader.Name)
	r.SetDisconnected(start, leader.Name, true)
	r.SetDisconnected(start, nextLeader.Name, false)
	is.Equal(r.Leader(start).Name, nextLeader.Name)
}

// Guards against hosts that take the store for down because a single relay is cut off
// from it, and against a site that never takes it for up again.
func TestStoreMayBeDown(t *testing.T) {
	is := is.New(t)
	rosters, _ := site(6)
	r := rosters[0]
	leader := r.Leader(start)
	is.Equal(r.StoreMayBeDown(start), false)
	r.SetDisconnected(start, leader.Name, true)
	is.Equal(r.StoreMayBeDown(start), false)
	r.SetDisconnected(start, r.Leader(start).Name, true)
	is.Equal(r.StoreMayBeDown(start), true)
	is.Equal(r.StoreMayBeDown(start.Add(disconnectedTimeout)), false)
	r.SetDisconnected(start, leader.Name, false)
	is.Equal(r.StoreMayBeDown(start), false)
	alone := New(member("a", 0))
	alone.SetDisconnected(start, alone.Self().Name, true)
	is.Equal(alone.StoreMayBeDown(start), true)
}

// Guards against upstream hosts that form a cycle, so that none of them receives the
// changes of the store.
func TestUpstreamEndsAtLeader(t *testing.T) {
	is := is.New(t)
	rosters, members := site(4)
	byName := make(map[string]*Roster)
	for i, m := range members {
		byName[m.Name] = rosters[i]
	}
	for _, r := range rosters {
		hops := 0
		for {
			upstream, ok := r.Upstream(start)
			if !ok {
				break
			}
			r = byName[upstream.Name]
			hops++
			is.True(hops <= 2)
		}
		is.Equal(r.Self().Name, r.Leader(start).Name)
	}
}

// Guards against unbounded memory when another host reports members that do not
// exist.
func TestMembersAreBounded(t *testing.T) {
	is := is.New(t)
	r := New(member("a", 0))
	for n := range 2 * maxMembers {
		r.UpdateFromOthers([]Member{{Name: fmt.Sprint("x", n), DataCentre: "b", Address: netip.MustParseAddrPort("10.0.0.1:1")}})
	}
	is.True(len(r.Members()) <= maxMembers+1)
}
