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

func document(tb testing.TB, text string) *wagdocument.Document {
	tb.Helper()
	d, err := wagdocument.Parse("d", []byte("[service]\nname = s\nslots = 2\nrampTime = 0s\n"+text))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

func list(n int) []wagserver.Server {
	var l []wagserver.Server
	for i := range n {
		l = append(l, wagserver.Server{Address: address(i), State: wagserver.Live})
	}
	return l
}

func group(tb testing.TB, servers int, text string, opts ...Option) *Scheduler {
	c := New(document(tb, text), opts...)
	c.SetServers(start, list(servers))
	return c
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func call(id int, deadline int) Request {
	return Request{ID: RequestID(id), Caller: fmt.Sprint("c", id%10), Route: "r", Class: wagdocument.Short, Deadline: at(deadline)}
}

// fill sends calls until one has to wait, and returns the count of those sent.
func fill(c *Scheduler, now time.Time, first int) int {
	for n := 0; ; n++ {
		if _, ok := c.Submit(now, call(first+n, 100000)).(Send); !ok {
			return n
		}
	}
}

// Guards against slots that are given twice or lost, against queue order other
// than by deadline, and against late calls that are not refused.
func TestQueue(t *testing.T) {
	is := is.New(t)
	c := group(t, 2, "")
	is.Equal(fill(c, start, 0), 4)
	c.Cancel(4)
	is.Equal(c.Submit(start, call(10, 900)), Wait{})
	is.Equal(c.Submit(start, call(11, 500)), Wait{})
	is.Equal(c.Submit(start, call(12, 10)), Wait{})
	is.Equal(c.NextWake(), at(10))
	is.Equal(c.Tick(at(10), nil), []DelayedDecision{{Request: 12, Decision: Refuse{Reason: wagoutcome.ReasonDeadline}}})
	s := c.FinishAttempt(at(20), 0, Result{}, nil)
	is.Equal(len(s), 1)
	is.Equal(s[0].Request, RequestID(11))
	is.Equal(c.FinishAttempt(at(20), 0, Result{}, nil), nil)
	is.Equal(c.Submit(at(20), call(13, 20)), Refuse{Reason: wagoutcome.ReasonDeadline})
	is.Equal(c.Counters().Violations, uint64(0))
}

// Guards against calls that are queued although they cannot end in time.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	c := group(t, 1, "")
	for i := range 20 {
		c.Submit(at(20*i), call(i, 100000))
		c.FinishAttempt(at(20*i+20), RequestID(i), Result{}, nil)
	}
	now := at(400)
	is.Equal(fill(c, now, 100), 2)
	is.Equal(c.Submit(now, call(200, 450)), Refuse{Reason: wagoutcome.ReasonDeadline})
	is.Equal(c.Submit(now, call(201, 600)), Wait{})
}

// Guards against a caller that fills the queue for all others.
func TestFairness(t *testing.T) {
	is := is.New(t)
	c := group(t, 1, "")
	c.Submit(start, call(0, 100000))
	c.FinishAttempt(at(10), 0, Result{}, nil)
	fill(c, at(10), 1)
	for i := range 5 {
		c.Submit(at(10), call(500+i, 100000))
	}
	refused := 0
	for i := range 200 {
		greedy := call(1000+i, 100000)
		greedy.Caller = "greedy"
		if _, ok := c.Submit(at(10), greedy).(Refuse); ok {
			refused++
		}
	}
	is.True(refused > 0)
	modest := call(2000, 100000)
	modest.Caller = "modest"
	is.Equal(c.Submit(at(10), modest), Wait{})
	ahead := 0
	for s := c.FinishAttempt(at(20), 1, Result{}, nil); s[0].Request != 2000; s = c.FinishAttempt(at(20), s[0].Request, Result{}, nil) {
		ahead++
	}
	is.True(ahead <= 8)
}

// Guards against long work that takes all slots, and against long work that
// never starts while short work waits.
func TestClasses(t *testing.T) {
	is := is.New(t)
	c := group(t, 4, "")
	long := func(id int) Request {
		l := call(id, 1000000)
		l.Class = wagdocument.Long
		return l
	}
	sent := 0
	for i := range 10 {
		if _, ok := c.Submit(start, long(i)).(Send); ok {
			sent++
		}
	}
	is.Equal(sent, 4)
	is.Equal(fill(c, start, 100), 4)
	for i := range 3 {
		s := c.FinishAttempt(at(i), RequestID(i), Result{}, nil)
		for _, x := range s {
			is.True(x.Request < 10 || x.Request >= 100)
		}
	}
	is.True(c.long >= 1)
	is.Equal(c.Counters().Violations, uint64(0))
}

// Guards against classes that are stated in no document and never learned.
func TestLearnedClass(t *testing.T) {
	is := is.New(t)
	c := group(t, 4, "")
	slow := func(id int) Request { return Request{ID: RequestID(id), Route: "export", Deadline: at(1000000)} }
	c.Submit(start, slow(1))
	c.FinishAttempt(at(300), 1, Result{}, nil)
	c.Submit(at(300), slow(2))
	is.Equal(c.long, 1)
	big := Request{ID: 3, Route: "download", Deadline: at(1000000)}
	c.Submit(at(300), big)
	is.Equal(c.long, 1)
	c.FinishAttempt(at(310), 3, Result{Bytes: 10 << 20}, nil)
	c.FinishAttempt(at(311), 2, Result{}, nil)
	is.Equal(c.long, 0)
	c.Submit(at(320), Request{ID: 4, Route: "other", Deadline: at(1000000)})
	c.Tick(at(500), nil)
	is.Equal(c.long, 1)
}

// Guards against all servers of a group being excluded, against failing servers
// that attract calls, and against exclusions that do not grow or never end.
func TestExclusion(t *testing.T) {
	is := is.New(t)
	c := group(t, 6, "")
	bad := func(a netip.AddrPort) bool { return a != address(4) && a != address(5) }
	now, id, failures := start, 0, 0
	for range 2000 {
		id++
		now = now.Add(5 * time.Millisecond)
		if s, ok := c.Submit(now, Request{ID: RequestID(id), Route: "r", Deadline: now.Add(time.Second)}).(Send); ok {
			r := Result{}
			if bad(s.Server) {
				r.Fault = FaultStatus
				failures++
			}
			c.FinishAttempt(now.Add(4*time.Millisecond), RequestID(id), r, nil)
		}
		is.True(c.excluded <= 2)
	}
	is.True(failures < 60)
	is.True(c.Counters().Exclusions >= 2)
	for range 200 {
		id++
		now = now.Add(50 * time.Millisecond)
		if _, ok := c.Submit(now, Request{ID: RequestID(id), Route: "r", Deadline: now.Add(time.Second)}).(Send); ok {
			c.FinishAttempt(now, RequestID(id), Result{}, nil)
		}
	}
	now = now.Add(2 * time.Minute)
	c.Tick(now, nil)
	is.Equal(c.excluded, 0)
	is.Equal(c.Counters().Violations, uint64(0))
}

// Guards against new work at a server that was seen to drain, whatever a host
// list that lags shows.
func TestDrain(t *testing.T) {
	is := is.New(t)
	c := group(t, 2, "")
	first := c.Submit(start, call(1, 1000)).(Send).Server
	c.FinishAttempt(at(1), 1, Result{Load: Load{Draining: true}, HasLoad: true}, nil)
	for i := range 4 {
		c.SetServers(at(2+i), list(2))
		if s, ok := c.Submit(at(2+i), call(10+i, 100000)).(Send); ok {
			is.True(s.Server != first)
		}
	}
	again := list(2)
	for i := range again {
		again[i].Started = at(5000)
	}
	c.SetServers(at(5000), again)
	is.Equal(len(c.open), 2)
	c.SetLeaving(at(5001), address(0))
	is.Equal(len(c.open), 1)
	c.SetServers(at(5002), nil)
	is.Equal(c.Submit(at(5003), call(99, 100000)), Refuse{Reason: wagoutcome.ReasonNoServer})
	is.Equal(c.Counters().Violations, uint64(0))
}

// Guards against false reports that shut a server out or give it endless slots,
// and against overload when another host sends to the same group.
func TestReports(t *testing.T) {
	is := is.New(t)
	c := group(t, 1, "")
	c.Submit(start, call(1, 1000))
	c.FinishAttempt(at(1), 1, Result{Load: Load{InFlight: 1 << 40, Slots: 1 << 40}, HasLoad: true}, nil)
	is.Equal(c.servers[0].slots, 8)
	is.Equal(fill(c, at(1), 10), 1)
	c.Cancel(11)
	c.Tick(at(1000), nil)
	is.Equal(fill(c, at(1000), 100), 7)
	c.FinishAttempt(at(1001), 100, Result{Load: Load{InFlight: -5, Slots: -5}, HasLoad: true}, nil)
	is.Equal(c.servers[0].slots, 8)
}

// Guards against a document in force whose slots do not reach the servers.
func TestDocumentSlots(t *testing.T) {
	is := is.New(t)
	c := group(t, 2, "")
	c.Submit(start, call(1, 1000))
	c.FinishAttempt(at(1), 1, Result{Load: Load{Slots: 3}, HasLoad: true}, nil)
	d := *c.document
	d.Service.Slots = 5
	c.SetDocument(at(1), &d)
	is.Equal(c.capacity, 8)
	is.Equal(fill(c, at(1), 10), 8)
}

// Guards against a server that counts as slow because a caller reads slowly.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	c := group(t, 1, "")
	for i := range 50 {
		sent := at(1000 * i)
		c.Submit(sent, Request{ID: RequestID(i), Route: "r", Class: wagdocument.Short, Deadline: at(1000000)})
		end := sent.Add(10 * time.Millisecond)
		if i > 30 {
			end = sent.Add(900 * time.Millisecond)
		}
		c.FinishAttempt(end, RequestID(i), Result{HeaderReceivedAt: sent.Add(10 * time.Millisecond)}, nil)
	}
	is.Equal(c.servers[0].level(), 0)
	for i := range 10 {
		sent := at(100000 + 1000*i)
		c.Submit(sent, Request{ID: RequestID(100 + i), Route: "r", Class: wagdocument.Short, Deadline: at(1000000)})
		c.FinishAttempt(sent.Add(50*time.Millisecond), RequestID(100+i), Result{}, nil)
	}
	is.True(c.servers[0].level() > 0)
}

// Guards against probes of servers that answer calls, and against healthy
// probes that end an exclusion.
func TestProbes(t *testing.T) {
	is := is.New(t)
	c := group(t, 3, "")
	is.Equal(len(c.AppendSilentServers(start, nil)), 0)
	is.Equal(len(c.AppendSilentServers(at(3000), nil)), 3)
	c.RecordProbe(at(3000), address(0), ProbeResult{Healthy: true})
	is.Equal(len(c.AppendSilentServers(at(3001), nil)), 2)
	c.RecordProbe(at(3002), address(1), ProbeResult{})
	c.RecordProbe(at(3003), address(1), ProbeResult{})
	is.Equal(c.excluded, 1)
	c.RecordProbe(at(3004), address(1), ProbeResult{Healthy: true})
	is.Equal(c.excluded, 1)
}

// Guards against decisions that allocate once the group is warm.
func TestDecisionsAllocateNothing(t *testing.T) {
	c := group(t, 200, "")
	id, now := 0, start
	var starts []DelayedDecision
	step := func() {
		id++
		now = now.Add(time.Microsecond)
		c.Submit(now, Request{ID: RequestID(id), Caller: "caller", Route: "r", Deadline: now.Add(10 * time.Second)})
		if id > 500 {
			starts = c.FinishAttempt(now, RequestID(id-500), Result{}, starts[:0])
		}
	}
	for range 5000 {
		step()
	}
	if n := testing.AllocsPerRun(5000, step); n > 0 {
		t.Fatalf("%v allocations per decision", n)
	}
}
