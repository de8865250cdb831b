package wagserver

import (
	"net/netip"
	"time"
)

// ObservationKind is what a host observed of a server.
type ObservationKind string

// Kinds of observations.
const (
	// Draining means that the server announced that it leaves.
	Draining ObservationKind = "draining"
	// ConnectionRefused means that the server refused connections.
	ConnectionRefused ObservationKind = "refused"
	// Unhealthy means that the health endpoint reported a failure. It never removes a
	// server by itself, because health endpoints lag and mislead.
	Unhealthy ObservationKind = "unhealthy"
	// Answered means that the server answered without a mark of draining.
	Answered ObservationKind = "answered"
)

// Observation is an observation of a server, as hosts share it.
type Observation struct {
	Service string          `json:"service"`
	Address netip.AddrPort  `json:"address"`
	Kind    ObservationKind `json:"sign"`
	// FirstSeen is when it was first seen, by the clock of the observer.
	FirstSeen time.Time `json:"first"`
	// Observer is the host that saw it.
	Observer string `json:"observer"`
}

// Event is one of HostList, LocalObservation, PeerObservations, Delegate and Tick.
type Event interface{ isEvent() }

// HostList carries the host list of the platform.
type HostList struct {
	// ReadAt is when the read began. Lists older than the latest one are ignored.
	ReadAt  time.Time
	Servers []Server
}

// LocalObservation carries an observation that this host made now.
type LocalObservation struct {
	Service string
	Address netip.AddrPort
	Kind    ObservationKind
}

// PeerObservations carries observations of peers. At most MaxSharedObservations are
// used.
type PeerObservations struct{ Observations []Observation }

// Delegate reports whether this host is a delegate of its data centre. A delegate
// passes on the observations of its peers.
type Delegate struct{ IsDelegate bool }

// Tick reports that time has passed; see List.NextWake.
type Tick struct{}

func (HostList) isEvent()         {}
func (LocalObservation) isEvent() {}
func (PeerObservations) isEvent() {}
func (Delegate) isEvent()         {}
func (Tick) isEvent()             {}

// Command is one of ShareObservations and ServersChanged.
type Command interface{ isCommand() }

// ShareObservations asks to send observations to all peers. It has at most
// MaxSharedObservations.
type ShareObservations struct{ Observations []Observation }

// ServersChanged reports that the servers of a service changed; see List.Servers.
type ServersChanged struct{ Service string }

func (ShareObservations) isCommand() {}
func (ServersChanged) isCommand()    {}

const (
	// MaxSharedObservations limits the observations of one message.
	MaxSharedObservations = 64
	// MaxDrainDelay bounds how long after the first observation a draining server may
	// still get new requests.
	MaxDrainDelay = 5 * time.Second
)
