package wagload

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Bound of the requests to a cold server, as today's platform states it.
const (
	coldRate     = 4.3
	coldOverage  = 1.5
	coldSlack    = 8.0
	coldDuration = 3 * time.Second
	// restartDuration is how long a server is down after a crash. It is cold afterwards.
	restartDuration = 2 * time.Second
)

// coldState is the state of a server that starts during a run. The zero value is a server
// that has been running for long.
type coldState struct {
	startedAt, coldUntil time.Time
	// downUntil is when the server starts again after a crash.
	downUntil time.Time
	// arrivals are the times of the requests within the last second while it is cold.
	arrivals []time.Time
	crashes  int
}

// scheduleColdStarts schedules the starts of servers at the beginning of the phases that
// have cold servers.
func (x *run) scheduleColdStarts() {
	for _, p := range x.pattern.Phases {
		if !p.ColdStart {
			continue
		}
		x.ScheduleAt(start.Add(p.From), func() {
			for _, s := range x.servers[:p.AffectedServers] {
				s.startCold()
			}
		})
	}
}

// startCold starts the server again.
func (s *server) startCold() {
	now := s.run.Now()
	s.cold.startedAt, s.cold.coldUntil, s.cold.arrivals = now, now.Add(coldDuration), nil
	s.running, s.waiting = nil, nil
	if p, ok := s.run.policy.(*placementPolicy); ok {
		p.listServers()
	}
}

// recordArrival counts a request to a cold server, which crashes above the bound.
func (s *server) recordArrival() {
	now, c := s.run.Now(), &s.cold
	if !c.coldUntil.After(now) || c.downUntil.After(now) {
		return
	}
	for len(c.arrivals) > 0 && now.Sub(c.arrivals[0]) >= time.Second {
		c.arrivals = c.arrivals[1:]
	}
	if c.arrivals = append(c.arrivals, now); float64(len(c.arrivals)) <= coldRate*coldOverage+coldSlack {
		return
	}
	c.crashes++
	c.downUntil = now.Add(restartDuration)
	s.running, s.waiting = nil, nil
	s.run.ScheduleAt(c.downUntil, s.startCold)
}

// listServers passes the servers to the scheduler, as their entries state them.
func (p *placementPolicy) listServers() {
	var list []wagserver.Instance
	for _, s := range p.servers {
		list = append(list, wagserver.Instance{
			ID: serverID(s.number), Service: "service", DataCentre: "a", Slots: p.pattern.Slots, State: wagserver.Live,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(s.number)}), 80),
			Started: s.cold.startedAt, ColdUntil: s.cold.coldUntil,
		})
	}
	p.scheduler.SetServers(p.Now(), list)
	p.executeCommands()
}

// hasColdStarts reports whether servers start cold in the pattern.
func (p *Pattern) hasColdStarts() bool {
	for n := range p.Phases {
		if p.Phases[n].ColdStart {
			return true
		}
	}
	return false
}
