// Package wagserver keeps the list of servers of each service. It merges the host list
// of the platform with what hosts observe of the servers.
package wagserver

import (
	"net/netip"
	"time"
)

// State is whether a server takes new requests.
type State string

// States of a server.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Server is a server of a service.
type Server struct {
	Service    string         `json:"service"`
	DataCentre string         `json:"dataCentre"`
	Address    netip.AddrPort `json:"address"`
	State      State          `json:"state"`
	// Started is zero if the platform does not report it.
	Started time.Time `json:"started"`
}
