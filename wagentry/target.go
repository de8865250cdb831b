package wagentry

import (
	"net/netip"
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagmember"
)

// singleHost is the Membership of a host without peers.
type singleHost struct{ self wagmember.Member }

var _ Membership = singleHost{}

// Members returns only this host.
func (s singleHost) Members(time.Time) []wagmember.Member {
	return []wagmember.Member{s.self}
}

// countLive returns the number of hosts that may hold connections to servers, at
// least 1.
func countLive(members []wagmember.Member) int {
	n := 0
	for i := range members {
		if members[i].State != wagmember.Dead {
			n++
		}
	}
	return max(n, 1)
}

// connectionShare returns how many connections this host may have to one server.
func connectionShare(d *wagdocument.Document, members []wagmember.Member) int {
	return max(d.Service.Connections/countLive(members), 1)
}

// target is the host that a request is forwarded to first, if any.
type target struct {
	// address is invalid if this host places the request itself.
	address netip.AddrPort
	// otherDataCentre is set if the host is in another data centre. successor is the
	// host there that takes the request if the first one can't be reached.
	otherDataCentre bool
	successor       netip.AddrPort
}

// remoteTarget returns the owner of the group in another data centre as the target, or
// false if there is none.
func (p *proxiedRequest) remoteTarget(dataCentre string) (target, bool) {
	name := p.document.Service.Name
	m, ok := wagmember.Owner(p.members, name, dataCentre)
	if !ok {
		return target{}, false
	}
	t := target{address: m.Forward, otherDataCentre: true}
	if next, ok := wagmember.Successor(p.members, name, dataCentre, m.Name); ok {
		t.successor = next.Forward
	}
	return t, true
}

// chooseTarget returns the owner of the group in this data centre. If this data centre
// has no servers of the service, it returns the owner in the nearest data centre that
// has servers and a live host. The target is empty if this host is to place the
// request.
func (p *proxiedRequest) chooseTarget() target {
	localDataCentre := p.proxy.settings.Host.DataCentre
	servers := p.snapshot.serversByDataCentre[p.document.Service.Name]
	if len(servers[localDataCentre]) > 0 || len(servers) == 0 {
		m, ok := wagmember.Owner(p.members, p.document.Service.Name, localDataCentre)
		if !ok || m.Name == p.proxy.settings.Host.Name {
			return target{}
		}
		return target{address: m.Forward}
	}
	names := make([]string, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	sort.Slice(names, func(a, b int) bool {
		near, far := p.document.Zones.DelayBetween(localDataCentre, names[a]), p.document.Zones.DelayBetween(localDataCentre, names[b])
		return near < far || near == far && names[a] < names[b]
	})
	for _, name := range names {
		if t, ok := p.remoteTarget(name); ok {
			return t
		}
	}
	return target{}
}
