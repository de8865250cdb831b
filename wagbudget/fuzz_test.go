package wagbudget

import "testing"

// FuzzBudget guards against a sum of reservations that differs from the used bytes,
// exceeds the limit, or remains when all connections are closed, and against the eviction
// of a connection in a later phase. Each operation takes four bytes.
func FuzzBudget(f *testing.F) {
	f.Add([]byte{0, 1, 9, 9, 1, 1, 200, 200, 0, 2, 9, 9, 3, 2, 2, 0, 1, 2, 255, 255, 4, 1, 0, 0})
	f.Add([]byte{0, 1, 0, 90, 0, 2, 0, 90, 0, 3, 0, 90, 3, 1, 1, 0, 3, 2, 2, 0, 1, 3, 200, 0, 1, 2, 200, 0, 2, 2, 100, 0})
	f.Fuzz(func(t *testing.T, operations []byte) {
		const limit, maxConns = 200 << 10, 6
		b := New(limit, WithMaxConnections(maxConns))
		phases := make(map[ConnID]Phase)
		held := make(map[ConnID]int64)
		base := make(map[ConnID]int64)
		forget := func(id ConnID) {
			delete(phases, id)
			delete(held, id)
			delete(base, id)
		}
		applyEvicted := func(own Phase, evicted []ConnID) {
			for _, id := range evicted {
				p, open := phases[id]
				if !open || p == Busy || p > own {
					t.Fatalf("evicted %d in phase %d for phase %d", id, p, own)
				}
				forget(id)
			}
		}
		for ; len(operations) >= 4; operations = operations[4:] {
			id := ConnID(operations[1] % 12)
			n := int64(operations[2])<<8 + int64(operations[3])
			_, open := phases[id]
			switch operations[0] % 5 {
			case 0:
				evicted, ok := b.Open(id, n)
				applyEvicted(Receiving, evicted)
				if ok && open {
					t.Fatal("opened twice")
				}
				if ok {
					phases[id], base[id] = Receiving, n
				}
			case 1:
				before := held[id]
				evicted, ok := b.Reserve(id, n)
				if !open && (ok || len(evicted) > 0) {
					t.Fatal("reserved for a closed connection")
				}
				applyEvicted(phases[id], evicted)
				if ok {
					held[id] = before + n
				}
				if ok && held[id] > OrdinaryBytes && b.Stats().UsedBytes > limit-limit/4 {
					t.Fatal("a large connection took memory kept for ordinary ones")
				}
			case 2:
				b.Release(id, n)
				if open {
					held[id] = max(0, held[id]-n)
				}
			case 3:
				p := Phase(n>>8) % 3
				b.SetPhase(id, p)
				if open {
					phases[id] = p
				}
			case 4:
				b.Close(id)
				forget(id)
			}
			var sum int64
			for id := range phases {
				sum += base[id] + held[id]
			}
			s := b.Stats()
			if s.UsedBytes != sum || s.UsedBytes > limit || s.Connections != len(phases) || s.Connections > maxConns {
				t.Fatalf("%+v, want %d bytes of %d connections", s, sum, len(phases))
			}
		}
		for id := range phases {
			b.Close(id)
		}
		if s := b.Stats(); s.UsedBytes != 0 || s.Connections != 0 {
			t.Fatalf("%+v when all are closed", s)
		}
	})
}
