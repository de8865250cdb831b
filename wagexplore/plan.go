package wagexplore

import (
	"math/rand/v2"
	"time"
)

const (
	hostCount      = 4
	serverCount    = 4
	partitionCount = 2
	// stepsPerCall is about what one call costs, so that a plan fills a run.
	stepsPerCall = 16
)

// action is one planned call or fault. Shrinking drops actions.
type action struct {
	at time.Duration
	// call is set for calls; otherwise the action is a fault.
	call   bool
	kind   callKind
	fault  Fault
	target int
	length time.Duration
	// late is when the caller repeats the call although it is settled; 0 never.
	late time.Duration
	// change repeats the key with another request.
	change bool
	// edit is what an operator does; set with change in plans of the fleet.
	edit editKind
	// replace marks a document that is deleted and created again.
	replace bool
}

type callKind int

const (
	keyed callKind = iota
	issued
	plain
)

// newPlan derives calls and faults from the seed.
func newPlan(c Config) []action {
	r := rand.New(rand.NewPCG(c.Seed, 1))
	var plan []action
	at := 2 * time.Second
	gap := c.BurstInterval
	if gap == 0 {
		gap = 400 * time.Millisecond
	}
	for range max(c.Steps/stepsPerCall, 1) {
		if r.IntN(4) > 0 {
			at += time.Duration(r.ExpFloat64() * float64(gap))
		}
		plan = append(plan, planCall(r, at))
		if r.IntN(100) == 0 {
			plan = append(plan, action{at: at, replace: true})
		}
	}
	for _, f := range c.Faults {
		if f == MessageLoss || f == MessageDelay {
			continue
		}
		plan = append(plan, planFaults(r, f, at)...)
	}
	return plan
}

func planCall(r *rand.Rand, at time.Duration) action {
	a := action{at: at, call: true, target: r.IntN(hostCount), change: r.IntN(50) == 0}
	switch n := r.IntN(10); {
	case n == 0:
		a.kind = plain
	case n <= 2:
		a.kind = issued
	}
	if r.IntN(8) == 0 {
		a.late = time.Duration(r.Int64N(int64(3 * time.Minute)))
	}
	return a
}

func planFaults(r *rand.Rand, f Fault, end time.Duration) (plan []action) {
	for at := time.Duration(0); ; {
		at += time.Second + time.Duration(r.ExpFloat64()*float64(20*time.Second))
		if at > end {
			return plan
		}
		length := 100*time.Millisecond + time.Duration(r.Int64N(int64(8*time.Second)))
		switch f {
		case Pause:
			length = time.Duration(r.Int64N(int64(time.Minute)))
		case StoreDown, Partition:
			length *= time.Duration(1 + r.IntN(4))
		}
		plan = append(plan, action{at: at, fault: f, target: r.IntN(hostCount), length: length})
	}
}

// editKind is one kind of change to a document.
type editKind int

const (
	editDocument editKind = iota
	// deleteDocument writes a tombstone.
	deleteDocument
	// restoreDocument writes an older copy past the operators' tool.
	restoreDocument
	// breakDocument writes an invalid text past the operators' tool.
	breakDocument
	// loseDocument removes the object.
	loseDocument
	editKinds
)

const (
	// stepsPerSecond is about what a second of the fleet costs.
	stepsPerSecond = 600
	editGap        = 5 * time.Second
)

// newFleetPlan derives edits and faults of the fleet from the seed.
func newFleetPlan(c Config) []action {
	r := rand.New(rand.NewPCG(c.Seed, 3))
	end := 10*time.Second + time.Second*time.Duration(c.Steps)/stepsPerSecond
	plan := []action{}
	for at := 2 * time.Second; at < end; at += time.Duration(r.ExpFloat64() * float64(editGap)) {
		a := action{at: at, change: true, target: r.IntN(2 * serviceCount)}
		if r.IntN(2) == 0 {
			a.edit = editKind(r.IntN(int(editKinds)))
		}
		plan = append(plan, a)
		if r.IntN(4) == 0 {
			// The other operator races.
			a.target ^= 2
			a.at += time.Duration(r.Int64N(int64(3 * time.Millisecond)))
			plan = append(plan, a)
		}
	}
	for _, f := range c.Faults {
		switch f {
		case Crash, Pause, WatchGap, Drain, Partition, MessageLoss, MessageDelay:
			for _, a := range planFaults(r, f, end) {
				a.target = r.IntN(peerCount)
				if f == Drain {
					a.length += 20 * time.Second
				}
				plan = append(plan, a)
			}
		}
	}
	return plan
}
