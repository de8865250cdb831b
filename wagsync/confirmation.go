package wagsync

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// recordResponse records that a response of the store showed all changes of a kind up to
// a position, which was the store's at a time. It confirms the copies of all kinds that
// lack no change of that position. A response of a former era confirms nothing.
func (s *Sync) recordResponse(kind string, position wagmirror.Position, at time.Time) {
	s.mu.Lock()
	f := s.kinds[kind]
	f.covered = wagmirror.LaterPosition(f.covered, position)
	f.answered = true
	latest := wagmirror.LaterPosition(s.storePosition, position)
	for name, k := range s.kinds {
		if position.Era == s.knownEra() && !wagmirror.LaterPosition(k.covered, s.mirror.Complete(name)).Before(latest) {
			k.confirmedAt = wagclock.Later(k.confirmedAt, at)
		}
	}
	if f.failures > 0 {
		s.log.WithField("kind", kind).Info("the store answers again")
	}
	f.failures = 0
	s.markConnected()
	s.updateStorePosition(position)
	onConfirmed := s.onConfirmed
	s.mu.Unlock()
	onConfirmed()
}

// SetConfirmationHandler sets the function that is called after the store has confirmed
// the copy to this host.
func (s *Sync) SetConfirmationHandler(handler func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onConfirmed = handler
}

// RecordPeerConfirmation records that, according to another host that does not have it
// from this one, the copy was complete at a time. It reports whether the confirmation is
// newer than any before.
func (s *Sync) RecordPeerConfirmation(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.After(s.peerConfirmed) {
		return false
	}
	s.peerConfirmed = at
	return true
}

// ConfirmedAt returns when the copy was last known to be complete, or the zero time if
// it never was.
func (s *Sync) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wagclock.Later(s.ownConfirmation(), s.peerConfirmed)
}

// OwnConfirmedAt returns when the store last confirmed the copy to this host, or the zero
// time if it never did.
func (s *Sync) OwnConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownConfirmation()
}

// PeerConfirmedAt returns when the copy was last complete according to another host, or
// the zero time if it never was.
func (s *Sync) PeerConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerConfirmed
}

// ownConfirmation returns when the store last confirmed the copies of all kinds to this
// host; s.mu is held.
func (s *Sync) ownConfirmation() (earliest time.Time) {
	first := true
	for _, f := range s.kinds {
		if first || f.confirmedAt.Before(earliest) {
			earliest = f.confirmedAt
		}
		first = false
	}
	return earliest
}

// provenAt returns the time for which the response to a request proves the state of the
// store, which would be at: none, the zero time, if this host stood still since the request
// began. The response may have waited meanwhile.
func (s *Sync) provenAt(began, at time.Time) time.Time {
	if s.gaps.EndedSince(began) {
		return time.Time{}
	}
	return at
}

// handleGap makes the copy as old as it is after a gap that the clock did not count, and
// begins the watches anew, whose responses prove nothing.
func (s *Sync) handleGap(g wagclock.Gap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.kinds {
		k.confirmedAt = earlierBy(k.confirmedAt, g.Uncounted)
		if k.interrupt != nil {
			k.interrupt()
		}
	}
	s.peerConfirmed = earlierBy(s.peerConfirmed, g.Uncounted)
}

// earlierBy returns an earlier time; the zero time stays as it is.
func earlierBy(t time.Time, d time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-d)
}
