package wagreplay

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// Metrics holds what a run measured, under the names of docs/REPLAY.md.
type Metrics map[string]float64

// requestStatus is how a request ended.
type requestStatus int

const (
	statusDone requestStatus = iota
	// statusLate means that the request ran but did not end before its deadline.
	statusLate
	// statusNotRun means that no server ran the request.
	statusNotRun
	statusFailed
	statusBroken
)

var statusNames = map[requestStatus]string{statusDone: "done", statusLate: "late", statusNotRun: "notRun", statusFailed: "failed", statusBroken: "broken"}

// statusOf returns the status of a request whose last attempt ended.
func statusOf(end attemptEnd) requestStatus {
	switch end {
	case attemptDone:
		return statusDone
	case attemptTimedOut:
		return statusLate
	case attemptFailed:
		return statusFailed
	case attemptBroken:
		return statusBroken
	default:
		return statusNotRun
	}
}

// drainGracePeriod is how long after the start of a drain a server may still get
// new requests.
const drainGracePeriod = 5 * time.Second

// recoveryTime is how long after a phase the latency may stay raised.
const recoveryTime = 2 * time.Second

// stats collects the measurements of a run.
type stats struct {
	Config
	samples        [2][]Sample
	byStatus       map[requestStatus]int
	notRunByReason map[string]int
	// Of the short requests done in time (shortServed), headOfLineBlocked counts
	// those that waited for longer than their service time.
	headOfLineBlocked, shortServed int
	// usefulByPhase holds the service time of requests done in time, by the name
	// of the phase.
	usefulByPhase map[string]time.Duration

	usefulTime, wastedTime time.Duration
	probes                 int
	// controlBytes is the most that one host sent in control messages.
	controlBytes   int64
	forwardedBytes int64
	zoneBytes      int64
	spilled        int
	connections    int
	// lateSends counts the requests sent to servers later than drainGracePeriod
	// after the start of their drain.
	lateSends  int
	violations uint64
	// unfinished counts the requests that never ended, endedTwice the repeated
	// ends of requests. Both have to stay at 0.
	unfinished, endedTwice uint64
	// spilledFrom counts the spilled requests by the data centre where they
	// arrived.
	spilledFrom map[string]int
	// byCaller counts the requests of each caller: all of them, and those done in
	// time.
	byCaller          map[string]*[2]int
	forwardedRequests int
}

func newStats(c Config) *stats {
	return &stats{Config: c, byStatus: make(map[requestStatus]int), notRunByReason: make(map[string]int), usefulByPhase: make(map[string]time.Duration), byCaller: make(map[string]*[2]int), spilledFrom: make(map[string]int)}
}

// countForwarded counts a request that its entry host forwards to the owner of
// the group.
func (s *stats) countForwarded(r *request) {
	s.forwardedRequests++
	s.forwardedBytes += r.Bytes + headerBytes
}

// countLateSend counts a request that was sent to a server too long after its
// drain began.
func (s *stats) countLateSend(v *server) {
	for _, f := range v.faults {
		now := v.simulation.Now()
		if f.Kind == wagtrace.FaultDrain && now.After(f.From.Add(drainGracePeriod)) && now.Before(f.Until) {
			s.lateSends++
		}
	}
}

// countWork counts the time that a server spent on an attempt.
func (s *stats) countWork(a *attempt, now time.Time, end attemptEnd) {
	if end != attemptDone {
		s.wastedTime += now.Sub(a.started)
		return
	}
	s.usefulTime += a.request.ServiceTime
	// Each phase gets the part of the service time that lies in it. Counting it
	// all when the attempt ends would move long requests out of short phases.
	duration := now.Sub(a.started)
	for _, p := range s.Trace.Header.Phases {
		part := wagclock.Earlier(now, p.Until).Sub(wagclock.Later(a.started, p.From))
		if part > 0 && duration > 0 {
			s.usefulByPhase[p.Name] += time.Duration(float64(a.request.ServiceTime) * float64(part) / float64(duration))
		}
	}
}

// record counts a request that ended.
func (s *stats) record(r *request, status requestStatus, reason string, now time.Time, latency time.Duration) {
	s.byStatus[status]++
	n := s.byCaller[r.Caller]
	if n == nil {
		n = new([2]int)
		s.byCaller[r.Caller] = n
	}
	n[0]++
	if status == statusDone {
		n[1]++
	}
	if status == statusNotRun {
		s.notRunByReason[reason]++
	}
	if status != statusDone {
		return
	}
	class := classIndex(r)
	s.samples[class] = append(s.samples[class], Sample{EndedAt: now, Latency: latency})
	if class == 0 {
		s.shortServed++
		if r.started.Sub(r.At) > r.ServiceTime {
			s.headOfLineBlocked++
		}
	}
}

// quantile returns a quantile of sorted latencies in milliseconds.
func quantile(latencies []time.Duration, q float64) float64 {
	if len(latencies) == 0 {
		return 0
	}
	i := min(int(q*float64(len(latencies))), len(latencies)-1)
	return float64(latencies[i]) / float64(time.Millisecond)
}

// sortedLatencies returns the sorted latencies of the samples whose end time
// passes keep.
func sortedLatencies(samples []Sample, keep func(time.Time) bool) []time.Duration {
	var list []time.Duration
	for _, s := range samples {
		if keep(s.EndedAt) {
			list = append(list, s.Latency)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func always(time.Time) bool { return true }

// result returns the metrics of the run.
func (s *stats) result(run string) *Result {
	m := Metrics{}
	for i, class := range []string{"short", "long"} {
		list := sortedLatencies(s.samples[i], always)
		m[class+".served"] = float64(len(list))
		m[class+".p50"] = quantile(list, 0.5)
		m[class+".p99"] = quantile(list, 0.99)
		m[class+".p999"] = quantile(list, 0.999)
	}
	m["short.deadline"] = shortDeadline(s.Trace)
	m["short.p99AtCaller"] = m["short.p99"] + 2*float64(s.Trace.Header.CallerDelay)/float64(time.Millisecond)
	for status, name := range statusNames {
		m["calls."+name] = float64(s.byStatus[status])
	}
	for reason, n := range s.notRunByReason {
		m["notRun."+reason] = float64(n)
	}
	s.addPhaseMetrics(m)
	s.addCostMetrics(m)
	return &Result{Name: run, Metrics: m, ShortSamples: s.samples[0]}
}

// addPhaseMetrics adds the metrics of each phase and of the time after it.
func (s *stats) addPhaseMetrics(m Metrics) {
	names := make(map[string]time.Duration)
	for _, p := range s.Trace.Header.Phases {
		names[p.Name] += p.Until.Sub(p.From)
	}
	for name, duration := range names {
		during := sortedLatencies(s.samples[0], func(t time.Time) bool { return s.phaseAt(t) == name })
		m[name+".short.p99"] = quantile(during, 0.99)
		after := sortedLatencies(s.samples[0], func(t time.Time) bool { return s.afterRecovery(t, name) })
		m["after."+name+".short.p99"] = quantile(after, 0.99)
		capacity := float64(s.Trace.Header.TotalSlots()) * duration.Seconds()
		m[name+".goodput"] = s.usefulByPhase[name].Seconds() / capacity
	}
}

// phaseAt returns the name of the phase at a time, or nothing outside of phases.
func (s *stats) phaseAt(t time.Time) string {
	for _, p := range s.Trace.Header.Phases {
		if !t.Before(p.From) && t.Before(p.Until) {
			return p.Name
		}
	}
	return ""
}

// afterRecovery reports whether a time is outside of phases and at least
// recoveryTime after the end of the phases of that name so far.
func (s *stats) afterRecovery(t time.Time, name string) bool {
	if s.phaseAt(t) != "" {
		return false
	}
	seen := false
	for _, p := range s.Trace.Header.Phases {
		if p.Name != name || t.Before(p.Until) {
			continue
		}
		if t.Before(p.Until.Add(recoveryTime)) {
			return false
		}
		seen = true
	}
	return seen
}

// addCostMetrics adds the metrics of throughput and overhead.
func (s *stats) addCostMetrics(m Metrics) {
	seconds := max(s.Trace.End().Sub(s.Trace.Header.Start).Seconds(), 1e-3)
	hosts := float64(max(s.Hosts, len(s.Trace.Header.DataCentres)))
	m["headOfLine"] = float64(s.headOfLineBlocked) / float64(max(s.shortServed, 1))
	m["goodput"] = s.usefulTime.Seconds() / (float64(s.Trace.Header.TotalSlots()) * seconds)
	m["wastedSeconds"] = s.wastedTime.Seconds()
	m["probes"] = float64(s.probes)
	m["probeSeconds"] = float64(s.probes) * probeTime.Seconds()
	// The budget also covers the first probe of each data centre.
	budget := s.Document.Probing.ProbesPerSecond*seconds + float64(len(s.Trace.Header.DataCentres))
	m["probeShare"] = float64(s.probes) / max(budget, 1)
	m["controlBytes"] = float64(s.controlBytes) / seconds
	m["forwardedBytes"] = float64(s.forwardedBytes) / seconds / hosts
	m["forwardedCalls"] = float64(s.forwardedRequests)
	m["zoneBytes"] = float64(s.zoneBytes) / seconds
	m["callers.medianDone"] = s.medianDone()
	m["spilled"] = float64(s.spilled)
	for name, n := range s.spilledFrom {
		m["spilledFrom."+name] = float64(n)
	}
	m["connections"] = float64(s.connections)
	m["lateSends"] = float64(s.lateSends)
	m["violations"] = float64(s.violations + s.unfinished + s.endedTwice)
}

// medianDone returns the share of requests done in time of the median caller. A
// fair queue keeps it high, whatever a single caller sends.
func (s *stats) medianDone() float64 {
	var list []float64
	for _, n := range s.byCaller {
		list = append(list, float64(n[1])/float64(n[0]))
	}
	if len(list) == 0 {
		return 0
	}
	sort.Float64s(list)
	return list[len(list)/2]
}
