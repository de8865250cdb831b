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

// probeCost is the server time that one probe takes at the users' servers.
const probeCost = 6 * time.Millisecond

// Report is the result of a demonstration.
type Report struct {
	Duration time.Duration
	Kinds    []KindReport
	Changes  []ChangeReport
	// Probes counts the probes at all servers, ProbeBudget what was allowed.
	Probes      int64
	ProbeBudget int64
	StoreCalls  map[string]int64
	Invariants  []Invariant
	Events      []wagevent.Event
	// Traces holds what was offered to each service, for replay.
	Traces map[string]*wagtrace.Trace
}

// KindReport sums up the calls of one kind.
type KindReport struct {
	Name                                string
	Requests                            int
	Done, NotRun, Unknown, ServerErrors int
	P50, P99, P999                      time.Duration
}

// ChangeReport tells of one change of a document.
type ChangeReport struct {
	Service     string
	Revision    int64
	RolloutTime time.Duration
	Lagging     int
}

// Invariant is one thing that must always hold.
type Invariant struct {
	Name       string
	Violations []string
}

// Broken tells whether an invariant was violated.
func (r *Report) Broken() bool {
	for _, i := range r.Invariants {
		if len(i.Violations) > 0 {
			return true
		}
	}
	return false
}

// report sums up what the callers saw.
func (l *load) report(s *site, took time.Duration) *Report {
	r := &Report{Duration: took, Events: s.events, StoreCalls: s.store.CountsByKind()}
	for k, kind := range kinds {
		h := l.latency[k]
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
	for _, c := range s.changes {
		r.Changes = append(r.Changes, ChangeReport{Service: c.service, Revision: c.revision, RolloutTime: c.inForce, Lagging: len(c.lagging)})
	}
	r.ProbeBudget = int64(took.Seconds()*probesPerSecond*2) + probesPerSecond*2
	r.Invariants = l.invariants(s)
	return r
}

// probesPerSecond is the budget in both documents of the demonstration.
const probesPerSecond = 4

// audit adds what the servers know to the report, after everything has stopped.
func (s *site) audit(r *Report) {
	for _, v := range s.servers {
		r.Probes += v.Probes.Load()
	}
	budget := Invariant{Name: "probes stay within the budget of all hosts together"}
	if r.Probes > r.ProbeBudget {
		budget.Violations = append(budget.Violations, fmt.Sprintf("%d probes, %d allowed", r.Probes, r.ProbeBudget))
	}
	r.Invariants = append(r.Invariants, budget)
}

// Write prints the report for readers.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "\nCalls of %.1f s\n", r.Duration.Seconds())
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "  kind\tcalls\tdone\terror of server\tnot run\tunknown\tp50\tp99\tp99.9")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "  %s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", k.Name, k.Requests, k.Done, k.ServerErrors, k.NotRun, k.Unknown, round(k.P50), round(k.P99), round(k.P999))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nMeasuring: %d probes of %d allowed, about %s of server time\n", r.Probes, r.ProbeBudget, time.Duration(r.Probes)*probeCost)
	fmt.Fprintf(w, "Store calls: get %d, put %d, list %d, watch %d\n", r.StoreCalls["get"], r.StoreCalls["put"], r.StoreCalls["list"], r.StoreCalls["watch"])
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

func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}
