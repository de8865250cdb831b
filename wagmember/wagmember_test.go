package wagmember

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const pace = 50 * time.Millisecond

type node struct {
	table *Table
	skew  time.Duration
	// paused is when a frozen host resumes; dead hosts never run.
	paused time.Time
	dead   bool
	// highest is the highest incarnation seen of each name, kept beside the table.
	highest map[string]uint64
}

type message struct {
	at    time.Time
	to    string
	event Event
}

type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	names  []string
	nodes  map[string]*node
	queue  []message
	// cut holds a data centre, or a host, that nothing reaches from outside.
	cut   string
	loss  int
	birth map[string]uint64
	// buried holds the incarnations that their own data centre declared dead.
	buried map[uint64]bool
}

func described(name, centre string, now time.Time, random uint16) Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 9000)
	return Member{Name: name, DataCentre: centre, Region: "r", Incarnation: NewIncarnation(now, random), Forward: a, Peer: a}
}

func newWorld(t *testing.T, seed uint64, centres, hosts int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 5)), now: start, nodes: make(map[string]*node), birth: make(map[string]uint64), buried: make(map[uint64]bool)}
	for c := range centres {
		for h := range hosts {
			w.names = append(w.names, fmt.Sprintf("dc%d-%d", c, h))
		}
	}
	for _, name := range w.names {
		w.boot(name)
	}
	return w
}

func centre(name string) string { return name[:3] }

// boot starts a host, which reads the records of all others from the store.
func (w *world) boot(name string) {
	skew := time.Duration(w.random.Int64N(int64(wagclock.MaxSkew))) - wagclock.MaxSkew/2
	now := w.now.Add(skew)
	m := described(name, centre(name), w.now, uint16(w.random.UintN(1<<16)))
	w.birth[name] = m.Incarnation
	w.nodes[name] = &node{table: NewTable(now, m), skew: skew, highest: make(map[string]uint64)}
	var records []Member
	for _, other := range w.names {
		if n := w.nodes[other]; n != nil {
			records = append(records, n.table.Self())
		}
	}
	w.run(name, StoreRecords{Members: records})
}

func (w *world) run(name string, e Event) {
	n := w.nodes[name]
	for _, c := range n.table.Handle(w.now.Add(n.skew), e) {
		switch c := c.(type) {
		case SendHeartbeat:
			w.send(name, c.To.Name, HeartbeatReceived{Heartbeat: c.Heartbeat})
		case AskThirdHost:
			w.ask(name, c)
		case MemberChanged:
			w.changed(name, n, c)
		}
	}
}

func (w *world) changed(name string, n *node, c MemberChanged) {
	if c.Member.Incarnation < n.highest[c.Member.Name] {
		w.t.Fatalf("%s: an older incarnation of %s came back", name, c.Member.Name)
	}
	n.highest[c.Member.Name] = c.Member.Incarnation
	if c.State == Dead && centre(c.Member.Name) == centre(name) {
		w.buried[c.Member.Incarnation] = true
	}
	if c.State == Dead && !w.buried[c.Member.Incarnation] {
		w.t.Fatalf("%s declared %s dead, which its own data centre did not", name, c.Member.Name)
	}
	if c.State == Dead && name == w.cut {
		w.t.Fatalf("%s is alone and declared %s dead", name, c.Member.Name)
	}
}

func (w *world) ask(name string, c AskThirdHost) {
	third := w.nodes[c.Third.Name]
	if third.dead || third.paused.After(w.now) || w.separated(name, c.Third.Name) {
		return
	}
	silent, ok := third.table.IsSilent(w.now.Add(third.skew), c.Suspect.Name, c.Suspect.Incarnation)
	switch {
	case ok && silent:
		w.queue = append(w.queue, message{w.now, name, SuspicionConfirmed{c.Third.Name, c.Suspect.Name, c.Suspect.Incarnation}})
	case ok:
		w.queue = append(w.queue, message{w.now, name, SuspicionNotConfirmed{c.Third.Name, c.Suspect.Name, c.Suspect.Incarnation}})
	}
}

func (w *world) separated(a, b string) bool {
	return w.cut != "" && (centre(a) == w.cut || a == w.cut) != (centre(b) == w.cut || b == w.cut)
}

func (w *world) send(from, to string, e Event) {
	if w.separated(from, to) || w.random.IntN(100) < w.loss {
		return
	}
	delay := time.Duration(w.random.IntN(20)) * time.Millisecond
	if w.random.IntN(500) == 0 {
		// Stored somewhere on the way, for as long as a connection may live.
		delay = time.Duration(w.random.IntN(60)) * time.Second
	}
	w.queue = append(w.queue, message{w.now.Add(delay), to, e})
}

func (w *world) step() {
	w.now = w.now.Add(pace)
	queue := w.queue
	w.queue = nil
	for _, m := range queue {
		n := w.nodes[m.to]
		switch {
		case m.at.After(w.now) || n.paused.After(w.now):
			w.queue = append(w.queue, m)
		case !n.dead:
			w.run(m.to, m.event)
		}
	}
	for _, name := range w.names {
		if n := w.nodes[name]; !n.dead && !n.paused.After(w.now) {
			w.run(name, Tick{})
		}
	}
}

func (w *world) pass(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.step()
	}
}

// live counts the running hosts of a host's data centre.
func (w *world) live(name string) int {
	count := 0
	for _, n := range w.names {
		if centre(n) == centre(name) && !w.nodes[n].dead {
			count++
		}
	}
	return count
}

// converged requires that every live host sees every other one as it is.
func (w *world) converged() {
	for _, name := range w.names {
		if w.nodes[name].dead {
			continue
		}
		states := make(map[string]Member)
		for _, m := range w.nodes[name].table.Members() {
			states[m.Name] = m
		}
		for _, other := range w.names {
			m, ok := states[other]
			switch {
			case other == name:
			case w.nodes[other].dead && w.live(other) == 0 && ok && m.State == Unreachable:
				// The whole data centre was killed; that looks like a cut.
			case w.nodes[other].dead && w.live(other) == 1 && m.State != Dead:
				// The only host left there has no third host to ask.
			case w.nodes[other].dead && ok && m.State != Dead:
				w.t.Fatalf("%s takes the killed %s for %s", name, other, m.State)
			case !w.nodes[other].dead && (!ok || m.State != Alive || m.Incarnation != w.birth[other]):
				w.t.Fatalf("%s sees %s as %s (listed: %t, latest: %t)", name, other, m.State, ok, m.Incarnation == w.birth[other])
			}
		}
	}
}

// Guards against older incarnations that come back, deaths declared across a cut
// or by a host that is alone, and views that differ once the network is whole,
// through loss, delay, pauses, kills and restarts.
func TestViewsConverge(t *testing.T) {
	for seed := range uint64(6) {
		w := newWorld(t, seed, 3, 4)
		for range 40 {
			w.fault()
			w.pass(time.Duration(w.random.IntN(20)) * time.Second)
		}
		w.cut, w.loss = "", 0
		w.pass(2 * time.Minute)
		w.converged()
	}
}

func (w *world) fault() {
	name := w.names[w.random.IntN(len(w.names))]
	switch w.random.IntN(6) {
	case 0:
		w.nodes[name].dead = true
	case 1, 2:
		w.boot(name)
	case 3:
		w.nodes[name].paused = w.now.Add(time.Duration(w.random.IntN(30)) * time.Second)
	case 4:
		w.loss = w.random.IntN(20)
	case 5:
		w.cut = [...]string{"", centre(name), name}[w.random.IntN(3)]
		if w.cut == name {
			// What was decided before the cut may still take effect.
			w.queue = nil
		}
	}
}

// Guards against a killed host that is noticed late, and a data centre that is
// declared dead when it vanishes as a whole.
func TestKilledAndVanished(t *testing.T) {
	w := newWorld(t, 1, 3, 5)
	w.pass(10 * time.Second)
	w.converged()
	w.nodes["dc0-3"].dead = true
	killed := w.now
	for len(w.nodes["dc2-0"].table.AliveNames("dc0")) > 4 || len(w.nodes["dc0-0"].table.AliveNames("dc0")) > 4 {
		w.step()
		if w.now.Sub(killed) > 5*time.Second {
			t.Fatal("not noticed in 5 s")
		}
	}
	t.Logf("noticed everywhere after %s", w.now.Sub(killed))
	w.cut = "dc1"
	w.pass(20 * time.Minute)
	for _, m := range w.nodes["dc0-0"].table.Members() {
		if m.DataCentre == "dc1" && m.State != Unreachable {
			t.Fatalf("%s is %s", m.Name, m.State)
		}
	}
	w.cut = ""
	w.pass(time.Minute)
	w.converged()
}

// Guards against a leaving host that others have to suspect first.
func TestLeaving(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.pass(5 * time.Second)
	w.run("dc0-0", Leave{})
	w.pass(100 * time.Millisecond)
	is.New(t).Equal(w.nodes["dc0-1"].table.AliveNames("dc0"), []string{"dc0-1", "dc0-2"})
}

// Guards against a live host that others talk dead: a host of another data centre
// about a third one, and a host of the own one while this host hears it.
func TestWordOfOthers(t *testing.T) {
	beat := func(m Member, entries ...Entry) HeartbeatReceived {
		return HeartbeatReceived{Heartbeat: Heartbeat{From: Entry{Member: m}, SentAt: start, NextAt: start.Add(time.Second), Entries: entries}}
	}
	near, far, third := described("b", "dc0", start, 1), described("c", "dc1", start, 2), described("d", "dc2", start, 3)
	for _, c := range []struct{ from, about Member }{{far, third}, {described("e", "dc0", start, 4), near}} {
		table := NewTable(start, described("a", "dc0", start, 0))
		table.Handle(start, beat(c.about))
		dead := Entry{Member: c.about}
		dead.Member.State = Dead
		table.Handle(start, beat(c.from, dead))
		is.New(t).True(contains(table.AliveNames(c.about.DataCentre), c.about.Name))
	}
}

// Guards against messages that would poison the table.
func TestMalformed(t *testing.T) {
	good := func() Heartbeat {
		return Heartbeat{From: Entry{Member: described("b", "dc0", start, 1)}, SentAt: start, NextAt: start.Add(time.Second)}
	}
	for name, spoil := range map[string]func(*Heartbeat){
		"future incarnation": func(h *Heartbeat) {
			h.From.Member.Incarnation = NewIncarnation(start.Add(wagclock.MaxSkew+time.Millisecond), 0)
		},
		"future sent": func(h *Heartbeat) { h.SentAt, h.NextAt = start.Add(time.Second), start.Add(2*time.Second) },
		"old":         func(h *Heartbeat) { h.SentAt, h.NextAt = start.Add(-time.Minute), start },
		"interval":    func(h *Heartbeat) { h.NextAt = start.Add(time.Hour) },
		"state":       func(h *Heartbeat) { h.From.Member.State = Dead },
		"name":        func(h *Heartbeat) { h.From.Member.Name = string(make([]byte, 65)) },
		"entries":     func(h *Heartbeat) { h.Entries = make([]Entry, MaxEntries+1) },
		"refutation":  func(h *Heartbeat) { h.From.Refutation = maxRefutation },
	} {
		table := NewTable(start, described("a", "dc0", start, 0))
		table.Handle(start, HeartbeatReceived{Heartbeat: good()})
		h := good()
		spoil(&h)
		table.Handle(start, HeartbeatReceived{Heartbeat: h})
		if table.Counts().Malformed != 1 || len(table.Members()) != 1 {
			t.Fatal(name)
		}
	}
}

// Guards against incarnations that come back after they were dropped from the
// history.
func TestHistoryNeverRepeats(t *testing.T) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		h, highest := newHistory(), make(map[string]uint64)
		h.limit = 8
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			name := rapid.StringMatching(`[a-p]`).Draw(t, "name")
			n := rapid.Uint64Range(1, 100).Draw(t, "incarnation")
			if !h.admits(name, n) {
				continue
			}
			if n < highest[name] {
				t.Fatalf("%s went from %d to %d", name, highest[name], n)
			}
			highest[name] = n
			h.note(name, n, nil)
			if len(h.latest) > h.limit {
				t.Fatal("too many names")
			}
		}
	})
}
