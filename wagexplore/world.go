package wagexplore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
)

// keptEvents is how many events up to a violation are kept.
const keptEvents = 400

var simulationStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function that runs at a virtual time, which is relative to
// simulationStart.
type event struct {
	at time.Duration
	// sequence orders events of the same time by the order of their scheduling.
	sequence uint64
	run      func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// world is the state of one run. All its random numbers come from one source, and
// nothing depends on the iteration order of a map, so that a run can be repeated.
type world struct {
	config Config
	random *rand.Rand
	// now is the virtual time since simulationStart. The clocks of hosts and servers
	// differ from it by their offsets.
	now          time.Duration
	queue        eventQueue
	lastSequence uint64
	steps        int
	hash         uint64

	faults        [faultCount]faultState
	enabledFaults [faultCount]bool
	hosts         [hostCount]*host
	servers       [serverCount]*server
	store         *store
	executions    *executionLog
	callers       *callers
	tokens        *termsModule
	// fleet is nil in runs without one.
	fleet  *fleet
	counts Counts

	latestEvents *wagevent.Ring
	violation    *Violation
}

// faultState holds when a fault ends at each of its targets, hosts or servers. Faults
// of the store and Partition have the target 0 only.
type faultState struct {
	until [hostCount]time.Duration
}

func newWorld(c Config) *world {
	w := &world{config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), hash: 14695981039346656037}
	for _, f := range c.Faults {
		w.enabledFaults[f] = true
	}
	if c.recordEvents {
		w.latestEvents = wagevent.NewRing("", keptEvents, w.trueTime)
	}
	w.store = newStore(w)
	w.executions = newExecutionLog(w)
	w.callers = &callers{world: w}
	w.tokens = newTermsModule(w)
	for n := range w.hosts {
		w.hosts[n] = newHost(w, n)
	}
	for n := range w.servers {
		w.servers[n] = &server{world: w, index: n, clockOffset: w.randomClockOffset()}
	}
	if c.Fleet {
		w.fleet = newFleet(w)
	}
	return w
}

// randomClockOffset returns the difference between a clock and the true time. Any two
// clocks differ by at most wagclock.MaxSkew.
func (w *world) randomClockOffset() time.Duration {
	if !w.enabledFaults[ClockSkew] {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(wagclock.MaxSkew))) - wagclock.MaxSkew/2
}

func (w *world) trueTime() time.Time {
	return simulationStart.Add(w.now)
}

func (w *world) run() {
	for _, m := range []module{&claimsModule{}, w.tokens} {
		m.start(w)
	}
	if w.fleet != nil {
		w.fleet.start(w)
	}
	for n := range w.config.requestPlan {
		a := &w.config.requestPlan[n]
		w.schedule(a.at, func() { w.perform(a) })
	}
	for len(w.queue) > 0 && w.steps < w.config.Steps && w.violation == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		e.run()
	}
}

func (w *world) result() Result {
	w.callers.addOutcomeCounts()
	for _, h := range w.hosts {
		h.addClaimCounts()
	}
	w.counts.StoreRequests = w.store.requests
	if w.violation != nil && w.latestEvents != nil {
		w.violation.Events, _ = w.latestEvents.Since(0)
	}
	return Result{Steps: w.steps, Hash: w.hash, Violation: w.violation, Counts: w.counts}
}

// schedule schedules an event that calls run after the delay.
func (w *world) schedule(delay time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{at: w.now + max(delay, 0), sequence: w.lastSequence, run: run})
}

// randomDuration returns a random duration from low to below high.
func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// chance returns true with the given probability.
func (w *world) chance(percent int) bool {
	return w.random.IntN(100) < percent
}

func (w *world) faultActive(f Fault, target int) bool {
	return w.now < w.faults[f].until[target]
}

func (w *world) perform(a *action) {
	switch {
	case a.recreateDocument:
		w.tokens.recreateDocument()
	case a.isRequest:
		w.callers.startRequest(a)
	default:
		w.injectFault(a)
	}
}

func (w *world) injectFault(a *action) {
	w.record(wagevent.KindFault, a.target, uint64(a.fault), uint64(a.duration))
	until := w.now + a.duration
	target := a.target
	switch a.fault {
	case StoreDown, StoreSlow, AnswerLost, StaleRead, Partition:
		target = 0
	case Crash:
		w.hosts[a.target].crash(a.duration)
	case Pause:
		w.hosts[a.target].pause(a.duration)
	}
	w.faults[a.fault].until[target] = max(w.faults[a.fault].until[target], until)
}

// record adds an event to the hash and, with Config.recordEvents, to the latest events.
func (w *world) record(kind wagevent.Kind, hostIndex int, values ...uint64) {
	w.addToHash(uint64(w.now))
	w.addToHash(uint64(kind[0])<<16 | uint64(kind[1])<<8 | uint64(hostIndex))
	for _, v := range values {
		w.addToHash(v)
	}
	if w.latestEvents != nil {
		detail := fmt.Sprint(values)
		if kind == wagevent.KindFault {
			detail = fmt.Sprintf("%s for %s", Fault(values[0]), time.Duration(values[1]))
		}
		w.latestEvents.Record(wagevent.Event{Kind: kind, Server: fmt.Sprint("h", hostIndex), Detail: detail})
	}
}

// traceEvent adds a readable event to the latest events only. The hash does not cover
// it, so that it is the same with and without Config.recordEvents.
func (w *world) traceEvent(kind wagevent.Kind, hostIndex int, format string, values ...any) {
	if w.latestEvents != nil {
		w.latestEvents.Record(wagevent.Event{Kind: kind, Server: fmt.Sprint("h", hostIndex), Detail: fmt.Sprintf(format, values...)})
	}
}

func (w *world) addToHash(v uint64) {
	w.hash = (w.hash ^ v) * 1099511628211
	w.hash ^= w.hash >> 29
}

// reportViolation ends the run with a violation. Only the first one is kept.
func (w *world) reportViolation(format string, values ...any) {
	if w.violation != nil {
		return
	}
	w.violation = &Violation{Seed: w.config.Seed, Step: w.steps, Text: fmt.Sprintf(format, values...)}
	w.traceEvent(wagevent.KindViolation, 0, "%s", w.violation.Text)
}
