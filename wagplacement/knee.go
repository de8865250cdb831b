package wagplacement

import "math"

// Some servers get slower when most of their slots are in use, so that they finish
// less with more requests at once. The knee is the load above which that happens.
// Whether the servers of a service have one is measured.
const (
	// kneeShare is the share of the slots above which servers were seen to get slower.
	kneeShare = 0.8
	// minKneeSlots is the least number of slots with which a server is assumed to have
	// a knee before that is measured. With fewer, one slot is a large part of the
	// capacity.
	minKneeSlots = 4
	// minKneeSlowdown is the slowdown from which a knee counts: 6 slots at 1.25 times
	// the service time finish as much as 4.8. With fewer than minKneeSlots slots, it
	// counts from the slowdown at which the slots below the knee finish as much as all.
	minKneeSlowdown = 1.25
	// minKneeSamples is how many requests above the knee must be measured before the
	// measurement replaces the assumption.
	minKneeSamples = 20
	// kneeWeight is the weight of one request in the moving averages.
	kneeWeight = 0.05
	// maxKneeRatio caps the latency ratio of one request.
	maxKneeRatio = 3.0
)

// knee compares the latency ratios of requests that were started above the knee
// with those of the others.
type knee struct {
	meanAbove, meanBelow float64
	samples              int
}

// concurrencyLimit returns how many requests a server with that many slots may run
// at once.
func (k *knee) concurrencyLimit(slots int) int {
	if slots < minKneeSlots && k.samples < minKneeSamples {
		return slots
	}
	slotsBelow := max(1, int(math.Floor(kneeShare*float64(slots))))
	minSlowdown := minKneeSlowdown
	if slots < minKneeSlots {
		minSlowdown = float64(slots) / float64(slotsBelow)
	}
	if k.samples >= minKneeSamples && k.meanAbove < minSlowdown*k.meanBelow {
		return slots
	}
	return slotsBelow
}

// slowdown returns how much longer requests above the knee take, as a factor.
func (k *knee) slowdown() float64 {
	if k.samples < minKneeSamples || k.meanBelow == 0 {
		// Without requests below the knee, as at servers with one slot, there is nothing to
		// compare with.
		return 1
	}
	return max(k.meanAbove/k.meanBelow, 1)
}

// concurrencyLimit returns how many requests a server may run at once.
func (sc *Scheduler) concurrencyLimit(s *server) int {
	if sc.disabled[MechanismKnee] {
		return s.Slots
	}
	return sc.knee.concurrencyLimit(s.Slots)
}

// isAboveKnee reports whether a number of requests is above the knee.
func isAboveKnee(requests, slots int) bool {
	return float64(requests) > kneeShare*float64(slots)
}

// update adds the latency of a request, as a multiple of the latency that is expected
// without a knee.
func (k *knee) update(g *grant, ratio float64) {
	ratio = min(ratio, maxKneeRatio)
	mean := &k.meanBelow
	if g.aboveKnee {
		mean = &k.meanAbove
		k.samples++
	}
	if *mean == 0 {
		*mean = ratio
	}
	*mean += kneeWeight * (ratio - *mean)
}
