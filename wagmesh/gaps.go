package wagmesh

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// maxEchoAge is the age of an echo up to which a heartbeat counts as sent a moment ago.
	// In calm an echo is as old as the interval of heartbeats and a round trip.
	maxEchoAge = time.Second
	// gapHoldTimeout bounds how long requests are held after a gap until the copy of the
	// store's objects is confirmed again.
	gapHoldTimeout = 300 * time.Millisecond
)

// WithGaps sets what notices that this host stood still. By default, nothing does.
func WithGaps(g *wagclock.Gaps) Option { return func(m *Mesh) { m.gaps = g } }

// stamp returns the stamp of a heartbeat that is sent at a time. It is rounded up, so that
// the first heartbeat after a gap counts as sent after it.
func (m *Mesh) stamp(now time.Time) uint64 {
	return uint64(max(now.Sub(m.startedAt).Microseconds(), 0)) + 1
}

// latestSendTime returns a time by which a heartbeat was sent, and false if that is not
// known. A heartbeat may have waited for long, in this host's sockets while it stood still
// or on the way; it was sent after the heartbeat whose stamp it repeats.
func (m *Mesh) latestSendTime(now time.Time, b *Beat) (at time.Time, ok bool) {
	if b.GetEcho() == 0 {
		return now, false
	}
	echoed := m.startedAt.Add(time.Duration(min(b.GetEcho(), m.stamp(now))) * time.Microsecond)
	if lastEnd := m.gaps.LastEnd(); !lastEnd.IsZero() && echoed.Before(lastEnd) {
		return now, false
	}
	return wagclock.Earlier(now, echoed.Add(maxEchoAge)), true
}

// handleGap is called when this host goes on after it stood still. All that it knows of the
// others and of the store is as old as the gap; what waits in its sockets was sent meanwhile.
func (m *Mesh) handleGap(g wagclock.Gap) {
	if m.distrust(g) {
		m.owner.Hold(g.EndedAt.Add(gapHoldTimeout))
	}
}

// distrust makes what this host knows as old as it is after a gap. It reports whether the
// copy of the store's objects is so old that other hosts know a newer one.
func (m *Mesh) distrust(g wagclock.Gap) (isStale bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmations.latest = m.confirmations.latest.Add(-g.Uncounted)
	m.confirmations.others = m.confirmations.others.Add(-g.Uncounted)
	age := m.copyAge(g.EndedAt) // wagsync has handled the gap
	m.log.WithFields(logrus.Fields{"gapMs": g.Length.Milliseconds(), "uncountedMs": g.Uncounted.Milliseconds(), "copyAgeMs": age.Milliseconds()}).Warning("this host did not run for a while")
	for _, l := range m.allLinks() {
		l.mu.Lock()
		l.echoNeeded, l.peerConfirmedAt = true, l.peerConfirmedAt.Add(-g.Uncounted)
		l.mu.Unlock()
		l.sendHeartbeat(g.EndedAt)
	}
	return m.isStale(g.EndedAt)
}

// endHold lets the requests go on that are held since the latest gap, if the copy is fresh.
func (m *Mesh) endHold() {
	if m.gaps.LastEnd().IsZero() {
		return
	}
	m.mu.Lock()
	isStale := m.isStale(m.clock.Now())
	m.mu.Unlock()
	if !isStale {
		m.owner.EndHold()
	}
}
