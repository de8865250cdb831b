package wagbudget

import (
	"testing"

	"github.com/matryer/is"
)

const testBase = 1 << 10

// newTestBudget returns a budget with connections 1 to n that hold the given memory
// above testBase.
func newTestBudget(t *testing.T, limit int64, held ...int64) *Budget {
	t.Helper()
	b := New(limit)
	for i, n := range held {
		id := ConnID(i + 1)
		if _, ok := b.Open(id, testBase); !ok {
			t.Fatal("no room for a connection")
		}
		if _, ok := b.Reserve(id, n); !ok {
			t.Fatal("no room for a reservation")
		}
	}
	return b
}

// Guards against the eviction of a connection with a request or one that may be reused
// while one without a complete request is there, and of a small one before a large one.
func TestOrderOfEviction(t *testing.T) {
	is := is.New(t)
	const kb = 1 << 10
	b := newTestBudget(t, 120*kb, 5*kb, 9*kb, 9*kb, 15*kb, 12*kb, 12*kb)
	b.SetPhase(4, Busy)
	b.SetPhase(5, Idle)
	b.SetPhase(6, Idle)
	_, ok := b.Open(7, testBase)
	is.True(ok)
	b.SetPhase(7, Busy)
	evicted, ok := b.Reserve(7, OrdinaryBytes+1) // larger than ordinary from here on
	is.True(ok)
	is.Equal(len(evicted), 0)
	var order []ConnID
	for range 8 {
		// Each reservation needs the memory of one further connection.
		free := b.limit - b.limit/4 - b.used
		evicted, ok := b.Reserve(7, max(free, 0)+1)
		if !ok {
			is.Equal(len(evicted), 0)
			break
		}
		order = append(order, evicted...)
	}
	is.Equal(order, []ConnID{2, 3, 1, 5, 6})
	is.Equal(b.Stats().Evicted, uint64(5))
	is.Equal(b.Stats().Connections, 2) // the busy ones
}

// Guards against a connection that is evicted for one whose phase comes before its own.
func TestLaterPhasesStay(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(t, 40<<10, 12<<10, 12<<10)
	b.SetPhase(1, Idle)
	b.SetPhase(2, Busy)
	_, ok := b.Open(3, testBase)
	is.True(ok)
	evicted, ok := b.Reserve(3, 15<<10)
	is.True(!ok)
	is.Equal(len(evicted), 0)
	b.SetPhase(3, Idle)
	evicted, ok = b.Reserve(3, 15<<10)
	is.True(ok)
	is.Equal(evicted, []ConnID{1})
}

// Guards against large requests that take the whole budget, so that ordinary ones are
// refused.
func TestOrdinaryRequestsFindRoom(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	b := New(limit)
	for id := ConnID(1); id <= 100; id++ {
		if _, ok := b.Open(id, testBase); !ok {
			break
		}
		b.SetPhase(id, Busy)
		for ok := true; ok; {
			_, ok = b.Reserve(id, 64<<10)
		}
	}
	is.True(b.Stats().UsedBytes > limit/2)
	_, ok := b.Open(200, testBase)
	is.True(ok)
	evicted, ok := b.Reserve(200, OrdinaryBytes)
	is.True(ok)
	is.Equal(len(evicted), 0)
}

// Guards against ordinary requests that are refused while many connections hold heads
// without end, and against large connections that evict each other in turn.
func TestEndlessHeadsGiveWay(t *testing.T) {
	is := is.New(t)
	b := New(1 << 20)
	for id := ConnID(1); id <= 200; id++ {
		if _, ok := b.Open(id, testBase); ok {
			for range 10 {
				_, _ = b.Reserve(id, 4<<10)
			}
		}
	}
	evictedBefore := b.Stats().Evicted
	_, _ = b.Reserve(1, 4<<10) // evicts none that is as large
	is.Equal(b.Stats().Evicted, evictedBefore)
	for id := ConnID(300); id < 320; id++ {
		_, ok := b.Open(id, testBase)
		is.True(ok)
		_, ok = b.Reserve(id, 5<<10)
		is.True(ok)
		b.SetPhase(id, Busy)
	}
}

// Guards against connections that exhaust the descriptors, and against a new connection
// that is closed although one without a request could make room.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	b := New(1<<20, WithMaxConnections(3))
	for id := ConnID(1); id <= 3; id++ {
		_, ok := b.Open(id, testBase)
		is.True(ok)
	}
	b.SetPhase(1, Busy)
	b.SetPhase(3, Idle)
	evicted, ok := b.Open(4, testBase)
	is.True(ok)
	is.Equal(evicted, []ConnID{2})
	b.SetPhase(4, Busy)
	evicted, ok = b.Open(5, testBase)
	is.True(!ok) // an idle connection stays
	is.Equal(len(evicted), 0)
	b.Close(3)
	_, ok = b.Open(5, testBase)
	is.True(ok)
}

// Guards against reservations of an evicted connection that count after its eviction.
func TestEvictedConnectionHoldsNothing(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(t, 32<<10, 12<<10, 12<<10)
	b.SetPhase(2, Busy)
	_, ok := b.Reserve(2, 3<<10)
	is.True(ok)
	evicted, ok := b.Open(3, 8<<10)
	is.True(ok)
	is.Equal(evicted, []ConnID{1})
	_, ok = b.Reserve(1, 1)
	is.True(!ok)
	b.SetPhase(1, Busy)
	b.Release(1, 1<<10)
	b.Close(1)
	b.Close(2)
	b.Close(3)
	is.Equal(b.Stats(), Stats{LimitBytes: 32 << 10, Evicted: 1})
}
