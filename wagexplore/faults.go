package wagexplore

import (
	"strings"

	"github.com/pkg/errors"
)

// Fault is one kind of fault.
type Fault int

// Faults.
const (
	// Crash ends a host; another one with the same place starts later.
	Crash Fault = iota
	// Pause stops a host for up to a minute; it resumes where it stood.
	Pause
	StoreDown
	StoreSlow
	// AnswerLost loses the answers of writes, whether they took effect, take
	// effect later, or never do.
	AnswerLost
	// StaleRead lets the store return the version before the latest.
	StaleRead
	// WatchGap keeps a host on an old document.
	WatchGap
	ServerSlow
	// ServerDies breaks answers after the work was done.
	ServerDies
	// FailFast lets a server refuse work at once, with a proof.
	FailFast
	Drain
	// Partition cuts the link between the data centres.
	Partition
	// ClockSkew sets the clocks apart by up to wagclock.Bound.
	ClockSkew
	// MessageLoss drops messages between the hosts of the fleet, Delay holds them back
	// and changes their order.
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

// ErrUnknownFault tells that a name is not that of a fault.
var ErrUnknownFault = errors.New("unknown fault")

// AllFaults returns every fault.
func AllFaults() []Fault {
	all := make([]Fault, faultCount)
	for n := range all {
		all[n] = Fault(n)
	}
	return all
}

// ParseFaults reads names separated by commas: all, none or a list.
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

// sabotage removes one protection, to show that the harness finds its absence.
type sabotage int

const (
	none sabotage = iota
	noFence
	noLeaseCheck
	retryAfterUnknown
	answersMixedUp
	cleanEnd
	noEpoch
	openAsNew
	skipReadBack
	opaqueKeys
	earlyTakeOver
	noStop
	plainCounter
	spendFirst
	lowerRevision
	olderIncarnation
	unreachableDead
	notShared
)
