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

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const pace = 20 * time.Millisecond

// late is a write that reaches the store at a later step.
type late struct {
	write Write
	at    time.Time
}

// object is a stand-in for one object of the store.
type object struct {
	value   []byte
	version int
	late    []late
}

func (o *object) tag() Version {
	if o.version == 0 {
		return ""
	}
	return Version(fmt.Sprint(o.version))
}

func (o *object) put(w Write) bool {
	if w.Expected != o.tag() {
		return false
	}
	o.value, o.version = w.Value, o.version+1
	return true
}

type holderHost struct {
	holder *Holder
	// skew is added to the true time to get the host's clock.
	skew    time.Duration
	paused  time.Time
	answers []Event
}

func (w *world) start(i int) {
	w.starts++
	skew := time.Duration(w.random.Int64N(int64(wagclock.MaxSkew))) - wagclock.MaxSkew/2
	h := NewHolder(fmt.Sprint("host", i), w.starts, 4*time.Second, WithJitter(w.random.Float64))
	if w.hosts[i] != nil {
		// The former process of the name may run on for a while.
		w.former = append(w.former, w.hosts[i])
		w.former = w.former[max(0, len(w.former)-4):]
	}
	w.hosts[i] = &holderHost{holder: h, skew: skew}
	w.run(i, Acquire{})
}

type world struct {
	random *rand.Rand
	now    time.Time
	object object
	hosts  []*holderHost
	// former processes were replaced and get no answers any more.
	former []*holderHost
	starts uint64
	held   int
}

func (w *world) run(i int, e Event) {
	h := w.hosts[i]
	for _, c := range h.holder.Handle(w.now.Add(h.skew), e) {
		h.answers = append(h.answers, w.answer(c)...)
	}
}

// answer loses, delays and refuses commands at random.
func (w *world) answer(c Command) []Event {
	fate := w.random.IntN(20)
	switch c := c.(type) {
	case Load:
		if fate == 0 {
			return []Event{StoreUnavailable(c)}
		}
		return []Event{Loaded{ID: c.ID, Value: w.object.value, Version: w.object.tag()}}
	case Write:
		switch {
		case fate == 0:
			return []Event{StoreUnavailable{ID: c.ID}}
		case fate == 1:
			w.object.put(c)
			return []Event{WriteUnknown{ID: c.ID}}
		case fate < 4:
			w.object.late = append(w.object.late, late{c, w.now.Add(time.Duration(w.random.IntN(5000)) * time.Millisecond)})
			return []Event{WriteUnknown{ID: c.ID}}
		case w.object.put(c):
			return []Event{Written{ID: c.ID, Version: w.object.tag()}}
		}
		return []Event{WriteConflict{ID: c.ID}}
	}
	return nil
}

func (w *world) step(t *testing.T) {
	w.now = w.now.Add(pace)
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
		w.fault(i)
		h = w.hosts[i]
		answers := h.answers
		h.answers = nil
		for _, e := range append(answers, Tick{}) {
			w.run(i, e)
		}
	}
	w.check(t)
}

func (w *world) fault(i int) {
	switch w.random.IntN(1500) {
	case 0:
		w.start(i)
	case 1, 2:
		w.hosts[i].paused = w.now.Add(time.Duration(w.random.IntN(12000)) * time.Millisecond)
	case 3, 4, 5:
		w.run(i, Release{})
	case 14, 15, 16, 17:
		w.run(i, Release{})
		w.hosts[i].answers = append(w.hosts[i].answers, Acquire{})
	case 6, 7, 8, 9, 10, 11, 12, 13:
		w.run(i, Acquire{})
	}
}

// check counts the holders that may use the lease now. A paused host counts as
// well: it would use the lease if it resumed now.
func (w *world) check(t *testing.T) {
	count := 0
	for _, h := range append(w.former, w.hosts...) {
		if h.holder.IsHeld(w.now.Add(h.skew)) {
			count++
		}
	}
	if count > 1 {
		t.Fatalf("%d holders at %s", count, w.now.Sub(start))
	}
	w.held += count
}

// Guards against two holders of one lease through crashes, pauses, restarts
// under the same name, lost answers and writes that take effect late.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(40) {
		w := &world{random: rand.New(rand.NewPCG(seed, 1)), now: start, hosts: make([]*holderHost, 4)}
		for i := range w.hosts {
			w.start(i)
		}
		const steps = 20000
		for range steps {
			w.step(t)
		}
		if w.held < steps/3 {
			t.Fatalf("seed %d: the lease was held in only %d of %d steps", seed, w.held, steps)
		}
	}
}

// Guards against a damaged record or a deadline in the far future that blocks
// the lease for ever, and against one that is taken over too early.
func TestDamagedRecordExpires(t *testing.T) {
	far, err := Encode(Record{Holder: "a", Incarnation: 1, Sequence: 1, Deadline: start.AddDate(900, 0, 0)})
	is.New(t).NoErr(err)
	for _, value := range [][]byte{far, []byte("{"), nil} {
		is := is.New(t)
		h := NewHolder("b", 2, time.Minute)
		load := h.Handle(start, Acquire{})[0].(Load)
		is.Equal(len(h.Handle(start, Loaded{ID: load.ID, Value: value, Version: "1"})), 0)
		// Until then the record is only read again.
		for at := start; !at.After(start.Add(MaxTerm)); at = h.NextWake() {
			for _, c := range h.Handle(at, Tick{}) {
				is.Equal(len(h.Handle(at, Loaded{ID: c.(Load).ID, Value: value, Version: "1"})), 0)
			}
		}
		is.True(!h.NextWake().After(start.Add(MaxTerm + time.Second)))
		_, writes := h.Handle(h.NextWake(), Tick{})[0].(Write)
		is.True(writes)
	}
}

// Guards against items that move although their owners stayed.
func TestRankMovesOnlyLostItems(t *testing.T) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 2, 20, rapid.ID[string]).Draw(t, "names")
		lost := rapid.IntRange(0, len(names)-1).Draw(t, "lost")
		item := rapid.String().Draw(t, "item")
		rest := append(append([]string{}, names[:lost]...), names[lost+1:]...)
		before, after := Rank(item, names, len(names)), Rank(item, rest, len(names))
		if before[0] != Choose(item, names) {
			t.Fatal("Rank and Choose differ")
		}
		for _, name := range before {
			if name == names[lost] {
				continue
			}
			if name != after[0] {
				t.Fatalf("order changed: %v, %v", before, after)
			}
			after = after[1:]
		}
	})
}

// Guards against values that decode but cannot be encoded again.
func FuzzDecode(f *testing.F) {
	value, _ := Encode(Record{Holder: "a", Incarnation: 1, Sequence: 2, Deadline: start, Payload: json.RawMessage(`{"a":1}`)})
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

// Guards against a host that waits for the deadline of a lease that its holder
// has released meanwhile.
func TestReleasedLeaseIsSoonTaken(t *testing.T) {
	is := is.New(t)
	o := &object{}
	a, b := NewHolder("a", 1, time.Minute), NewHolder("b", 2, time.Minute)
	answer := func(now time.Time, h *Holder, commands []Command) {
		for len(commands) > 0 {
			switch c := commands[0].(type) {
			case Load:
				commands = h.Handle(now, Loaded{ID: c.ID, Value: o.value, Version: o.tag()})
			case Write:
				is.True(o.put(c))
				commands = h.Handle(now, Written{ID: c.ID, Version: o.tag()})
			}
		}
	}
	answer(start, a, a.Handle(start, Acquire{}))
	is.True(a.IsHeld(start))
	answer(start, b, b.Handle(start, Acquire{}))
	answer(start, a, a.Handle(start, Release{}))
	wake := b.NextWake()
	is.True(wake.Before(start.Add(10 * time.Second)))
	answer(wake, b, b.Handle(wake, Tick{}))
	is.True(b.IsHeld(wake))
}
