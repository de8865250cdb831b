package wagreplay

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// server simulates one server: its slots, a queue of its own, and the faults of
// the trace.
type server struct {
	simulation *simulation
	wagtrace.Server
	number   int
	address  netip.AddrPort
	faults   []wagtrace.Fault
	inFlight int
	queue    []*attempt
	// ends holds when the attempts in its slots will end.
	ends map[*attempt]time.Time
}

// attempt is one attempt of a request at a server.
type attempt struct {
	request *request
	// onEnd is called with the result when the response leaves the server.
	onEnd   func(result attemptEnd)
	started time.Time
}

// attemptEnd says how an attempt ended.
type attemptEnd int

const (
	attemptDone attemptEnd = iota
	// attemptRefused means that the server proved that it did not run the
	// request.
	attemptRefused
	// attemptUnreachable means that no connection could be opened.
	attemptUnreachable
	// attemptFailed means that the response had a bad status.
	attemptFailed
	// attemptBroken means that the server went down while it ran the request.
	attemptBroken
	// attemptTimedOut means that the server stopped at the deadline.
	attemptTimedOut
	// attemptExpired means that the deadline passed in the queue of the server.
	attemptExpired
)

func newServer(s *simulation, number int, t wagtrace.Server) *server {
	v := &server{simulation: s, Server: t, number: number, ends: make(map[*attempt]time.Time)}
	v.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 80)
	for _, f := range s.Trace.Faults {
		if f.Server == t.Name {
			v.faults = append(v.faults, f)
		}
	}
	return v
}

// byAddress returns the server with an address that newServer made.
func (s *simulation) byAddress(a netip.AddrPort) *server {
	b := a.Addr().As4()
	return s.servers[int(b[1])<<16|int(b[2])<<8|int(b[3])]
}

// hasFault reports whether a fault of a kind is present now.
func (v *server) hasFault(k wagtrace.FaultKind) bool {
	now := v.simulation.Now()
	for i := range v.faults {
		f := &v.faults[i]
		if f.Kind == k && !now.Before(f.From) && now.Before(f.Until) {
			return true
		}
	}
	return false
}

// serviceFactor returns the factor of service times that begin now.
func (v *server) serviceFactor() float64 {
	now, factor := v.simulation.Now(), 1.0
	for i := range v.faults {
		f := &v.faults[i]
		if now.Before(f.From) || !now.Before(f.Until) {
			continue
		}
		switch f.Kind {
		case wagtrace.FaultSlow:
			factor *= f.Factor
		case wagtrace.FaultColdStart:
			left := float64(f.Until.Sub(now)) / float64(f.Until.Sub(f.From))
			factor *= 1 + (f.Factor-1)*left
		}
	}
	return factor
}

// wentDown reports whether the server was down at any time in a span.
func (v *server) wentDown(from, until time.Time) bool {
	for i := range v.faults {
		f := &v.faults[i]
		if f.Kind == wagtrace.FaultDown && f.From.Before(until) && f.Until.After(from) {
			return true
		}
	}
	return false
}

// listing returns the server as the server list shows it now.
func (v *server) listing(service string) wagserver.Server {
	now := v.simulation.Now()
	l := wagserver.Server{Service: service, DataCentre: v.DataCentre, Address: v.address, State: wagserver.Live}
	for _, f := range v.faults {
		if f.Kind != wagtrace.FaultDrain {
			continue
		}
		if !f.ListedAt.IsZero() && !now.Before(f.ListedAt) && now.Before(f.Until) {
			l.State = wagserver.Leaving
		}
		if !now.Before(f.Until) {
			l.Started = f.Until
		}
	}
	return l
}

// load returns what the server reports about itself.
func (v *server) load() wagrouting.Load {
	l := wagrouting.Load{InFlight: v.inFlight + len(v.queue), Slots: v.Slots, Draining: v.hasFault(wagtrace.FaultDrain)}
	if v.hasFault(wagtrace.FaultFalseLoad) {
		l.InFlight = 0
	}
	return l
}

// arrive takes an attempt: it runs, waits in the queue or fails at once.
func (v *server) arrive(r *request, onEnd func(attemptEnd)) {
	switch {
	case v.hasFault(wagtrace.FaultDown):
		onEnd(attemptUnreachable)
	case v.hasFault(wagtrace.FaultDrain):
		v.simulation.stats.countLateSend(v)
		onEnd(attemptRefused)
	case v.hasFault(wagtrace.FaultFailFast):
		onEnd(attemptFailed)
	case v.inFlight < v.Slots:
		v.start(&attempt{request: r, onEnd: onEnd})
	default:
		v.queue = append(v.queue, &attempt{request: r, onEnd: onEnd})
	}
}

// start runs an attempt in a free slot.
func (v *server) start(a *attempt) {
	s := v.simulation
	v.inFlight++
	a.started = s.Now()
	a.request.started = s.Now()
	service := time.Duration(float64(a.request.ServiceTime) * v.serviceFactor())
	end, result := s.Now().Add(service), attemptDone
	if end.After(a.request.Deadline) {
		end, result = a.request.Deadline, attemptTimedOut
	}
	v.ends[a] = end
	s.ScheduleAt(end, func() { v.finish(a, result) })
}

// finish ends an attempt and starts queued ones.
func (v *server) finish(a *attempt, result attemptEnd) {
	s := v.simulation
	delete(v.ends, a)
	v.inFlight--
	if v.wentDown(a.started, s.Now()) {
		result = attemptBroken
	}
	s.stats.countWork(a, s.Now(), result)
	a.onEnd(result)
	for len(v.queue) > 0 && v.inFlight < v.Slots {
		next := v.queue[0]
		v.queue = v.queue[1:]
		if !next.request.Deadline.After(s.Now()) {
			next.onEnd(attemptExpired)
			continue
		}
		v.start(next)
	}
}
