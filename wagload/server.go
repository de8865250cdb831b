package wagload

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Servers share processors with others, so that their speed changes many times a second.
const (
	// slowPhaseFactor is how much longer than usual requests take in a slow phase. A
	// quarter of the time is spent in slow phases.
	slowPhaseFactor = 5.0
	// meanSlowPhase and meanNormalPhase are the mean lengths of the phases.
	meanSlowPhase   = 150 * time.Millisecond
	meanNormalPhase = 450 * time.Millisecond
	// kneeShare is the share of its slots above which a server takes kneeFactor times as
	// long.
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
	// slow is set during a slow phase.
	slow    bool
	running []*attempt
	waiting []*attempt
	cold    coldState
}

// attempt is one sending of a request to a server.
type attempt struct {
	request *request
	server  *server
	// sentAt is when the host sent the request.
	sentAt time.Time
	// done is called once, when the host gets the response or notices that none comes.
	done func(attemptEnd)
	// over is set when the attempt has ended or was cancelled.
	over bool
}

// attemptEnd is how an attempt ended.
type attemptEnd int

const (
	attemptAnswered attemptEnd = iota
	// attemptError means that the response reports a failure.
	attemptError
	// attemptRejected means that the server did not run the request.
	attemptRejected
	// attemptUnreachable means that no connection could be opened.
	attemptUnreachable
	// attemptTimeout means that no response came by the deadline.
	attemptTimeout
)

func newServer(x *run, number int) *server {
	s := &server{run: x, number: number, random: rand.New(rand.NewPCG(x.loadRandom.Uint64(), uint64(number)))}
	s.slow = s.random.Float64() < float64(meanSlowPhase)/float64(meanSlowPhase+meanNormalPhase)
	s.schedulePhaseChange()
	return s
}

// schedulePhaseChange schedules the end of the current slow or normal phase and the
// phases after it.
func (s *server) schedulePhaseChange() {
	mean := meanNormalPhase
	if s.slow {
		mean = meanSlowPhase
	}
	if s.run.Now().After(start.Add(s.run.pattern.Duration)) {
		return
	}
	s.run.ScheduleAfter(time.Duration(s.random.ExpFloat64()*float64(mean)), func() {
		s.slow = !s.slow
		if x, ok := s.run.policy.(*omniscientPolicy); ok {
			x.dispatch()
		}
		s.schedulePhaseChange()
	})
}

// activePhase returns the first active phase that matches and applies to the server, or
// nil.
func (s *server) activePhase(matches func(*Phase) bool) *Phase {
	at := s.run.Now().Sub(start)
	for n := range s.run.pattern.Phases {
		if p := &s.run.pattern.Phases[n]; s.number < p.AffectedServers && p.isActive(at) && matches(p) {
			return p
		}
	}
	return nil
}

func (s *server) isDown() bool {
	return s.cold.downUntil.After(s.run.Now()) || s.activePhase(func(p *Phase) bool { return p.Down }) != nil
}
func (s *server) isSilent() bool {
	return s.activePhase(func(p *Phase) bool { return p.Silent }) != nil
}

// errorShare returns the share of requests that end with an error.
func (s *server) errorShare() float64 {
	if p := s.activePhase(func(p *Phase) bool { return p.ErrorShare > 0 }); p != nil {
		return p.ErrorShare
	}
	return 0
}

// slowness returns how much longer than usual a request takes that starts now, apart
// from the knee.
func (s *server) slowness() float64 {
	factor := s.reportedSlowness()
	if p := s.activePhase(func(p *Phase) bool { return p.ServiceTimeFactor > 0 && p.Hidden }); p != nil {
		factor *= p.ServiceTimeFactor
	}
	return factor
}

// reportedSlowness returns the slowness that the server reports.
func (s *server) reportedSlowness() float64 {
	factor := 1.0
	if s.slow {
		factor = slowPhaseFactor
	}
	if p := s.activePhase(func(p *Phase) bool { return p.ServiceTimeFactor > 0 && !p.Hidden }); p != nil {
		factor *= p.ServiceTimeFactor
	}
	return factor
}

// nextServiceTimeFactor returns how much longer than usual one more request takes.
func (s *server) nextServiceTimeFactor() float64 {
	factor := s.slowness()
	if float64(len(s.running)+1) > kneeShare*float64(s.run.pattern.Slots) {
		factor *= kneeFactor
	}
	return factor
}

// send sends a request to a server.
func (x *run) send(r *request, to *server, done func(attemptEnd)) *attempt {
	a := &attempt{request: r, server: to, sentAt: x.Now(), done: done}
	x.ScheduleAfter(linkDelay, func() { to.receive(a) })
	return a
}

// deliver reports to the host how the attempt ended.
func (a *attempt) deliver(end attemptEnd) {
	a.server.run.ScheduleAfter(linkDelay, func() {
		if !a.over {
			a.over = true
			a.done(end)
		}
	})
}

// cancel cancels the attempt. The server stops its work on the request.
func (a *attempt) cancel() {
	a.over = true
	a.server.run.ScheduleAfter(linkDelay, func() { a.server.remove(a) })
}

func (s *server) receive(a *attempt) {
	if a.over {
		return
	}
	s.run.ScheduleAt(a.request.deadline, func() {
		if !a.over {
			a.over = true
			s.remove(a)
			a.done(attemptTimeout)
		}
	})
	s.recordArrival()
	switch {
	case s.isDown():
		a.deliver(attemptUnreachable)
	case s.isSilent():
	case s.random.Float64() < s.errorShare():
		a.deliver(attemptError)
	case len(s.running) < s.run.pattern.Slots:
		s.start(a)
	case len(s.waiting) < s.run.pattern.QueueLimit:
		s.waiting = append(s.waiting, a)
	default:
		a.deliver(attemptRejected)
	}
}

func (s *server) start(a *attempt) {
	serviceTime := time.Duration(float64(a.request.serviceTime) * s.nextServiceTimeFactor())
	s.running = append(s.running, a)
	s.run.ScheduleAfter(serviceTime, func() {
		if !slices.Contains(s.running, a) {
			return
		}
		s.remove(a)
		if !s.isSilent() && !s.isDown() {
			a.deliver(attemptAnswered)
		}
	})
}

// remove removes an attempt from the server and starts the next one in the queue.
func (s *server) remove(a *attempt) {
	matches := func(x *attempt) bool { return x == a }
	s.waiting = slices.DeleteFunc(s.waiting, matches)
	s.running = slices.DeleteFunc(s.running, matches)
	for len(s.waiting) > 0 && len(s.running) < s.run.pattern.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !next.over {
			s.start(next)
		}
	}
}
