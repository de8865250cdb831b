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

func newCandidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
	}
	return list
}

// process is one run of a host that wants the lease of one group.
type process struct {
	budget      *Budget
	skew        time.Duration
	pausedUntil time.Time
	inbox       []waglease.Event
	// probe was decided and is sent at a later step if its deadline allows;
	// pending is set until then.
	probe   Probe
	pending bool
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
	// noFaults turns off the injection of faults.
	noFaults bool
}

func (w *world) newProcess(host int) *process {
	w.starts++
	skew := time.Duration(w.random.Int64N(int64(wagclock.MaxSkew))) - wagclock.MaxSkew/2
	p := &process{skew: skew, inbox: []waglease.Event{waglease.Acquire{}}}
	p.budget = New(fmt.Sprint("host", host), w.starts, 5*time.Second, waglease.WithJitter(w.random.Float64))
	p.budget.SetRate(w.now.Add(skew), w.rate, len(w.groups))
	return p
}

// storeReply carries out a command of a lease and returns the reply of the store,
// which may be lost.
func (w *world) storeReply(g *group, c waglease.Command) waglease.Event {
	outcome := w.random.IntN(25)
	if w.noFaults {
		outcome = 3
	}
	version := waglease.Version(fmt.Sprint(g.version))
	if g.version == 0 {
		version = ""
	}
	if load, ok := c.(waglease.Load); ok {
		return waglease.Loaded{ID: load.ID, Value: g.value, Version: version}
	}
	write := c.(waglease.Write)
	switch {
	case outcome == 0:
		return waglease.StoreUnavailable{ID: write.ID}
	case outcome == 1:
		return waglease.WriteUnknown{ID: write.ID}
	case write.Expected != version:
		return waglease.WriteConflict{ID: write.ID}
	}
	g.value, g.version = write.Value, g.version+1
	if outcome == 2 {
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
			p.inbox = append(p.inbox, w.storeReply(g, c))
		}
	}
	if probe, ok := p.budget.TakeProbe(now, 0, candidates); ok {
		p.probe, p.pending = probe, true
	}
	if now.After(p.probe.Deadline) {
		p.pending = false
	}
	if p.pending && (w.noFaults || w.random.IntN(3) == 0) {
		g.sent = append(g.sent, w.now)
		p.pending = false
	}
}

// injectFault sometimes restarts or pauses a host, or makes it release or want
// the lease.
func (w *world) injectFault(g *group, i int) {
	if w.noFaults {
		return
	}
	switch w.random.IntN(2000) {
	case 0:
		g.hosts[i] = w.newProcess(i)
	case 1, 2:
		g.hosts[i].pausedUntil = w.now.Add(time.Duration(w.random.IntN(15000)) * time.Millisecond)
	case 3:
		g.hosts[i].inbox = append(g.hosts[i].inbox, waglease.Release{})
	case 4, 5:
		g.hosts[i].inbox = append(g.hosts[i].inbox, waglease.Acquire{})
	}
}

func (w *world) run(t *testing.T, span time.Duration) {
	candidates := newCandidates(20)
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		for _, g := range w.groups {
			for i := range g.hosts {
				w.injectFault(g, i)
				if p := g.hosts[i]; !p.pausedUntil.After(w.now) {
					w.step(g, p, candidates)
				}
				if _, _, violations := g.hosts[i].budget.Counts(); violations > 0 {
					t.Fatal("more probes were spent than granted")
				}
			}
		}
	}
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 2)), now: start, rate: 4, groups: []*group{{}, {}}}
	for _, g := range w.groups {
		for i := range 4 {
			g.hosts = append(g.hosts, w.newProcess(i))
		}
	}
	return w
}

// Guards against probes above the budget through crashes, pauses, takeovers,
// releases, lost replies of the store and restarts. Every sliding window of up to
// 50 probes is counted: n probes of a group take at least n-1 times its spacing.
// This also limits all groups together to the rate in every whole second.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(seed)
		w.run(t, 10*time.Minute)
		var all []time.Time
		for _, g := range w.groups {
			for first := range g.sent {
				for n := 1; n < 50 && first+n < len(g.sent); n++ {
					if took := g.sent[first+n].Sub(g.sent[first]); took < time.Duration(n)*500*time.Millisecond {
						t.Fatalf("seed %d: %d probes of one group in %s, %s after the start", seed, n+1, took, g.sent[first].Sub(start))
					}
				}
			}
			all = append(all, g.sent...)
		}
		sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) })
		for i := 4; i < len(all); i++ {
			if all[i].Sub(all[i-4]) < time.Second {
				t.Fatalf("seed %d: 5 probes of all groups in %s", seed, all[i].Sub(all[i-4]))
			}
		}
	}
}

// Guards against a budget that holds only because it is hardly used. A tenth of
// the spacing is reserved for late sending; takeovers and the first rate have to
// wait.
func TestBudgetIsUsed(t *testing.T) {
	w := newWorld(1)
	w.noFaults = true
	w.run(t, 10*time.Minute)
	sent := len(w.groups[0].sent) + len(w.groups[1].sent)
	if sent < 600*4*85/100 {
		t.Fatalf("%d probes were sent of at most %d", sent, 600*4)
	}
}

// Guards against groups that together exceed the rate while one joins: the others
// lower their rate at once, and the new one waits until the change has spread.
func TestRateIncreaseWaits(t *testing.T) {
	is := is.New(t)
	b := New("a", 1, time.Minute)
	b.SetRate(start, 2, 1)
	b.applyPendingRate(start.Add(RateIncreaseDelay - 1))
	is.Equal(b.rate, 0.0)
	b.applyPendingRate(start.Add(RateIncreaseDelay))
	is.Equal(b.rate, 2.0)
	b.SetRate(start.Add(RateIncreaseDelay), 2, 2)
	is.Equal(b.rate, 1.0)
	b.SetRate(start.Add(RateIncreaseDelay), 2, 1)
	b.applyPendingRate(start.Add(RateIncreaseDelay + time.Second))
	is.Equal(b.rate, 1.0)
}

// Guards against probing servers that respond or are still excluded, and against
// excluded servers that starve silent ones.
func TestChooseOrder(t *testing.T) {
	is := is.New(t)
	list := newCandidates(4)
	list[0].LastResponse = start.Add(-time.Second)
	list[1].ExcludedUntil = start.Add(-time.Minute)
	list[2].ExcludedUntil = start.Add(time.Second)
	list[3].LastResponse = start.Add(-4 * time.Second)
	p := make(probeTimes)
	var order []netip.AddrPort
	for {
		a, ok := p.choose(start, 3*time.Second, list)
		if !ok {
			break
		}
		p.record(start, a, list)
		order = append(order, a)
	}
	is.Equal(order, []netip.AddrPort{list[3].Address, list[1].Address})
}

// Guards against payloads that allow probes beyond the term of their lease.
func FuzzAllowance(f *testing.F) {
	value, _ := json.Marshal(Allowance{Allowed: 3, From: start, Through: start.Add(time.Second)})
	f.Add(value)
	f.Add([]byte(`{"through":"9999-01-01T00:00:00Z"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r := waglease.Record{Deadline: start, Payload: value}
		if a, _ := decodeAllowance(r); a.Through.After(start.Add(waglease.MaxTerm)) {
			t.Fatal(a)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list, p := newCandidates(n), make(probeTimes)
			for b.Loop() {
				p.choose(start, time.Second, list)
			}
		})
	}
}
