package wagrouting

import (
	"net/netip"
	"time"
)

// ProbeResult is the result of a probe of a server.
type ProbeResult struct {
	Healthy bool
	// Load is valid when HasLoad is set.
	Load    Load
	HasLoad bool
}

// AppendSilentServers appends the listed servers that have no request in flight
// and sent no response for Probing.Silence. Only a probe can show their state;
// the probe budget decides whether they are probed.
func (sc *Scheduler) AppendSilentServers(now time.Time, list []netip.AddrPort) []netip.AddrPort {
	for _, s := range sc.servers {
		if s.listed && !s.leaving && s.inFlight == 0 && now.Sub(s.lastResponse) >= sc.document.Probing.Silence {
			list = append(list, s.address)
		}
	}
	return list
}

// RecordProbe records the result of a probe. A healthy one does not end an
// exclusion: health endpoints may be wrong, and only responses to requests show
// that a server works.
func (sc *Scheduler) RecordProbe(now time.Time, a netip.AddrPort, r ProbeResult) {
	s := sc.serverAt(a)
	if s == nil {
		return
	}
	sc.now = now
	if r.HasLoad {
		sc.applyReport(now, s, r.Load)
	}
	if r.Healthy {
		s.lastResponse = now
	} else {
		sc.recordFailure(now, s, FaultConnect)
	}
	sc.refresh(s)
}

// Counters counts what the scheduler decided and found.
type Counters struct {
	Sent uint64
	// Queued counts the requests that had to wait, Expired those of them that
	// were refused because of their deadline.
	Queued   uint64
	Refused  uint64
	Expired  uint64
	Spilled  uint64
	Finished uint64
	// UnknownFinishes counts the ends of attempts that were not in flight.
	UnknownFinishes uint64
	// Canceled counts the requests that were canceled in the queue.
	Canceled uint64
	// Exclusions counts how often a server was excluded.
	Exclusions uint64
	// Violations counts violated invariants. It has to stay at 0.
	Violations uint64
}

// Counters returns the counters since the scheduler was created.
func (sc *Scheduler) Counters() Counters { return sc.counters }
