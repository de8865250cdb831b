package wagreplay

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// server is a fake of one server: slots, a queue of its own, and the faults of
// the trace.
type server struct {
	simulation *simulation
	wagtrace.Server
	number  int
	address netip.AddrPort
	faults  []wagtrace.Fault
	busy    int
	queue   []*visit
	// ends holds when the calls in its slots will end.
	ends map[*visit]time.Time
}

// visit is one attempt of a call at a server.
type visit struct {
	call *call
	// done gets the result when the answer leaves the server.
	done    func(outcome visitEnd)
	started time.Time
}

// visitEnd tells how a visit ended.
type visitEnd int

const (
	visitDone visitEnd = iota
	// visitRefused tells that the server proved that it did not run the call.
	visitRefused
	visitUnreachable
	visitFailed
	visitBroken
	// visitCut tells that the server stopped at the deadline.
	visitCut
	// visitExpired tells that the deadline passed in the server's queue.
	visitExpired
)

func newServer(s *simulation, number int, t wagtrace.Server) *server {
	v := &server{simulation: s, Server: t, number: number, ends: make(map[*visit]time.Time)}
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

// has tells whether a fault of a kind is present.
func (v *server) has(k wagtrace.FaultKind) bool {
	now := v.simulation.Now()
	for i := range v.faults {
		f := &v.faults[i]
		if f.Kind == k && !now.Before(f.From) && now.Before(f.Until) {
			return true
		}
	}
	return false
}

// factor multiplies service times that begin now.
func (v *server) factor() float64 {
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

// broke tells whether the server went down in a span of time.
func (v *server) broke(from, until time.Time) bool {
	for i := range v.faults {
		f := &v.faults[i]
		if f.Kind == wagtrace.FaultDown && f.From.Before(until) && f.Until.After(from) {
			return true
		}
	}
	return false
}

// listed is the server as the host list shows it.
func (v *server) listed(service string) wagserver.Server {
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

// load is what the server reports of itself.
func (v *server) load() wagrouting.Load {
	l := wagrouting.Load{InFlight: v.busy + len(v.queue), Slots: v.Slots, Draining: v.has(wagtrace.FaultDrain)}
	if v.has(wagtrace.FaultFalseLoad) {
		l.InFlight = 0
	}
	return l
}

// arrive takes a request.
func (v *server) arrive(c *call, done func(visitEnd)) {
	switch {
	case v.has(wagtrace.FaultDown):
		done(visitUnreachable)
	case v.has(wagtrace.FaultDrain):
		v.simulation.stats.refusedByDrain(v)
		done(visitRefused)
	case v.has(wagtrace.FaultFailFast):
		done(visitFailed)
	case v.busy < v.Slots:
		v.start(&visit{call: c, done: done})
	default:
		v.queue = append(v.queue, &visit{call: c, done: done})
	}
}

func (v *server) start(t *visit) {
	s := v.simulation
	v.busy++
	t.started = s.Now()
	t.call.started = s.Now()
	service := time.Duration(float64(t.call.ServiceTime) * v.factor())
	end, outcome := s.Now().Add(service), visitDone
	if end.After(t.call.Deadline) {
		end, outcome = t.call.Deadline, visitCut
	}
	v.ends[t] = end
	s.At(end, func() { v.finish(t, outcome) })
}

func (v *server) finish(t *visit, outcome visitEnd) {
	s := v.simulation
	delete(v.ends, t)
	v.busy--
	if v.broke(t.started, s.Now()) {
		outcome = visitBroken
	}
	s.stats.worked(t, s.Now(), outcome)
	t.done(outcome)
	for len(v.queue) > 0 && v.busy < v.Slots {
		next := v.queue[0]
		v.queue = v.queue[1:]
		if !next.call.Deadline.After(s.Now()) {
			next.done(visitExpired)
			continue
		}
		v.start(next)
	}
}
