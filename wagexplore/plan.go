package wagexplore

import (
	"math/rand/v2"
	"time"
)

const (
	hostCount      = 4
	serverCount    = 4
	partitionCount = 2
	// stepsPerRequest is about how many steps one request takes, so that the requests
	// of a plan fill the run.
	stepsPerRequest = 16
)

// action is one planned request, fault or change of a document. Shrinking drops
// actions from the plan.
type action struct {
	at time.Duration
	// isRequest marks a request of a caller.
	isRequest bool
	keyKind   keyKind
	fault     Fault
	// target is the index of a host or server. For an edit it selects the service and
	// the operator.
	target int
	// duration is how long a fault lasts.
	duration time.Duration
	// repeatDelay is when the caller repeats the request whatever its outcome, 0 for
	// never.
	repeatDelay time.Duration
	// change lets the caller send another request with the same key. In the plan of
	// the fleet it marks an edit of a document.
	change bool
	// edit is what an operator does in the plan of the fleet.
	edit editKind
	// recreateDocument marks that the document is deleted and created again.
	recreateDocument bool
}

// keyKind is the kind of idempotency key of a request.
type keyKind int

const (
	// callerKey is a key that the caller made up.
	callerKey keyKind = iota
	// issuedKey is a key that a host issued to the caller.
	issuedKey
	noKey
)

// newPlan derives the requests and faults of a run from its seed.
func newPlan(c Config) []action {
	r := rand.New(rand.NewPCG(c.Seed, 1))
	var plan []action
	at := 2 * time.Second
	gap := c.BurstInterval
	if gap == 0 {
		gap = 400 * time.Millisecond
	}
	for range max(c.Steps/stepsPerRequest, 1) {
		if r.IntN(4) > 0 {
			at += time.Duration(r.ExpFloat64() * float64(gap))
		}
		plan = append(plan, planRequest(r, at))
		if r.IntN(100) == 0 {
			plan = append(plan, action{at: at, recreateDocument: true})
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

func planRequest(r *rand.Rand, at time.Duration) action {
	a := action{at: at, isRequest: true, target: r.IntN(hostCount), change: r.IntN(50) == 0}
	switch n := r.IntN(10); {
	case n == 0:
		a.keyKind = noKey
	case n <= 2:
		a.keyKind = issuedKey
	}
	if r.IntN(8) == 0 {
		a.repeatDelay = time.Duration(r.Int64N(int64(3 * time.Minute)))
	}
	return a
}

func planFaults(r *rand.Rand, f Fault, end time.Duration) (plan []action) {
	for at := time.Duration(0); ; {
		at += time.Second + time.Duration(r.ExpFloat64()*float64(20*time.Second))
		if at > end {
			return plan
		}
		duration := 100*time.Millisecond + time.Duration(r.Int64N(int64(8*time.Second)))
		switch f {
		case Pause:
			duration = time.Duration(r.Int64N(int64(time.Minute)))
		case StoreDown, Partition:
			duration *= time.Duration(1 + r.IntN(4))
		}
		plan = append(plan, action{at: at, fault: f, target: r.IntN(hostCount), duration: duration})
	}
}

// editKind is one kind of change to a document.
type editKind int

const (
	editDocument editKind = iota
	// deleteDocument writes a document that is marked as deleted.
	deleteDocument
	// restoreDocument writes an older copy without the operators' tool.
	restoreDocument
	// corruptDocument writes an invalid text without the operators' tool.
	corruptDocument
	// removeObject removes the document's object from the store.
	removeObject
	editKindCount
)

const (
	// fleetStepsPerSecond is about how many steps the fleet takes in a second.
	fleetStepsPerSecond = 600
	meanEditInterval    = 5 * time.Second
)

// newFleetPlan derives the edits and faults of the fleet from the seed.
func newFleetPlan(c Config) []action {
	r := rand.New(rand.NewPCG(c.Seed, 3))
	end := 10*time.Second + time.Second*time.Duration(c.Steps)/fleetStepsPerSecond
	plan := []action{}
	for at := 2 * time.Second; at < end; at += time.Duration(r.ExpFloat64() * float64(meanEditInterval)) {
		a := action{at: at, change: true, target: r.IntN(2 * serviceCount)}
		if r.IntN(2) == 0 {
			a.edit = editKind(r.IntN(int(editKindCount)))
		}
		plan = append(plan, a)
		if r.IntN(4) == 0 {
			// The other operator edits the same document at almost the same time.
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
					a.duration += 20 * time.Second
				}
				plan = append(plan, a)
			}
		}
	}
	return plan
}
