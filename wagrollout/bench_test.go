package wagrollout

import (
	"fmt"
	"testing"
)

func benchmarkCatalog(services int) *Catalog {
	catalog := New()
	for i := range services {
		catalog.Handle(start, PeerDocument{Service: fmt.Sprint("s", i), Text: text(fmt.Sprint("s", i), 1, "")})
	}
	return catalog
}

func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 820} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			catalog, r := benchmarkCatalog(n), int64(1)
			for b.Loop() {
				r++
				catalog.Handle(start, PeerDocument{Service: "s1", Text: text("s1", r, "")})
			}
		})
	}
}

func BenchmarkFullRead(b *testing.B) {
	for _, n := range []int{100, 820} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			catalog, e := benchmarkCatalog(n), StoreRead{Started: start, Full: true}
			for name, d := range catalog.Snapshot().Documents {
				e.Objects = append(e.Objects, Object{Service: name, Text: d.Text, Version: "1"})
			}
			for b.Loop() {
				catalog.Handle(start, e)
			}
		})
	}
}
