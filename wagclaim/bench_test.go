package wagclaim

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// fakeStore is an object store that executes every command at once.
type fakeStore struct {
	objects map[string][]byte
	bytes   int
	version int
	// body is the body of every response.
	body []byte
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string][]byte)}
}

// written stores the object of a write.
func (f *fakeStore) written(w Write) Written {
	f.version++
	f.bytes += len(w.Value)
	f.objects[w.Name] = w.Value
	return Written{Sequence: w.Sequence, Version: wagstore.Version(fmt.Sprint(f.version))}
}

// run executes commands, and those that follow from them, until there are none.
func (f *fakeStore) run(p *Partition, now time.Time, commands []Command) {
	for len(commands) > 0 {
		c := commands[0]
		commands = commands[1:]
		switch c := c.(type) {
		case Write:
			commands = p.Step(now, f.written(c), commands)
		case Load:
			l := Loaded{Name: c.Name, Value: f.objects[c.Name]}
			if l.Value != nil {
				l.Version = wagstore.Version(fmt.Sprint(f.version))
			}
			commands = p.Step(now, l, commands)
		case Delete:
			delete(f.objects, c.Name)
		case Dispatch:
			commands = p.Step(now, DispatchFinished{Key: c.Key, Outcome: wagoutcome.Done, Status: 201, Body: f.body}, commands)
		}
	}
}

// numberedKey returns a digest for n that is distributed uniformly.
func numberedKey(n int) Digest {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	h := sha256.Sum256(b[:])
	return Digest(h[:16])
}

// BenchmarkClaim measures the time of a claim and the bytes that it writes to the
// store.
func BenchmarkClaim(b *testing.B) {
	p := New("orders", 1, "a", WithLimits(1<<30, 1024))
	st := newFakeStore()
	lease := testTime.Add(1000 * time.Hour)
	st.run(p, testTime, p.Step(testTime, LeaseAcquired{Deadline: lease}, nil))
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		s := Submit{AttemptID: uint64(n), Key: Key{Digest: numberedKey(n), CreatedAt: testTime}, Fingerprint: Digest{1}, Deadline: testTime.Add(time.Hour)}
		st.run(p, testTime, p.Step(testTime, s, nil))
	}
	b.ReportMetric(float64(st.bytes)/float64(b.N), "storeB/claim")
}

// BenchmarkMemory measures the size of a settled claim in memory and in archives.
func BenchmarkMemory(b *testing.B) {
	const claims = 50000
	var before, after runtime.MemStats
	var p *Partition
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		p = New("orders", 1, "a", WithLimits(claims, 1024))
		st := newFakeStore()
		st.run(p, testTime, p.Step(testTime, LeaseAcquired{Deadline: testTime.Add(time.Hour)}, nil))
		for n := range claims {
			s := Submit{AttemptID: uint64(n), Key: Key{Digest: numberedKey(n), CreatedAt: testTime}, Deadline: testTime.Add(time.Minute)}
			st.run(p, testTime, p.Step(testTime, s, nil))
		}
		stored := 0
		for _, value := range st.objects {
			stored += len(value)
		}
		b.ReportMetric(float64(stored)/claims, "storedB/claim")
	}
	later := testTime.Add(time.Minute)
	p.Step(later, Tick{}, nil)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "heapB/claim")
	runtime.KeepAlive(p)
}

// timedEvent is an event at a time.
type timedEvent struct {
	at    time.Time
	event Event
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []timedEvent

func (d eventQueue) Len() int           { return len(d) }
func (d eventQueue) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d eventQueue) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *eventQueue) Push(x any)        { *d = append(*d, x.(timedEvent)) }
func (d *eventQueue) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// simulateBatching returns the claims per write and the mean wait for a claim, in
// virtual time.
func simulateBatching(rate int, latency time.Duration, claims int) (perWrite float64, wait time.Duration) {
	p := New("orders", 1, "a", WithLimits(1<<30, 1<<20))
	st := newFakeStore()
	st.run(p, testTime, p.Step(testTime, LeaseAcquired{Deadline: testTime.Add(1000 * time.Hour)}, nil))
	before := p.Stats().Writes
	queue := &eventQueue{}
	starts := make(map[Digest]time.Time)
	for n := range claims {
		at := testTime.Add(time.Duration(n) * time.Second / time.Duration(rate))
		key := Key{Digest: numberedKey(n), CreatedAt: testTime}
		starts[key.Digest] = at
		heap.Push(queue, timedEvent{at, Submit{AttemptID: uint64(n), Key: key, Deadline: at.Add(time.Minute)}})
	}
	for queue.Len() > 0 {
		next := heap.Pop(queue).(timedEvent)
		for _, c := range p.Step(next.at, next.event, nil) {
			switch c := c.(type) {
			case Write:
				heap.Push(queue, timedEvent{next.at.Add(latency), st.written(c)})
			case Dispatch:
				wait += next.at.Sub(starts[c.Key])
				heap.Push(queue, timedEvent{next.at.Add(6 * time.Millisecond), DispatchFinished{Key: c.Key, Outcome: wagoutcome.Done, Status: 201}})
			}
		}
		if wake := p.NextWake(); queue.Len() == 0 && !wake.IsZero() && wake.Before(testTime.Add(time.Hour)) && p.Stats().Dispatches < uint64(claims) {
			heap.Push(queue, timedEvent{wake, Tick{}})
		}
	}
	return float64(claims) / float64(p.Stats().Writes-before), wait / time.Duration(claims)
}

// BenchmarkBatch measures how many claims share a write at several rates and
// store latencies.
func BenchmarkBatch(b *testing.B) {
	for _, rate := range []int{10, 100, 1000, 10000} {
		for _, latency := range []time.Duration{2 * time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond} {
			b.Run(fmt.Sprintf("rate=%d/latency=%s", rate, latency), func(b *testing.B) {
				var perWrite float64
				var wait time.Duration
				for range b.N {
					perWrite, wait = simulateBatching(rate, latency, 5000)
				}
				b.ReportMetric(perWrite, "claims/write")
				b.ReportMetric(float64(wait)/float64(time.Millisecond), "virtual-ms/claim")
			})
		}
	}
}
