package wagplacement

import "slices"

// Mechanism is a part of the scheduling that can be disabled to measure its effect.
type Mechanism string

// Mechanisms.
const (
	// MechanismReports uses the load reports of servers and probes them.
	MechanismReports Mechanism = "reports"
	// MechanismPace compares the latency of a server with the expected latency.
	MechanismPace Mechanism = "pace"
	// MechanismExclusion sends no requests to servers that failed.
	MechanismExclusion Mechanism = "exclusion"
	// MechanismStuck avoids servers on which requests are stuck.
	MechanismStuck Mechanism = "stuck"
	// MechanismKnee leaves slots free on servers that get slower when nearly full.
	MechanismKnee Mechanism = "knee"
	// MechanismHedge asks a second server for a request that takes longer than usual.
	MechanismHedge Mechanism = "hedge"
	// MechanismQueue lets requests wait for a server.
	MechanismQueue Mechanism = "queue"
	// MechanismOrder starts urgent requests first.
	MechanismOrder Mechanism = "order"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismReports, MechanismPace, MechanismExclusion, MechanismStuck, MechanismKnee, MechanismHedge, MechanismQueue, MechanismOrder,
	}
}

// WithoutMechanism disables a mechanism.
func WithoutMechanism(m Mechanism) Option {
	return func(sc *Scheduler) { sc.disabled[m] = true }
}

// IsValid reports whether the mechanism exists.
func (m Mechanism) IsValid() bool { return slices.Contains(Mechanisms(), m) }
