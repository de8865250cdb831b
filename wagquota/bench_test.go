package wagquota

import (
	"testing"
	"time"
)

// BenchmarkReport measures the admission of a request, its report and the reply, with 81
// customers and 6 parts.
func BenchmarkReport(b *testing.B) {
	limits, _ := usualLoad()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := NewCoordinator(now)
	c.SetLimits(now, limits, simParts)
	var parts []*Part
	for i := range simParts {
		p := NewPart(now, string(rune('a'+i)), "host", 0)
		p.SetLimits(limits, simParts, 2)
		p.SetRole(now, true, 40)
		p.SetCoordinator(now, "coordinator")
		parts = append(parts, p)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(2 * time.Millisecond)
		p := parts[i%simParts]
		p.Take(now, "customer3")
		if r, ok := p.Flush(now); ok {
			p.Handle(now, "coordinator", c.Handle(now, r))
		}
	}
}
