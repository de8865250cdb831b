package wagexplore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
)

// traceSize is how many events before a violation are kept.
const traceSize = 400

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// world is the state of one run. All randomness comes from one source, and
// nothing depends on the order of a map.
type world struct {
	config Config
	random *rand.Rand
	// now is the true time since start.
	now   time.Duration
	queue events
	order uint64
	steps int
	hash  uint64

	faults  [faultCount]faultState
	enabled [faultCount]bool
	hosts   [hostCount]*host
	servers [serverCount]*server
	store   *store
	runs    *runLog
	callers *callers
	terms   *termsModule
	// fleet is nil unless the run has one.
	fleet  *fleet
	counts Counts

	trace     *wagevent.Ring
	violation *Violation
}

// faultState tells until when a fault lasts.
type faultState struct {
	until [hostCount]time.Duration
}

func newWorld(c Config) *world {
	w := &world{config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), hash: 14695981039346656037}
	for _, f := range c.Faults {
		w.enabled[f] = true
	}
	if c.trace {
		w.trace = wagevent.NewRing("", traceSize, w.time)
	}
	w.store = newStore(w)
	w.runs = newRunLog(w)
	w.callers = &callers{w: w}
	w.terms = newTermsModule(w)
	for n := range w.hosts {
		w.hosts[n] = newHost(w, n)
	}
	for n := range w.servers {
		w.servers[n] = &server{w: w, number: n, offset: w.offset()}
	}
	if c.Fleet {
		w.fleet = newFleet(w)
	}
	return w
}

// offset returns the difference of one clock from the true time. Two clocks
// differ by at most the bound.
func (w *world) offset() time.Duration {
	if !w.enabled[ClockSkew] {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(wagclock.MaxSkew))) - wagclock.MaxSkew/2
}

func (w *world) time() time.Time {
	return start.Add(w.now)
}

func (w *world) run() {
	for _, m := range []module{&claimsModule{}, w.terms} {
		m.start(w)
	}
	if w.fleet != nil {
		w.fleet.start(w)
	}
	for n := range w.config.plan {
		a := &w.config.plan[n]
		w.after(a.at, func() { w.act(a) })
	}
	for len(w.queue) > 0 && w.steps < w.config.Steps && w.violation == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		e.do()
	}
}

func (w *world) result() Result {
	w.callers.count()
	for _, h := range w.hosts {
		h.count()
	}
	w.counts.StoreRequests = w.store.calls
	if w.violation != nil && w.trace != nil {
		w.violation.Events, _ = w.trace.Since(0)
	}
	return Result{Steps: w.steps, Hash: w.hash, Violation: w.violation, Counts: w.counts}
}

// after plans an event.
func (w *world) after(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + max(delay, 0), order: w.order, do: do})
}

// between returns a random time from low to below high.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *world) chance(percent int) bool {
	return w.random.IntN(100) < percent
}

func (w *world) active(f Fault, target int) bool {
	return w.now < w.faults[f].until[target]
}

func (w *world) act(a *action) {
	switch {
	case a.replace:
		w.terms.replace()
	case a.call:
		w.callers.begin(a)
	default:
		w.inject(a)
	}
}

func (w *world) inject(a *action) {
	w.record(wagevent.KindFault, a.target, uint64(a.fault), uint64(a.length))
	until := w.now + a.length
	target := a.target
	switch a.fault {
	case StoreDown, StoreSlow, AnswerLost, StaleRead, Partition:
		target = 0
	case Crash:
		w.hosts[a.target].crash(a.length)
	case Pause:
		w.hosts[a.target].pause(a.length)
	}
	w.faults[a.fault].until[target] = max(w.faults[a.fault].until[target], until)
}

// record adds an event to the hash and, when a trace is kept, to the time line.
func (w *world) record(kind wagevent.Kind, place int, values ...uint64) {
	w.mix(uint64(w.now))
	w.mix(uint64(kind[0])<<16 | uint64(kind[1])<<8 | uint64(place))
	for _, v := range values {
		w.mix(v)
	}
	if w.trace != nil {
		detail := fmt.Sprint(values)
		if kind == wagevent.KindFault {
			detail = fmt.Sprintf("%s for %s", Fault(values[0]), time.Duration(values[1]))
		}
		w.trace.Record(wagevent.Event{Kind: kind, Server: fmt.Sprint("h", place), Detail: detail})
	}
}

func (w *world) note(kind wagevent.Kind, place int, format string, values ...any) {
	if w.trace != nil {
		w.trace.Record(wagevent.Event{Kind: kind, Server: fmt.Sprint("h", place), Detail: fmt.Sprintf(format, values...)})
	}
}

func (w *world) mix(v uint64) {
	w.hash = (w.hash ^ v) * 1099511628211
	w.hash ^= w.hash >> 29
}

func (w *world) violate(format string, values ...any) {
	if w.violation != nil {
		return
	}
	w.violation = &Violation{Seed: w.config.Seed, Step: w.steps, Text: fmt.Sprintf(format, values...)}
	w.note(wagevent.KindViolation, 0, "%s", w.violation.Text)
}
