// Package wagmember maintains the membership of entry hosts. It does no input or
// output: its user passes in each event together with the current time.
package wagmember

import (
	"net/netip"
)

// State is the state of a host as another one sees it.
type State int

// States of members.
const (
	Alive State = iota
	Suspect
	Dead
	// Leaving members finish the requests in flight and own nothing.
	Leaving
	// Unreachable members are in a data centre that is unreachable as a whole.
	// Nothing that they own is taken over, and none of them is removed.
	Unreachable
)

func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Leaving:
		return "leaving"
	default:
		return "unreachable"
	}
}

// Member describes one entry host to the others.
type Member struct {
	Name       string
	DataCentre string
	Region     string
	// Incarnation identifies one process of a host. It is higher for each later
	// process of the same name.
	Incarnation uint64
	// Forward and Peer are the addresses for forwarded requests and for control
	// messages.
	Forward netip.AddrPort
	Peer    netip.AddrPort
	State   State
}
