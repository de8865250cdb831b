package wagprobe

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/waglease"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func servers(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
	}
	return list
}

// process is one start of one host that wants the lease of one group.
type process struct {
	budget *Budget
	skew   time.Duration
	paused time.Time
	inbox  []waglease.Event
	// probe was decided and is sent at a later step if its deadline allows.
	probe Probe
	ready bool
}

type group struct {
	value   []byte
	version uint64
	hosts   []*process
	sent    []time.Time
}

type world struct {
	random *rand.Rand
	now    time.Time
	rate   float64
	groups []*group
	starts uint64
	// calm worlds have no faults.
	calm bool
}

func (w *world) process(host int) *process {
	w.starts++
	skew := time.Duration(w.random.Int64N(int64(wagclock.Bound))) - wagclock.Bound/2
	p := &process{skew: skew, inbox: []waglease.Event{waglease.Want{}}}
	p.budget = New(fmt.Sprint("host", host), w.starts, 5*time.Second, waglease.WithJitter(w.random.Float64))
	p.budget.SetRate(w.now.Add(skew), w.rate, len(w.groups))
	return p
}

func (w *world) store(g *group, c waglease.Command) waglease.Event {
	fate := w.random.IntN(25)
	if w.calm {
		fate = 3
	}
	tag := waglease.Version(fmt.Sprint(g.version))
	if g.version == 0 {
		tag = ""
	}
	if load, ok := c.(waglease.Load); ok {
		return waglease.Loaded{ID: load.ID, Value: g.value, Version: tag}
	}
	write := c.(waglease.Write)
	switch {
	case fate == 0:
		return waglease.Unavailable{ID: write.ID}
	case fate == 1:
		return waglease.WriteUnknown{ID: write.ID}
	case write.Expected != tag:
		return waglease.Conflicted{ID: write.ID}
	}
	g.value, g.version = write.Value, g.version+1
	if fate == 2 {
		return waglease.WriteUnknown{ID: write.ID}
	}
	return waglease.Written{ID: write.ID, Version: waglease.Version(fmt.Sprint(g.version))}
}

func (w *world) step(g *group, p *process, candidates []Candidate) {
	now := w.now.Add(p.skew)
	p.inbox = append(p.inbox, waglease.Tick{})
	inbox := p.inbox
	p.inbox = nil
	for _, e := range inbox {
		for _, c := range p.budget.Handle(now, e) {
			p.inbox = append(p.inbox, w.store(g, c))
		}
	}
	if probe, ok := p.budget.TakeProbe(now, 0, candidates); ok {
		p.probe, p.ready = probe, true
	}
	if now.After(p.probe.Deadline) {
		p.ready = false
	}
	if p.ready && (w.calm || w.random.IntN(3) == 0) {
		g.sent = append(g.sent, w.now)
		p.ready = false
	}
}

func (w *world) fault(g *group, i int) {
	if w.calm {
		return
	}
	switch w.random.IntN(2000) {
	case 0:
		g.hosts[i] = w.process(i)
	case 1, 2:
		g.hosts[i].paused = w.now.Add(time.Duration(w.random.IntN(15000)) * time.Millisecond)
	case 3:
		g.hosts[i].inbox = append(g.hosts[i].inbox, waglease.Release{})
	case 4, 5:
		g.hosts[i].inbox = append(g.hosts[i].inbox, waglease.Want{})
	}
}

func (w *world) run(t *testing.T, span time.Duration) {
	candidates := servers(20)
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		for _, g := range w.groups {
			for i := range g.hosts {
				w.fault(g, i)
				if p := g.hosts[i]; !p.paused.After(w.now) {
					w.step(g, p, candidates)
				}
				if _, _, violations := g.hosts[i].budget.Counts(); violations > 0 {
					t.Fatal("more spent than granted")
				}
			}
		}
	}
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 2)), now: start, rate: 4, groups: []*group{{}, {}}}
	for _, g := range w.groups {
		for i := range 4 {
			g.hosts = append(g.hosts, w.process(i))
		}
	}
	return w
}

// Guards against probes above the budget through crashes, pauses, take-overs,
// releases, lost answers and restarts. Every sliding window of up to 50 probes is
// counted: n probes of a group take at least n-1 times its spacing, which also
// bounds all groups together to the rate in every whole second.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(seed)
		w.run(t, 10*time.Minute)
		var all []time.Time
		for _, g := range w.groups {
			for first := range g.sent {
				for n := 1; n < 50 && first+n < len(g.sent); n++ {
					if took := g.sent[first+n].Sub(g.sent[first]); took < time.Duration(n)*500*time.Millisecond {
						t.Fatalf("seed %d: %d probes in %s at %s", seed, n+1, took, g.sent[first].Sub(start))
					}
				}
			}
			all = append(all, g.sent...)
		}
		sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) })
		for i := 4; i < len(all); i++ {
			if all[i].Sub(all[i-4]) < time.Second {
				t.Fatalf("seed %d: 5 probes in %s", seed, all[i].Sub(all[i-4]))
			}
		}
	}
}

// Guards against a budget that is kept only because it is hardly used. A tenth
// of the spacing is kept for late sending; take-over and the first rate wait.
func TestBudgetIsUsed(t *testing.T) {
	w := newWorld(1)
	w.calm = true
	w.run(t, 10*time.Minute)
	sent := len(w.groups[0].sent) + len(w.groups[1].sent)
	if sent < 600*4*85/100 {
		t.Fatalf("%d probes of at most %d", sent, 600*4)
	}
}

// Guards against groups that together exceed the rate while one joins: the
// others lower theirs at once, the new one waits for that to spread.
func TestRateRaisesLate(t *testing.T) {
	is := is.New(t)
	b := New("a", 1, time.Minute)
	b.SetRate(start, 2, 1)
	b.raise(start.Add(RateIncreaseDelay - 1))
	is.Equal(b.rate, 0.0)
	b.raise(start.Add(RateIncreaseDelay))
	is.Equal(b.rate, 2.0)
	b.SetRate(start.Add(RateIncreaseDelay), 2, 2)
	is.Equal(b.rate, 1.0)
	b.SetRate(start.Add(RateIncreaseDelay), 2, 1)
	b.raise(start.Add(RateIncreaseDelay + time.Second))
	is.Equal(b.rate, 1.0)
}

// Guards against probes to servers that answer or are still excluded, and
// against excluded servers that starve silent ones.
func TestChooseOrder(t *testing.T) {
	is := is.New(t)
	list := servers(4)
	list[0].LastResponse = start.Add(-time.Second)
	list[1].ExcludedUntil = start.Add(-time.Minute)
	list[2].ExcludedUntil = start.Add(time.Second)
	list[3].LastResponse = start.Add(-4 * time.Second)
	p := make(probes)
	var order []netip.AddrPort
	for {
		a, ok := p.choose(start, 3*time.Second, list)
		if !ok {
			break
		}
		p.note(start, a, list)
		order = append(order, a)
	}
	is.Equal(order, []netip.AddrPort{list[3].Address, list[1].Address})
}

// Guards against payloads that open an allowance beyond their lease.
func FuzzAllowance(f *testing.F) {
	value, _ := json.Marshal(Allowance{Allowed: 3, From: start, Through: start.Add(time.Second)})
	f.Add(value)
	f.Add([]byte(`{"through":"9999-01-01T00:00:00Z"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r := waglease.Record{Deadline: start, Payload: value}
		if a, _ := decode(r); a.Through.After(start.Add(waglease.MaxTerm)) {
			t.Fatal(a)
		}
	})
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list, p := servers(n), make(probes)
			for b.Loop() {
				p.choose(start, time.Second, list)
			}
		})
	}
}
