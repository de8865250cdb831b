package wagexplore

import (
	"strconv"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// store is a fake of the object store. It behaves like wagstore.Memory, but with faults.
type store struct {
	world    *world
	objects  map[string]*storedObject
	version  uint64
	requests uint64
}

type storedObject struct {
	// latest and previous have an empty version when the object didn't exist.
	latest, previous wagstore.Object
	// lastChange is the version of the store after the latest change of the object.
	lastChange uint64
}

// storeResult is the result of a read or a write.
type storeResult struct {
	object  wagstore.Object
	version wagstore.Version
	err     error
}

func newStore(w *world) *store {
	return &store{world: w, objects: make(map[string]*storedObject)}
}

func (s *store) latency() time.Duration {
	if s.world.faultActive(StoreSlow, 0) {
		return s.world.randomDuration(200*time.Millisecond, 3*time.Second)
	}
	return s.world.randomDuration(2*time.Millisecond, 4*time.Millisecond)
}

// get reads an object. The result has no version when the object doesn't exist.
func (s *store) get(key string, done func(storeResult)) {
	s.requests++
	delay := s.latency()
	s.world.schedule(delay/2, func() {
		r := storeResult{}
		o := s.objects[key]
		switch {
		case s.world.faultActive(StoreDown, 0):
			r.err = wagstore.ErrUnavailable
		case o == nil:
		case s.world.faultActive(StaleRead, 0) && s.world.chance(40):
			r.object = o.previous
		default:
			r.object = o.latest
		}
		s.world.schedule(delay/2, func() { done(r) })
	})
}

// put writes an object on the condition that it has the expected version. An empty one
// means that the object must not exist.
func (s *store) put(key string, value []byte, expected wagstore.Version, done func(storeResult)) {
	s.requests++
	delay := s.latency()
	s.world.schedule(delay/2, func() {
		r := storeResult{}
		switch {
		case s.world.faultActive(StoreDown, 0):
			r.err = wagstore.ErrUnavailable
		case s.world.faultActive(AnswerLost, 0) && s.world.chance(30):
			r.err = wagstore.ErrUnknown
			s.applyWithoutResponse(key, value, expected)
		default:
			r.version, r.err = s.apply(key, value, expected)
		}
		s.world.schedule(delay/2, func() { done(r) })
	})
}

// applyWithoutResponse applies a write whose response is lost: at once, later or never.
func (s *store) applyWithoutResponse(key string, value []byte, expected wagstore.Version) {
	switch s.world.random.IntN(3) {
	case 0:
		_, _ = s.apply(key, value, expected)
	case 1:
		s.world.schedule(s.world.randomDuration(0, 2*time.Second), func() { _, _ = s.apply(key, value, expected) })
	}
}

// apply performs a conditional write.
func (s *store) apply(key string, value []byte, expected wagstore.Version) (wagstore.Version, error) {
	o := s.objects[key]
	if o == nil {
		o = &storedObject{}
		s.objects[key] = o
	}
	if o.latest.Version != expected && (s.world.config.defect != noFence || key[0] == 'l') {
		return "", wagstore.ErrConflict
	}
	s.version++
	version := wagstore.Version(strconv.FormatUint(s.version, 10))
	o.previous = o.latest
	o.latest = wagstore.Object{Key: key, Value: value, Version: version}
	o.lastChange = s.version
	s.world.record(wagevent.KindStore, 0, s.version, uint64(len(value)))
	s.world.traceEvent(wagevent.KindStore, 0, "%s at version %s after %s", key, version, expected)
	s.world.executions.observeHead(key, value)
	if s.world.fleet != nil {
		s.world.fleet.documents.observeWrite(key, value)
	}
	return version, nil
}

func (s *store) remove(key string) {
	s.requests++
	s.world.schedule(s.latency(), func() {
		if !s.world.faultActive(StoreDown, 0) {
			delete(s.objects, key)
		}
	})
}
