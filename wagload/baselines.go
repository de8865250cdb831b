package wagload

import (
	"cmp"
	"slices"
	"time"
)

// omniscient knows the state of each server, and the work of each request or that of
// its route. It keeps one queue, starts what gives most for its work first, and drops what cannot be
// answered by its deadline. It does not know when the state of a server changes.
type omniscient struct {
	*run
	// knowsWork tells that the work of single requests is known.
	knowsWork bool
	waiting   []*request
}

func newOmniscient(x *run, knowsWork bool) *omniscient {
	return &omniscient{run: x, knowsWork: knowsWork}
}

// expected is how long a request takes at a server that is not slow, as far as it is
// known.
func (o *omniscient) expected(r *request) time.Duration {
	if o.knowsWork {
		return r.work
	}
	return r.route.ServiceTime
}

func (o *omniscient) submit(r *request) {
	o.waiting = append(o.waiting, r)
	o.ScheduleAt(r.goal.Add(-o.expected(r)), o.dispatch)
	o.dispatch()
}

// dispatch starts what can start.
func (o *omniscient) dispatch() {
	now := o.Now()
	o.waiting = slices.DeleteFunc(o.waiting, func(r *request) bool {
		lost := now.Add(o.expected(r)).After(r.deadline)
		if lost {
			o.fail(r)
		}
		return lost
	})
	slices.SortStableFunc(o.waiting, func(a, b *request) int { return cmp.Compare(o.gain(b), o.gain(a)) })
	for n := 0; n < len(o.waiting); n++ {
		r := o.waiting[n]
		v := o.choose(r)
		if v == nil {
			continue
		}
		o.waiting = slices.Delete(o.waiting, n, n+1)
		n--
		t := &visit{request: r, server: v, sent: now}
		t.done = func(e visitEnd) {
			if e == visitDone {
				o.answer(r)
			} else {
				o.fail(r)
			}
			o.dispatch()
		}
		v.begin(t)
	}
}

// gain is what a request gives for a second of work, if it starts now.
func (o *omniscient) gain(r *request) float64 {
	worth := r.route.Value
	if o.Now().Add(o.expected(r)).After(r.goal) {
		worth = r.route.LateValue
	}
	return worth / o.expected(r).Seconds()
}

// choose returns the server on which the request ends first, or nil when it does
// better to wait.
func (o *omniscient) choose(r *request) (best *server) {
	now := o.Now()
	inTime := !now.Add(o.expected(r)).After(r.goal)
	// Servers that fail are better than none.
	allFail := !slices.ContainsFunc(o.servers, func(v *server) bool { return v.failing() == 0 })
	var least time.Duration
	for _, v := range o.servers {
		if len(v.running) >= o.pattern.fastest() || v.isDown() || v.isSilent() || v.failing() > 0 && !allFail {
			continue
		}
		took := time.Duration(float64(o.expected(r)) * v.factor())
		until := r.deadline
		if inTime {
			until = r.goal
		}
		if now.Add(took).After(until) || best != nil && took >= least {
			continue
		}
		best, least = v, took
	}
	return best
}

// fastest returns with how many requests at once a server does most.
func (p *Pattern) fastest() int {
	below := int(kneeShare * float64(p.Slots))
	if float64(below) > float64(p.Slots)/kneeFactor {
		return below
	}
	return p.Slots
}

// aloneHosts is how many hosts of a data centre decide without each other.
const aloneHosts = 4

// alone is a number of hosts that count only their own requests.
type alone struct {
	*run
	// flying counts the requests of each host at each server.
	flying [aloneHosts][]int
}

func newAlone(x *run) *alone {
	a := &alone{run: x}
	for n := range a.flying {
		a.flying[n] = make([]int, x.pattern.Servers)
	}
	return a
}

func (a *alone) submit(r *request) { a.try(r, a.choices.IntN(aloneHosts), nil) }

func (a *alone) try(r *request, host int, avoid *server) {
	var best *server
	for _, n := range a.choices.Perm(len(a.servers)) {
		v := a.servers[n]
		if v != avoid && (best == nil || a.flying[host][n] < a.flying[host][best.number]) {
			best = v
		}
	}
	r.attempts++
	a.flying[host][best.number]++
	a.send(r, best, func(e visitEnd) {
		a.flying[host][best.number]--
		notRun := e == visitRejected || e == visitUnreachable
		switch {
		case e == visitDone:
			a.answer(r)
		case r.attempts < maxAttempts && (notRun || r.route.Idempotent) && a.Now().Before(r.deadline):
			a.try(r, host, best)
		default:
			a.fail(r)
		}
	})
}
