package wagevent

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against missing events that go unnoticed: Since counts those that the ring
// has overwritten.
func TestRingCountsLostEvents(t *testing.T) {
	is := is.New(t)
	r := NewRing("h", 4, func() time.Time { return time.Unix(1, 0) })
	for i := range 10 {
		r.Record(Event{Kind: KindRequest, Request: strconv.Itoa(i)})
	}
	events, lost := r.Since(0)
	is.Equal(lost, uint64(6))
	is.Equal(len(events), 4)
	is.Equal(events[0].Sequence, uint64(7))
	is.Equal(events[3].Request, "9")
	events, lost = r.Since(9)
	is.Equal(lost, uint64(0))
	is.Equal(len(events), 1)
	events, lost = r.Since(10)
	is.Equal(len(events)+int(lost), 0)
	events, _ = r.Since(1 << 40) // a host that has restarted has lower sequences
	is.Equal(len(events), 0)
}

// Guards against events of one process that are reordered because its clock was set
// back.
func TestMergeKeepsOrderOfOneProcess(t *testing.T) {
	is := is.New(t)
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	merged := Merge(
		[]Event{{Time: at(5), Sequence: 1, Host: "a"}, {Time: at(3), Sequence: 2, Host: "a"}, {Time: at(9), Sequence: 3, Host: "a"}},
		[]Event{{Time: at(4), Sequence: 1, Host: "b"}, {Time: at(6), Sequence: 2, Host: "b"}},
	)
	var order string
	for _, e := range merged {
		order += e.Host + strconv.FormatUint(e.Sequence, 10) + " "
	}
	is.Equal(order, "b1 a1 a2 b2 a3 ")
}
