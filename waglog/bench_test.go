package waglog

import (
	"io"
	"testing"
)

// BenchmarkInfo measures a line with the fields of the end of a request.
func BenchmarkInfo(b *testing.B) {
	l := New(io.Discard, "edge-pnw-a-1", WithRate(1e12))
	for range b.N {
		l.Info(KindRequest, Fields{
			"request": "9c41d07be2a35f68", "caller": "10.1.0.15:8388", "route": "r-3d3zji9", "service": "huvo11a", "version": uint64(12),
			"outcome": "answered", "status": 200, "reason": "", "server": "i-7f3a91c2", "attempts": 1, "waitedMs": 1.25, "tookMs": 75.5, "inGoal": true,
		})
		if l.out.pending != nil && len(l.out.pending) > 100<<10 {
			l.out.flush()
		}
	}
}
