package wagreplay

import (
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// Metrics holds what a run measured under the names of docs/REPLAY.md.
type Metrics map[string]float64

// ending is what became of a call.
type ending int

const (
	endDone ending = iota
	// endLate tells that the call ran and did not end before its deadline.
	endLate
	endNotRun
	endFailed
	endBroken
)

var endings = map[ending]string{endDone: "done", endLate: "late", endNotRun: "notRun", endFailed: "failed", endBroken: "broken"}

func endOf(v visitEnd) ending {
	switch v {
	case visitDone:
		return endDone
	case visitCut:
		return endLate
	case visitFailed:
		return endFailed
	case visitBroken:
		return endBroken
	default:
		return endNotRun
	}
}

// drainBound is how long after a drain began a server may get new work.
const drainBound = 5 * time.Second

// recovery is how long after a phase the latency may stay raised.
const recovery = 2 * time.Second

type stats struct {
	Config
	samples [2][]Sample
	ends    map[ending]int
	reasons map[string]int
	// waited counts the short calls that waited for longer than their service.
	waited, short int
	// usefulIn holds the work done in time in each phase, by name.
	usefulIn map[string]time.Duration

	useful, wasted time.Duration
	probes         int
	// controlBytes is what the host that sent most control messages sent.
	controlBytes     int64
	forwardedBytes   int64
	zoneBytes        int64
	spilled          int
	connections      int
	lateSends        int
	violations       uint64
	abandoned, twice uint64
	// spilledFrom counts the spilled calls of each data centre.
	spilledFrom map[string]int
	// callers counts the calls of each caller: all, and those done in time.
	callers            map[string]*[2]int
	forwardedCallCount int
}

func newStats(c Config) *stats {
	return &stats{Config: c, ends: make(map[ending]int), reasons: make(map[string]int), usefulIn: make(map[string]time.Duration), callers: make(map[string]*[2]int), spilledFrom: make(map[string]int)}
}

func (s *stats) forwarded(c *call) {
	s.forwardedCallCount++
	s.forwardedBytes += c.Bytes + headBytes
}

// refusedByDrain counts work that was sent to a server too long after its drain
// began.
func (s *stats) refusedByDrain(v *server) {
	for _, f := range v.faults {
		now := v.simulation.Now()
		if f.Kind == wagtrace.FaultDrain && now.After(f.From.Add(drainBound)) && now.Before(f.Until) {
			s.lateSends++
		}
	}
}

// worked counts the time that a server spent on a call.
func (s *stats) worked(v *visit, now time.Time, o visitEnd) {
	if o != visitDone {
		s.wasted += now.Sub(v.started)
		return
	}
	s.useful += v.call.ServiceTime
	// The work of a call counts for the part of its time that lies in a phase;
	// counting it at its end alone would move long work out of short phases.
	length := now.Sub(v.started)
	for _, p := range s.Trace.Header.Phases {
		part := wagclock.Earlier(now, p.Until).Sub(wagclock.Later(v.started, p.From))
		if part > 0 && length > 0 {
			s.usefulIn[p.Name] += time.Duration(float64(v.call.ServiceTime) * float64(part) / float64(length))
		}
	}
}

func (s *stats) add(c *call, o ending, reason string, now time.Time, latency time.Duration) {
	s.ends[o]++
	n := s.callers[c.Caller]
	if n == nil {
		n = new([2]int)
		s.callers[c.Caller] = n
	}
	n[0]++
	if o == endDone {
		n[1]++
	}
	if o == endNotRun {
		s.reasons[reason]++
	}
	if o != endDone {
		return
	}
	k := class(c)
	s.samples[k] = append(s.samples[k], Sample{EndedAt: now, Latency: latency})
	if k == 0 {
		s.short++
		if c.started.Sub(c.At) > c.ServiceTime {
			s.waited++
		}
	}
}

// quantile returns a quantile of ordered latencies in milliseconds.
func quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	i := min(int(q*float64(len(list))), len(list)-1)
	return float64(list[i]) / float64(time.Millisecond)
}

func ordered(samples []Sample, keep func(time.Time) bool) []time.Duration {
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

func (s *stats) result(name string) *Result {
	m := Metrics{}
	for k, class := range []string{"short", "long"} {
		list := ordered(s.samples[k], always)
		m[class+".served"] = float64(len(list))
		m[class+".p50"] = quantile(list, 0.5)
		m[class+".p99"] = quantile(list, 0.99)
		m[class+".p999"] = quantile(list, 0.999)
	}
	m["short.deadline"] = shortDeadline(s.Trace)
	m["short.p99AtCaller"] = m["short.p99"] + 2*float64(s.Trace.Header.CallerDelay)/float64(time.Millisecond)
	for o, word := range endings {
		m["calls."+word] = float64(s.ends[o])
	}
	for reason, n := range s.reasons {
		m["notRun."+reason] = float64(n)
	}
	s.phases(m)
	s.costs(m)
	return &Result{Name: name, Metrics: m, ShortSamples: s.samples[0]}
}

// phases adds the metrics of each phase and of the time after it.
func (s *stats) phases(m Metrics) {
	names := make(map[string]time.Duration)
	for _, p := range s.Trace.Header.Phases {
		names[p.Name] += p.Until.Sub(p.From)
	}
	for name, length := range names {
		in := ordered(s.samples[0], func(t time.Time) bool { return s.phaseAt(t) == name })
		m[name+".short.p99"] = quantile(in, 0.99)
		after := ordered(s.samples[0], func(t time.Time) bool { return s.recovered(t, name) })
		m["after."+name+".short.p99"] = quantile(after, 0.99)
		capacity := float64(s.Trace.Header.TotalSlots()) * length.Seconds()
		m[name+".goodput"] = s.usefulIn[name].Seconds() / capacity
	}
}

func (s *stats) phaseAt(t time.Time) string {
	for _, p := range s.Trace.Header.Phases {
		if !t.Before(p.From) && t.Before(p.Until) {
			return p.Name
		}
	}
	return ""
}

// recovered tells whether a time lies after a phase of that name, later than
// the time that recovery may take.
func (s *stats) recovered(t time.Time, name string) bool {
	if s.phaseAt(t) != "" {
		return false
	}
	seen := false
	for _, p := range s.Trace.Header.Phases {
		if p.Name != name || t.Before(p.Until) {
			continue
		}
		if t.Before(p.Until.Add(recovery)) {
			return false
		}
		seen = true
	}
	return seen
}

func (s *stats) costs(m Metrics) {
	length := max(s.Trace.End().Sub(s.Trace.Header.Start).Seconds(), 1e-3)
	hosts := float64(max(s.Hosts, len(s.Trace.Header.DataCentres)))
	m["headOfLine"] = float64(s.waited) / float64(max(s.short, 1))
	m["goodput"] = s.useful.Seconds() / (float64(s.Trace.Header.TotalSlots()) * length)
	m["wastedSeconds"] = s.wasted.Seconds()
	m["probes"] = float64(s.probes)
	m["probeSeconds"] = float64(s.probes) * probeCost.Seconds()
	// The first allowance of each data centre is part of the budget.
	budget := s.Document.Measure.ProbesPerSecond*length + float64(len(s.Trace.Header.DataCentres))
	m["probeShare"] = float64(s.probes) / max(budget, 1)
	m["controlBytes"] = float64(s.controlBytes) / length
	m["forwardedBytes"] = float64(s.forwardedBytes) / length / hosts
	m["forwardedCalls"] = float64(s.forwardedCallCount)
	m["zoneBytes"] = float64(s.zoneBytes) / length
	m["callers.medianDone"] = s.medianDone()
	m["spilled"] = float64(s.spilled)
	for name, n := range s.spilledFrom {
		m["spilledFrom."+name] = float64(n)
	}
	m["connections"] = float64(s.connections)
	m["lateSends"] = float64(s.lateSends)
	m["violations"] = float64(s.violations + s.abandoned + s.twice)
}

// medianDone returns the share of calls done in time of the median caller. A
// fair queue keeps it high whatever a single caller sends.
func (s *stats) medianDone() float64 {
	var list []float64
	for _, n := range s.callers {
		list = append(list, float64(n[1])/float64(n[0]))
	}
	if len(list) == 0 {
		return 0
	}
	sort.Float64s(list)
	return list[len(list)/2]
}
