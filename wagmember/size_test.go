package wagmember

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// encodeEntry and encode follow the fields of the message between hosts.
func encodeEntry(e Entry) []byte {
	var b []byte
	for i, s := range []string{e.Member.Name, e.Member.DataCentre, e.Member.Region, e.Member.Forward.String(), e.Member.Peer.String()} {
		b = protowire.AppendTag(b, protowire.Number(i+1), protowire.BytesType)
		b = protowire.AppendString(b, s)
	}
	for i, v := range []uint64{e.Member.Incarnation, uint64(e.Member.State), e.Refutation} {
		b = protowire.AppendTag(b, protowire.Number(i+6), protowire.VarintType)
		b = protowire.AppendVarint(b, v)
	}
	return b
}

func encode(h Heartbeat) []byte {
	b := protowire.AppendTag(nil, 1, protowire.BytesType)
	b = protowire.AppendBytes(b, encodeEntry(h.From))
	for _, t := range []time.Time{h.SentAt, h.NextAt} {
		b = protowire.AppendTag(b, 2, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(t.UnixMilli()))
	}
	for _, r := range h.ReachableDataCentres {
		b = protowire.AppendTag(b, 4, protowire.BytesType)
		b = protowire.AppendString(b, r)
	}
	for _, e := range h.Entries {
		b = protowire.AppendTag(b, 5, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeEntry(e))
	}
	return b
}

// wire adds what a message takes beside its encoding.
func wire(h Heartbeat) int { return len(encode(h)) + frameBytes }

func fleet(hosts, centres int) []Member {
	list := make([]Member, hosts)
	for i := range list {
		list[i] = described(fmt.Sprintf("entry-%04d", i), fmt.Sprintf("data-centre-%02d", i%centres), start, uint16(i))
	}
	return list
}

// settled returns the table of a host that has heard all others, and whether it
// is a delegate.
func settled(self Member, list []Member) *Table {
	t := NewTable(start, self, WithSizeEstimator(wire))
	t.Handle(start, StoreRecords{Members: list})
	for _, m := range list {
		t.Handle(start, HeartbeatReceived{Heartbeat: Heartbeat{From: Entry{Member: m}, SentAt: start, NextAt: start.Add(time.Second)}})
	}
	clear(t.changes)
	return t
}

// Guards against heartbeats above half of the control traffic and against a size
// that is estimated too low. It prints the table of docs/MEMBERSHIP.md.
func TestBytesAndIntervals(t *testing.T) {
	for _, c := range []struct{ hosts, centres int }{{15, 4}, {150, 7}, {1500, 28}} {
		list := fleet(c.hosts, c.centres)
		for _, delegate := range []bool{false, true} {
			var table *Table
			for i := 0; table == nil || table.IsDelegate() != delegate; i++ {
				table = settled(list[i], list)
			}
			bytes, count := 0, 0
			var interval, longest time.Duration
			for range turnRounds {
				for _, cmd := range table.beat(start) {
					send := cmd.(SendHeartbeat)
					bytes += wire(send.Heartbeat)
					count++
					if EstimateSize(send.Heartbeat) < wire(send.Heartbeat) {
						t.Fatalf("size %d is below %d", EstimateSize(send.Heartbeat), wire(send.Heartbeat))
					}
				}
				interval += table.next.Sub(start)
				longest = max(longest, table.next.Sub(start))
			}
			rate := float64(bytes) / interval.Seconds()
			interval /= turnRounds
			if rate > MaxBytesPerSecond+1 {
				t.Fatalf("%.0f bytes a second", rate)
			}
			t.Logf("%d hosts, %d data centres, delegate %t: %d messages and %d bytes a round, interval %s, %.0f B/s, suspect after at most %s",
				c.hosts, c.centres, delegate, count/turnRounds, bytes/turnRounds, interval.Round(time.Millisecond), rate, (MissedHeartbeats * longest).Round(time.Millisecond))
		}
		gossip := Heartbeat{From: Entry{Member: list[0]}, SentAt: start, NextAt: start}
		ack := wire(gossip)
		for _, m := range list[:8] {
			gossip.Entries = append(gossip.Entries, Entry{Member: m})
		}
		record := len(encodeEntry(Entry{Member: list[0]}))
		t.Logf("gossip: %d bytes a probe with 8 entries, %d an answer; store record %d bytes, full read %d", wire(gossip), ack, record, record*c.hosts)
	}
}

func BenchmarkReceived(b *testing.B) {
	for _, n := range []int{150, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := fleet(n, 28)
			table := settled(list[0], list)
			h := HeartbeatReceived{Heartbeat: Heartbeat{From: Entry{Member: list[28]}, SentAt: start, NextAt: start.Add(time.Second), Entries: []Entry{{Member: list[1]}}}}
			b.ReportAllocs()
			for b.Loop() {
				table.Handle(start, h)
			}
		})
	}
}

func BenchmarkRound(b *testing.B) {
	for _, n := range []int{150, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := fleet(n, 28)
			table := settled(list[0], list)
			b.ReportAllocs()
			for b.Loop() {
				table.beat(start)
			}
		})
	}
}

func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{150, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := fleet(n, 28)
			b.ReportAllocs()
			for b.Loop() {
				settled(list[0], list)
			}
		})
	}
}
