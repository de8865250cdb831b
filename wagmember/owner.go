package wagmember

import (
	"github.com/wagtailspar/wagtailspar/waglease"
)

// Owner returns the host that owns the group of a service in a data centre. It
// returns false if no host is alive there.
func Owner(members []Member, service, dataCentre string) (Member, bool) {
	return ownerWithout(members, service, dataCentre, "")
}

// Successor returns the host that owns the group once a given host is lost.
// Hosts of other data centres need it, because they find out late that an owner
// is lost, or never if its data centre has only two hosts.
func Successor(members []Member, service, dataCentre, lost string) (Member, bool) {
	return ownerWithout(members, service, dataCentre, lost)
}

func ownerWithout(members []Member, service, dataCentre, without string) (Member, bool) {
	// A capacity of 32 fits the hosts of most data centres without another
	// allocation.
	names := make([]string, 0, 32)
	for i := range members {
		m := &members[i]
		if m.DataCentre == dataCentre && m.State == Alive && m.Name != without {
			names = append(names, m.Name)
		}
	}
	chosen := waglease.Choose(service+"/"+dataCentre, names)
	for i := range members {
		if chosen != "" && members[i].Name == chosen && members[i].DataCentre == dataCentre {
			return members[i], true
		}
	}
	return Member{}, false
}
