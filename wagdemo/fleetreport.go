package wagdemo

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagkeyed"
)

// Targets of the design, sections 1.1 and 1.3.
const (
	// smallFleet is the highest number of hosts for which smallTime is stated.
	smallFleet    = 16
	smallTime     = time.Second
	largeTime     = 11 * time.Second
	mostBytes     = 11_000
	mostProcessor = 0.016
	mostMemory    = 256 << 20
	fleetServices = 2
	delegates     = 2
	// Leases are renewed after 3/8 of their term at the earliest: probe leases of
	// 20 s and leases of key partitions of 10 s.
	leaseRenewTime = 7500 * time.Millisecond
	claimRenewTime = 3750 * time.Millisecond
)

// FleetReport is the result of a fleet run.
type FleetReport struct {
	Hosts, DataCentres, Restarts int
	// RolloutTimes are the times of changes that met no outage, OutageRolloutTimes those of
	// the others, both from acceptance until in force everywhere.
	RolloutTimes, OutageRolloutTimes []time.Duration
	// OutageTimesFromFirstAttempt are the times of the changes of Outage from the first attempt.
	OutageTimesFromFirstAttempt []time.Duration
	// CatchUpTimes are the times in which restarted hosts had an older revision than
	// before.
	CatchUpTimes []time.Duration
	Idle         idleReport
	Verdicts     []Verdict
	Invariants   []Invariant
	Events       []wagevent.Event
}

// Verdict compares a measured figure with its target.
type Verdict struct {
	Name     string
	Measured string
	Met      bool
}

// Broken tells whether an invariant was violated. Targets that were missed do
// not count, because figures depend on the processor.
func (r *FleetReport) Broken() bool {
	return (&Report{Invariants: r.Invariants}).Broken()
}

func (f *fleet) report() *FleetReport {
	r := &FleetReport{Hosts: len(f.site.entries), DataCentres: len(f.site.centres), Restarts: f.restarts, Idle: f.idle, CatchUpTimes: f.behind()}
	lag := Invariant{Name: "an accepted change is in force everywhere within 11 s"}
	for _, c := range f.changes {
		last, lagging := f.everywhere(c)
		took := last.Sub(c.accepted)
		if len(lagging) > 0 || took > forceTime {
			lag.Violations = append(lag.Violations, fmt.Sprintf("%s revision %d took %s and lags on %d hosts", c.service, c.revision, took, len(lagging)))
		}
		if f.disturbed(span{c.asked, last}) {
			r.OutageRolloutTimes, r.OutageTimesFromFirstAttempt = append(r.OutageRolloutTimes, took), append(r.OutageTimesFromFirstAttempt, last.Sub(c.asked))
			continue
		}
		r.RolloutTimes = append(r.RolloutTimes, took)
	}
	r.Invariants = []Invariant{{Name: "no revision reverts at a host, across its starts", Violations: f.reversions()}, lag,
		{Name: "hosts stay fresh while nothing changes", Violations: f.idle.Stale}}
	if n := len(f.changes); !f.demo.idle && n != f.demo.changes {
		r.Invariants = append(r.Invariants, Invariant{Name: "all changes are accepted", Violations: []string{fmt.Sprintf("%d of %d", n, f.demo.changes)}})
	}
	r.judge()
	r.Events = f.events()
	return r
}

func (f *fleet) disturbed(p span) bool {
	for _, o := range f.outages {
		if p.overlaps(o) {
			return true
		}
	}
	return false
}

// events merges the events of all starts of all hosts and of the operator.
func (f *fleet) events() []wagevent.Event {
	own, _ := f.site.operator.Since(0)
	streams := [][]wagevent.Event{own}
	for _, h := range f.starts {
		streams = append(streams, h.records)
	}
	return wagevent.Merge(streams...)
}

// judge compares the figures with the targets.
func (r *FleetReport) judge() {
	limit := largeTime
	if r.Hosts <= smallFleet {
		limit = smallTime
	}
	if len(r.RolloutTimes) > 0 {
		p99 := quantileOf(r.RolloutTimes, 0.99)
		r.verdict(fmt.Sprintf("in force everywhere at p99 under %s", limit), p99 < limit, "%s", p99.Round(time.Millisecond))
	}
	r.verdict("control bytes a second of the busiest host under 11 KB", r.Idle.MostBytes < mostBytes, "%.0f", r.Idle.MostBytes)
	r.verdict("processor of a host under 1.6% of a core", r.Idle.Processor < mostProcessor, "%.2f%%", 100*r.Idle.Processor)
	r.verdict("memory of a host under 256 MB", r.Idle.Memory < mostMemory, "%.2f MB", r.Idle.Memory/(1<<20))
	most, calls := r.mostStoreCalls(), r.storeCalls()
	r.verdict(fmt.Sprintf("store calls a second, computed without the number of hosts, at most %.1f", most), calls <= most, "%.1f", calls)
}

// mostStoreCalls returns the calls a second that delegates and lease holders
// need: a watch each watchWait, a renewal of each probe lease, and one call of
// each delegate at the edge of the window, for each data centre, and the
// renewals of the leases of key partitions, which are as many at any size.
func (r *FleetReport) mostStoreCalls() float64 {
	perCentre := delegates*(1/watchWait.Seconds()+1/r.Idle.Length.Seconds()) + 2*fleetServices/leaseRenewTime.Seconds()
	return float64(r.DataCentres)*perCentre + wagkeyed.PartitionCount/claimRenewTime.Seconds()
}

func (r *FleetReport) storeCalls() float64 {
	calls := int64(0)
	for _, n := range r.Idle.StoreCalls {
		calls += n
	}
	return float64(calls) / r.Idle.Length.Seconds()
}

func (r *FleetReport) verdict(name string, met bool, format string, args ...any) {
	r.Verdicts = append(r.Verdicts, Verdict{Name: name, Met: met, Measured: fmt.Sprintf(format, args...)})
}

// quantileOf returns the smallest time that at least a share of times do not
// exceed.
func quantileOf(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), times...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	rank := int(share*float64(len(sorted)) + 0.999999)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// Write prints the report for readers.
func (r *FleetReport) Write(w io.Writer) error {
	fmt.Fprintf(w, "\n%d hosts in %d data centres, %d restarts\n", r.Hosts, r.DataCentres, r.Restarts)
	if err := r.writeChanges(w); err != nil {
		return err
	}
	r.writeIdle(w)
	fmt.Fprintln(w, "\nTargets (they do not change the exit status)")
	for _, v := range r.Verdicts {
		word := "met"
		if !v.Met {
			word = "MISSED"
		}
		fmt.Fprintf(w, "  %-70s %-10s %s\n", v.Name, v.Measured, word)
	}
	return writeInvariants(w, r.Invariants)
}

func (r *FleetReport) writeChanges(w io.Writer) error {
	if len(r.RolloutTimes)+len(r.OutageRolloutTimes) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "  time until in force everywhere\tcount\tp50\tp99\tmax")
	writeTimes(t, "full reachability", r.RolloutTimes)
	writeTimes(t, "with an outage, from acceptance", r.OutageRolloutTimes)
	writeTimes(t, "with an outage, from first attempt", r.OutageTimesFromFirstAttempt)
	writeTimes(t, "restarted hosts with an older revision", r.CatchUpTimes)
	return t.Flush()
}

func (r *FleetReport) writeIdle(w io.Writer) {
	i := r.Idle
	fmt.Fprintf(w, "\nWithout calls and changes for %.1f s, per host: %.0f B/s (busiest %.0f), %.2f%% of a core, %.2f MB of memory\n",
		i.Length.Seconds(), i.Bytes, i.MostBytes, 100*i.Processor, i.Memory/(1<<20))
	fmt.Fprintf(w, "Store calls of all hosts meanwhile: get %d, put %d, list %d, watch %d; %.2f a second, %.2f for each data centre, %.3f for each host\n",
		i.StoreCalls["get"], i.StoreCalls["put"], i.StoreCalls["list"], i.StoreCalls["watch"],
		r.storeCalls(), r.storeCalls()/float64(r.DataCentres), r.storeCalls()/float64(r.Hosts))
}

func writeTimes(w io.Writer, name string, times []time.Duration) {
	if len(times) == 0 {
		return
	}
	ms := func(share float64) time.Duration { return quantileOf(times, share).Round(time.Millisecond) }
	fmt.Fprintf(w, "  %s\t%d\t%s\t%s\t%s\n", name, len(times), ms(0.5), ms(0.99), ms(1))
}
