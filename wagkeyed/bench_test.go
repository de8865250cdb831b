package wagkeyed

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// BenchmarkCall measures one request after another through one of two hosts,
// with and without a key, for a store whose writes take 0 and 2 ms.
func BenchmarkCall(b *testing.B) {
	for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
		s := newSite(b, 2)
		s.store.delay.Store(int64(delay))
		b.Run(fmt.Sprintf("unkeyed/store=%s", delay), func(b *testing.B) {
			for b.Loop() {
				s.post(b, 0, "/ordering/other", "", "lot 7")
			}
		})
		var n atomic.Int64
		b.Run(fmt.Sprintf("keyed/store=%s", delay), func(b *testing.B) {
			for b.Loop() {
				s.post(b, 0, "/ordering/orders", "k"+strconv.FormatInt(n.Add(1), 10), "lot 7")
			}
		})
	}
}

// BenchmarkPeak measures the claims per write to the store while many keyed
// requests are in flight.
func BenchmarkPeak(b *testing.B) {
	for _, callers := range []int{16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := newSite(b, 2)
			s.store.delay.Store(int64(2 * time.Millisecond))
			var n atomic.Int64
			work := make(chan struct{})
			g := startWorkers(callers, func() {
				for range work {
					i := n.Add(1)
					if r := s.post(b, int(i%2), "/ordering/orders", "k"+strconv.FormatInt(i, 10), "lot 7"); r.outcome != "done" {
						b.Error(r)
					}
				}
			})
			for b.Loop() {
				work <- struct{}{}
			}
			close(work)
			is.New(b).NoErr(g.Wait())
			claims, writes := uint64(0), uint64(0)
			for _, c := range s.claims {
				x := c.Stats()
				claims, writes = claims+x.Claims, writes+x.Writes
			}
			b.ReportMetric(float64(claims)/float64(writes), "claims/write")
			b.ReportMetric(float64(claims)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}
