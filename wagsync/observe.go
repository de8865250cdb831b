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
// up to a position; s.mu is held.
func (s *Sync) recordDropped(u wagmirror.Update, known wagmirror.Position, reason string) {
	s.droppedUpdates++
	if !s.droppedLog.AllowN(s.clock.Now(), 1) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"kind": u.Kind, "from": u.From, "reason": reason, "full": u.Full, "era": uint64(u.Era), "since": uint64(u.Since), "revision": uint64(u.At),
		"knownEra": uint64(known.Era), "knownRevision": uint64(known.Revision), "dropped": s.droppedUpdates,
	}).Info("dropped an update of the store's objects")
}

// logEra logs that an update has replaced the copy of a kind by one of a later era.
func (s *Sync) logEra(u wagmirror.Update, former wagmirror.Position) {
	s.log.WithFields(logrus.Fields{
		"kind": u.Kind, "from": u.From, "era": uint64(u.Era), "formerEra": uint64(former.Era), "revision": uint64(u.At), "knownRevision": uint64(former.Revision),
	}).Warning("the store has come back from a copy; all objects were listed again")
}

// Position returns the latest position up to which all changes of some kind are known.
func (s *Sync) Position() (latest wagmirror.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestPosition()
}

// latestPosition is Position while s.mu is held.
func (s *Sync) latestPosition() (latest wagmirror.Position) {
	for kind := range s.kinds {
		latest = wagmirror.LaterPosition(latest, s.mirror.Complete(kind))
	}
	return latest
}

// DroppedUpdates returns the number of updates that were not applied.
func (s *Sync) DroppedUpdates() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.droppedUpdates
}
