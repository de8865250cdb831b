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

const pace = 100 * time.Millisecond

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 80)
}

func listing(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{Service: fmt.Sprint("s", i/35), DataCentre: fmt.Sprint("dc", i%2), Address: address(i), State: Live, Started: start}
	}
	return list
}

type world struct {
	random *rand.Rand
	now    time.Time
	hosts  []*List
	inbox  [][]late
	// real holds the servers as they are; gone is when they began to drain.
	real []Server
	gone map[int]time.Time
	// old holds earlier states of the host list, newest last.
	old []HostList
}

type late struct {
	at    time.Time
	event Event
}

func (w *world) run(i int, e Event) {
	for _, c := range w.hosts[i].Handle(w.now, e) {
		share, ok := c.(ShareObservations)
		for to := range w.hosts {
			// A fifth of the messages is lost.
			if ok && to != i && w.random.IntN(5) > 0 {
				at := w.now.Add(time.Duration(w.random.IntN(500)) * time.Millisecond)
				w.inbox[to] = append(w.inbox[to], late{at, PeerObservations(share)})
			}
		}
	}
}

func (w *world) step() {
	w.now = w.now.Add(pace)
	w.old = append(w.old, HostList{ReadAt: w.now, Servers: append([]Server{}, w.real...)})
	switch n := w.random.IntN(len(w.real)); w.random.IntN(30) {
	case 0:
		if w.real[n].State == Live {
			w.real[n].State, w.gone[n] = Leaving, w.now
			// One host sees the mark on an answer.
			w.run(w.random.IntN(len(w.hosts)), LocalObservation{Service: w.real[n].Service, Address: address(n), Kind: Draining})
		}
	case 1:
		if w.real[n].State == Leaving && w.now.Sub(w.gone[n]) > 20*time.Second {
			w.real[n].State, w.real[n].Started = Live, w.now
			delete(w.gone, n)
		}
	}
	for i := range w.hosts {
		w.host(i)
	}
}

func (w *world) host(i int) {
	if w.random.IntN(20) == 0 {
		// The list lags by up to 30 s and is read out of order.
		lag := w.random.IntN(min(300, len(w.old)))
		l := w.old[len(w.old)-1-lag]
		flap := w.random.IntN(len(l.Servers))
		list := HostList{ReadAt: w.now.Add(-time.Duration(w.random.IntN(3)) * time.Second)}
		list.Servers = append(append(list.Servers, l.Servers[:flap]...), l.Servers[flap+1:]...)
		w.run(i, list)
	}
	kept := w.inbox[i][:0]
	for _, m := range w.inbox[i] {
		if m.at.After(w.now) {
			kept = append(kept, m)
			continue
		}
		w.run(i, m.event)
	}
	w.inbox[i] = kept
	w.run(i, Tick{})
}

func (w *world) state(i, n int) State {
	for _, s := range w.hosts[i].Servers(w.real[n].Service) {
		if s.Address == address(n) {
			return s.State
		}
	}
	return "unlisted"
}

// Guards against a draining server that still counts as live anywhere 5 s after
// the first observation at any host, with a list that lags, flaps and is out of order,
// and against servers that do not come back after a restart.
func TestDrainBound(t *testing.T) {
	for seed := range uint64(10) {
		w := &world{random: rand.New(rand.NewPCG(seed, 9)), now: start, real: listing(30), gone: make(map[int]time.Time)}
		for i := range 5 {
			w.hosts = append(w.hosts, NewList(fmt.Sprint("host", i)))
			w.inbox = append(w.inbox, nil)
			w.run(i, HostList{ReadAt: start, Servers: listing(30)})
			w.run(i, Delegate{IsDelegate: i < 2})
		}
		for range 3000 {
			w.step()
			for n, since := range w.gone {
				for i := range w.hosts {
					if w.now.Sub(since) > MaxDrainDelay && w.state(i, n) == Live {
						t.Fatalf("seed %d: host %d uses server %d %s after the first sign", seed, i, n, w.now.Sub(since))
					}
				}
			}
		}
		w.now = w.now.Add(time.Minute)
		for n := range w.real {
			w.real[n].State = Live
			if _, ok := w.gone[n]; ok {
				w.real[n].Started = w.now
			}
		}
		for i := range w.hosts {
			w.run(i, HostList{ReadAt: w.now, Servers: w.real})
			for n := range w.real {
				if w.state(i, n) != Live {
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

// Guards against peers that remove a service by their observations, and against
// servers that drain without being removed because the bound is used up.
func TestRefusalsAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewList("a")
	l.Handle(start, HostList{ReadAt: start, Servers: listing(30)})
	for i := range 30 {
		l.Handle(start, PeerObservations{Observations: []Observation{
			{Service: "s0", Address: address(i), Kind: ConnectionRefused, FirstSeen: start, Observer: "b"},
			{Service: "s0", Address: address(i), Kind: Unhealthy, FirstSeen: start, Observer: "b"},
		}})
	}
	is.Equal(count(l, "s0", Leaving), 10)
	l.Handle(start.Add(doubtTime), Tick{})
	is.Equal(count(l, "s0", Leaving), 0)
	for i := range 30 {
		l.Handle(start, LocalObservation{Service: "s0", Address: address(i), Kind: Draining})
	}
	is.Equal(count(l, "s0", Leaving), 30)
}

// Guards against a health endpoint that removes a server, a cut that removes the
// servers of the other side, and a flapping list that removes one.
func TestWeakSignsKeepServers(t *testing.T) {
	is := is.New(t)
	l, all := NewList("a"), listing(30)
	l.Handle(start, HostList{ReadAt: start, Servers: all})
	l.Handle(start, LocalObservation{Service: "s0", Address: address(1), Kind: Unhealthy})
	is.Equal(count(l, "s0", Leaving), 0)
	var near []Server
	for i := 2; i < 30; i += 2 {
		near = append(near, all[i])
	}
	now := start.Add(time.Second)
	l.Handle(now, HostList{ReadAt: now, Servers: near})
	l.Handle(now.Add(absenceTime-1), Tick{})
	is.Equal(count(l, "s0", Leaving), 0)
	l.Handle(now.Add(absenceTime), Tick{})
	is.Equal(count(l, "s0", Live), 29)
	now = now.Add(absenceTime)
	l.Handle(now, HostList{ReadAt: start, Servers: all})
	is.Equal(count(l, "s0", Live), 29)
	l.Handle(now, HostList{ReadAt: now.Add(time.Millisecond), Servers: all})
	is.Equal(count(l, "s0", Live), 30)
}

// Guards against a server without a start time that never returns, and against
// one that returns by answers to requests that were in flight.
func TestAnswersBringBack(t *testing.T) {
	is := is.New(t)
	l, all := NewList("a"), listing(3)
	for i := range all {
		all[i].Started = time.Time{}
	}
	l.Handle(start, HostList{ReadAt: start, Servers: all})
	l.Handle(start, LocalObservation{Service: "s0", Address: address(0), Kind: Draining})
	back := LocalObservation{Service: "s0", Address: address(0), Kind: Answered}
	l.Handle(start.Add(settleTime), back)
	is.Equal(count(l, "s0", Live), 2)
	now := start.Add(settleTime + time.Second)
	l.Handle(now, back)
	is.Equal(count(l, "s0", Live), 2)
	l.Handle(now, HostList{ReadAt: now, Servers: all})
	l.Handle(now, back)
	is.Equal(count(l, "s0", Live), 3)
	l.Handle(now, LocalObservation{Service: "s0", Address: address(0), Kind: Draining})
	now = now.Add(settleTime)
	l.Handle(now, HostList{ReadAt: now, Servers: all})
	l.Handle(now, back)
	is.Equal(count(l, "s0", Live), 2)
}

// Guards against observations and lists that crash or grow the list.
func FuzzHandle(f *testing.F) {
	value, _ := json.Marshal([]Observation{{Service: "s0", Address: address(1), Kind: Draining, FirstSeen: start, Observer: "b"}})
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		var list []Observation
		var servers []Server
		l := NewList("a")
		l.Handle(start, HostList{ReadAt: start, Servers: listing(3)})
		if json.Unmarshal(value, &servers) == nil {
			l.Handle(start, HostList{ReadAt: start.Add(1), Servers: servers})
		}
		if json.Unmarshal(value, &list) == nil {
			l.Handle(start, PeerObservations{Observations: list})
		}
		l.Handle(start.Add(2*forgetTime), Tick{})
		if l.unlisted != 0 {
			t.Fatalf("%d unlisted servers stay", l.unlisted)
		}
	})
}

func BenchmarkHostList(b *testing.B) {
	for _, n := range []int{1000, 29000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, all, now := NewList("a"), listing(n), start
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
			l.Handle(start, HostList{ReadAt: start, Servers: listing(n)})
			b.ReportAllocs()
			for b.Loop() {
				l.Handle(start, LocalObservation{Service: "s0", Address: address(1), Kind: Draining})
				l.Servers("s0")
			}
		})
	}
}
