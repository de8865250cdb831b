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

const stepInterval = 100 * time.Millisecond

// text returns a document of a service.
func text(service string, revision int64, extra string) []byte {
	return fmt.Appendf(nil, "[service]\nname = %s\n%s\n[revision]\nnumber = %d\n", service, extra, revision)
}

// storeObject is an object of the simulated store. Without a text it does not
// exist.
type storeObject struct {
	text    []byte
	version int
}

// objectChange is a revision that a store object got at a time.
type objectChange struct {
	at       time.Time
	revision int64
}

// message is an event that a host receives at a given time.
type message struct {
	at    time.Time
	to    int
	event Event
}

// simHost is a host of a simulation.
type simHost struct {
	catalog *Catalog
	// skew is the offset of its clock.
	skew time.Duration
	// highest is the highest revision of each service that was in force.
	highest map[string]int64
}

// simulation runs the catalogs of several hosts and a store, with messages that get
// lost or delayed and with faults.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	hosts   []*simHost
	objects map[string]storeObject
	history map[string][]objectChange
	queue   []message
	// storeDownUntil is the end of the latest outage of the store.
	storeDownUntil time.Time
	// isolated holds the hosts that are cut off from the others, together.
	isolated map[int]bool
	// faultFree is set when no more faults occur and no messages get lost.
	faultFree bool
}

// restart starts a host with an empty catalog.
func (sim *simulation) restart(i int) {
	catalog := New()
	skew := time.Duration(sim.random.Int64N(int64(wagclock.MaxSkew))) - wagclock.MaxSkew/2
	kept := sim.queue[:0]
	for _, m := range sim.queue {
		// Messages to the previous process are lost with its connections.
		if m.to != i {
			kept = append(kept, m)
		}
	}
	sim.queue = kept
	sim.hosts[i] = &simHost{catalog: catalog, skew: skew, highest: make(map[string]int64)}
	sim.handle(i, Delegate{IsDelegate: i%4 < 2})
}

// handle passes an event to a host and executes its commands. It checks that no
// revision goes back.
func (sim *simulation) handle(i int, e Event) {
	h := sim.hosts[i]
	for _, c := range h.catalog.Handle(sim.now.Add(h.skew), e) {
		sim.execute(i, c)
	}
	for name, d := range h.catalog.Snapshot().Documents {
		if d.Revision.Number < h.highest[name] {
			sim.t.Fatalf("host %d: document %s went back to revision %d", i, name, d.Revision.Number)
		}
		h.highest[name] = d.Revision.Number
	}
}

// execute executes a command of a host.
func (sim *simulation) execute(i int, c Command) {
	switch c := c.(type) {
	case PullIndex:
		p := sim.hosts[hostIndex(c.Peer)].catalog
		sim.send(i, hostIndex(c.Peer), PeerIndex{Peer: c.Peer, Digest: p.Snapshot().Digest, ConfirmedAt: p.ConfirmedAt(), Entries: p.Index(c.Digests)})
	case PullDocuments:
		for _, s := range c.Services {
			if d := sim.hosts[hostIndex(c.Peer)].catalog.Snapshot().Documents[s]; d != nil {
				sim.send(i, hostIndex(c.Peer), PeerDocument{Peer: c.Peer, Service: s, Text: d.Text})
			}
		}
	case RepairStore:
		o := sim.objects[c.Service]
		if !sim.storeDownUntil.After(sim.now) && versionOf(o) == c.Expected {
			sim.write(c.Service, c.Text)
			sim.send(i, i, StoreRepaired{Service: c.Service, Version: versionOf(sim.objects[c.Service])})
		}
	}
}

// versionOf returns the version of a store object, or empty if it does not exist.
func versionOf(o storeObject) Version {
	if o.text == nil {
		return ""
	}
	return Version(fmt.Sprint(o.version))
}

// hostIndex returns the index of a host from its name.
func hostIndex(name string) int {
	i := 0
	_, _ = fmt.Sscan(name, &i)
	return i
}

// send sends a message to a host. Unless the run is free of faults, a tenth of the
// messages get lost. All are delayed by different times, so they arrive out of
// order.
func (sim *simulation) send(to, from int, e Event) {
	if sim.isolated[to] != sim.isolated[from] || !sim.faultFree && sim.random.IntN(10) == 0 {
		return
	}
	sim.queue = append(sim.queue, message{sim.now.Add(time.Duration(sim.random.IntN(400)) * time.Millisecond), to, e})
}

// write writes an object to the store.
func (sim *simulation) write(service string, value []byte) {
	sim.objects[service] = storeObject{value, sim.objects[service].version + 1}
	revision := int64(0)
	if d, err := wagdocument.Parse("", value); err == nil {
		revision = d.Revision.Number
	}
	sim.history[service] = append(sim.history[service], objectChange{sim.now, revision})
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(stepInterval)
	if !sim.faultFree {
		sim.injectFault()
	}
	for i, h := range sim.hosts {
		if i%4 < 2 && !sim.storeDownUntil.After(sim.now) && sim.random.IntN(3) == 0 {
			sim.sendStoreRead(i)
		}
		to := sim.random.IntN(len(sim.hosts))
		sim.send(to, i, PeerState{Peer: fmt.Sprint(i), Digest: h.catalog.Snapshot().Digest, ConfirmedAt: h.catalog.ConfirmedAt()})
		sim.handle(i, Tick{})
	}
	queue := sim.queue
	sim.queue = nil
	for _, m := range queue {
		if m.at.After(sim.now) {
			sim.queue = append(sim.queue, m)
			continue
		}
		sim.handle(m.to, m.event)
	}
	for i := range sim.hosts {
		sim.checkFreshness(i)
	}
}

// sendStoreRead sends the present state of the store to a host.
func (sim *simulation) sendStoreRead(i int) {
	e := StoreRead{Started: sim.now.Add(sim.hosts[i].skew), Full: true}
	for name, o := range sim.objects {
		e.Objects = append(e.Objects, Object{Service: name, Text: o.text, Version: versionOf(o)})
	}
	sim.queue = append(sim.queue, message{sim.now.Add(time.Duration(sim.random.IntN(900)) * time.Millisecond), i, e})
}

// checkFreshness checks that a host that is not stale has seen at least the
// lowest revision that the store held within MaxConfirmationAge and the clock
// difference. The lowest one counts because the store itself goes back when an
// older copy is restored or an object is lost.
func (sim *simulation) checkFreshness(i int) {
	h := sim.hosts[i]
	if h.catalog.IsStale(sim.now.Add(h.skew)) {
		return
	}
	since := sim.now.Add(-MaxConfirmationAge - wagclock.MaxSkew)
	for name, changes := range sim.history {
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
			sim.t.Fatalf("host %d is not stale and lacks revision %d of document %s", i, lowest, name)
		}
	}
}

func (sim *simulation) injectFault() {
	service := fmt.Sprint("s", sim.random.IntN(5))
	switch sim.random.IntN(60) {
	case 0, 1, 2:
		sim.edit(service, fmt.Sprintf("deleted = %t", sim.random.IntN(4) == 0))
	case 3:
		sim.edit(service, "slots = none")
	case 4:
		sim.storeDownUntil = sim.now.Add(time.Duration(sim.random.IntN(20)) * time.Second)
	case 5:
		sim.restart(sim.random.IntN(len(sim.hosts)))
	case 6:
		sim.isolated = map[int]bool{sim.random.IntN(len(sim.hosts)): true, sim.random.IntN(len(sim.hosts)): true}
	case 7:
		sim.isolated = nil
	case 8:
		// An older copy of the object is restored.
		if c := sim.history[service]; len(c) > 0 {
			sim.write(service, text(service, c[sim.random.IntN(len(c))].revision, "slots = 3"))
		}
	case 9:
		if sim.objects[service].text != nil {
			sim.objects[service] = storeObject{nil, sim.objects[service].version + 1}
			sim.history[service] = append(sim.history[service], objectChange{sim.now, 0})
		}
	}
}

// edit writes a new revision of a document unless the store is down.
func (sim *simulation) edit(service, extra string) {
	if sim.storeDownUntil.After(sim.now) {
		return
	}
	previous := wagdocument.Revision{}
	if d, err := wagdocument.Parse("", sim.objects[service].text); err == nil {
		previous = d.Revision
	}
	sim.write(service, text(service, previous.Next(sim.now, "", 0).Number, extra))
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 3)), now: start, hosts: make([]*simHost, 8)}
	sim.objects, sim.history = make(map[string]storeObject), make(map[string][]objectChange)
	for i := range sim.hosts {
		sim.restart(i)
	}
	return sim
}

// Guards against revisions that go back at a host, against hosts that are not
// stale although they lack a change, and against hosts and a store that do not
// converge after outages, network cuts, restarts, invalid documents, lost
// objects and restored older copies.
func TestRevisionsNeverGoBack(t *testing.T) {
	for seed := range uint64(25) {
		sim := newSimulation(t, seed)
		for range 3000 {
			sim.step()
		}
		sim.faultFree, sim.isolated, sim.storeDownUntil = true, nil, sim.now
		want := make(map[string]int64)
		for _, h := range sim.hosts {
			for name, r := range h.highest {
				want[name] = max(want[name], r)
			}
		}
		for range 200 {
			sim.step()
		}
		for i, h := range sim.hosts {
			if h.catalog.IsStale(sim.now.Add(h.skew)) || h.catalog.Counts().Violations > 0 {
				t.Fatalf("seed %d: host %d is stale or has counted violations", seed, i)
			}
			if h.catalog.Snapshot().Digest != sim.hosts[0].catalog.Snapshot().Digest {
				t.Fatalf("seed %d: host %d has other documents in force than host 0", seed, i)
			}
		}
		sim.requireConverged(seed, want)
	}
}

// requireConverged requires that host 0 has at least the wanted revisions and that
// the store has the same documents as host 0.
func (sim *simulation) requireConverged(seed uint64, want map[string]int64) {
	for name, r := range want {
		d := sim.hosts[0].catalog.Snapshot().Documents[name]
		if d.Revision.Number < r {
			sim.t.Fatalf("seed %d: document %s is at revision %d instead of %d", seed, name, d.Revision.Number, r)
		}
		inStore, err := wagdocument.Parse("", sim.objects[name].text)
		if err == nil && string(inStore.Text) != string(d.Text) {
			sim.t.Fatalf("seed %d: the store object of document %s was not repaired", seed, name)
		}
	}
}

// Guards against two hosts that stay fresh by confirming each other without the
// store.
func TestPeersAloneGetStale(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	a.Handle(start.Add(-peerWaitTimeout), StoreRead{Started: start.Add(-peerWaitTimeout), Full: true})
	// A new host first waits for a peer, which may have documents that the store
	// lost.
	is.True(a.IsStale(start.Add(-peerWaitTimeout)))
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

// Guards against invalid documents that replace the last good one: a value that
// is not allowed (reported with its line), a document under the key of another
// service, and a revision so far in the future that it would block all later
// ones.
func TestInvalidKeepsLastGood(t *testing.T) {
	is := is.New(t)
	catalog := New()
	now := start
	read := func(text []byte) []Command {
		return catalog.Handle(now, StoreRead{Started: now, Objects: []Object{{Service: "a", Text: text, Version: "1"}}})
	}
	read(text("a", 5, ""))
	is.Equal(len(read(text("a", 6, "slots = none"))), 1)
	is.Equal(len(read(text("a", 6, "slots = none"))), 0)
	s := catalog.Status()[0]
	is.Equal(s.Revision, int64(5))
	is.Equal(s.Rejection.Line, 3)
	is.True(strings.Contains(s.Rejection.Reason, "slots"))
	read(text("b", 7, ""))
	read(text("a", now.Add(2*MaxRevisionAhead).UnixMilli(), ""))
	is.Equal(catalog.Snapshot().Documents["a"].Revision.Number, int64(5))
	is.Equal(catalog.Counts().Rejected, uint64(4))
}

// Guards against hosts that end up with different texts of the same revision.
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

// Guards against revision numbers that are not above all earlier ones after a
// document was deleted and created again or restored from an older copy. Counts
// such writes for Revision.Next, which must have none, and for a plain counter,
// which has some.
func TestPlainCounterLosesOrder(t *testing.T) {
	countOutOfOrder := func(next func(wagdocument.Revision, time.Time) wagdocument.Revision) (writes, count int) {
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
	writes, next := countOutOfOrder(func(r wagdocument.Revision, now time.Time) wagdocument.Revision { return r.Next(now, "", 0) })
	_, plainCounter := countOutOfOrder(func(r wagdocument.Revision, _ time.Time) wagdocument.Revision {
		return wagdocument.Revision{Number: r.Number + 1}
	})
	t.Logf("of %d writes, out of order: Revision.Next %d, plain counter %d", writes, next, plainCounter)
	if next != 0 || plainCounter == 0 {
		t.Fatal(next, plainCounter)
	}
}
