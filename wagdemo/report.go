package wagdemo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// probeServiceTime is the time that one probe takes at the servers of users. The
// report estimates the cost of probes with it.
const probeServiceTime = 6 * time.Millisecond

// Report holds the results of a demonstration.
type Report struct {
	Duration time.Duration
	Kinds    []KindReport
	Changes  []ChangeReport
	// Probes counts the probes that all servers received.
	Probes int64
	// ProbeBudget is the number of probes that the documents allow.
	ProbeBudget int64
	// StoreRequests counts the requests to the store by kind.
	StoreRequests map[string]int64
	Invariants    []Invariant
	Events        []wagevent.Event
	// Traces holds a trace of the requests for each service, for replays.
	Traces map[string]*wagtrace.Trace
}

// KindReport sums up the requests of one kind.
type KindReport struct {
	Name                                string
	Requests                            int
	Done, NotRun, Unknown, ServerErrors int
	P50, P99, P999                      time.Duration
}

// ChangeReport describes the rollout of one document change.
type ChangeReport struct {
	Service  string
	Revision int64
	// RolloutTime is the time until the change was in force everywhere.
	RolloutTime time.Duration
	// Lagging counts the hosts on which the change was not in force in time.
	Lagging int
}

// Invariant is a condition that must always hold, with its violations.
type Invariant struct {
	Name       string
	Violations []string
}

// HasViolations reports whether an invariant was violated.
func (r *Report) HasViolations() bool {
	for _, i := range r.Invariants {
		if len(i.Violations) > 0 {
			return true
		}
	}
	return false
}

// report sums up the outcomes that the callers observed and checks the invariants.
func (l *loadGenerator) report(s *site, duration time.Duration) *Report {
	r := &Report{Duration: duration, Events: s.events, StoreRequests: s.store.CountsByKind()}
	for k, kind := range requestKinds {
		h := l.latencies[k]
		quantile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
		r.Kinds = append(r.Kinds, KindReport{Name: kind.name, P50: quantile(50), P99: quantile(99), P999: quantile(99.9)})
	}
	for _, c := range l.records {
		k := &r.Kinds[c.kind]
		k.Requests++
		switch {
		case c.outcome == wagoutcome.NotRun:
			k.NotRun++
		case c.outcome != wagoutcome.Done:
			k.Unknown++
		case c.status >= 400:
			k.ServerErrors++
		default:
			k.Done++
		}
	}
	for _, c := range s.documentChanges {
		r.Changes = append(r.Changes, ChangeReport{Service: c.service, Revision: c.revision, RolloutTime: c.rolloutTime, Lagging: len(c.laggingHosts)})
	}
	r.ProbeBudget = int64(duration.Seconds()*probesPerSecond*2) + probesPerSecond*2
	r.Invariants = l.checkInvariants(s)
	return r
}

// probesPerSecond is the probe budget in both documents of the demonstration.
const probesPerSecond = 4

// addProbes adds the probes that the servers received to the report. It is called
// after everything has stopped, so that no probe is missed.
func (s *site) addProbes(r *Report) {
	for _, v := range s.servers {
		r.Probes += v.Probes.Load()
	}
	budget := Invariant{Name: "probes stay within the budget of all hosts together"}
	if r.Probes > r.ProbeBudget {
		budget.Violations = append(budget.Violations, fmt.Sprintf("%d probes, %d allowed", r.Probes, r.ProbeBudget))
	}
	r.Invariants = append(r.Invariants, budget)
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "\nCalls of %.1f s\n", r.Duration.Seconds())
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "  kind\tcalls\tdone\terror of server\tnot run\tunknown\tp50\tp99\tp99.9")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "  %s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", k.Name, k.Requests, k.Done, k.ServerErrors, k.NotRun, k.Unknown, roundDuration(k.P50), roundDuration(k.P99), roundDuration(k.P999))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nMeasuring: %d probes of %d allowed, about %s of server time\n", r.Probes, r.ProbeBudget, time.Duration(r.Probes)*probeServiceTime)
	fmt.Fprintf(w, "Store calls: get %d, put %d, list %d, watch %d\n", r.StoreRequests["get"], r.StoreRequests["put"], r.StoreRequests["list"], r.StoreRequests["watch"])
	for _, c := range r.Changes {
		fmt.Fprintf(w, "Change of %s to revision %d: in force everywhere after %s, %d hosts lag\n", c.Service, c.Revision, c.RolloutTime.Round(time.Millisecond), c.Lagging)
	}
	return writeInvariants(w, r.Invariants)
}

func writeInvariants(w io.Writer, list []Invariant) error {
	fmt.Fprintln(w, "\nInvariants")
	for _, i := range list {
		verdict := "holds"
		if len(i.Violations) > 0 {
			verdict = fmt.Sprintf("BROKEN %d times, first: %s", len(i.Violations), i.Violations[0])
		}
		fmt.Fprintf(w, "  %-70s %s\n", i.Name, verdict)
	}
	return nil
}

func roundDuration(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}
