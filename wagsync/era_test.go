package wagsync

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// storeCopy is a state of a store to which it can come back.
type storeCopy struct {
	revision wagmirror.Revision
	records  map[string][]wagmirror.Record
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, records: maps.Clone(s.records)}
	for kind, list := range c.records {
		c.records[kind] = slices.Clone(list)
	}
	return c
}

// comeBack restores a copy and begins the next era. Watches in flight fail.
func (s *store) comeBack(c storeCopy) {
	s.update(func() {
		s.era++
		s.aborts++
		s.revision, s.records = c.revision, make(map[string][]wagmirror.Record)
		for kind, list := range c.records {
			s.records[kind] = slices.Clone(list)
		}
	})
}

// bodyOf returns the body of an object in the copy of the host.
func (x *fixture) bodyOf(kind, name string) string {
	for _, r := range x.sync.LiveRecords(kind) {
		if r.Name == name {
			return string(r.Body)
		}
	}
	return ""
}

// Guards against changes that are missed for good after the store has come back from a
// copy, because it gives out revisions again that the host holds already (review/11).
func TestChangesAfterStoreComesBack(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.store.update(func() { x.store.era = 1 })
		x.store.putBody("config", "main", "v1")
		x.store.put("servers", "s1")
		x.startFollowing()
		sleep(time.Second)
		copied := x.store.copy()
		x.store.put("servers", "s2")
		x.store.putBody("config", "main", "v2")
		x.store.putBody("config", "main", "v3")
		sleep(time.Second)
		is.Equal(x.bodyOf("config", "main"), "v3")
		for n := range 2 { // two drills in a row
			x.store.comeBack(copied)
			x.store.put("servers", "s2")
			sleep(2 * time.Second)
			is.Equal(x.bodyOf("servers", "s2"), "s2")
			// The revisions of v2 and v3 are given out again.
			body := []string{"v4", "v5"}[n]
			x.store.putBody("config", "main", body)
			sleep(2 * time.Second)
			is.Equal(x.bodyOf("config", "main"), body)
		}
	})
}

// Guards against a response of a former era that arrives late: it confirmed a copy of the
// present one, and its changes replaced those of the copy.
func TestResponseOfFormerEra(t *testing.T) {
	run(t, func(is *is.I, x *fixture) {
		x.store.update(func() { x.store.era = 1 })
		x.store.putBody("config", "main", "v1")
		x.store.put("servers", "s1")
		x.startFollowing()
		sleep(time.Second)
		x.sync.SetFollowing(x.ctx, false)
		x.sync.Apply(wagmirror.Update{Kind: "config", Era: 2, Full: true, At: 2, Records: []wagmirror.Record{{Kind: "config", Name: "main", Revision: 2, Body: []byte("restored")}}})
		confirmed := x.sync.ConfirmedAt()
		x.store.putBody("config", "main", "late")
		is.Equal(x.sync.list(context.Background(), "config"), errFormerEra)
		is.Equal(x.sync.watchOnce(x.ctx, "config", x.sync.kinds["config"], wagmirror.Position{Era: 1, Revision: 3}), errFormerEra)
		is.Equal(x.bodyOf("config", "main"), "restored")
		is.True(x.sync.ConfirmedAt().Equal(confirmed))
	})
}
