package wagreplay

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// omniscient is the limit that policies are compared with: one queue for each
// data centre with no delay inside it, exact knowledge of service times, faults
// and slots, and the same reservation of slots for short work.
type omniscient struct {
	*simulation
	groups map[string]*centralQueue
	order  []string
}

type centralQueue struct {
	servers []*server
	slots   int
	long    int
	// waiting holds short and long calls, each ordered by deadline.
	waiting [2][]*call
}

func newOmniscient(s *simulation) *omniscient {
	o := &omniscient{simulation: s, groups: make(map[string]*centralQueue), order: s.Trace.Header.DataCentres}
	for _, name := range o.order {
		o.groups[name] = &centralQueue{}
	}
	for _, v := range s.servers {
		g := o.groups[v.DataCentre]
		g.servers = append(g.servers, v)
		g.slots += v.Slots
	}
	for _, f := range s.Trace.Faults {
		s.At(f.Until, o.dispatchAll)
	}
	return o
}

func (o *omniscient) dispatchAll() {
	for _, name := range o.order {
		o.dispatch(o.groups[name])
	}
}

func (v *server) usable() bool {
	return !v.has(wagtrace.FaultDown) && !v.has(wagtrace.FaultDrain) && !v.has(wagtrace.FaultFailFast)
}

func class(c *call) int {
	if isLong(c) {
		return 1
	}
	return 0
}

// arrive queues a call where it would start first.
func (o *omniscient) arrive(c *call) {
	best, start := o.groups[c.DataCentre], o.startIn(o.groups[c.DataCentre], c)
	for _, name := range o.order {
		link := 2 * o.Trace.Header.LinkDelay(c.DataCentre, name)
		if t := o.startIn(o.groups[name], c).Add(link); name != c.DataCentre && t.Before(start) {
			best, start = o.groups[name], t
			c.back = link
		}
	}
	if c.back > 0 {
		o.stats.zoneBytes += c.Bytes + headBytes
		o.stats.spilled++
		o.stats.spilledFrom[c.DataCentre]++
	}
	k := class(c)
	list := best.waiting[k]
	i := sort.Search(len(list), func(i int) bool { return list[i].Deadline.After(c.Deadline) })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = c
	best.waiting[k] = list
	o.dispatch(best)
}

// startIn returns when a call would start in a group, from the exact ends of
// the calls in its slots.
func (o *omniscient) startIn(g *centralQueue, c *call) time.Time {
	ahead := len(g.waiting[0])
	if isLong(c) {
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

// dispatch starts what can start in a group. Short work goes first, but for a
// tenth of the slots that long work always gets.
func (o *omniscient) dispatch(g *centralQueue) {
	for {
		order := [2]int{0, 1}
		if g.long < max(1, g.slots/10) {
			order = [2]int{1, 0}
		}
		if !o.startOne(g, order) {
			return
		}
	}
}

func (o *omniscient) startOne(g *centralQueue, order [2]int) bool {
	for _, k := range order {
		for len(g.waiting[k]) > 0 {
			c := g.waiting[k][0]
			v, hopeless := o.place(g, c)
			if v == nil && !hopeless {
				break
			}
			g.waiting[k] = g.waiting[k][1:]
			if hopeless {
				o.end(c, endNotRun, "deadline")
				continue
			}
			o.begin(g, v, c)
			return true
		}
	}
	return false
}

// place returns the server for a call; nil when it does better to wait, and
// hopeless when it cannot end in time anywhere.
func (o *omniscient) place(g *centralQueue, c *call) (best *server, hopeless bool) {
	latest := c.Deadline.Add(-c.back)
	if !latest.After(o.Now().Add(c.ServiceTime)) {
		return nil, true
	}
	limit := max(1, int(o.Document.Limits.LongShare*float64(g.slots)))
	if isLong(c) && g.long >= limit {
		return nil, false
	}
	var end, otherwise time.Time
	for _, v := range g.servers {
		if !v.usable() {
			continue
		}
		service := time.Duration(float64(c.ServiceTime) * v.factor())
		if v.busy < v.Slots {
			if t := o.Now().Add(service); best == nil || t.Before(end) {
				best, end = v, t
			}
			continue
		}
		for _, e := range v.ends {
			if t := e.Add(service); otherwise.IsZero() || t.Before(otherwise) {
				otherwise = t
			}
		}
	}
	if best == nil || (!otherwise.IsZero() && otherwise.Before(end)) || end.After(latest) {
		return nil, false
	}
	return best, false
}

func (o *omniscient) begin(g *centralQueue, v *server, c *call) {
	if isLong(c) {
		g.long++
	}
	v.start(&visit{call: c, done: func(e visitEnd) {
		if isLong(c) {
			g.long--
		}
		o.end(c, endOf(e), "server")
		o.dispatch(g)
	}})
}
