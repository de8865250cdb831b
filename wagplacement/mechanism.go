package wagplacement

import "slices"

// Mechanism is a part of the decisions that can be left out, to measure what it
// gives.
type Mechanism string

// Mechanisms.
const (
	// MechanismReports uses what servers report of themselves, and probes them.
	MechanismReports Mechanism = "reports"
	// MechanismPace measures how long a server takes compared with what is expected.
	MechanismPace Mechanism = "pace"
	// MechanismExclusion gives no work to servers that fail.
	MechanismExclusion Mechanism = "exclusion"
	// MechanismStuck leaves servers on which requests are stuck.
	MechanismStuck Mechanism = "stuck"
	// MechanismKnee leaves slots free at servers that slow down when nearly full.
	MechanismKnee Mechanism = "knee"
	// MechanismHedge asks a second server for a request that takes longer than usual.
	MechanismHedge Mechanism = "hedge"
	// MechanismQueue lets requests wait for a server.
	MechanismQueue Mechanism = "queue"
	// MechanismOrder starts urgent requests first.
	MechanismOrder Mechanism = "order"
)

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismReports, MechanismPace, MechanismExclusion, MechanismStuck, MechanismKnee, MechanismHedge, MechanismQueue, MechanismOrder,
	}
}

// WithoutMechanism leaves a mechanism out.
func WithoutMechanism(m Mechanism) Option {
	return func(c *Scheduler) { c.without[m] = true }
}

// IsValid tells whether there is such a mechanism.
func (m Mechanism) IsValid() bool { return slices.Contains(Mechanisms(), m) }
