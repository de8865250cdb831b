package wagrouting

import (
	"net/netip"
	"time"
)

// ProbeResult is what a probe of a server showed.
type ProbeResult struct {
	Healthy bool
	// Load is valid when HasLoad is set.
	Load    Load
	HasLoad bool
}

// AppendSilentServers appends the servers that gave no answers for Measure.Silence, so
// that nothing but a probe can tell their state. Whether they are probed is for
// the budget to decide.
func (c *Scheduler) AppendSilentServers(now time.Time, list []netip.AddrPort) []netip.AddrPort {
	for _, s := range c.servers {
		if s.listed && !s.leaving && s.inFlight == 0 && now.Sub(s.lastAnswer) >= c.document.Measure.Silence {
			list = append(list, s.address)
		}
	}
	return list
}

// RecordProbe takes the result of a probe. A good result ends no exclusion: health
// endpoints lie, and only answers to calls show that a server works.
func (c *Scheduler) RecordProbe(now time.Time, a netip.AddrPort, r ProbeResult) {
	s := c.find(a)
	if s == nil {
		return
	}
	c.now = now
	if r.HasLoad {
		c.report(now, s, r.Load)
	}
	if r.Healthy {
		s.lastAnswer = now
	} else {
		c.failed(now, s, FaultConnect)
	}
	c.refresh(s)
}

// Counters count what the core decided and found.
type Counters struct {
	Sent            uint64
	Queued          uint64
	Refused         uint64
	Expired         uint64
	Spilled         uint64
	Finished        uint64
	UnknownFinishes uint64
	Canceled        uint64
	// Exclusions counts servers taken out of service.
	Exclusions uint64
	// Violations counts invariants that did not hold. It has to stay at 0.
	Violations uint64
}

// Counters returns the counters since the core was made.
func (c *Scheduler) Counters() Counters { return c.counters }
