package wagrouting

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// observedDrainLifetime is how long an observed drain outweighs a server list
	// that still shows the server as live.
	observedDrainLifetime = time.Minute
	// maxSlotsFactor bounds the slots that a server may report, as a multiple of
	// those in the document. Reports are not trusted.
	maxSlotsFactor = 4
)

// server is the state of one server of the group.
type server struct {
	address netip.AddrPort
	// sendDecision is created once, so that decisions do not allocate.
	sendDecision Decision
	// inFlight counts the requests sent by this scheduler that have not finished;
	// it is never negative.
	inFlight int
	// longInFlight counts the long requests among them.
	longInFlight int
	slots        int
	// slotsReported is set when slots was reported by the server itself.
	slotsReported bool
	// capacity is how many requests the server may hold now; it is 1 while the
	// server is on trial.
	capacity int
	// externalInFlight counts the requests of other hosts at the server, by its
	// latest report.
	externalInFlight int
	// leasedSlots is the number of slots leased to this host; only SlotShares
	// uses it.
	leasedSlots int

	listed  bool
	leaving bool
	// leavingSince is when the drain was observed; zero if only the server list
	// shows it.
	leavingSince time.Time
	started      time.Time

	// reportedInFlight is the load that the server reported at reportedAt.
	// sentSinceReport counts the requests that this scheduler has sent to it
	// since.
	reportedInFlight int
	reportedAt       time.Time
	sentSinceReport  int

	// slowness is the moving average of the times until the header, as multiples
	// of the mean of the route; 1 is normal.
	slowness            float64
	failing             bool
	errorRate           float64
	consecutiveFailures int
	lastResponse        time.Time
	lastFailure         time.Time
	// exclusions counts the exclusions in a row; each one doubles the time until
	// excludedUntil.
	exclusions    int
	excluded      bool
	excludedUntil time.Time
	// rampCost is the cost of the server while it ramps up until rampUntil; 1
	// otherwise.
	rampCost  float64
	rampUntil time.Time
	// onTrial limits the server to one request until it responds.
	onTrial bool

	underReview bool
	// These fields hold what the server adds to the totals of the group.
	countedCapacity, countedFastCapacity, countedFastLong, countedHealthy int
	positions                                                             [3]indexPosition
}

func (s *server) isEligible() bool { return s.listed && !s.leaving && !s.excluded }

// SetServers replaces the list of servers.
func (sc *Scheduler) SetServers(now time.Time, list []wagserver.Server) {
	for _, s := range sc.servers {
		s.listed = false
	}
	for _, l := range list {
		s := sc.serverAt(l.Address)
		if s == nil {
			s = sc.addServer(now, l)
		}
		sc.updateFromList(now, s, l)
	}
	for i := len(sc.servers) - 1; i >= 0; i-- {
		sc.refresh(sc.servers[i])
		sc.removeIfUnused(sc.servers[i])
	}
	sc.hasServerList = true
}

func (sc *Scheduler) serverAt(a netip.AddrPort) *server { return sc.byAddress[a] }

func (sc *Scheduler) addServer(now time.Time, l wagserver.Server) *server {
	s := &server{
		address: l.Address, sendDecision: Send{Server: l.Address}, slots: sc.document.Service.Slots,
		slowness: 1, rampCost: 1, started: l.Started, lastResponse: now,
	}
	// Servers of the first list may have run for long already; only the start
	// time shows whether they are cold.
	switch {
	case sc.hasServerList && l.Started.IsZero():
		sc.startRamp(now, s)
	case now.Sub(l.Started) < sc.document.Service.RampTime:
		sc.startRamp(now, s)
	}
	sc.byAddress[l.Address] = s
	sc.servers = append(sc.servers, s)
	return s
}

// updateFromList applies the entry of the server list. A new start clears what is
// known about the health of the server.
func (sc *Scheduler) updateFromList(now time.Time, s *server, l wagserver.Server) {
	s.listed = true
	if l.State == wagserver.Leaving {
		s.leaving = true
		return
	}
	renewed := l.Started.After(s.started)
	if renewed {
		s.started = l.Started
		s.slowness, s.errorRate, s.consecutiveFailures, s.failing = 1, 0, 0, false
		sc.startRamp(now, s)
	}
	observed := s.leaving && !s.leavingSince.IsZero() && now.Sub(s.leavingSince) < observedDrainLifetime
	if observed && !renewed {
		return
	}
	s.leaving, s.leavingSince = false, time.Time{}
}

// SetLeaving records that this host or a peer observed the server draining. This
// outweighs the server list, which lags behind.
func (sc *Scheduler) SetLeaving(now time.Time, a netip.AddrPort) {
	s := sc.serverAt(a)
	if s == nil || s.leaving {
		return
	}
	s.leaving, s.leavingSince = true, now
	sc.refresh(s)
}

// removeIfUnused removes a server that is neither listed nor has requests in
// flight.
func (sc *Scheduler) removeIfUnused(s *server) {
	if s.listed || s.inFlight > 0 {
		return
	}
	if s.excluded {
		s.excluded = false
		sc.excludedCount--
	}
	delete(sc.byAddress, s.address)
	for i, o := range sc.servers {
		if o == s {
			last := len(sc.servers) - 1
			sc.servers[i] = sc.servers[last]
			sc.servers[last] = nil
			sc.servers = sc.servers[:last]
			return
		}
	}
}

// refresh updates the indexes and totals after a change of the state of a server.
func (sc *Scheduler) refresh(s *server) {
	eligible := s.isEligible()
	sc.setEligible(s, eligible)
	s.capacity = sc.capacityOf(s)
	capacity, fast, fastLong, healthy := 0, 0, 0, 0
	if eligible {
		capacity = s.capacity
		if !s.failing {
			healthy = 1
		}
		if s.level() == 0 {
			fast, fastLong = s.capacity, min(s.longInFlight, s.capacity)
		}
	}
	sc.capacity += capacity - s.countedCapacity
	sc.fastCapacity += fast - s.countedFastCapacity
	sc.fastLongInFlight += fastLong - s.countedFastLong
	sc.healthy += healthy - s.countedHealthy
	s.countedCapacity, s.countedFastCapacity, s.countedFastLong, s.countedHealthy = capacity, fast, fastLong, healthy
	if _, ok := sc.policy.(LeastOutstanding); ok {
		sc.updateIndex(0, s, eligible, min(s.inFlight*occupancySteps/s.slots, bucketCount-1))
		return
	}
	if !sc.queuesRequests() {
		return
	}
	load := s.inFlight + s.externalInFlight
	free := eligible && load < s.capacity
	bucket := 0
	if free {
		bucket = s.level()*occupancySteps + load*occupancySteps/s.capacity
	}
	sc.updateIndex(0, s, free, bucket)
	sc.updateIndex(1, s, free && s.longInFlight < sc.longLimit(s.slots), bucket)
}

// updateIndex puts a server into a bucket of an index, or removes it from the
// index.
func (sc *Scheduler) updateIndex(id int, s *server, include bool, bucket int) {
	if !include {
		sc.freeServers[id].remove(s)
		return
	}
	sc.freeServers[id].set(s, bucket)
}

// eligibleListPosition is the entry of server.positions that holds the place of
// the server in Scheduler.eligible.
const eligibleListPosition = 2

func (sc *Scheduler) setEligible(s *server, eligible bool) {
	p := &s.positions[eligibleListPosition]
	if p.present == eligible {
		return
	}
	p.present = eligible
	if eligible {
		p.offset = len(sc.eligible)
		sc.eligible = append(sc.eligible, s)
		return
	}
	last := len(sc.eligible) - 1
	moved := sc.eligible[last]
	sc.eligible[p.offset] = moved
	moved.positions[eligibleListPosition].offset = p.offset
	sc.eligible[last] = nil
	sc.eligible = sc.eligible[:last]
}

// capacityOf returns how many requests a server may hold now.
func (sc *Scheduler) capacityOf(s *server) int {
	if _, ok := sc.policy.(SlotShares); ok {
		return s.leasedSlots
	}
	if s.onTrial {
		return 1
	}
	return s.slots
}

// longLimit returns how many of the given slots long requests may hold.
func (sc *Scheduler) longLimit(slots int) int {
	if sc.disabled[ReserveSlots] {
		return slots
	}
	return max(1, int(sc.document.Limits.LongShare*float64(slots)))
}

// AddLeasedSlots leases n slots of a server to this host and appends the
// decisions on queued requests that follow. Only SlotShares uses it.
func (sc *Scheduler) AddLeasedSlots(now time.Time, a netip.AddrPort, n int, decisions []DelayedDecision) []DelayedDecision {
	if s := sc.serverAt(a); s != nil {
		s.leasedSlots = min(max(s.leasedSlots+n, 0), s.slots)
		sc.refresh(s)
	}
	return sc.Tick(now, decisions)
}

// ReleaseLeasedSlot gives up a leased slot that is free. It returns false if
// there is none. Only SlotShares uses it.
func (sc *Scheduler) ReleaseLeasedSlot() (netip.AddrPort, bool) {
	s := sc.freeServers[0].cheapest(sc.random, netip.AddrPort{})
	if s == nil {
		return netip.AddrPort{}, false
	}
	s.leasedSlots--
	sc.refresh(s)
	return s.address, true
}
