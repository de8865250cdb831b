package waghost

import (
	"maps"
	"sync"
	"time"
)

// shortageEndDelay is how long no caller may have been refused before a shortage counts as
// over. Without it, a host at its limit would log two lines for each refusal.
const shortageEndDelay = 10 * time.Second

// shortages tells when this host begins to refuse callers because it is short of memory,
// connections or descriptors, and when it has ceased to. It is safe for concurrent use.
type shortages struct {
	mu sync.Mutex
	// counts holds the refusals of the current shortage by cause; empty without one.
	counts map[string]uint64
	// began is when the current shortage began, and latest when a caller was last refused.
	began, latest time.Time
}

func newShortages() *shortages { return &shortages{counts: make(map[string]uint64)} }

// record counts a refused caller and reports whether a shortage begins with it.
func (s *shortages) record(now time.Time, cause string) (begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if begins = len(s.counts) == 0; begins {
		s.began = now
	}
	s.latest = now
	s.counts[cause]++
	return begins
}

// shortage describes a shortage that is over.
type shortage struct {
	// duration is the time between the first and the last refusal.
	duration time.Duration
	// refused counts the refused callers by cause.
	refused map[string]uint64
}

// end returns the shortage that is over, if no caller was refused for shortageEndDelay.
func (s *shortages) end(now time.Time) (over shortage, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.counts) == 0 || now.Sub(s.latest) < shortageEndDelay {
		return shortage{}, false
	}
	over = shortage{duration: s.latest.Sub(s.began), refused: maps.Clone(s.counts)}
	clear(s.counts)
	return over, true
}
