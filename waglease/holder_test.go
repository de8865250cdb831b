package waglease

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

var startTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// stepInterval is the time between two steps of the simulation.
const stepInterval = 20 * time.Millisecond

// lateWrite is a write that takes effect at a later step.
type lateWrite struct {
	write Write
	at    time.Time
}

// storeObject simulates one object of the store.
type storeObject struct {
	value   []byte
	version int
	// late holds the writes that take effect later.
	late []lateWrite
}

// currentVersion returns the version of the object, empty if it does not exist.
func (o *storeObject) currentVersion() Version {
	if o.version == 0 {
		return ""
	}
	return Version(fmt.Sprint(o.version))
}

// put executes a write if its expected version matches.
func (o *storeObject) put(w Write) bool {
	if w.Expected != o.currentVersion() {
		return false
	}
	o.value, o.version = w.Value, o.version+1
	return true
}

// simulatedHost is a process with a holder.
type simulatedHost struct {
	holder *Holder
	// skew is the difference between the clock of the host and the true time.
	skew   time.Duration
	paused time.Time
	// events holds the replies that the holder gets at the next step.
	events []Event
}

// startHost starts host i, or replaces its process by a new one.
func (w *world) startHost(i int) {
	w.starts++
	skew := time.Duration(w.random.Int64N(int64(wagclock.MaxSkew))) - wagclock.MaxSkew/2
	h := NewHolder(fmt.Sprint("host", i), w.starts, 4*time.Second, WithJitter(w.random.Float64))
	if w.hosts[i] != nil {
		// The former process with the same name may keep running for a while.
		w.formerProcesses = append(w.formerProcesses, w.hosts[i])
		w.formerProcesses = w.formerProcesses[max(0, len(w.formerProcesses)-4):]
	}
	w.hosts[i] = &simulatedHost{holder: h, skew: skew}
	w.handle(i, Acquire{})
}

// world simulates several hosts that want the same lease.
type world struct {
	random *rand.Rand
	now    time.Time
	object storeObject
	hosts  []*simulatedHost
	// formerProcesses were replaced and get no more replies.
	formerProcesses []*simulatedHost
	starts          uint64
	heldSteps       int
}

// handle passes an event to a holder and executes its commands.
func (w *world) handle(i int, e Event) {
	h := w.hosts[i]
	for _, c := range h.holder.Handle(w.now.Add(h.skew), e) {
		h.events = append(h.events, w.execute(c)...)
	}
}

// execute executes a command and returns the reply. At random, it fails commands,
// loses replies and delays writes.
func (w *world) execute(c Command) []Event {
	draw := w.random.IntN(20)
	switch c := c.(type) {
	case Load:
		if draw == 0 {
			return []Event{StoreUnavailable(c)}
		}
		return []Event{Loaded{ID: c.ID, Value: w.object.value, Version: w.object.currentVersion()}}
	case Write:
		switch {
		case draw == 0:
			return []Event{StoreUnavailable{ID: c.ID}}
		case draw == 1:
			w.object.put(c)
			return []Event{WriteUnknown{ID: c.ID}}
		case draw < 4:
			w.object.late = append(w.object.late, lateWrite{c, w.now.Add(time.Duration(w.random.IntN(5000)) * time.Millisecond)})
			return []Event{WriteUnknown{ID: c.ID}}
		case w.object.put(c):
			return []Event{Written{ID: c.ID, Version: w.object.currentVersion()}}
		}
		return []Event{WriteConflict{ID: c.ID}}
	}
	return nil
}

// step advances the time, applies late writes, and runs the hosts that are not
// paused.
func (w *world) step(t *testing.T) {
	w.now = w.now.Add(stepInterval)
	kept := w.object.late[:0]
	for _, l := range w.object.late {
		if l.at.After(w.now) {
			kept = append(kept, l)
			continue
		}
		w.object.put(l.write)
	}
	w.object.late = kept
	for i, h := range w.hosts {
		if h.paused.After(w.now) {
			continue
		}
		w.injectFault(i)
		h = w.hosts[i]
		events := h.events
		h.events = nil
		for _, e := range append(events, Tick{}) {
			w.handle(i, e)
		}
	}
	w.checkSingleHolder(t)
}

// injectFault restarts or pauses a host, or makes it acquire or release the
// lease, at random.
func (w *world) injectFault(i int) {
	switch w.random.IntN(1500) {
	case 0:
		w.startHost(i)
	case 1, 2:
		w.hosts[i].paused = w.now.Add(time.Duration(w.random.IntN(12000)) * time.Millisecond)
	case 3, 4, 5:
		w.handle(i, Release{})
	case 14, 15, 16, 17:
		w.handle(i, Release{})
		w.hosts[i].events = append(w.hosts[i].events, Acquire{})
	case 6, 7, 8, 9, 10, 11, 12, 13:
		w.handle(i, Acquire{})
	}
}

// checkSingleHolder fails the test if more than one holder may use the lease now.
// A paused host counts as well, because it would use the lease if it resumed now.
func (w *world) checkSingleHolder(t *testing.T) {
	count := 0
	for _, h := range append(w.formerProcesses, w.hosts...) {
		if h.holder.IsHeld(w.now.Add(h.skew)) {
			count++
		}
	}
	if count > 1 {
		t.Fatalf("%d processes hold the lease %s after the start", count, w.now.Sub(startTime))
	}
	w.heldSteps += count
}

// Guards against two holders of one lease through crashes, pauses, restarts under
// the same name, lost replies and writes that take effect late.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(40) {
		w := &world{random: rand.New(rand.NewPCG(seed, 1)), now: startTime, hosts: make([]*simulatedHost, 4)}
		for i := range w.hosts {
			w.startHost(i)
		}
		const steps = 20000
		for range steps {
			w.step(t)
		}
		if w.heldSteps < steps/3 {
			t.Fatalf("seed %d: the lease was held in only %d of %d steps", seed, w.heldSteps, steps)
		}
	}
}

// Guards against a damaged record, or one with a deadline in the far future, that
// blocks the lease for ever or is taken over too early.
func TestDamagedRecordExpires(t *testing.T) {
	far, err := Encode(Record{Holder: "a", Incarnation: 1, Sequence: 1, Deadline: startTime.AddDate(900, 0, 0)})
	is.New(t).NoErr(err)
	for _, value := range [][]byte{far, []byte("{"), nil} {
		is := is.New(t)
		h := NewHolder("b", 2, time.Minute)
		load := h.Handle(startTime, Acquire{})[0].(Load)
		is.Equal(len(h.Handle(startTime, Loaded{ID: load.ID, Value: value, Version: "1"})), 0)
		// Until then the holder only reads the record again.
		for at := startTime; !at.After(startTime.Add(MaxTerm)); at = h.NextWake() {
			for _, c := range h.Handle(at, Tick{}) {
				is.Equal(len(h.Handle(at, Loaded{ID: c.(Load).ID, Value: value, Version: "1"})), 0)
			}
		}
		is.True(!h.NextWake().After(startTime.Add(MaxTerm + time.Second)))
		_, writes := h.Handle(h.NextWake(), Tick{})[0].(Write)
		is.True(writes)
	}
}

// Guards against a rank that changes the order of the remaining candidates when
// one is lost, which would move items whose owner is still there.
func TestRankKeepsOrderOfRemainingCandidates(t *testing.T) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 2, 20, rapid.ID[string]).Draw(t, "names")
		lost := rapid.IntRange(0, len(names)-1).Draw(t, "lost")
		item := rapid.String().Draw(t, "item")
		rest := append(append([]string{}, names[:lost]...), names[lost+1:]...)
		before, after := Rank(item, names, len(names)), Rank(item, rest, len(names))
		if before[0] != Choose(item, names) {
			t.Fatal("Rank and Choose return different best candidates")
		}
		for _, name := range before {
			if name == names[lost] {
				continue
			}
			if name != after[0] {
				t.Fatalf("the order of the remaining candidates changed: before %v, after %v", before, after)
			}
			after = after[1:]
		}
	})
}

// Guards against values that can be decoded but not encoded and decoded again.
func FuzzDecode(f *testing.F) {
	value, _ := Encode(Record{Holder: "a", Incarnation: 1, Sequence: 2, Deadline: startTime, Payload: json.RawMessage(`{"a":1}`)})
	f.Add(value)
	f.Add([]byte(`{"holder":"a"} {}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := Decode(value)
		if err != nil {
			return
		}
		again, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a host that waits for the deadline of a lease that was released
// before it.
func TestReleasedLeaseIsTakenOverEarly(t *testing.T) {
	is := is.New(t)
	o := &storeObject{}
	a, b := NewHolder("a", 1, time.Minute), NewHolder("b", 2, time.Minute)
	execute := func(now time.Time, h *Holder, commands []Command) {
		for len(commands) > 0 {
			switch c := commands[0].(type) {
			case Load:
				commands = h.Handle(now, Loaded{ID: c.ID, Value: o.value, Version: o.currentVersion()})
			case Write:
				is.True(o.put(c))
				commands = h.Handle(now, Written{ID: c.ID, Version: o.currentVersion()})
			}
		}
	}
	execute(startTime, a, a.Handle(startTime, Acquire{}))
	is.True(a.IsHeld(startTime))
	execute(startTime, b, b.Handle(startTime, Acquire{}))
	execute(startTime, a, a.Handle(startTime, Release{}))
	wake := b.NextWake()
	is.True(wake.Before(startTime.Add(10 * time.Second)))
	execute(wake, b, b.Handle(wake, Tick{}))
	is.True(b.IsHeld(wake))
}
