package wagload

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Servers share processors with others: their speed changes many times a second.
const (
	// briefFactor is how much longer work takes in a brief slow phase; a quarter of
	// the time is spent in them.
	briefFactor = 5.0
	briefMean   = 150 * time.Millisecond
	normalMean  = 450 * time.Millisecond
	// kneeShare is the share of its slots beyond which a server takes kneeFactor times
	// as long.
	kneeShare  = 0.8
	kneeFactor = 1.7
	// linkDelay is the delay of a message between a host and a server.
	linkDelay = 250 * time.Microsecond
)

// server simulates one server.
type server struct {
	run    *run
	number int
	random *rand.Rand
	// slow tells of a brief slow phase.
	slow    bool
	running []*visit
	waiting []*visit
}

// visit is one attempt of a request at a server.
type visit struct {
	request *request
	server  *server
	// sent is when the attempt began.
	sent time.Time
	// done is called once, when the answer arrives at the host.
	done func(visitEnd)
	// over tells that the visit has ended or was given up.
	over bool
}

// visitEnd tells how a visit ended.
type visitEnd int

const (
	visitDone visitEnd = iota
	// visitError tells of an answer that reports a failure.
	visitError
	// visitRejected tells that the server did not run the request.
	visitRejected
	// visitUnreachable tells that there was no connection.
	visitUnreachable
	// visitTimeout tells that no answer came until the deadline.
	visitTimeout
)

func newServer(x *run, number int) *server {
	v := &server{run: x, number: number, random: rand.New(rand.NewPCG(x.work.Uint64(), uint64(number)))}
	v.slow = v.random.Float64() < float64(briefMean)/float64(briefMean+normalMean)
	v.turn()
	return v
}

// turn plans the end of a phase and the next one.
func (v *server) turn() {
	mean := normalMean
	if v.slow {
		mean = briefMean
	}
	if v.run.Now().After(start.Add(v.run.pattern.Duration)) {
		return
	}
	v.run.ScheduleAfter(time.Duration(v.random.ExpFloat64()*float64(mean)), func() {
		v.slow = !v.slow
		if x, ok := v.run.policy.(*omniscient); ok {
			x.dispatch()
		}
		v.turn()
	})
}

// phase returns a phase that has the property and holds for the server now, or nil.
func (v *server) phase(has func(*Phase) bool) *Phase {
	at := v.run.Now().Sub(start)
	for n := range v.run.pattern.Phases {
		if p := &v.run.pattern.Phases[n]; v.number < p.AffectedServers && p.holds(at) && has(p) {
			return p
		}
	}
	return nil
}

func (v *server) isDown() bool   { return v.phase(func(p *Phase) bool { return p.Down }) != nil }
func (v *server) isSilent() bool { return v.phase(func(p *Phase) bool { return p.Silent }) != nil }

// failing returns the share of requests that end with an error.
func (v *server) failing() float64 {
	if p := v.phase(func(p *Phase) bool { return p.ErrorShare > 0 }); p != nil {
		return p.ErrorShare
	}
	return 0
}

// slowness is how much longer work takes that begins now, apart from the knee.
func (v *server) slowness() float64 {
	f := v.reported()
	if p := v.phase(func(p *Phase) bool { return p.ServiceTimeFactor > 0 && p.Hidden }); p != nil {
		f *= p.ServiceTimeFactor
	}
	return f
}

// reported is the slowness that the server tells.
func (v *server) reported() float64 {
	f := 1.0
	if v.slow {
		f = briefFactor
	}
	if p := v.phase(func(p *Phase) bool { return p.ServiceTimeFactor > 0 && !p.Hidden }); p != nil {
		f *= p.ServiceTimeFactor
	}
	return f
}

// factor is how much longer the work of one more request takes.
func (v *server) factor() float64 {
	f := v.slowness()
	if float64(len(v.running)+1) > kneeShare*float64(v.run.pattern.Slots) {
		f *= kneeFactor
	}
	return f
}

// send begins an attempt at the server.
func (x *run) send(r *request, to *server, done func(visitEnd)) *visit {
	t := &visit{request: r, server: to, sent: x.Now(), done: done}
	x.ScheduleAfter(linkDelay, func() { to.arrive(t) })
	return t
}

// end tells the host how a visit ended.
func (t *visit) end(e visitEnd) {
	t.server.run.ScheduleAfter(linkDelay, func() {
		if !t.over {
			t.over = true
			t.done(e)
		}
	})
}

// cancel gives a visit up; the server ends its work.
func (t *visit) cancel() {
	t.over = true
	t.server.run.ScheduleAfter(linkDelay, func() { t.server.leave(t) })
}

func (v *server) arrive(t *visit) {
	if t.over {
		return
	}
	v.run.ScheduleAt(t.request.deadline, func() {
		if !t.over {
			t.over = true
			v.leave(t)
			t.done(visitTimeout)
		}
	})
	switch {
	case v.isDown():
		t.end(visitUnreachable)
	case v.isSilent():
	case v.random.Float64() < v.failing():
		t.end(visitError)
	case len(v.running) < v.run.pattern.Slots:
		v.begin(t)
	case len(v.waiting) < v.run.pattern.QueueLimit:
		v.waiting = append(v.waiting, t)
	default:
		t.end(visitRejected)
	}
}

func (v *server) begin(t *visit) {
	took := time.Duration(float64(t.request.work) * v.factor())
	v.running = append(v.running, t)
	v.run.ScheduleAfter(took, func() {
		if !slices.Contains(v.running, t) {
			return
		}
		v.leave(t)
		if !v.isSilent() && !v.isDown() {
			t.end(visitDone)
		}
	})
}

// leave takes a visit off the server and begins the next one.
func (v *server) leave(t *visit) {
	is := func(x *visit) bool { return x == t }
	v.waiting = slices.DeleteFunc(v.waiting, is)
	v.running = slices.DeleteFunc(v.running, is)
	for len(v.waiting) > 0 && len(v.running) < v.run.pattern.Slots {
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		if !next.over {
			v.begin(next)
		}
	}
}
