package wagrollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const pace = 100 * time.Millisecond

func text(service string, revision int64, extra string) []byte {
	return fmt.Appendf(nil, "[service]\nname = %s\n%s\n[revision]\nnumber = %d\n", service, extra, revision)
}

type stored struct {
	text    []byte
	version int
}

// change is a state of a store object and when it began.
type change struct {
	at       time.Time
	revision int64
}

type message struct {
	at    time.Time
	to    int
	event Event
}

type catalogHost struct {
	catalog *Catalog
	skew    time.Duration
	// highest is the highest revision seen in force, kept beside the catalog.
	highest map[string]int64
}

type world struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	hosts   []*catalogHost
	objects map[string]stored
	history map[string][]change
	queue   []message
	// down is when the store returns; cut hosts reach no peer of the others.
	down time.Time
	cut  map[int]bool
	calm bool
}

func (w *world) boot(i int) {
	b := New()
	skew := time.Duration(w.random.Int64N(int64(wagclock.MaxSkew))) - wagclock.MaxSkew/2
	kept := w.queue[:0]
	for _, m := range w.queue {
		// Connections of the former process are closed.
		if m.to != i {
			kept = append(kept, m)
		}
	}
	w.queue = kept
	w.hosts[i] = &catalogHost{catalog: b, skew: skew, highest: make(map[string]int64)}
	w.run(i, Delegate{IsDelegate: i%4 < 2})
}

func (w *world) run(i int, e Event) {
	h := w.hosts[i]
	for _, c := range h.catalog.Handle(w.now.Add(h.skew), e) {
		w.command(i, c)
	}
	for name, d := range h.catalog.Snapshot().Documents {
		if d.Revision.Number < h.highest[name] {
			w.t.Fatalf("host %d: %s went back to %d", i, name, d.Revision.Number)
		}
		h.highest[name] = d.Revision.Number
	}
}

func (w *world) command(i int, c Command) {
	switch c := c.(type) {
	case PullIndex:
		p := w.hosts[peer(c.Peer)].catalog
		w.send(i, peer(c.Peer), PeerIndex{Peer: c.Peer, Digest: p.Snapshot().Digest, ConfirmedAt: p.ConfirmedAt(), Entries: p.Index(c.Digests)})
	case PullDocuments:
		for _, s := range c.Services {
			if d := w.hosts[peer(c.Peer)].catalog.Snapshot().Documents[s]; d != nil {
				w.send(i, peer(c.Peer), PeerDocument{Peer: c.Peer, Service: s, Text: d.Text})
			}
		}
	case RepairStore:
		o := w.objects[c.Service]
		if !w.down.After(w.now) && version(o) == c.Expected {
			w.write(c.Service, c.Text)
			w.send(i, i, StoreRepaired{Service: c.Service, Version: version(w.objects[c.Service])})
		}
	}
}

func version(o stored) Version {
	if o.text == nil {
		return ""
	}
	return Version(fmt.Sprint(o.version))
}

func peer(name string) int {
	i := 0
	_, _ = fmt.Sscan(name, &i)
	return i
}

// send loses a tenth of the messages and delays the others, so that they arrive
// out of order.
func (w *world) send(to, from int, e Event) {
	if w.cut[to] != w.cut[from] || !w.calm && w.random.IntN(10) == 0 {
		return
	}
	w.queue = append(w.queue, message{w.now.Add(time.Duration(w.random.IntN(400)) * time.Millisecond), to, e})
}

func (w *world) write(service string, value []byte) {
	w.objects[service] = stored{value, w.objects[service].version + 1}
	revision := int64(0)
	if d, err := wagdocument.Parse("", value); err == nil {
		revision = d.Revision.Number
	}
	w.history[service] = append(w.history[service], change{w.now, revision})
}

func (w *world) step() {
	w.now = w.now.Add(pace)
	if !w.calm {
		w.fault()
	}
	for i, h := range w.hosts {
		if i%4 < 2 && !w.down.After(w.now) && w.random.IntN(3) == 0 {
			w.read(i)
		}
		to := w.random.IntN(len(w.hosts))
		w.send(to, i, PeerState{Peer: fmt.Sprint(i), Digest: h.catalog.Snapshot().Digest, ConfirmedAt: h.catalog.ConfirmedAt()})
		w.run(i, Tick{})
	}
	queue := w.queue
	w.queue = nil
	for _, m := range queue {
		if m.at.After(w.now) {
			w.queue = append(w.queue, m)
			continue
		}
		w.run(m.to, m.event)
	}
	for i := range w.hosts {
		w.fresh(i)
	}
}

func (w *world) read(i int) {
	e := StoreRead{Started: w.now.Add(w.hosts[i].skew), Full: true}
	for name, o := range w.objects {
		e.Objects = append(e.Objects, Object{Service: name, Text: o.text, Version: version(o)})
	}
	w.queue = append(w.queue, message{w.now.Add(time.Duration(w.random.IntN(900)) * time.Millisecond), i, e})
}

// fresh checks that a host that is not stale has at least the lowest of what the
// store held within FreshTime and the clock difference. The lowest counts because
// the store itself goes back when a copy is restored or an object is lost.
func (w *world) fresh(i int) {
	h := w.hosts[i]
	if h.catalog.IsStale(w.now.Add(h.skew)) {
		return
	}
	since := w.now.Add(-MaxConfirmationAge - wagclock.MaxSkew)
	for name, changes := range w.history {
		lowest := int64(-1)
		for n := len(changes) - 1; n >= 0; n-- {
			if lowest < 0 || changes[n].revision < lowest {
				lowest = changes[n].revision
			}
			if changes[n].at.Before(since) {
				break
			}
		}
		if changes[0].at.After(since) {
			lowest = 0
		}
		if h.highest[name] < lowest {
			w.t.Fatalf("host %d is not stale and lacks %d of %s", i, lowest, name)
		}
	}
}

func (w *world) fault() {
	service := fmt.Sprint("s", w.random.IntN(5))
	switch w.random.IntN(60) {
	case 0, 1, 2:
		w.edit(service, fmt.Sprintf("deleted = %t", w.random.IntN(4) == 0))
	case 3:
		w.edit(service, "slots = none")
	case 4:
		w.down = w.now.Add(time.Duration(w.random.IntN(20)) * time.Second)
	case 5:
		w.boot(w.random.IntN(len(w.hosts)))
	case 6:
		w.cut = map[int]bool{w.random.IntN(len(w.hosts)): true, w.random.IntN(len(w.hosts)): true}
	case 7:
		w.cut = nil
	case 8:
		// The object is restored from an older copy.
		if c := w.history[service]; len(c) > 0 {
			w.write(service, text(service, c[w.random.IntN(len(c))].revision, "slots = 3"))
		}
	case 9:
		if w.objects[service].text != nil {
			w.objects[service] = stored{nil, w.objects[service].version + 1}
			w.history[service] = append(w.history[service], change{w.now, 0})
		}
	}
}

func (w *world) edit(service, extra string) {
	if w.down.After(w.now) {
		return
	}
	previous := wagdocument.Revision{}
	if d, err := wagdocument.Parse("", w.objects[service].text); err == nil {
		previous = d.Revision
	}
	w.write(service, text(service, previous.Next(w.now, "", 0).Number, extra))
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 3)), now: start, hosts: make([]*catalogHost, 8)}
	w.objects, w.history = make(map[string]stored), make(map[string][]change)
	for i := range w.hosts {
		w.boot(i)
	}
	return w
}

// Guards against revisions that go back at a host, hosts that count as fresh
// while they lack a change, and hosts or a store that do not converge after
// outages, cuts, restarts, invalid edits, lost objects and restored copies.
func TestRevisionsNeverGoBack(t *testing.T) {
	for seed := range uint64(25) {
		w := newWorld(t, seed)
		for range 3000 {
			w.step()
		}
		w.calm, w.cut, w.down = true, nil, w.now
		want := make(map[string]int64)
		for _, h := range w.hosts {
			for name, r := range h.highest {
				want[name] = max(want[name], r)
			}
		}
		for range 200 {
			w.step()
		}
		for i, h := range w.hosts {
			if h.catalog.IsStale(w.now.Add(h.skew)) || h.catalog.Counts().Violations > 0 {
				t.Fatalf("seed %d: host %d is stale or has violations", seed, i)
			}
			if h.catalog.Snapshot().Digest != w.hosts[0].catalog.Snapshot().Digest {
				t.Fatalf("seed %d: host %d differs", seed, i)
			}
		}
		w.converged(seed, want)
	}
}

func (w *world) converged(seed uint64, want map[string]int64) {
	for name, r := range want {
		d := w.hosts[0].catalog.Snapshot().Documents[name]
		if d.Revision.Number < r {
			w.t.Fatalf("seed %d: %s is at %d instead of %d", seed, name, d.Revision.Number, r)
		}
		inStore, err := wagdocument.Parse("", w.objects[name].text)
		if err == nil && string(inStore.Text) != string(d.Text) {
			w.t.Fatalf("seed %d: the store was not healed for %s", seed, name)
		}
	}
}

// Guards against two hosts without the store that keep each other fresh.
func TestPeersAloneGetStale(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	a.Handle(start.Add(-joinTime), StoreRead{Started: start.Add(-joinTime), Full: true})
	// Peers may hold what the store lost, so that a new host first waits for one.
	is.True(a.IsStale(start.Add(-joinTime)))
	a.Handle(start, StoreRead{Started: start, Full: true})
	for now := start; now.Before(start.Add(MaxConfirmationAge)); now = now.Add(time.Second) {
		b.Handle(now, PeerState{Peer: "a", Digest: a.Snapshot().Digest, ConfirmedAt: a.ConfirmedAt()})
		a.Handle(now, PeerState{Peer: "b", Digest: b.Snapshot().Digest, ConfirmedAt: b.ConfirmedAt()})
		is.Equal(b.IsStale(now), false)
	}
	is.True(a.IsStale(start.Add(MaxConfirmationAge)))
	is.True(b.IsStale(start.Add(MaxConfirmationAge)))
	b.Handle(start, PeerState{Peer: "a", Digest: a.Snapshot().Digest, ConfirmedAt: start.Add(time.Hour)})
	is.True(b.IsStale(start.Add(MaxConfirmationAge)))
}

// Guards against a fault without its place, documents under a foreign key and
// revisions that would block all later ones.
func TestInvalidKeepsLastGood(t *testing.T) {
	is := is.New(t)
	b := New()
	now := start
	read := func(text []byte) []Command {
		return b.Handle(now, StoreRead{Started: now, Objects: []Object{{Service: "a", Text: text, Version: "1"}}})
	}
	read(text("a", 5, ""))
	is.Equal(len(read(text("a", 6, "slots = none"))), 1)
	is.Equal(len(read(text("a", 6, "slots = none"))), 0)
	s := b.Status()[0]
	is.Equal(s.Revision, int64(5))
	is.Equal(s.Rejection.Line, 3)
	is.True(strings.Contains(s.Rejection.Reason, "slots"))
	read(text("b", 7, ""))
	read(text("a", now.Add(2*MaxRevisionAhead).UnixMilli(), ""))
	is.Equal(b.Snapshot().Documents["a"].Revision.Number, int64(5))
	is.Equal(b.Counts().Rejected, uint64(4))
}

// Guards against hosts that settle on different texts of one revision.
func TestSameRevisionIsOrdered(t *testing.T) {
	is := is.New(t)
	one, two := text("a", 5, "slots = 1"), text("a", 5, "slots = 2")
	a, b := New(), New()
	for _, e := range [][2][]byte{{one, two}, {two, one}} {
		a.Handle(start, PeerDocument{Service: "a", Text: e[0]})
		b.Handle(start, PeerDocument{Service: "a", Text: e[1]})
	}
	is.Equal(a.Snapshot().Digest, b.Snapshot().Digest)
	is.True(a.Counts().Conflicts > 0)
}

// Guards against a revision rule that loses the order when a document is
// deleted and created again: accepted versions that are not above all earlier
// ones are counted for Revision.Next and for a plain counter.
func TestPlainCounterLosesOrder(t *testing.T) {
	lost := func(next func(wagdocument.Revision, time.Time) wagdocument.Revision) (writes, count int) {
		random := rand.New(rand.NewPCG(7, 7))
		for range 1000 {
			var kept []wagdocument.Revision
			current, highest, now := wagdocument.Revision{}, int64(0), start
			for range 50 {
				now = now.Add(time.Second + time.Duration(random.Int64N(int64(time.Hour))))
				switch random.IntN(10) {
				case 0:
					current = wagdocument.Revision{}
				case 1:
					if len(kept) > 0 {
						current = kept[random.IntN(len(kept))]
					}
				default:
					skew := time.Duration(random.Int64N(int64(wagclock.MaxSkew)))
					current = next(current, now.Add(skew-wagclock.MaxSkew/2))
					kept = append(kept, current)
					writes++
					if current.Number <= highest {
						count++
					}
					highest = max(highest, current.Number)
				}
			}
		}
		return writes, count
	}
	writes, next := lost(func(r wagdocument.Revision, now time.Time) wagdocument.Revision { return r.Next(now, "", 0) })
	_, plain := lost(func(r wagdocument.Revision, _ time.Time) wagdocument.Revision {
		return wagdocument.Revision{Number: r.Number + 1}
	})
	t.Logf("of %d writes out of order: Revision.Next %d, plain counter %d", writes, next, plain)
	if next != 0 || plain == 0 {
		t.Fatal(next, plain)
	}
}
