package wagsync

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// droppedLogInterval is the least time between two lines about dropped updates.
const droppedLogInterval = time.Second

func newDroppedLog() *rate.Limiter { return rate.NewLimiter(rate.Every(droppedLogInterval), 5) }

// recordDropped counts and logs an update that was not applied to a copy that is complete
// up to a revision; s.mu is held.
func (s *Sync) recordDropped(u wagmirror.Update, known wagmirror.Revision, reason string) {
	s.droppedUpdates++
	if !s.droppedLog.AllowN(s.clock.Now(), 1) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"kind": u.Kind, "from": u.From, "reason": reason, "full": u.Full, "era": uint64(u.Era), "since": uint64(u.Since), "revision": uint64(u.At),
		"knownRevision": uint64(known), "dropped": s.droppedUpdates,
	}).Info("dropped an update of the store's objects")
}

// recordEra records the era of a response of the store, and logs that it has changed.
func (s *Sync) recordEra(u wagmirror.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Era == s.storeEra {
		return
	}
	s.log.WithFields(logrus.Fields{
		"kind": u.Kind, "era": uint64(u.Era), "formerEra": uint64(s.storeEra), "revision": uint64(u.At), "knownRevision": uint64(s.mirror.CompleteRevision(u.Kind)),
	}).Warning("the store is in another era")
	s.storeEra = u.Era
}

// State identifies the state of the store that a host knows.
type State struct {
	Era wagmirror.Era
	// Revision is the highest revision up to which all changes of some kind are known.
	Revision wagmirror.Revision
}

// State returns the state of the store that this host knows.
func (s *Sync) State() (x State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.Era = s.storeEra
	for kind := range s.kinds {
		x.Revision = max(x.Revision, s.mirror.CompleteRevision(kind))
	}
	return x
}

// DroppedUpdates returns the number of updates that were not applied.
func (s *Sync) DroppedUpdates() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.droppedUpdates
}
