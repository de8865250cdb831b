package wagentry

import (
	"net/netip"
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagmember"
)

// singleHost is the membership of a host without peers.
type singleHost struct{ self wagmember.Member }

var _ Membership = singleHost{}

// Members returns this host only.
func (s singleHost) Members(time.Time) []wagmember.Member {
	return []wagmember.Member{s.self}
}

// living counts the hosts that may hold connections to servers.
func living(members []wagmember.Member) int {
	n := 0
	for i := range members {
		if members[i].State != wagmember.Dead {
			n++
		}
	}
	return max(n, 1)
}

// share returns how many connections this host may have to one server.
func share(d *wagdocument.Document, members []wagmember.Member) int {
	return max(d.Service.Connections/living(members), 1)
}

// target is where a call is placed first: at this host or at another one.
type target struct {
	// forward is invalid when this host places the call.
	forward netip.AddrPort
	// zone tells that the host is in another data centre, and successor is the
	// host there that takes the call when the first one cannot be reached.
	zone      bool
	successor netip.AddrPort
}

// remote returns the target in another data centre.
func (p *proxiedCall) remote(dataCentre string) (target, bool) {
	name := p.document.Service.Name
	m, ok := wagmember.Owner(p.members, name, dataCentre)
	if !ok {
		return target{}, false
	}
	t := target{forward: m.Forward, zone: true}
	if next, ok := wagmember.Successor(p.members, name, dataCentre, m.Name); ok {
		t.successor = next.Forward
	}
	return t, true
}

// target chooses the group of a call. Without servers in this data centre it is
// the nearest one that has servers and a live host.
func (p *proxiedCall) target() target {
	here := p.entry.settings.Host.DataCentre
	centres := p.snapshot.centres[p.document.Service.Name]
	if len(centres[here]) > 0 || len(centres) == 0 {
		m, ok := wagmember.Owner(p.members, p.document.Service.Name, here)
		if !ok || m.Name == p.entry.settings.Host.Name {
			return target{}
		}
		return target{forward: m.Forward}
	}
	names := make([]string, 0, len(centres))
	for name := range centres {
		names = append(names, name)
	}
	sort.Slice(names, func(a, b int) bool {
		near, far := p.document.Zones.Between(here, names[a]), p.document.Zones.Between(here, names[b])
		return near < far || near == far && names[a] < names[b]
	})
	for _, name := range names {
		if t, ok := p.remote(name); ok {
			return t
		}
	}
	return target{}
}
