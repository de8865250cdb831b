package wagload

import (
	"cmp"
	"slices"
	"time"
)

// omniscientPolicy knows the state of each server, and the service time of each request
// or that of its route. It keeps one queue, starts the requests with the highest value
// for their service time first, and drops those that cannot be answered by their
// deadline. It does not know when the state of a server will change.
type omniscientPolicy struct {
	*run
	// knowsServiceTime is set if the service time of each request is known.
	knowsServiceTime bool
	waiting          []*request
}

func newOmniscientPolicy(x *run, knowsServiceTime bool) *omniscientPolicy {
	return &omniscientPolicy{run: x, knowsServiceTime: knowsServiceTime}
}

// expectedServiceTime returns the service time of a request on a server that is not
// slow, as far as it is known.
func (o *omniscientPolicy) expectedServiceTime(r *request) time.Duration {
	if o.knowsServiceTime {
		return r.serviceTime
	}
	return r.route.ServiceTime
}

func (o *omniscientPolicy) submit(r *request) {
	o.waiting = append(o.waiting, r)
	o.ScheduleAt(r.goal.Add(-o.expectedServiceTime(r)), o.dispatch)
	o.dispatch()
}

// dispatch starts the requests that can start.
func (o *omniscientPolicy) dispatch() {
	now := o.Now()
	o.waiting = slices.DeleteFunc(o.waiting, func(r *request) bool {
		hopeless := now.Add(o.expectedServiceTime(r)).After(r.deadline)
		if hopeless {
			o.fail(r)
		}
		return hopeless
	})
	slices.SortStableFunc(o.waiting, func(a, b *request) int { return cmp.Compare(o.valueRate(b), o.valueRate(a)) })
	for n := 0; n < len(o.waiting); n++ {
		r := o.waiting[n]
		s := o.chooseServer(r)
		if s == nil {
			continue
		}
		o.waiting = slices.Delete(o.waiting, n, n+1)
		n--
		a := &attempt{request: r, server: s, sentAt: now}
		a.done = func(e attemptEnd) {
			if e == attemptAnswered {
				o.answer(r)
			} else {
				o.fail(r)
			}
			o.dispatch()
		}
		s.start(a)
	}
}

// valueRate returns the value per second of service time that a request gives if it
// starts now.
func (o *omniscientPolicy) valueRate(r *request) float64 {
	value := r.route.Value
	if o.Now().Add(o.expectedServiceTime(r)).After(r.goal) {
		value = r.route.LateValue
	}
	return value / o.expectedServiceTime(r).Seconds()
}

// chooseServer returns the server on which the request ends first, or nil if it is
// better to wait.
func (o *omniscientPolicy) chooseServer(r *request) (best *server) {
	now := o.Now()
	inTime := !now.Add(o.expectedServiceTime(r)).After(r.goal)
	// Servers that return errors are used if all servers do.
	allFail := !slices.ContainsFunc(o.servers, func(v *server) bool { return v.errorShare() == 0 })
	var shortest time.Duration
	for _, s := range o.servers {
		if len(s.running) >= o.pattern.bestConcurrency() || s.isDown() || s.isSilent() || s.errorShare() > 0 && !allFail {
			continue
		}
		expected := time.Duration(float64(o.expectedServiceTime(r)) * s.nextServiceTimeFactor())
		until := r.deadline
		if inTime {
			until = r.goal
		}
		if now.Add(expected).After(until) || best != nil && expected >= shortest {
			continue
		}
		best, shortest = s, expected
	}
	return best
}

// bestConcurrency returns how many requests at once give a server its highest
// throughput.
func (p *Pattern) bestConcurrency() int {
	below := int(kneeShare * float64(p.Slots))
	if float64(below) > float64(p.Slots)/kneeFactor {
		return below
	}
	return p.Slots
}

// aloneHostCount is how many hosts of a data centre decide independently.
const aloneHostCount = 4

// alonePolicy simulates several hosts, each of which counts only its own requests.
type alonePolicy struct {
	*run
	// inFlight counts the requests of each host on each server.
	inFlight [aloneHostCount][]int
}

func newAlonePolicy(x *run) *alonePolicy {
	a := &alonePolicy{run: x}
	for n := range a.inFlight {
		a.inFlight[n] = make([]int, x.pattern.Servers)
	}
	return a
}

func (a *alonePolicy) submit(r *request) {
	a.sendToLeastLoaded(r, a.policyRandom.IntN(aloneHostCount), nil)
}

// sendToLeastLoaded sends a request to the server with the fewest requests in flight of
// the host, and once more if it failed and may be repeated.
func (a *alonePolicy) sendToLeastLoaded(r *request, host int, avoid *server) {
	var best *server
	for _, n := range a.policyRandom.Perm(len(a.servers)) {
		s := a.servers[n]
		if s != avoid && (best == nil || a.inFlight[host][n] < a.inFlight[host][best.number]) {
			best = s
		}
	}
	r.attempts++
	a.inFlight[host][best.number]++
	a.send(r, best, func(e attemptEnd) {
		a.inFlight[host][best.number]--
		notRun := e == attemptRejected || e == attemptUnreachable
		switch {
		case e == attemptAnswered:
			a.answer(r)
		case r.attempts < maxAttempts && (notRun || r.route.Idempotent) && a.Now().Before(r.deadline):
			a.sendToLeastLoaded(r, host, best)
		default:
			a.fail(r)
		}
	})
}
