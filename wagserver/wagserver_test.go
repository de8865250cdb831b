package wagserver

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const stepInterval = 100 * time.Millisecond

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 80)
}

func listedServers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{Service: fmt.Sprint("s", i/35), DataCentre: fmt.Sprint("dc", i%2), Address: address(i), State: Live, Started: start}
	}
	return list
}

// simulation runs the lists of several hosts that share observations.
type simulation struct {
	random *rand.Rand
	now    time.Time
	hosts  []*List
	inbox  [][]delayedEvent
	// real holds the servers as they are, and drainedAt when they began to drain.
	real      []Server
	drainedAt map[int]time.Time
	// listHistory holds the states of the host list, the newest last.
	listHistory []HostList
}

// delayedEvent is an event that a host gets at deliverAt.
type delayedEvent struct {
	deliverAt time.Time
	event     Event
}

func (sim *simulation) handle(i int, e Event) {
	for _, c := range sim.hosts[i].Handle(sim.now, e) {
		share, ok := c.(ShareObservations)
		for to := range sim.hosts {
			// A fifth of the messages is lost.
			if ok && to != i && sim.random.IntN(5) > 0 {
				at := sim.now.Add(time.Duration(sim.random.IntN(500)) * time.Millisecond)
				sim.inbox[to] = append(sim.inbox[to], delayedEvent{at, PeerObservations(share)})
			}
		}
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(stepInterval)
	sim.listHistory = append(sim.listHistory, HostList{ReadAt: sim.now, Servers: append([]Server{}, sim.real...)})
	switch n := sim.random.IntN(len(sim.real)); sim.random.IntN(30) {
	case 0:
		if sim.real[n].State == Live {
			sim.real[n].State, sim.drainedAt[n] = Leaving, sim.now
			// One host sees the mark of draining in a response.
			sim.handle(sim.random.IntN(len(sim.hosts)), LocalObservation{Service: sim.real[n].Service, Address: address(n), Kind: Draining})
		}
	case 1:
		if sim.real[n].State == Leaving && sim.now.Sub(sim.drainedAt[n]) > 20*time.Second {
			sim.real[n].State, sim.real[n].Started = Live, sim.now
			delete(sim.drainedAt, n)
		}
	}
	for i := range sim.hosts {
		sim.stepHost(i)
	}
}

func (sim *simulation) stepHost(i int) {
	if sim.random.IntN(20) == 0 {
		// The list lags by up to 30 s and is read out of order.
		lag := sim.random.IntN(min(300, len(sim.listHistory)))
		l := sim.listHistory[len(sim.listHistory)-1-lag]
		flap := sim.random.IntN(len(l.Servers))
		list := HostList{ReadAt: sim.now.Add(-time.Duration(sim.random.IntN(3)) * time.Second)}
		list.Servers = append(append(list.Servers, l.Servers[:flap]...), l.Servers[flap+1:]...)
		sim.handle(i, list)
	}
	kept := sim.inbox[i][:0]
	for _, m := range sim.inbox[i] {
		if m.deliverAt.After(sim.now) {
			kept = append(kept, m)
			continue
		}
		sim.handle(i, m.event)
	}
	sim.inbox[i] = kept
	sim.handle(i, Tick{})
}

func (sim *simulation) state(i, n int) State {
	for _, s := range sim.hosts[i].Servers(sim.real[n].Service) {
		if s.Address == address(n) {
			return s.State
		}
	}
	return "unlisted"
}

// Guards against a draining server that any host still uses 5 s after the first
// observation, with a host list that lags, flaps and is read out of order, and against
// servers that do not come back after a restart.
func TestDrainDelayIsBounded(t *testing.T) {
	for seed := range uint64(10) {
		sim := &simulation{random: rand.New(rand.NewPCG(seed, 9)), now: start, real: listedServers(30), drainedAt: make(map[int]time.Time)}
		for i := range 5 {
			sim.hosts = append(sim.hosts, NewList(fmt.Sprint("host", i)))
			sim.inbox = append(sim.inbox, nil)
			sim.handle(i, HostList{ReadAt: start, Servers: listedServers(30)})
			sim.handle(i, Delegate{IsDelegate: i < 2})
		}
		for range 3000 {
			sim.step()
			for n, since := range sim.drainedAt {
				for i := range sim.hosts {
					if sim.now.Sub(since) > MaxDrainDelay && sim.state(i, n) == Live {
						t.Fatalf("seed %d: host %d uses server %d %s after it began to drain", seed, i, n, sim.now.Sub(since))
					}
				}
			}
		}
		sim.now = sim.now.Add(time.Minute)
		for n := range sim.real {
			sim.real[n].State = Live
			if _, ok := sim.drainedAt[n]; ok {
				sim.real[n].Started = sim.now
			}
		}
		for i := range sim.hosts {
			sim.handle(i, HostList{ReadAt: sim.now, Servers: sim.real})
			for n := range sim.real {
				if sim.state(i, n) != Live {
					t.Fatalf("seed %d: server %d did not come back", seed, n)
				}
			}
		}
	}
}

func count(l *List, service string, state State) (n int) {
	for _, s := range l.Servers(service) {
		if s.State == state {
			n++
		}
	}
	return n
}

// Guards against peers whose observations remove a whole service, and against draining
// servers that stay in use because the limit for refused connections is reached.
func TestRefusalsAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewList("a")
	l.Handle(start, HostList{ReadAt: start, Servers: listedServers(30)})
	for i := range 30 {
		l.Handle(start, PeerObservations{Observations: []Observation{
			{Service: "s0", Address: address(i), Kind: ConnectionRefused, FirstSeen: start, Observer: "b"},
			{Service: "s0", Address: address(i), Kind: Unhealthy, FirstSeen: start, Observer: "b"},
		}})
	}
	is.Equal(count(l, "s0", Leaving), 10)
	l.Handle(start.Add(suspicionTTL), Tick{})
	is.Equal(count(l, "s0", Leaving), 0)
	for i := range 30 {
		l.Handle(start, LocalObservation{Service: "s0", Address: address(i), Kind: Draining})
	}
	is.Equal(count(l, "s0", Leaving), 30)
}

// Guards against servers that are removed by a health endpoint alone, by a host list
// without their data centre, or by a host list that flaps.
func TestWeakObservationsKeepServers(t *testing.T) {
	is := is.New(t)
	l, all := NewList("a"), listedServers(30)
	l.Handle(start, HostList{ReadAt: start, Servers: all})
	l.Handle(start, LocalObservation{Service: "s0", Address: address(1), Kind: Unhealthy})
	is.Equal(count(l, "s0", Leaving), 0)
	var near []Server
	for i := 2; i < 30; i += 2 {
		near = append(near, all[i])
	}
	now := start.Add(time.Second)
	l.Handle(now, HostList{ReadAt: now, Servers: near})
	l.Handle(now.Add(absenceTimeout-1), Tick{})
	is.Equal(count(l, "s0", Leaving), 0)
	l.Handle(now.Add(absenceTimeout), Tick{})
	is.Equal(count(l, "s0", Live), 29)
	now = now.Add(absenceTimeout)
	l.Handle(now, HostList{ReadAt: start, Servers: all})
	is.Equal(count(l, "s0", Live), 29)
	l.Handle(now, HostList{ReadAt: now.Add(time.Millisecond), Servers: all})
	is.Equal(count(l, "s0", Live), 30)
}

// Guards against a server without a start time that never comes back, and against one
// that comes back because of answers to requests that were in flight.
func TestAnswersBringServersBack(t *testing.T) {
	is := is.New(t)
	l, all := NewList("a"), listedServers(3)
	for i := range all {
		all[i].Started = time.Time{}
	}
	l.Handle(start, HostList{ReadAt: start, Servers: all})
	l.Handle(start, LocalObservation{Service: "s0", Address: address(0), Kind: Draining})
	back := LocalObservation{Service: "s0", Address: address(0), Kind: Answered}
	l.Handle(start.Add(settleDelay), back)
	is.Equal(count(l, "s0", Live), 2)
	now := start.Add(settleDelay + time.Second)
	l.Handle(now, back)
	is.Equal(count(l, "s0", Live), 2)
	l.Handle(now, HostList{ReadAt: now, Servers: all})
	l.Handle(now, back)
	is.Equal(count(l, "s0", Live), 3)
	l.Handle(now, LocalObservation{Service: "s0", Address: address(0), Kind: Draining})
	now = now.Add(settleDelay)
	l.Handle(now, HostList{ReadAt: now, Servers: all})
	l.Handle(now, back)
	is.Equal(count(l, "s0", Live), 2)
}

// Guards against observations and host lists that crash the process or let the list
// grow without bound.
func FuzzHandle(f *testing.F) {
	value, _ := json.Marshal([]Observation{{Service: "s0", Address: address(1), Kind: Draining, FirstSeen: start, Observer: "b"}})
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		var list []Observation
		var servers []Server
		l := NewList("a")
		l.Handle(start, HostList{ReadAt: start, Servers: listedServers(3)})
		if json.Unmarshal(value, &servers) == nil {
			l.Handle(start, HostList{ReadAt: start.Add(1), Servers: servers})
		}
		if json.Unmarshal(value, &list) == nil {
			l.Handle(start, PeerObservations{Observations: list})
		}
		l.Handle(start.Add(2*absentServerTTL), Tick{})
		if l.unlisted != 0 {
			t.Fatalf("%d unlisted servers were not removed", l.unlisted)
		}
	})
}

func BenchmarkHostList(b *testing.B) {
	for _, n := range []int{1000, 29000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, all, now := NewList("a"), listedServers(n), start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				l.Handle(now, HostList{ReadAt: now, Servers: all})
			}
		})
	}
}

func BenchmarkObserved(b *testing.B) {
	for _, n := range []int{1000, 29000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := NewList("a")
			l.Handle(start, HostList{ReadAt: start, Servers: listedServers(n)})
			b.ReportAllocs()
			for b.Loop() {
				l.Handle(start, LocalObservation{Service: "s0", Address: address(1), Kind: Draining})
				l.Servers("s0")
			}
		})
	}
}
