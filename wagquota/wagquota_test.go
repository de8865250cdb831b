package wagquota

import (
	"fmt"
	"testing"
	"time"
)

func hotLimits() (Limits, map[string]float64) {
	limits := Limits{"small": {Rate: 2, Burst: 4}, "middle": {Rate: 17, Burst: 30}, "large": {Rate: 120, Burst: 200}}
	rates := make(map[string]float64)
	for name, limit := range limits {
		rates[name] = limit.Rate * 5
	}
	return limits, rates
}

// fault brings about a failure or a planned change, and returns what ends it, if anything.
type fault struct {
	name    string
	planned bool
	begin   func(s *simulation) (end func())
}

func faults() []fault {
	return []fault{
		{"none", true, func(*simulation) func() { return nil }},
		{"coordinatorMoves", true, func(s *simulation) func() {
			next := s.addCoordinator()
			for _, p := range s.parts {
				p.sees = next
			}
			return nil
		}},
		{"ownersMove", true, func(s *simulation) func() {
			for _, p := range s.parts[:2] {
				s.replaceOwner(p)
			}
			return nil
		}},
		{"limitRises", true, func(s *simulation) func() {
			limits := Limits{}
			for name, limit := range s.limits {
				limits[name] = Limit{Rate: limit.Rate * 1.5, Burst: limit.Burst * 1.5}
			}
			s.setLimits(limits)
			return nil
		}},
		{"messagesLostAndLate", false, func(s *simulation) func() {
			s.loss, s.maxDelay = 0.2, 2*time.Second
			return func() { s.loss, s.maxDelay = 0, 12*time.Millisecond }
		}},
		{"coordinatorLost", false, func(s *simulation) func() {
			s.parts[0].sees.dead = true
			return func() {
				next := s.addCoordinator()
				for _, p := range s.parts {
					p.sees = next
				}
			}
		}},
		{"twoCoordinators", false, func(s *simulation) func() {
			former, next := s.parts[0].sees, s.addCoordinator()
			for _, p := range s.parts[3:] {
				p.sees = next
			}
			return func() {
				for _, p := range s.parts[3:] {
					p.sees = former
				}
			}
		}},
		{"ownerLost", false, func(s *simulation) func() {
			s.replaceOwner(s.parts[0])
			return nil
		}},
		{"partsCutOff", false, func(s *simulation) func() {
			for _, p := range s.parts[:3] {
				p.cut = true
			}
			return func() {
				for _, p := range s.parts[:3] {
					p.cut = false
				}
			}
		}},
	}
}

// quietUntil returns a factor of the demand that is low until a time. The buckets are full
// then.
func quietUntil(at time.Duration) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed < at {
			return 0.05
		}
		return 1
	}
}

// Guards against more requests of hot customers than permitted in any window, while a
// planned change and a failure follow each other at different distances, or two failures.
// The demand is high all the time, or begins with full buckets, at all parts or at those
// that keep or change their coordinator.
func TestBoundWithFaults(t *testing.T) {
	const begin = 8 * time.Second
	variants := []struct {
		distance time.Duration
		factor   func(time.Duration) float64
		focus    []int
	}{
		{0, nil, nil},
		{100 * time.Millisecond, quietUntil(begin - 4*time.Second), []int{0, 1, 2}},
		{700 * time.Millisecond, quietUntil(begin + 2*time.Second), nil},
		{2500 * time.Millisecond, quietUntil(begin - 4*time.Second), []int{3, 4, 5}},
		{1500 * time.Millisecond, quietUntil(begin - time.Second), nil},
	}
	for _, first := range faults() {
		for _, second := range faults() {
			if second.planned && second.name != "none" && first.planned {
				continue
			}
			t.Run(first.name+"/"+second.name, func(t *testing.T) {
				for i, v := range variants {
					limits, rates := hotLimits()
					s := newSimulation(t, uint64(i), limits, rates)
					s.factor, s.focus = v.factor, v.focus
					events := make(map[time.Duration][]func())
					plan := func(at, lasting time.Duration, f fault) {
						events[at] = append(events[at], func() {
							if end := f.begin(s); end != nil {
								events[s.elapsed()+lasting] = append(events[s.elapsed()+lasting], end)
							}
						})
					}
					plan(begin, 3*time.Second, first)
					plan(begin+v.distance, 1500*time.Millisecond, second)
					s.run(18*time.Second, events)
					s.checkBound(0)
				}
			})
		}
	}
}

// Guards against a lower limit that is not binding one window after all hosts have it.
func TestLowerLimit(t *testing.T) {
	limits, rates := hotLimits()
	s := newSimulation(t, 1, limits, rates)
	s.run(15*time.Second, map[time.Duration][]func(){8 * time.Second: {func() {
		s.setLimits(Limits{"small": {Rate: 1, Burst: 1}, "middle": {Rate: 4, Burst: 4}, "large": {Rate: 10, Burst: 10}})
	}}})
	s.checkBound(8*time.Second + simWin)
	s.checkBound(8*time.Second + CreditLifetime)
}

// usualLoad is 840 requests per second of 81 customers whose limits are 1.6 times that.
func usualLoad() (Limits, map[string]float64) {
	limits, rates, sum := make(Limits), make(map[string]float64), 0.0
	for i := range 81 {
		sum += 1 / float64(i+3)
	}
	for i := range 81 {
		name, r := fmt.Sprint("customer", i), 840/float64(i+3)/sum
		rates[name], limits[name] = r, Limit{Rate: 1.6 * r, Burst: 1.6 * r}
	}
	return limits, rates
}

// Guards against refusals of customers below their limits, and against a report for each
// request.
func TestUsualLoad(t *testing.T) {
	limits, rates := usualLoad()
	s := newSimulation(t, 1, limits, rates)
	s.run(5*time.Second, nil)
	refused, demanded, reports := s.refused, s.demanded, s.reports
	s.run(35*time.Second, nil)
	refused, demanded, reports = s.refused-refused, s.demanded-demanded, s.reports-reports
	t.Logf("first 5 s: %d refused; then %d of %d refused, %d reports", s.refused-refused, refused, demanded, reports)
	if float64(refused) > 0.005*float64(demanded) {
		t.Errorf("%d of %d requests were refused", refused, demanded)
	}
	if reports > demanded {
		t.Errorf("%d reports for %d requests", reports, demanded)
	}
	s.checkBound(0)
}
