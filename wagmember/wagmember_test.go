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

const stepInterval = 50 * time.Millisecond

// simHost is a host of a simulation.
type simHost struct {
	table *Table
	// skew is the offset of its clock.
	skew time.Duration
	// pausedUntil is when a frozen host resumes. Dead hosts never run.
	pausedUntil time.Time
	dead        bool
	// highest is the highest incarnation of each name that the table reported.
	highest map[string]uint64
}

// message is an event that a host receives at a given time.
type message struct {
	at    time.Time
	to    string
	event Event
}

// simulation runs the tables of several hosts with messages that get lost or
// delayed.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	names  []string
	hosts  map[string]*simHost
	queue  []message
	// isolated is a data centre or a host that is cut off from all others, or empty.
	isolated          string
	lossPercent       int
	latestIncarnation map[string]uint64
	// declaredDead holds the incarnations that a host of their own data centre
	// declared dead.
	declaredDead map[uint64]bool
}

func newMember(name, dataCentre string, now time.Time, random uint16) Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 9000)
	return Member{Name: name, DataCentre: dataCentre, Region: "r", Incarnation: NewIncarnation(now, random), Forward: a, Peer: a}
}

func newSimulation(t *testing.T, seed uint64, dataCentres, hosts int) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 5)), now: start, hosts: make(map[string]*simHost), latestIncarnation: make(map[string]uint64), declaredDead: make(map[uint64]bool)}
	for c := range dataCentres {
		for h := range hosts {
			sim.names = append(sim.names, fmt.Sprintf("dc%d-%d", c, h))
		}
	}
	for _, name := range sim.names {
		sim.startHost(name)
	}
	return sim
}

func dataCentreOf(name string) string { return name[:3] }

// startHost starts a host, which reads the records of all others from the store.
func (sim *simulation) startHost(name string) {
	skew := time.Duration(sim.random.Int64N(int64(wagclock.MaxSkew))) - wagclock.MaxSkew/2
	now := sim.now.Add(skew)
	m := newMember(name, dataCentreOf(name), sim.now, uint16(sim.random.UintN(1<<16)))
	sim.latestIncarnation[name] = m.Incarnation
	sim.hosts[name] = &simHost{table: NewTable(now, m), skew: skew, highest: make(map[string]uint64)}
	var records []Member
	for _, other := range sim.names {
		if n := sim.hosts[other]; n != nil {
			records = append(records, n.table.Self())
		}
	}
	sim.handle(name, StoreRecords{Members: records})
}

// handle passes an event to a host and executes its commands.
func (sim *simulation) handle(name string, e Event) {
	n := sim.hosts[name]
	for _, c := range n.table.Handle(sim.now.Add(n.skew), e) {
		switch c := c.(type) {
		case SendHeartbeat:
			sim.send(name, c.To.Name, HeartbeatReceived{Heartbeat: c.Heartbeat})
		case AskThirdHost:
			sim.answerAsk(name, c)
		case MemberChanged:
			sim.checkChange(name, n, c)
		}
	}
}

// checkChange checks a change of a member that a host reported.
func (sim *simulation) checkChange(name string, n *simHost, c MemberChanged) {
	if c.Member.Incarnation < n.highest[c.Member.Name] {
		sim.t.Fatalf("host %s: an older incarnation of %s came back", name, c.Member.Name)
	}
	n.highest[c.Member.Name] = c.Member.Incarnation
	if c.State == Dead && dataCentreOf(c.Member.Name) == dataCentreOf(name) {
		sim.declaredDead[c.Member.Incarnation] = true
	}
	if c.State == Dead && !sim.declaredDead[c.Member.Incarnation] {
		sim.t.Fatalf("host %s declared %s dead, but no host of the data centre of that one did", name, c.Member.Name)
	}
	if c.State == Dead && name == sim.isolated {
		sim.t.Fatalf("host %s is cut off from all others and declared %s dead", name, c.Member.Name)
	}
}

// answerAsk lets a third host reply to a question unless it is down or cut off.
func (sim *simulation) answerAsk(name string, c AskThirdHost) {
	third := sim.hosts[c.Third.Name]
	if third.dead || third.pausedUntil.After(sim.now) || sim.isSeparated(name, c.Third.Name) {
		return
	}
	silent, ok := third.table.IsSilent(sim.now.Add(third.skew), c.Suspect.Name, c.Suspect.Incarnation)
	switch {
	case ok && silent:
		sim.queue = append(sim.queue, message{sim.now, name, SuspicionConfirmed{c.Third.Name, c.Suspect.Name, c.Suspect.Incarnation}})
	case ok:
		sim.queue = append(sim.queue, message{sim.now, name, SuspicionNotConfirmed{c.Third.Name, c.Suspect.Name, c.Suspect.Incarnation}})
	}
}

func (sim *simulation) isSeparated(a, b string) bool {
	return sim.isolated != "" && (dataCentreOf(a) == sim.isolated || a == sim.isolated) != (dataCentreOf(b) == sim.isolated || b == sim.isolated)
}

func (sim *simulation) send(from, to string, e Event) {
	if sim.isSeparated(from, to) || sim.random.IntN(100) < sim.lossPercent {
		return
	}
	delay := time.Duration(sim.random.IntN(20)) * time.Millisecond
	if sim.random.IntN(500) == 0 {
		// A few messages are delayed for as long as a connection may last.
		delay = time.Duration(sim.random.IntN(60)) * time.Second
	}
	sim.queue = append(sim.queue, message{sim.now.Add(delay), to, e})
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(stepInterval)
	queue := sim.queue
	sim.queue = nil
	for _, m := range queue {
		n := sim.hosts[m.to]
		switch {
		case m.at.After(sim.now) || n.pausedUntil.After(sim.now):
			sim.queue = append(sim.queue, m)
		case !n.dead:
			sim.handle(m.to, m.event)
		}
	}
	for _, name := range sim.names {
		if n := sim.hosts[name]; !n.dead && !n.pausedUntil.After(sim.now) {
			sim.handle(name, Tick{})
		}
	}
}

func (sim *simulation) advance(span time.Duration) {
	for end := sim.now.Add(span); sim.now.Before(end); {
		sim.step()
	}
}

// countLive returns the number of running hosts in the data centre of a host.
func (sim *simulation) countLive(name string) int {
	count := 0
	for _, n := range sim.names {
		if dataCentreOf(n) == dataCentreOf(name) && !sim.hosts[n].dead {
			count++
		}
	}
	return count
}

// requireConverged requires that every running host sees the true state of all
// others.
func (sim *simulation) requireConverged() {
	for _, name := range sim.names {
		if sim.hosts[name].dead {
			continue
		}
		states := make(map[string]Member)
		for _, m := range sim.hosts[name].table.Members() {
			states[m.Name] = m
		}
		for _, other := range sim.names {
			m, ok := states[other]
			switch {
			case other == name:
			case sim.hosts[other].dead && sim.countLive(other) == 0 && ok && m.State == Unreachable:
				// The whole data centre was killed, which looks like a network cut.
			case sim.hosts[other].dead && sim.countLive(other) == 1 && m.State != Dead:
				// The only host left in its data centre has no third host to ask.
			case sim.hosts[other].dead && ok && m.State != Dead:
				sim.t.Fatalf("host %s: the killed host %s has state %s", name, other, m.State)
			case !sim.hosts[other].dead && (!ok || m.State != Alive || m.Incarnation != sim.latestIncarnation[other]):
				sim.t.Fatalf("host %s: the running host %s has state %s (listed: %t, latest incarnation: %t)", name, other, m.State, ok, m.Incarnation == sim.latestIncarnation[other])
			}
		}
	}
}

// Guards against older incarnations that come back, hosts that are declared dead
// from another data centre or by a host that is cut off, and tables that still
// differ after the network has recovered. Messages get lost and delayed, and hosts
// are paused, killed, restarted and cut off.
func TestViewsConverge(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(t, seed, 3, 4)
		for range 40 {
			sim.injectFault()
			sim.advance(time.Duration(sim.random.IntN(20)) * time.Second)
		}
		sim.isolated, sim.lossPercent = "", 0
		sim.advance(2 * time.Minute)
		sim.requireConverged()
	}
}

func (sim *simulation) injectFault() {
	name := sim.names[sim.random.IntN(len(sim.names))]
	switch sim.random.IntN(6) {
	case 0:
		sim.hosts[name].dead = true
	case 1, 2:
		sim.startHost(name)
	case 3:
		sim.hosts[name].pausedUntil = sim.now.Add(time.Duration(sim.random.IntN(30)) * time.Second)
	case 4:
		sim.lossPercent = sim.random.IntN(20)
	case 5:
		sim.isolated = [...]string{"", dataCentreOf(name), name}[sim.random.IntN(3)]
		if sim.isolated == name {
			// Otherwise messages from before the cut could still have an effect.
			sim.queue = nil
		}
	}
}

// Guards against a killed host that is noticed late, and against hosts that are
// declared dead when their whole data centre becomes unreachable.
func TestKilledAndVanished(t *testing.T) {
	sim := newSimulation(t, 1, 3, 5)
	sim.advance(10 * time.Second)
	sim.requireConverged()
	sim.hosts["dc0-3"].dead = true
	killed := sim.now
	for len(sim.hosts["dc2-0"].table.AliveNames("dc0")) > 4 || len(sim.hosts["dc0-0"].table.AliveNames("dc0")) > 4 {
		sim.step()
		if sim.now.Sub(killed) > 5*time.Second {
			t.Fatal("killed host not noticed within 5 s")
		}
	}
	t.Logf("killed host noticed everywhere after %s", sim.now.Sub(killed))
	sim.isolated = "dc1"
	sim.advance(20 * time.Minute)
	for _, m := range sim.hosts["dc0-0"].table.Members() {
		if m.DataCentre == "dc1" && m.State != Unreachable {
			t.Fatalf("host %s of the unreachable data centre is %s", m.Name, m.State)
		}
	}
	sim.isolated = ""
	sim.advance(time.Minute)
	sim.requireConverged()
}

// Guards against a leaving host that still counts as alive until others suspect it.
func TestLeaving(t *testing.T) {
	sim := newSimulation(t, 1, 1, 3)
	sim.advance(5 * time.Second)
	sim.handle("dc0-0", Leave{})
	sim.advance(100 * time.Millisecond)
	is.New(t).Equal(sim.hosts["dc0-1"].table.AliveNames("dc0"), []string{"dc0-1", "dc0-2"})
}

// Guards against a live host that is declared dead on the report of another one:
// of a host in a data centre that is neither this one nor that of the live host,
// or of a host in this data centre while this host still hears the live one.
func TestWordOfOthers(t *testing.T) {
	heartbeatFrom := func(m Member, entries ...Entry) HeartbeatReceived {
		return HeartbeatReceived{Heartbeat: Heartbeat{From: Entry{Member: m}, SentAt: start, NextAt: start.Add(time.Second), Entries: entries}}
	}
	local, remote, third := newMember("b", "dc0", start, 1), newMember("c", "dc1", start, 2), newMember("d", "dc2", start, 3)
	for _, c := range []struct{ from, about Member }{{remote, third}, {newMember("e", "dc0", start, 4), local}} {
		table := NewTable(start, newMember("a", "dc0", start, 0))
		table.Handle(start, heartbeatFrom(c.about))
		dead := Entry{Member: c.about}
		dead.Member.State = Dead
		table.Handle(start, heartbeatFrom(c.from, dead))
		is.New(t).True(contains(table.AliveNames(c.about.DataCentre), c.about.Name))
	}
}

// Guards against malformed messages that change the table.
func TestMalformed(t *testing.T) {
	valid := func() Heartbeat {
		return Heartbeat{From: Entry{Member: newMember("b", "dc0", start, 1)}, SentAt: start, NextAt: start.Add(time.Second)}
	}
	for name, corrupt := range map[string]func(*Heartbeat){
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
		table := NewTable(start, newMember("a", "dc0", start, 0))
		table.Handle(start, HeartbeatReceived{Heartbeat: valid()})
		h := valid()
		corrupt(&h)
		table.Handle(start, HeartbeatReceived{Heartbeat: h})
		if table.Counts().Malformed != 1 || len(table.Members()) != 1 {
			t.Fatal(name)
		}
	}
}

// Guards against a history that admits an incarnation of a name after a higher one,
// even when that one was dropped because the history was full.
func TestHistoryAdmitsNoOlderIncarnation(t *testing.T) {
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
				t.Fatalf("name %s went back from incarnation %d to %d", name, highest[name], n)
			}
			highest[name] = n
			h.record(name, n, nil)
			if len(h.latest) > h.limit {
				t.Fatal("history holds more names than its limit")
			}
		}
	})
}
