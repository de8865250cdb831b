package wagmember

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// encodeEntry encodes an entry with the fields of the message between hosts.
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

// encode encodes a heartbeat with the fields of the message between hosts.
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

// wireSize returns the size of a heartbeat on the wire, in bytes.
func wireSize(h Heartbeat) int { return len(encode(h)) + messageOverheadBytes }

// newMembers returns hosts that are spread over data centres.
func newMembers(hosts, dataCentres int) []Member {
	list := make([]Member, hosts)
	for i := range list {
		list[i] = newMember(fmt.Sprintf("entry-%04d", i), fmt.Sprintf("data-centre-%02d", i%dataCentres), start, uint16(i))
	}
	return list
}

// newSettledTable returns the table of a host that has heard all others and has no
// changes left to report.
func newSettledTable(self Member, list []Member) *Table {
	t := NewTable(start, self, WithSizeEstimator(wireSize))
	t.Handle(start, StoreRecords{Members: list})
	for _, m := range list {
		t.Handle(start, HeartbeatReceived{Heartbeat: Heartbeat{From: Entry{Member: m}, SentAt: start, NextAt: start.Add(time.Second)}})
	}
	clear(t.repeatsLeft)
	return t
}

// Guards against heartbeats that take more than MaxBytesPerSecond, and against an
// estimated size below the real one. It prints the table of docs/MEMBERSHIP.md.
func TestBytesAndIntervals(t *testing.T) {
	for _, c := range []struct{ hosts, dataCentres int }{{15, 4}, {150, 7}, {1500, 28}} {
		list := newMembers(c.hosts, c.dataCentres)
		for _, delegate := range []bool{false, true} {
			var table *Table
			for i := 0; table == nil || table.IsDelegate() != delegate; i++ {
				table = newSettledTable(list[i], list)
			}
			bytes, count := 0, 0
			var interval, longest time.Duration
			for range roundsPerRotation {
				for _, cmd := range table.sendRound(start) {
					send := cmd.(SendHeartbeat)
					bytes += wireSize(send.Heartbeat)
					count++
					if EstimateSize(send.Heartbeat) < wireSize(send.Heartbeat) {
						t.Fatalf("estimated size %d is below the real size %d", EstimateSize(send.Heartbeat), wireSize(send.Heartbeat))
					}
				}
				interval += table.nextRound.Sub(start)
				longest = max(longest, table.nextRound.Sub(start))
			}
			rate := float64(bytes) / interval.Seconds()
			interval /= roundsPerRotation
			if rate > MaxBytesPerSecond+1 {
				t.Fatalf("heartbeats take %.0f bytes a second", rate)
			}
			t.Logf("%d hosts, %d data centres, delegate %t: %d messages and %d bytes a round, interval %s, %.0f B/s, suspect after at most %s",
				c.hosts, c.dataCentres, delegate, count/roundsPerRotation, bytes/roundsPerRotation, interval.Round(time.Millisecond), rate, (MissedHeartbeats * longest).Round(time.Millisecond))
		}
		gossip := Heartbeat{From: Entry{Member: list[0]}, SentAt: start, NextAt: start}
		ack := wireSize(gossip)
		for _, m := range list[:8] {
			gossip.Entries = append(gossip.Entries, Entry{Member: m})
		}
		record := len(encodeEntry(Entry{Member: list[0]}))
		t.Logf("gossip: %d bytes a probe with 8 entries, %d an answer; store record %d bytes, full read %d", wireSize(gossip), ack, record, record*c.hosts)
	}
}

func BenchmarkReceived(b *testing.B) {
	for _, n := range []int{150, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := newMembers(n, 28)
			table := newSettledTable(list[0], list)
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
			list := newMembers(n, 28)
			table := newSettledTable(list[0], list)
			b.ReportAllocs()
			for b.Loop() {
				table.sendRound(start)
			}
		})
	}
}

func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{150, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := newMembers(n, 28)
			b.ReportAllocs()
			for b.Loop() {
				newSettledTable(list[0], list)
			}
		})
	}
}
