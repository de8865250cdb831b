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

// site returns a roster for each host of two data centres, and all members.
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

// Guards against hosts that choose different owners or leads although they know
// the same hosts.
func TestHostsChooseAlike(t *testing.T) {
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

// Guards against a duty that moves between hosts that go on although another one
// was lost, and against one that stays with a host that does not answer.
func TestLossMovesOnlyItsDuties(t *testing.T) {
	is := is.New(t)
	rosters, members := site(5)
	lost := members[2]
	for i, r := range rosters {
		if members[i].Name == lost.Name {
			continue
		}
		before := make(map[string]string)
		for n := range 50 {
			duty := fmt.Sprint("service", n)
			owner, _ := r.Owner(duty, "a")
			before[duty] = owner.Name
		}
		r.MarkUnreachable(start, lost.Name)
		for duty, name := range before {
			owner, ok := r.Owner(duty, "a")
			is.True(ok)
			is.True(owner.Name != lost.Name)
			is.True(name == lost.Name || owner.Name == name)
		}
	}
}

// Guards against a host that gets its duties back although it still does not answer,
// against one that is never tried again, and against one that is tried all the time.
func TestDistrustEndsWhenHeard(t *testing.T) {
	is := is.New(t)
	rosters, members := site(2)
	r, other := rosters[0], members[1]
	duty := ""
	for n := 0; duty == ""; n++ {
		if owner, _ := r.Owner(fmt.Sprint(n), "a"); owner.Name == other.Name {
			duty = fmt.Sprint(n)
		}
	}
	owns := func() bool {
		owner, _ := r.Owner(duty, "a")
		return owner.Name == other.Name
	}
	r.MarkUnreachable(start, other.Name)
	is.True(!owns())
	is.Equal(len(r.DueRetries(start.Add(firstTry-1))), 0)
	is.Equal(r.DueRetries(start.Add(firstTry)), []Member{other})
	r.MarkUnreachable(start, other.Name)
	is.Equal(len(r.DueRetries(start.Add(2*firstTry-1))), 0)
	is.Equal(len(r.DueRetries(start.Add(2*firstTry))), 1)
	for range 20 {
		r.MarkUnreachable(start, other.Name)
	}
	is.Equal(len(r.DueRetries(start.Add(maxTry))), 1)
	r.UpdateFromOthers(members) // what others say is no answer
	is.True(!owns())
	r.UpdateFromMember(other)
	is.True(owns())
	is.Equal(len(r.DueRetries(start.Add(time.Hour))), 0)
}

// Guards against a host that keeps its duties while it stops, and against one that
// gets none after it started again with a clock that was set back.
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
	is.True(!r.UpdateFromOthers([]Member{stale})) // others say what was true before
	_, ok = r.Owner("lots", "b")
	is.True(!ok)
	again := members[1]
	again.Generation = 0 // its clock was set back
	is.True(r.UpdateFromMember(again))
	_, ok = r.Owner("lots", "b")
	is.True(ok)
}

// Guards against a site that learns of no changes because its lead cannot reach
// the store while another relay can, and against one without a lead when none can.
func TestLeadReachesStore(t *testing.T) {
	is := is.New(t)
	rosters, _ := site(3)
	r := rosters[0]
	lead := r.Leader(start)
	r.SetDisconnected(start, lead.Name, true)
	is.True(r.IsDisconnected(start, lead.Name))
	second := r.Leader(start)
	is.True(second.DataCentre != lead.DataCentre)
	r.SetDisconnected(start, second.Name, true)
	is.Equal(r.Leader(start).Name, lead.Name) // all are disconnected
	is.Equal(r.Leader(start.Add(disconnectedTime)).Name, lead.Name)
	r.SetDisconnected(start, lead.Name, true)
	r.SetDisconnected(start, second.Name, false)
	is.Equal(r.Leader(start).Name, second.Name)
}

// Guards against a site that tries one relay after the other when several have lost
// the store, and against relays that all follow it for ever.
func TestRelaysAssistAfterALoss(t *testing.T) {
	is := is.New(t)
	rosters, members := site(6)
	lead := rosters[0].Leader(start)
	assistants := func(now time.Time) (n int) {
		for i, r := range rosters {
			r.SetDisconnected(now, lead.Name, true)
			if r.IsBackupFollower(now) {
				n++
				is.True(members[i].Name != lead.Name)
			}
		}
		return n
	}
	is.Equal(rosters[0].IsBackupFollower(start), false)
	is.Equal(assistants(start), len(rosters[0].DataCentres())-1)
	is.Equal(assistants(start.Add(takeoverTime)), 0)
}

// Guards against a chain of hosts that learn from each other in a circle, so that
// none learns from the store.
func TestUpstreamEndsAtLead(t *testing.T) {
	is := is.New(t)
	rosters, members := site(4)
	byName := make(map[string]*Roster)
	for i, m := range members {
		byName[m.Name] = rosters[i]
	}
	for _, r := range rosters {
		hops := 0
		for {
			up, ok := r.Upstream(start)
			if !ok {
				break
			}
			r = byName[up.Name]
			hops++
			is.True(hops <= 2)
		}
		is.Equal(r.Self().Name, r.Leader(start).Name)
	}
}

// Guards against memory that another host fills with members that do not exist.
func TestMembersAreBounded(t *testing.T) {
	is := is.New(t)
	r := New(member("a", 0))
	for n := range 2 * maxMembers {
		r.UpdateFromOthers([]Member{{Name: fmt.Sprint("x", n), DataCentre: "b", Address: netip.MustParseAddrPort("10.0.0.1:1")}})
	}
	is.True(len(r.Members()) <= maxMembers+1)
}
