package wagmesh

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagroster"
)

const (
	// minFollowDuration is how long a host at least follows the store after it began to do
	// so because its copy was too old.
	minFollowDuration = 2 * time.Second
	// minConfirmationGain is by how much newer a confirmation is than the one that a peer
	// has when it is sent at once. Otherwise it is sent with the next heartbeat.
	minConfirmationGain = 150 * time.Millisecond
)

// confirmations holds the latest times at which the copy of this host was complete
// according to other hosts.
type confirmations struct {
	// latest is the latest time of all, and by the link on which it came.
	latest time.Time
	by     *link
	// others is the latest time that came on another link.
	others time.Time
}

// record records a time that came on a link.
func (c *confirmations) record(l *link, at time.Time) {
	switch {
	case !at.After(c.latest):
		if l != c.by {
			c.others = wagclock.Later(c.others, at)
		}
	case l == c.by:
		c.latest = at
	default:
		c.latest, c.by, c.others = at, l, c.latest
	}
}

// exceptFrom returns the latest time that did not come on a link.
func (c *confirmations) exceptFrom(l *link) time.Time {
	if l == c.by {
		return c.others
	}
	return c.latest
}

// recordConfirmation records that the copy of this host was complete at a time according
// to the peer of a link, and tells others that have an older confirmation.
func (m *Mesh) recordConfirmation(from *link, at time.Time) {
	m.mu.Lock()
	m.confirmations.record(from, at)
	m.mu.Unlock()
	if m.sync.RecordPeerConfirmation(at) {
		m.pushConfirmation()
		m.endHold()
	}
}

// confirmationFor returns the latest confirmation of the copy that did not come from the
// peer of a link. A host that follows the store would otherwise take its own confirmation
// for that of another one, and stop; m.mu is held.
func (m *Mesh) confirmationFor(to *link) time.Time {
	return wagclock.Later(m.sync.OwnConfirmedAt(), m.confirmations.exceptFrom(to))
}

// copyAge returns how long ago the copy of the store's objects was known to be complete,
// or the time since the start if it never was.
func (m *Mesh) copyAge(now time.Time) time.Duration {
	return now.Sub(wagclock.Later(m.sync.ConfirmedAt(), m.startedAt))
}

// mustFollow reports whether this host has to follow the store: as the leader, or because
// its copy is too old. It also returns when the copy will be too old; m.mu is held.
func (m *Mesh) mustFollow(now time.Time, hasUpstream bool) (follow bool, followAt time.Time) {
	if followAt = m.startedAt.Add(startupFollowDelay); now.Before(followAt) {
		return false, followAt
	}
	rank := m.roster.Rank()
	if !hasUpstream {
		return true, now
	}
	if m.sync.IsDisconnected() && rank > 0 {
		// wagsync pings the store until it responds.
		return false, time.Time{}
	}
	following := m.sync.IsFollowing()
	confirmed := m.sync.PeerConfirmedAt()
	if !following {
		confirmed = m.sync.ConfirmedAt()
	}
	followAt = m.freshness.FollowAt(wagclock.Later(confirmed, m.startedAt), rank, now.Before(m.storeDownUntil))
	switch {
	case now.Before(followAt):
		return following && now.Before(m.followUntil), followAt
	case !following:
		m.followUntil = now.Add(minFollowDuration)
		m.log.WithFields(logrus.Fields{"rank": rank, "copyAgeMs": m.copyAge(now).Milliseconds()}).Info("no other host confirms the copy")
	}
	return true, now
}

// updateFallbacks subscribes at further hosts of the data centre while the copy is too
// old: at those that follow the store next, all at once, so that one more silent host
// costs no further wait; m.mu is held.
func (m *Mesh) updateFallbacks(now time.Time, upstream wagroster.Member, hasUpstream bool) {
	if !hasUpstream {
		return
	}
	count := m.freshness.FallbackCount(now, now.Add(-m.copyAge(now)))
	for _, member := range m.roster.Fallbacks(count, upstream.Name) {
		if l := m.linkTo(member.Name); l != nil {
			l.setSubscribed(true)
			m.subscribedToOthers = true
		} else {
			m.startDial(now, member.Address)
		}
	}
}

// isStale reports whether the copy of this host is so old that it asks others than its
// upstream host; m.mu is held.
func (m *Mesh) isStale(now time.Time) bool {
	return m.freshness.FallbackCount(now, now.Add(-m.copyAge(now))) > 0
}

// pushConfirmation sends a heartbeat at once to the peers whose copies were confirmed
// longer ago than that of this host.
func (m *Mesh) pushConfirmation() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, l := range m.allLinks() {
		if l.needsConfirmation(m.confirmationFor(l)) {
			l.sendHeartbeat(now)
		}
	}
}
