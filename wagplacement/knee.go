package wagplacement

import "math"

// Some servers slow down when most of their slots are in use, so that more
// requests at once get less done. Whether those of a service do so is learned.
const (
	// kneeShare is the part of the slots from which servers were seen to slow down.
	kneeShare = 0.8
	// kneeSlots is the least number of slots at which the knee is taken to be there
	// before it was measured; below, a slot is a great part of the whole.
	kneeSlots = 4
	// kneeRatio is the slowing from which a knee counts: 6 slots at 1.25 times the
	// time do as much as 4.8. With fewer than kneeSlots it counts from the slowing at
	// which the slots below it do as much as all.
	kneeRatio = 1.25
	// kneeSamples is how many requests above the knee settle the question.
	kneeSamples = 20
	// kneeWeight is the weight of one request in the means.
	kneeWeight = 0.05
	// maxKneeRatio bounds what one request says.
	maxKneeRatio = 3.0
)

// knee compares requests that were started above the knee with others.
type knee struct {
	above, below float64
	samples      int
}

// limit returns how many requests a server may run at once.
func (k *knee) limit(slots int) int {
	if slots < kneeSlots && k.samples < kneeSamples {
		return slots
	}
	below := max(1, int(math.Floor(kneeShare*float64(slots))))
	least := kneeRatio
	if slots < kneeSlots {
		least = float64(slots) / float64(below)
	}
	if k.samples >= kneeSamples && k.above < least*k.below {
		return slots
	}
	return below
}

// factor returns how much longer requests take that are started above the knee.
func (k *knee) factor() float64 {
	if k.samples < kneeSamples {
		return 1
	}
	return max(k.above/k.below, 1)
}

// limit returns how many requests a server may run at once.
func (c *Scheduler) limit(s *server) int {
	if c.without[MechanismKnee] {
		return s.Slots
	}
	return c.knee.limit(s.Slots)
}

// nearlyFull tells whether a number of requests is above the knee.
func nearlyFull(requests, slots int) bool {
	return float64(requests) > kneeShare*float64(slots)
}

// learn takes a request that took a multiple of what was expected.
func (k *knee) learn(g *grant, ratio float64) {
	ratio = min(ratio, maxKneeRatio)
	mean := &k.below
	if g.nearlyFull {
		mean = &k.above
		k.samples++
	}
	if *mean == 0 {
		*mean = ratio
	}
	*mean += kneeWeight * (ratio - *mean)
}
