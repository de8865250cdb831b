package wagserver

import (
	"net/netip"
	"time"
)

// ObservationKind is what a host saw of a server.
type ObservationKind string

// Kinds of observations.
const (
	// Draining tells that the server itself announced that it leaves.
	Draining ObservationKind = "draining"
	// ConnectionRefused tells that the server refused connections.
	ConnectionRefused ObservationKind = "refused"
	// Unhealthy tells that the health endpoint reported a fault. It never
	// removes a server alone, because such endpoints lag and mislead.
	Unhealthy ObservationKind = "unhealthy"
	// Answered tells of an answer without a draining mark.
	Answered ObservationKind = "answered"
)

// Observation is one observation, as hosts share it.
type Observation struct {
	Service string          `json:"service"`
	Address netip.AddrPort  `json:"address"`
	Kind    ObservationKind `json:"sign"`
	// FirstSeen is when the observation was first seen by the observer's clock.
	FirstSeen time.Time `json:"first"`
	// Observer is the host that saw it.
	Observer string `json:"observer"`
}

// Event is one of HostList, Observed, Shared, Delegate and Tick.
type Event interface{ isEvent() }

// HostList brings the platform's host list.
type HostList struct {
	// ReadAt is when the read began. Older lists than the latest are ignored.
	ReadAt  time.Time
	Servers []Server
}

// LocalObservation brings an observation that this host saw now.
type LocalObservation struct {
	Service string
	Address netip.AddrPort
	Kind    ObservationKind
}

// PeerObservations brings observations of peers; at most MaxShared are used.
type PeerObservations struct{ Observations []Observation }

// Delegate tells whether this host passes on what it learns from peers.
type Delegate struct{ IsDelegate bool }

// Tick tells that time has passed; see List.NextWake.
type Tick struct{}

func (HostList) isEvent()         {}
func (LocalObservation) isEvent() {}
func (PeerObservations) isEvent() {}
func (Delegate) isEvent()         {}
func (Tick) isEvent()             {}

// Command is one of Share and Changed.
type Command interface{ isCommand() }

// ShareObservations asks to send observations to all peers; it has at most MaxShared.
type ShareObservations struct{ Observations []Observation }

// ServersChanged tells that the servers of a service changed; see List.Servers.
type ServersChanged struct{ Service string }

func (ShareObservations) isCommand() {}
func (ServersChanged) isCommand()    {}

const (
	// MaxSharedObservations bounds the observations of one message.
	MaxSharedObservations = 64
	// MaxDrainDelay is how long after the first observation a server may get new work.
	MaxDrainDelay = 5 * time.Second
)
