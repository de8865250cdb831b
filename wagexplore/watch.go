package wagexplore

import (
	"sort"
	"strings"

	"github.com/wagtailspar/wagtailspar/wagstore"
)

// listResult is the result of a read of several objects. Removed objects have no version.
type listResult struct {
	objects []wagstore.Object
	cursor  uint64
	err     error
}

// readChanges reads the objects that changed after a cursor, or all objects when it is
// 0. A stale response doesn't advance the cursor and lists the previous version of an
// object after its latest one.
func (s *store) readChanges(prefix string, since uint64, done func(listResult)) {
	s.requests++
	delay := s.latency()
	s.world.schedule(delay/2, func() {
		r := listResult{cursor: s.version}
		switch {
		case s.world.faultActive(StoreDown, 0):
			r.err = wagstore.ErrUnavailable
		case s.world.faultActive(StaleRead, 0) && s.world.chance(40):
			r.cursor = since
			r.objects = s.collectChanges(prefix, since, true)
		default:
			r.objects = s.collectChanges(prefix, since, false)
		}
		s.world.schedule(delay/2, func() { done(r) })
	})
}

func (s *store) collectChanges(prefix string, since uint64, stale bool) (objects []wagstore.Object) {
	var keys []string
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && o.lastChange > since {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		o := s.objects[key]
		if o.latest.Version != "" || since > 0 {
			objects = append(objects, o.latest)
			objects[len(objects)-1].Key = key
		}
		if stale && o.previous.Version != "" {
			objects = append(objects, o.previous)
		}
	}
	return objects
}

// overwrite writes an object without a condition, as one does without the operators'
// tool.
func (s *store) overwrite(key string, value []byte) {
	var current wagstore.Version
	if o := s.objects[key]; o != nil {
		current = o.latest.Version
	}
	_, _ = s.apply(key, value, current)
}

// dropObject removes an object that no operator deleted, as if the store lost it.
func (s *store) dropObject(key string) {
	o := s.objects[key]
	if o == nil || o.latest.Version == "" {
		return
	}
	s.version++
	o.previous, o.latest, o.lastChange = o.latest, wagstore.Object{}, s.version
}
