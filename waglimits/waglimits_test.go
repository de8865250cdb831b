package waglimits

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against limits that differ from those of docs/PLATFORM.md.
func TestDerive(t *testing.T) {
	for name, x := range map[string]struct {
		memoryBytes int64
		descriptors int
		want        Limits
	}{
		"smallest host":     {184 << 20, 4100, Limits{CallerMemoryBytes: 46 << 20, CallerConnections: 1950, ServerConnections: 1462, GoMemoryBytes: 138 << 20}},
		"largest host":      {536 << 20, 10387, Limits{CallerMemoryBytes: 134 << 20, CallerConnections: 5093, ServerConnections: 3820, GoMemoryBytes: 402 << 20}},
		"nothing stated":    {0, 0, Limits{CallerMemoryBytes: 64 << 20}},
		"few descriptors":   {0, 150, Limits{CallerMemoryBytes: 64 << 20, CallerConnections: 32, ServerConnections: 24}},
		"memory alone":      {284 << 20, 0, Limits{CallerMemoryBytes: 71 << 20, GoMemoryBytes: 213 << 20}},
		"descriptors alone": {0, 4100, Limits{CallerMemoryBytes: 64 << 20, CallerConnections: 1950, ServerConnections: 1462}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Derive(x.memoryBytes, x.descriptors), x.want)
		})
	}
}

// Guards against shares that together exceed what a host has, and against a share of 0,
// which would mean no bound.
func TestSharesFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory, descriptors := rapid.Int64Range(1<<20, 1<<40).Draw(t, "memory"), rapid.IntRange(1, 1<<20).Draw(t, "descriptors")
		l := Derive(memory, descriptors)
		if l.CallerMemoryBytes <= 0 || l.GoMemoryBytes <= 0 || l.CallerConnections <= 0 || l.ServerConnections <= 0 {
			t.Fatalf("%+v has no bound", l)
		}
		if 2*l.CallerMemoryBytes > memory || l.GoMemoryBytes >= memory {
			t.Fatalf("%+v exceeds %d bytes", l, memory)
		}
		if shared := l.CallerConnections + l.ServerConnections; descriptors >= fileDescriptors+minDescriptors && shared > descriptors-fileDescriptors {
			t.Fatalf("%+v exceeds %d descriptors", l, descriptors)
		}
	})
}
