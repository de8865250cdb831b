package wagexplore

import (
	"strings"

	"github.com/pkg/errors"
)

// Fault is one kind of fault.
type Fault int

// Faults.
const (
	// Crash ends a host. A new incarnation without its state starts later.
	Crash Fault = iota
	// Pause suspends a host for up to a minute. It keeps its state.
	Pause
	// StoreDown lets the store reject all requests.
	StoreDown
	// StoreSlow raises the latency of the store to between 0.2 s and 3 s.
	StoreSlow
	// AnswerLost loses responses of the store to writes, which take effect at once,
	// later or never.
	AnswerLost
	// StaleRead lets some reads of the store return the version before the latest.
	StaleRead
	// WatchGap delays the changes of documents that a host gets from the store.
	WatchGap
	// ServerSlow raises the service times of a server to between 0.1 s and 6 s.
	ServerSlow
	// ServerDies breaks half of the responses of a server, after the request has run.
	ServerDies
	// FailFast lets a server reject requests at once, with the proof that they did not
	// run.
	FailFast
	// Drain lets a server reject requests because it drains. A server of the fleet
	// restarts afterwards.
	Drain
	// Partition cuts the links between data centres: between all of them or, in the
	// fleet, those of one.
	Partition
	// ClockSkew gives each clock an offset; two clocks differ by up to
	// wagclock.MaxSkew.
	ClockSkew
	// MessageLoss drops messages between the hosts of the fleet, and MessageDelay
	// delays and reorders them.
	MessageLoss
	MessageDelay
	faultCount
)

var faultNames = [faultCount]string{
	"crash", "pause", "storeDown", "storeSlow", "answerLost", "staleRead", "watchGap",
	"serverSlow", "serverDies", "failFast", "drain", "partition", "clock", "loss", "delay",
}

func (f Fault) String() string {
	return faultNames[f]
}

// ErrUnknownFault is returned for a name that no fault has.
var ErrUnknownFault = errors.New("unknown fault")

// AllFaults returns every fault.
func AllFaults() []Fault {
	all := make([]Fault, faultCount)
	for n := range all {
		all[n] = Fault(n)
	}
	return all
}

// ParseFaults parses "all", "none" or the names of faults, separated by commas.
func ParseFaults(text string) (faults []Fault, err error) {
	defer func() {
		err = errors.WithMessagef(err, "faults %q, allowed: all, none, %s", text, strings.Join(faultNames[:], ", "))
	}()
	switch text {
	case "all":
		return AllFaults(), nil
	case "none", "":
		return nil, nil
	}
	for _, name := range strings.Split(text, ",") {
		found := false
		for n, known := range faultNames {
			if name == known {
				faults, found = append(faults, Fault(n)), true
			}
		}
		if !found {
			return nil, errors.WithMessage(ErrUnknownFault, name)
		}
	}
	return faults, nil
}

// defect is a bug that tests put into a run, mostly by removing one protection, to show
// that the simulation finds it.
type defect int

const (
	noDefect defect = iota
	// noFence lets all conditional writes except those of leases succeed, whatever
	// version they expect.
	noFence
	// noLeaseCheck dispatches, and lets servers run, requests after their StartBy.
	noLeaseCheck
	// retryAfterUnknown sends a request again after an unknown outcome.
	retryAfterUnknown
	// answersMixedUp lets servers send the response to an earlier request.
	answersMixedUp
	// cleanEnd reports truncated responses as complete.
	cleanEnd
	// noEpoch ignores the epoch of the document in tokens.
	noEpoch
	// openAsNew drops claims without an outcome when they are read from the store.
	openAsNew
	// skipReadBack treats a write of unknown outcome as successful.
	skipReadBack
	// opaqueKeys accepts keys without a time, which run again after the retention.
	opaqueKeys
	// earlyTakeOver treats the leases of other hosts as released.
	earlyTakeOver
	// noStop lets a host act as the owner of a partition after its lease has expired.
	noStop
	// plainCounter numbers each revision one higher than the one that was read, instead
	// of by the time.
	plainCounter
	// spendFirst sends probes before the store has confirmed the write of the lease.
	spendFirst
	// lowerRevision lets a document with a lower revision replace the one in force.
	lowerRevision
	// olderIncarnation accepts heartbeats of former incarnations of a host.
	olderIncarnation
	// unreachableDead treats unreachable members as dead.
	unreachableDead
	// notShared doesn't send observations of servers to the other hosts.
	notShared
)
