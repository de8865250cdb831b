package wagrouting

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func parseDocument(tb testing.TB, settings string) *wagdocument.Document {
	tb.Helper()
	d, err := wagdocument.Parse("d", []byte("[service]\nname = s\nslots = 2\nrampTime = 0s\n"+settings))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

func serverList(n int) []wagserver.Server {
	var l []wagserver.Server
	for i := range n {
		l = append(l, wagserver.Server{Address: address(i), State: wagserver.Live})
	}
	return l
}

// newScheduler returns a scheduler with the given number of servers. settings is
// appended to the text of the document.
func newScheduler(tb testing.TB, servers int, settings string, opts ...Option) *Scheduler {
	sc := New(parseDocument(tb, settings), opts...)
	sc.SetServers(start, serverList(servers))
	return sc
}

// after returns a time by its distance in milliseconds from start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newRequest returns a short request with a deadline in milliseconds after start.
func newRequest(id int, deadline int) Request {
	return Request{ID: RequestID(id), Caller: fmt.Sprint("c", id%10), Route: "r", Class: wagdocument.Short, Deadline: after(deadline)}
}

// fillSlots submits requests until one has to wait. It returns how many were
// sent.
func fillSlots(sc *Scheduler, now time.Time, first int) int {
	for n := 0; ; n++ {
		if _, ok := sc.Submit(now, newRequest(first+n, 100000)).(Send); !ok {
			return n
		}
	}
}

// Guards against slots that are assigned twice or lost, against a queue order
// other than by deadline, and against late requests that are not refused.
func TestQueue(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 2, "")
	is.Equal(fillSlots(sc, start, 0), 4)
	sc.Cancel(4)
	is.Equal(sc.Submit(start, newRequest(10, 900)), Wait{})
	is.Equal(sc.Submit(start, newRequest(11, 500)), Wait{})
	is.Equal(sc.Submit(start, newRequest(12, 10)), Wait{})
	is.Equal(sc.NextWake(), after(10))
	is.Equal(sc.Tick(after(10), nil), []DelayedDecision{{Request: 12, Decision: Refuse{Reason: wagoutcome.ReasonDeadline}}})
	started := sc.FinishAttempt(after(20), 0, Result{}, nil)
	is.Equal(len(started), 1)
	is.Equal(started[0].Request, RequestID(11))
	is.Equal(sc.FinishAttempt(after(20), 0, Result{}, nil), nil)
	is.Equal(sc.Submit(after(20), newRequest(13, 20)), Refuse{Reason: wagoutcome.ReasonDeadline})
	is.Equal(sc.Counters().Violations, uint64(0))
}

// Guards against queueing requests that cannot finish before their deadline.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 1, "")
	for i := range 20 {
		sc.Submit(after(20*i), newRequest(i, 100000))
		sc.FinishAttempt(after(20*i+20), RequestID(i), Result{}, nil)
	}
	now := after(400)
	is.Equal(fillSlots(sc, now, 100), 2)
	is.Equal(sc.Submit(now, newRequest(200, 450)), Refuse{Reason: wagoutcome.ReasonDeadline})
	is.Equal(sc.Submit(now, newRequest(201, 600)), Wait{})
}

// Guards against a caller that fills the queue and so blocks all others.
func TestFairness(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 1, "")
	sc.Submit(start, newRequest(0, 100000))
	sc.FinishAttempt(after(10), 0, Result{}, nil)
	fillSlots(sc, after(10), 1)
	for i := range 5 {
		sc.Submit(after(10), newRequest(500+i, 100000))
	}
	refused := 0
	for i := range 200 {
		greedy := newRequest(1000+i, 100000)
		greedy.Caller = "greedy"
		if _, ok := sc.Submit(after(10), greedy).(Refuse); ok {
			refused++
		}
	}
	is.True(refused > 0)
	modest := newRequest(2000, 100000)
	modest.Caller = "modest"
	is.Equal(sc.Submit(after(10), modest), Wait{})
	servedBefore := 0
	for started := sc.FinishAttempt(after(20), 1, Result{}, nil); started[0].Request != 2000; started = sc.FinishAttempt(after(20), started[0].Request, Result{}, nil) {
		servedBefore++
	}
	is.True(servedBefore <= 8)
}

// Guards against long requests that take all slots, and against long requests
// that never start while short ones wait.
func TestClasses(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 4, "")
	long := func(id int) Request {
		l := newRequest(id, 1000000)
		l.Class = wagdocument.Long
		return l
	}
	sent := 0
	for i := range 10 {
		if _, ok := sc.Submit(start, long(i)).(Send); ok {
			sent++
		}
	}
	is.Equal(sent, 4)
	is.Equal(fillSlots(sc, start, 100), 4)
	for i := range 3 {
		started := sc.FinishAttempt(after(i), RequestID(i), Result{}, nil)
		for _, x := range started {
			is.True(x.Request < 10 || x.Request >= 100)
		}
	}
	is.True(sc.longInFlight >= 1)
	is.Equal(sc.Counters().Violations, uint64(0))
}

// Guards against routes that stay unclassified because the document does not
// state their class.
func TestLearnedClass(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 4, "")
	slow := func(id int) Request { return Request{ID: RequestID(id), Route: "export", Deadline: after(1000000)} }
	sc.Submit(start, slow(1))
	sc.FinishAttempt(after(300), 1, Result{}, nil)
	sc.Submit(after(300), slow(2))
	is.Equal(sc.longInFlight, 1)
	large := Request{ID: 3, Route: "download", Deadline: after(1000000)}
	sc.Submit(after(300), large)
	is.Equal(sc.longInFlight, 1)
	sc.FinishAttempt(after(310), 3, Result{Bytes: 10 << 20}, nil)
	sc.FinishAttempt(after(311), 2, Result{}, nil)
	is.Equal(sc.longInFlight, 0)
	sc.Submit(after(320), Request{ID: 4, Route: "other", Deadline: after(1000000)})
	sc.Tick(after(500), nil)
	is.Equal(sc.longInFlight, 1)
}

// Guards against excluding all servers of a group, against failing servers that
// attract requests, and against exclusions that do not grow or never end.
func TestExclusion(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 6, "")
	fails := func(a netip.AddrPort) bool { return a != address(4) && a != address(5) }
	now, id, failures := start, 0, 0
	for range 2000 {
		id++
		now = now.Add(5 * time.Millisecond)
		if s, ok := sc.Submit(now, Request{ID: RequestID(id), Route: "r", Deadline: now.Add(time.Second)}).(Send); ok {
			r := Result{}
			if fails(s.Server) {
				r.Fault = FaultStatus
				failures++
			}
			sc.FinishAttempt(now.Add(4*time.Millisecond), RequestID(id), r, nil)
		}
		is.True(sc.excludedCount <= 2)
	}
	is.True(failures < 60)
	is.True(sc.Counters().Exclusions >= 2)
	for range 200 {
		id++
		now = now.Add(50 * time.Millisecond)
		if _, ok := sc.Submit(now, Request{ID: RequestID(id), Route: "r", Deadline: now.Add(time.Second)}).(Send); ok {
			sc.FinishAttempt(now, RequestID(id), Result{}, nil)
		}
	}
	now = now.Add(2 * time.Minute)
	sc.Tick(now, nil)
	is.Equal(sc.excludedCount, 0)
	is.Equal(sc.Counters().Violations, uint64(0))
}

// Guards against new requests at a server that was observed draining, while the
// server list lags and shows it as live.
func TestDrain(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 2, "")
	first := sc.Submit(start, newRequest(1, 1000)).(Send).Server
	sc.FinishAttempt(after(1), 1, Result{Load: Load{Draining: true}, HasLoad: true}, nil)
	for i := range 4 {
		sc.SetServers(after(2+i), serverList(2))
		if s, ok := sc.Submit(after(2+i), newRequest(10+i, 100000)).(Send); ok {
			is.True(s.Server != first)
		}
	}
	restarted := serverList(2)
	for i := range restarted {
		restarted[i].Started = after(5000)
	}
	sc.SetServers(after(5000), restarted)
	is.Equal(len(sc.eligible), 2)
	sc.SetLeaving(after(5001), address(0))
	is.Equal(len(sc.eligible), 1)
	sc.SetServers(after(5002), nil)
	is.Equal(sc.Submit(after(5003), newRequest(99, 100000)), Refuse{Reason: wagoutcome.ReasonNoServer})
	is.Equal(sc.Counters().Violations, uint64(0))
}

// Guards against false load reports that shut a server out or give it unlimited
// slots, and against overload when another host sends to the same group.
func TestReports(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 1, "")
	sc.Submit(start, newRequest(1, 1000))
	sc.FinishAttempt(after(1), 1, Result{Load: Load{InFlight: 1 << 40, Slots: 1 << 40}, HasLoad: true}, nil)
	is.Equal(sc.servers[0].slots, 8)
	is.Equal(fillSlots(sc, after(1), 10), 1)
	sc.Cancel(11)
	sc.Tick(after(1000), nil)
	is.Equal(fillSlots(sc, after(1000), 100), 7)
	sc.FinishAttempt(after(1001), 100, Result{Load: Load{InFlight: -5, Slots: -5}, HasLoad: true}, nil)
	is.Equal(sc.servers[0].slots, 8)
}

// Guards against a new number of slots in the document that does not reach the
// servers.
func TestDocumentSlots(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 2, "")
	sc.Submit(start, newRequest(1, 1000))
	sc.FinishAttempt(after(1), 1, Result{Load: Load{Slots: 3}, HasLoad: true}, nil)
	d := *sc.document
	d.Service.Slots = 5
	sc.SetDocument(after(1), &d)
	is.Equal(sc.capacity, 8)
	is.Equal(fillSlots(sc, after(1), 10), 8)
}

// Guards against a server that counts as slow because a caller reads slowly.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 1, "")
	for i := range 50 {
		sent := after(1000 * i)
		sc.Submit(sent, Request{ID: RequestID(i), Route: "r", Class: wagdocument.Short, Deadline: after(1000000)})
		end := sent.Add(10 * time.Millisecond)
		if i > 30 {
			end = sent.Add(900 * time.Millisecond)
		}
		sc.FinishAttempt(end, RequestID(i), Result{HeaderReceivedAt: sent.Add(10 * time.Millisecond)}, nil)
	}
	is.Equal(sc.servers[0].level(), 0)
	for i := range 10 {
		sent := after(100000 + 1000*i)
		sc.Submit(sent, Request{ID: RequestID(100 + i), Route: "r", Class: wagdocument.Short, Deadline: after(1000000)})
		sc.FinishAttempt(sent.Add(50*time.Millisecond), RequestID(100+i), Result{}, nil)
	}
	is.True(sc.servers[0].level() > 0)
}

// Guards against probing servers that respond to requests, and against healthy
// probes that end an exclusion.
func TestProbes(t *testing.T) {
	is := is.New(t)
	sc := newScheduler(t, 3, "")
	is.Equal(len(sc.AppendSilentServers(start, nil)), 0)
	is.Equal(len(sc.AppendSilentServers(after(3000), nil)), 3)
	sc.RecordProbe(after(3000), address(0), ProbeResult{Healthy: true})
	is.Equal(len(sc.AppendSilentServers(after(3001), nil)), 2)
	sc.RecordProbe(after(3002), address(1), ProbeResult{})
	sc.RecordProbe(after(3003), address(1), ProbeResult{})
	is.Equal(sc.excludedCount, 1)
	sc.RecordProbe(after(3004), address(1), ProbeResult{Healthy: true})
	is.Equal(sc.excludedCount, 1)
}

// Guards against decisions that allocate memory once the group is warm.
func TestDecisionsAllocateNothing(t *testing.T) {
	sc := newScheduler(t, 200, "")
	id, now := 0, start
	var decisions []DelayedDecision
	step := func() {
		id++
		now = now.Add(time.Microsecond)
		sc.Submit(now, Request{ID: RequestID(id), Caller: "caller", Route: "r", Deadline: now.Add(10 * time.Second)})
		if id > 500 {
			decisions = sc.FinishAttempt(now, RequestID(id-500), Result{}, decisions[:0])
		}
	}
	for range 5000 {
		step()
	}
	if n := testing.AllocsPerRun(5000, step); n > 0 {
		t.Fatalf("%v allocations per decision", n)
	}
}
