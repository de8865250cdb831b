package wagmesh

import (
	"math"
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// handleHeartbeat records what the peer reports of the store and of its copy. It sends
// the changes that the peer lacks, and takes over the peer's confirmation if this host's
// copy is as complete.
func (l *link) handleHeartbeat(now time.Time, b *Beat) {
	l.mu.Lock()
	l.peerStamp = max(l.peerStamp, b.GetStamp())
	for _, c := range b.GetComplete() {
		l.peerPositions[c.GetKind()] = positionFromMessage(c)
	}
	l.mu.Unlock()
	complete := l.mesh.sync.Positions()
	l.pushUpdates(complete)
	l.mesh.setPeerDisconnected(now, l.peer.Name, b.GetDisconnected())
	l.mu.Lock()
	subscribed := l.subscribed
	l.mu.Unlock()
	if subscribed && l.inSameDataCentre() {
		l.mesh.recordStoreReport(now, b.GetStoreMayBeDown())
	}
	if b.GetWantsEcho() {
		l.mesh.mu.Lock()
		l.sendHeartbeat(now)
		l.mesh.mu.Unlock()
	}
	sentAt, isProven := l.mesh.latestSendTime(now, b)
	if b.ConfirmedAge == nil || !l.exchangesUpdates() || !isProven {
		return
	}
	confirmed := sentAt.Add(-milliseconds(int64(b.GetConfirmedAge())))
	l.mu.Lock()
	l.peerConfirmedAt = wagclock.Later(l.peerConfirmedAt, confirmed)
	l.mu.Unlock()
	if !coversKinds(b.GetComplete(), complete) {
		// The peer does not follow a kind of this host, as while settings are changed from
		// host to host.
		return
	}
	for _, c := range b.GetComplete() {
		if complete[c.GetKind()].Before(positionFromMessage(c)) {
			// Changes that the peer already has are still in transit.
			return
		}
	}
	l.mesh.recordConfirmation(l, confirmed)
}

// coversKinds reports whether a peer follows all kinds of this host.
func coversKinds(list []*Complete, complete map[string]wagmirror.Position) bool {
	for kind := range complete {
		if !slices.ContainsFunc(list, func(c *Complete) bool { return c.GetKind() == kind }) {
			return false
		}
	}
	return true
}

// pushUpdates sends the changes that the peer's copy lacks. complete holds the position
// of each kind up to which this host's copy is complete.
func (l *link) pushUpdates(complete map[string]wagmirror.Position) {
	for kind, position := range complete {
		l.mu.Lock()
		known := l.peerPositions[kind]
		behind := (l.subscribed || l.peerSubscribed) && known.Before(position)
		if behind {
			l.peerPositions[kind] = position
		}
		l.mu.Unlock()
		if !behind {
			continue
		}
		u, err := l.mesh.encodedUpdate(kind, known)
		if err != nil {
			l.mesh.log.WithError(err).Warning("cannot encode an update for another host")
			continue
		}
		l.enqueue(func(f *Frame) { f.Updates = append(f.Updates, u) })
	}
}

// tick sends a heartbeat when one is due, and closes the link when the peer is silent or
// the link is idle. An idle link to a host that is disconnected from the store stays
// open, so that its heartbeats show when it is connected again; mesh.mu is held.
func (l *link) tick(now time.Time) {
	interval := localHeartbeatInterval
	if !l.inSameDataCentre() {
		interval = remoteHeartbeatInterval
	}
	disconnected := l.mesh.roster.IsDisconnected(now, l.peer.Name)
	l.mu.Lock()
	if l.mayCloseIdle() && !disconnected && now.Sub(l.lastPlaced) > idleTimeout {
		l.closingIdle = true
		l.enqueueLocked(func(f *Frame) { f.Bye = true })
	}
	silent := now.Sub(l.lastReceived) > silenceTimeout
	due := !now.Before(l.nextHeartbeat)
	if due {
		l.nextHeartbeat = now.Add(interval)
	}
	l.mu.Unlock()
	if silent {
		l.cancel(errSilent)
		return
	}
	if due {
		l.sendHeartbeat(now)
	}
}

// mayCloseIdle reports whether this host opened the link, to another data centre, and
// does not need it now; l.mu is held.
func (l *link) mayCloseIdle() bool {
	return !l.inSameDataCentre() && !l.inbound && !l.subscribed && !l.peerSubscribed && len(l.sentRequests) == 0 && !l.closingIdle
}

// sendHeartbeat sends a heartbeat with the state of the store and of the copy; mesh.mu
// is held.
func (l *link) sendHeartbeat(now time.Time) {
	s := l.mesh.sync
	b := &Beat{Disconnected: s.IsDisconnected(), StoreMayBeDown: l.inSameDataCentre() && l.mesh.storeMayBeDown, Stamp: l.mesh.stamp(now)}
	at := l.mesh.confirmationFor(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	b.Echo, b.WantsEcho, l.echoNeeded = l.peerStamp, l.echoNeeded, false
	if l.subscribed || l.peerSubscribed {
		b.Complete = l.mesh.completeMessages()
		if !at.IsZero() {
			// Rounded up, so that no hop makes a copy look fresher than it is.
			age := uint32(min(max(now.Sub(at).Milliseconds()+1, 0), math.MaxUint32))
			b.ConfirmedAge = &age
			l.peerConfirmedAt = wagclock.Later(l.peerConfirmedAt, at)
		}
	}
	l.enqueueLocked(func(f *Frame) { f.Beat = b })
}

// needsConfirmation reports whether the peer is to be told at once when the copy of this
// host was confirmed.
func (l *link) needsConfirmation(confirmed time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return (l.subscribed || l.peerSubscribed) && confirmed.Sub(l.peerConfirmedAt) > minConfirmationGain
}

// completeMessages returns the positions up to which the copy of this host is complete.
func (m *Mesh) completeMessages() (list []*Complete) {
	for kind, position := range m.sync.Positions() {
		list = append(list, &Complete{Kind: kind, Era: uint64(position.Era), Revision: uint64(position.Revision)})
	}
	return list
}

// isPeerComplete reports whether the peer has the objects of all kinds.
func (l *link) isPeerComplete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, kind := range l.mesh.sync.Kinds() {
		if l.peerPositions[kind].Revision == 0 {
			return false
		}
	}
	return true
}
