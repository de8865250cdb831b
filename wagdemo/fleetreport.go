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
	// maxSmallFleetHosts is the highest number of hosts for which
	// smallFleetRolloutTarget applies.
	maxSmallFleetHosts = 16
	// smallFleetRolloutTarget and largeFleetRolloutTarget bound the p99 of RolloutTimes.
	smallFleetRolloutTarget = time.Second
	largeFleetRolloutTarget = 11 * time.Second
	// maxBytesPerSecond bounds the control bytes of the busiest host.
	maxBytesPerSecond      = 11_000
	maxCoresPerHost        = 0.016
	maxMemoryPerHost       = 256 << 20
	serviceCount           = 2
	delegatesPerDataCentre = 2
	// Leases are renewed after 3/8 of their term at the earliest. The term of probe
	// leases is 20 s, and that of the leases of key partitions is 10 s.
	minProbeLeaseRenewInterval     = 7500 * time.Millisecond
	minPartitionLeaseRenewInterval = 3750 * time.Millisecond
)

// FleetReport holds the results of a fleet run.
type FleetReport struct {
	Hosts, DataCentres, Restarts int
	// RolloutTimes holds the times of changes that overlapped no outage, and
	// OutageRolloutTimes those of the others. A rollout time is the time from the
	// acceptance of a change until it is in force everywhere.
	RolloutTimes, OutageRolloutTimes []time.Duration
	// OutageTimesFromFirstAttempt holds, for the changes of OutageRolloutTimes, the time
	// from the first attempt to write the change until it is in force everywhere.
	OutageTimesFromFirstAttempt []time.Duration
	// CatchUpTimes holds the times during which restarted hosts had an older revision in
	// force than before the restart.
	CatchUpTimes []time.Duration
	Idle         idleReport
	Verdicts     []Verdict
	Invariants   []Invariant
	Events       []wagevent.Event
}

// Verdict holds a measured value and whether it met its target.
type Verdict struct {
	Name     string
	Measured string
	Met      bool
}

// HasViolations reports whether an invariant was violated. Missed targets do not count,
// because the values depend on the machine.
func (r *FleetReport) HasViolations() bool {
	return (&Report{Invariants: r.Invariants}).HasViolations()
}

// report computes the report of the fleet run from the events of the hosts.
func (f *fleet) report() *FleetReport {
	r := &FleetReport{Hosts: len(f.site.entryHosts), DataCentres: len(f.site.dataCentres), Restarts: f.restarts, Idle: f.idle, CatchUpTimes: f.catchUpTimes()}
	rollouts := Invariant{Name: "an accepted change is in force everywhere within 11 s"}
	for _, c := range f.changes {
		last, lagging := f.inForceEverywhere(c)
		rolloutTime := last.Sub(c.accepted)
		if len(lagging) > 0 || rolloutTime > maxRolloutTime {
			rollouts.Violations = append(rollouts.Violations, fmt.Sprintf("%s revision %d took %s and lags on %d hosts", c.service, c.revision, rolloutTime, len(lagging)))
		}
		if f.overlapsOutage(timeRange{c.firstAttempt, last}) {
			r.OutageRolloutTimes, r.OutageTimesFromFirstAttempt = append(r.OutageRolloutTimes, rolloutTime), append(r.OutageTimesFromFirstAttempt, last.Sub(c.firstAttempt))
			continue
		}
		r.RolloutTimes = append(r.RolloutTimes, rolloutTime)
	}
	r.Invariants = []Invariant{{Name: "no revision reverts at a host, across its starts", Violations: f.reversions()}, rollouts,
		{Name: "hosts stay fresh while nothing changes", Violations: f.idle.StaleHosts}}
	if n := len(f.changes); !f.demo.idleOnly && n != f.demo.changeCount {
		r.Invariants = append(r.Invariants, Invariant{Name: "all changes are accepted", Violations: []string{fmt.Sprintf("%d of %d", n, f.demo.changeCount)}})
	}
	r.compareWithTargets()
	r.Events = f.mergeEvents()
	return r
}

// overlapsOutage reports whether a period overlaps an outage.
func (f *fleet) overlapsOutage(period timeRange) bool {
	for _, outage := range f.outages {
		if period.overlaps(outage) {
			return true
		}
	}
	return false
}

// mergeEvents merges the events of all runs of all hosts and the injected faults.
func (f *fleet) mergeEvents() []wagevent.Event {
	own, _ := f.site.faultEvents.Since(0)
	streams := [][]wagevent.Event{own}
	for _, h := range f.runs {
		streams = append(streams, h.events)
	}
	return wagevent.Merge(streams...)
}

// compareWithTargets adds a verdict for each target.
func (r *FleetReport) compareWithTargets() {
	targetTime := largeFleetRolloutTarget
	if r.Hosts <= maxSmallFleetHosts {
		targetTime = smallFleetRolloutTarget
	}
	if len(r.RolloutTimes) > 0 {
		p99 := quantileOf(r.RolloutTimes, 0.99)
		r.addVerdict(fmt.Sprintf("in force everywhere at p99 under %s", targetTime), p99 < targetTime, "%s", p99.Round(time.Millisecond))
	}
	r.addVerdict("control bytes a second of the busiest host under 11 KB", r.Idle.MaxBytesPerSecond < maxBytesPerSecond, "%.0f", r.Idle.MaxBytesPerSecond)
	r.addVerdict("processor of a host under 1.6% of a core", r.Idle.CoresPerHost < maxCoresPerHost, "%.2f%%", 100*r.Idle.CoresPerHost)
	r.addVerdict("memory of a host under 256 MB", r.Idle.MemoryPerHost < maxMemoryPerHost, "%.2f MB", r.Idle.MemoryPerHost/(1<<20))
	maxRate, rate := r.maxStoreRequestRate(), r.storeRequestRate()
	r.addVerdict(fmt.Sprintf("store calls a second, computed without the number of hosts, at most %.1f", maxRate), rate <= maxRate, "%.1f", rate)
}

// maxStoreRequestRate returns the store requests per second that delegates and lease
// holders need. In each data centre, every delegate sends a watch per watchWait and one
// more request at the edge of the measured period, and the probe leases are renewed.
// The leases of key partitions are renewed as well; their number does not depend on
// the number of hosts or data centres.
func (r *FleetReport) maxStoreRequestRate() float64 {
	perDataCentre := delegatesPerDataCentre*(1/watchWait.Seconds()+1/r.Idle.Duration.Seconds()) + 2*serviceCount/minProbeLeaseRenewInterval.Seconds()
	return float64(r.DataCentres)*perDataCentre + wagkeyed.PartitionCount/minPartitionLeaseRenewInterval.Seconds()
}

// storeRequestRate returns the measured store requests per second of all hosts.
func (r *FleetReport) storeRequestRate() float64 {
	total := int64(0)
	for _, n := range r.Idle.StoreRequests {
		total += n
	}
	return float64(total) / r.Idle.Duration.Seconds()
}

func (r *FleetReport) addVerdict(name string, met bool, format string, args ...any) {
	r.Verdicts = append(r.Verdicts, Verdict{Name: name, Met: met, Measured: fmt.Sprintf(format, args...)})
}

// quantileOf returns the smallest of the times such that at least the given share of
// them is not higher. It returns 0 for no times.
func quantileOf(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), times...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	rank := int(share*float64(len(sorted)) + 0.999999)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// Write writes the report as text.
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
	idle := r.Idle
	fmt.Fprintf(w, "\nWithout calls and changes for %.1f s, per host: %.0f B/s (busiest %.0f), %.2f%% of a core, %.2f MB of memory\n",
		idle.Duration.Seconds(), idle.MeanBytesPerSecond, idle.MaxBytesPerSecond, 100*idle.CoresPerHost, idle.MemoryPerHost/(1<<20))
	fmt.Fprintf(w, "Store calls of all hosts meanwhile: get %d, put %d, list %d, watch %d; %.2f a second, %.2f for each data centre, %.3f for each host\n",
		idle.StoreRequests["get"], idle.StoreRequests["put"], idle.StoreRequests["list"], idle.StoreRequests["watch"],
		r.storeRequestRate(), r.storeRequestRate()/float64(r.DataCentres), r.storeRequestRate()/float64(r.Hosts))
}

func writeTimes(w io.Writer, name string, times []time.Duration) {
	if len(times) == 0 {
		return
	}
	quantile := func(share float64) time.Duration { return quantileOf(times, share).Round(time.Millisecond) }
	fmt.Fprintf(w, "  %s\t%d\t%s\t%s\t%s\n", name, len(times), quantile(0.5), quantile(0.99), quantile(1))
}
