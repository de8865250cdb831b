package wagreplay

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// omniscient is the limit that policies are compared with: one queue for each
// data centre with no delay inside it, exact knowledge of service times, faults
// and slots, and the same reservation of slots for short requests.
type omniscient struct {
	*simulation
	groups      map[string]*centralQueue
	dataCentres []string
}

// centralQueue holds the servers and the queue of one data centre.
type centralQueue struct {
	servers []*server
	slots   int
	long    int
	// waiting holds short and long requests, each ordered by deadline.
	waiting [2][]*request
}

func newOmniscient(s *simulation) *omniscient {
	o := &omniscient{simulation: s, groups: make(map[string]*centralQueue), dataCentres: s.Trace.Header.DataCentres}
	for _, name := range o.dataCentres {
		o.groups[name] = &centralQueue{}
	}
	for _, v := range s.servers {
		g := o.groups[v.DataCentre]
		g.servers = append(g.servers, v)
		g.slots += v.Slots
	}
	for _, f := range s.Trace.Faults {
		s.ScheduleAt(f.Until, o.dispatchAll)
	}
	return o
}

func (o *omniscient) dispatchAll() {
	for _, name := range o.dataCentres {
		o.dispatch(o.groups[name])
	}
}

// usable reports whether the server can run requests now.
func (v *server) usable() bool {
	return !v.hasFault(wagtrace.FaultDown) && !v.hasFault(wagtrace.FaultDrain) && !v.hasFault(wagtrace.FaultFailFast)
}

func classIndex(r *request) int {
	if isLong(r) {
		return 1
	}
	return 0
}

// arrive queues a request in the data centre where it would start first.
func (o *omniscient) arrive(r *request) {
	best, start := o.groups[r.DataCentre], o.startTime(o.groups[r.DataCentre], r)
	for _, name := range o.dataCentres {
		link := 2 * o.Trace.Header.LinkDelay(r.DataCentre, name)
		if t := o.startTime(o.groups[name], r).Add(link); name != r.DataCentre && t.Before(start) {
			best, start = o.groups[name], t
			r.returnDelay = link
		}
	}
	if r.returnDelay > 0 {
		o.stats.zoneBytes += r.Bytes + headerBytes
		o.stats.spilled++
		o.stats.spilledFrom[r.DataCentre]++
	}
	class := classIndex(r)
	waiting := best.waiting[class]
	i := sort.Search(len(waiting), func(i int) bool { return waiting[i].Deadline.After(r.Deadline) })
	waiting = append(waiting, nil)
	copy(waiting[i+1:], waiting[i:])
	waiting[i] = r
	best.waiting[class] = waiting
	o.dispatch(best)
}

// startTime estimates when a request would start in a group, from the exact ends
// of the attempts in its slots.
func (o *omniscient) startTime(g *centralQueue, r *request) time.Time {
	ahead := len(g.waiting[0])
	if isLong(r) {
		ahead = len(g.waiting[1])
	}
	var ends []time.Time
	usable := 0
	for _, v := range g.servers {
		if !v.usable() {
			continue
		}
		usable += v.Slots
		for _, e := range v.ends {
			ends = append(ends, e)
		}
	}
	if usable == 0 {
		return o.Now().Add(time.Hour)
	}
	if ahead < usable-len(ends) {
		return o.Now()
	}
	ahead -= usable - len(ends)
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	rounds := ahead / len(ends)
	last := ends[len(ends)-1].Sub(o.Now())
	return ends[ahead%len(ends)].Add(time.Duration(rounds) * last / 2)
}

// dispatch starts all requests of a group that can start. Short requests go
// first, but long ones always get a tenth of the slots.
func (o *omniscient) dispatch(g *centralQueue) {
	for {
		order := [2]int{0, 1}
		if g.long < max(1, g.slots/10) {
			order = [2]int{1, 0}
		}
		if !o.startNext(g, order) {
			return
		}
	}
}

// startNext starts the first request that can start and reports whether there was
// one.
func (o *omniscient) startNext(g *centralQueue, order [2]int) bool {
	for _, class := range order {
		for len(g.waiting[class]) > 0 {
			r := g.waiting[class][0]
			v, tooLate := o.chooseServer(g, r)
			if v == nil && !tooLate {
				break
			}
			g.waiting[class] = g.waiting[class][1:]
			if tooLate {
				o.endRequest(r, statusNotRun, "deadline")
				continue
			}
			o.startRequest(g, v, r)
			return true
		}
	}
	return false
}

// chooseServer returns the server for a request. It returns nil when the request
// does better to wait, and tooLate when it cannot end in time anywhere.
func (o *omniscient) chooseServer(g *centralQueue, r *request) (best *server, tooLate bool) {
	latestEnd := r.Deadline.Add(-r.returnDelay)
	if !latestEnd.After(o.Now().Add(r.ServiceTime)) {
		return nil, true
	}
	limit := max(1, int(o.Document.Limits.LongShare*float64(g.slots)))
	if isLong(r) && g.long >= limit {
		return nil, false
	}
	var end, earliestFreed time.Time
	for _, v := range g.servers {
		if !v.usable() {
			continue
		}
		service := time.Duration(float64(r.ServiceTime) * v.serviceFactor())
		if v.inFlight < v.Slots {
			if t := o.Now().Add(service); best == nil || t.Before(end) {
				best, end = v, t
			}
			continue
		}
		for _, e := range v.ends {
			if t := e.Add(service); earliestFreed.IsZero() || t.Before(earliestFreed) {
				earliestFreed = t
			}
		}
	}
	if best == nil || (!earliestFreed.IsZero() && earliestFreed.Before(end)) || end.After(latestEnd) {
		return nil, false
	}
	return best, false
}

// startRequest runs a request at a server.
func (o *omniscient) startRequest(g *centralQueue, v *server, r *request) {
	if isLong(r) {
		g.long++
	}
	v.start(&attempt{request: r, onEnd: func(end attemptEnd) {
		if isLong(r) {
			g.long--
		}
		o.endRequest(r, statusOf(end), "server")
		o.dispatch(g)
	}})
}
