package wagsync

import (
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// Errors of responses that cannot be applied because of their era.
var (
	// errOtherEra means that the store has come back from a copy since the host read it, so
	// that all objects have to be listed again.
	errOtherEra = errors.New("the store has come back from a copy")
	// errFormerEra means that a response is older than a return of the store that this host
	// has heard of. It proves nothing about the present state.
	errFormerEra = errors.New("the response is of a former era of the store")
)

// isFormerEra reports whether a later era than the given one is known, from the store or
// from another host.
func (s *Sync) isFormerEra(era wagmirror.Era) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return era < s.knownEra()
}

// knownEra returns the latest era that is known; s.mu is held.
func (s *Sync) knownEra() wagmirror.Era { return max(s.latestPosition().Era, s.storePosition.Era) }
