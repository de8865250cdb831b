package wagquota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simParts = 6
	simStep  = time.Millisecond
	simSlack = 20.0
	simWin   = 5 * time.Second
)

// message is a report or a reply on its way.
type message struct {
	at          time.Time
	part        *simPart
	owner       *Part
	coordinator *simCoordinator
	report      *Report
	reply       *Reply
}

// simCoordinator is a coordinator of the simulation.
type simCoordinator struct {
	name string
	core *Coordinator
	dead bool
}

// simPart is a part of the simulation with its current owner.
type simPart struct {
	index      int
	owner      *Part
	generation int
	// sees is the coordinator that the owner selects. cut drops all its messages.
	sees *simCoordinator
	cut  bool
	wait []waiting
}

type waiting struct {
	customer string
	until    time.Time
}

// simulation runs parts and coordinators on virtual time.
type simulation struct {
	t            *testing.T
	random       *rand.Rand
	now, began   time.Time
	limits       Limits
	parts        []*simPart
	coordinators []*simCoordinator
	messages     []message
	loss         float64
	maxDelay     time.Duration
	// rates holds the demand of each customer in requests per second.
	rates map[string]float64
	// factor multiplies the demand at a time since the start, and parts in focus take all of
	// it; nil for 1 and all parts.
	factor func(time.Duration) float64
	focus  []int
	// admitted holds the times of the admitted requests, by customer.
	admitted          map[string][]time.Time
	refused, demanded int
	reports           int
}

func newSimulation(t *testing.T, seed uint64, limits Limits, rates map[string]float64) *simulation {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: began, began: began, limits: limits, maxDelay: 12 * time.Millisecond, rates: rates, admitted: make(map[string][]time.Time)}
	s.addCoordinator()
	for i := range simParts {
		p := &simPart{index: i, sees: s.coordinators[0]}
		s.parts = append(s.parts, p)
		s.replaceOwner(p)
	}
	return s
}

func (s *simulation) addCoordinator() *simCoordinator {
	c := &simCoordinator{name: fmt.Sprint("coordinator", len(s.coordinators)), core: NewCoordinator(s.now)}
	c.core.SetLimits(s.now, s.limits, simParts)
	s.coordinators = append(s.coordinators, c)
	return c
}

// replaceOwner gives a part another owner, which knows nothing of the former one.
func (s *simulation) replaceOwner(p *simPart) {
	p.generation++
	p.owner = NewPart(s.now, fmt.Sprint("part", p.index), fmt.Sprint("host", p.index, "/", p.generation), 0)
	p.owner.SetLimits(s.limits, simParts, DebtLimit(simSlack, simParts))
	p.owner.SetRole(s.now, true, 40)
	s.refused += len(p.wait)
	p.wait = nil
}

func (s *simulation) setLimits(limits Limits) {
	s.limits = limits
	for _, c := range s.coordinators {
		c.core.SetLimits(s.now, limits, simParts)
	}
	for _, p := range s.parts {
		p.owner.SetLimits(limits, simParts, DebtLimit(simSlack, simParts))
	}
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.began) }

// run runs until a time after the start and calls each event at its time.
func (s *simulation) run(d time.Duration, events map[time.Duration][]func()) {
	names := make([]string, 0, len(s.rates))
	for name := range s.rates {
		names = append(names, name)
	}
	slices.Sort(names)
	for s.elapsed() < d {
		for _, event := range events[s.elapsed()] {
			event()
		}
		s.deliver()
		for _, name := range names {
			rate := s.rates[name]
			if s.factor != nil {
				rate *= s.factor(s.elapsed())
			}
			for n := s.poisson(rate * simStep.Seconds()); n > 0; n-- {
				s.take(s.pickPart(), name)
			}
		}
		for _, p := range s.parts {
			s.step(p)
		}
		s.now = s.now.Add(simStep)
	}
}

// pickPart returns a part of those in focus. Without focus, parts differ in demand.
func (s *simulation) pickPart() *simPart {
	if s.focus != nil {
		return s.parts[s.focus[s.random.IntN(len(s.focus))]]
	}
	return s.parts[min(s.random.IntN(simParts), s.random.IntN(simParts))]
}

func (s *simulation) poisson(mean float64) (n int) {
	for x := s.random.ExpFloat64(); x < mean; x += s.random.ExpFloat64() {
		n++
	}
	return n
}

func (s *simulation) take(p *simPart, name string) {
	s.demanded++
	d := p.owner.Take(s.now, name)
	if _, waits := d.(Wait); waits {
		p.wait = append(p.wait, waiting{name, s.now.Add(WaitTimeout)})
		return
	}
	s.decided(name, d)
}

func (s *simulation) decided(name string, d Decision) {
	if _, ok := d.(Admit); ok {
		s.admitted[name] = append(s.admitted[name], s.now)
		return
	}
	s.refused++
}

// step decides on waiting requests and sends the report that is due.
func (s *simulation) step(p *simPart) {
	p.wait = slices.DeleteFunc(p.wait, func(w waiting) bool {
		d := p.owner.Retake(s.now, w.customer)
		if _, waits := d.(Wait); waits {
			if s.now.Before(w.until) {
				return false
			}
			p.owner.GiveUp(w.customer)
			d = Refuse{}
		}
		s.decided(w.customer, d)
		return true
	})
	p.owner.SetCoordinator(s.now, p.sees.name)
	if r, ok := p.owner.Flush(s.now); ok {
		s.reports++
		s.send(message{part: p, owner: p.owner, coordinator: p.sees, report: &r})
	}
}

func (s *simulation) send(m message) {
	if m.part.cut || s.random.Float64() < s.loss {
		return
	}
	m.at = s.now.Add(time.Duration(s.random.Int64N(int64(s.maxDelay))))
	s.messages = append(s.messages, m)
}

// deliver delivers the messages that are due, in any order.
func (s *simulation) deliver() {
	var due []message
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool {
		if m.at.After(s.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		switch {
		case m.part.cut:
		case m.reply != nil:
			m.owner.Handle(s.now, m.coordinator.name, *m.reply)
		case !m.coordinator.dead:
			reply := m.coordinator.core.Handle(s.now, *m.report)
			s.send(message{part: m.part, owner: m.owner, coordinator: m.coordinator, reply: &reply})
		}
	}
}

// largestWindow returns the most requests of a customer that were admitted within any
// window, of those after a time since the start.
func (s *simulation) largestWindow(customer string, after time.Duration) (largest int) {
	list := s.admitted[customer]
	for first, last := 0, 0; last < len(list); last++ {
		for list[last].Sub(list[first]) >= simWin || list[first].Sub(s.began) < after && first < last {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// checkBound checks that no window after a time has more requests than permitted.
func (s *simulation) checkBound(after time.Duration) {
	s.t.Helper()
	for name, limit := range s.limits {
		permitted := (limit.Rate*simWin.Seconds()+limit.Burst)*1.1 + simSlack
		if n := s.largestWindow(name, after); float64(n) > permitted {
			s.t.Errorf("%s: %d requests in a window, %.0f are permitted", name, n, permitted)
		}
	}
}
