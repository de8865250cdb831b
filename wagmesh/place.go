package wagmesh

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagroster"
)

// ackTimeout bounds the wait for the owner's decision on a request or its
// acknowledgement. Within a data centre the round trip is below 1 ms, and an owner
// replies at once; a lost packet is sent again after 200 ms.
const ackTimeout = 40 * time.Millisecond

const (
	// startupPlaceTimeout bounds how long after its start a host lets requests wait for
	// the owner of a group. A host that does not know the others yet would take itself for
	// the owner, and hundreds of them would probe all servers at the same time.
	startupPlaceTimeout = time.Second
	// ownerSettleTime is how long the owner of a group must not have changed before such a
	// host sends it a request, or places one itself as the owner. A changed member may be
	// forwarded by several hosts in a row: from one seed to the other, and to the hosts
	// that know only this one. Hosts that start together would become owners one after
	// the other.
	ownerSettleTime = 4 * forwardInterval
	// startupPollInterval is the interval at which such a request checks for the owner.
	startupPollInterval = 10 * time.Millisecond
	// linkOpenTimeout bounds the wait of a request for a link to another data centre
	// that is not open yet. Opening one takes two round trips of up to 11 ms within a
	// region.
	linkOpenTimeout = 40 * time.Millisecond
	// linkPollInterval is the interval at which the request checks for the link.
	linkPollInterval = 2 * time.Millisecond
)

// maxKnownOwners bounds the groups whose owner is recorded.
const maxKnownOwners = 1024

// sentRequest is a request that was sent to a peer for placement.
type sentRequest struct {
	// acknowledged is closed when the peer has acknowledged that the request waits.
	acknowledged chan struct{}
	// outcome receives the decision of the peer. It has a buffer of one, so that
	// sending it does not block.
	outcome chan wagowner.Outcome
	// linkClosed is closed when the link ends.
	linkClosed chan struct{}
	// isAcknowledged means that acknowledged is closed.
	isAcknowledged bool
}

// Place asks the owner of the server group to assign a server to a request, and waits
// until one is free if necessary. This host decides itself while the owner is
// unreachable or does not acknowledge requests.
func (m *Mesh) Place(ctx context.Context, service string, r wagplacement.Request) wagowner.Outcome {
	m.gaps.Observe()
	now := m.clock.Now()
	// Another host may serve a request that has half of its time left.
	startupUntil := wagclock.Earlier(m.startedAt.Add(startupPlaceTimeout), now.Add(r.Deadline.Sub(now)/2))
	l, isOwner := m.awaitOwnerLink(ctx, service, startupUntil)
	if l != nil {
		if x := l.placeAtPeer(ctx, service, r, wagclock.Later(m.clock.Now().Add(ackTimeout), startupUntil)); x != nil {
			return x
		}
	}
	if ctx.Err() != nil {
		return wagowner.Refused{Reason: wagplacement.ReasonDeadline, RetryAt: m.clock.Now()}
	}
	r.OwnerUnreachable, r.Alone = !isOwner, m.aloneShare(isOwner)
	return m.owner.Place(ctx, service, r)
}

// awaitOwnerLink returns what ownerLink does. Until a time shortly after the start of this
// host, it waits until the owner has settled, for the link to it, and before this host
// becomes the owner, for the objects of the store, with which it learns of the other hosts.
func (m *Mesh) awaitOwnerLink(ctx context.Context, service string, startupUntil time.Time) (l *link, isOwner bool) {
	for {
		l, isOwner = m.ownerLink(service, m.self.DataCentre)
		now := m.clock.Now()
		if !now.Before(startupUntil) || (l != nil || isOwner && !m.sync.HasUnreadKinds()) && m.isOwnerSettled(now, service) {
			return l, isOwner
		}
		if !wagclock.Wait(ctx, m.clock, wagclock.Earlier(startupUntil, now.Add(startupPollInterval))) {
			return nil, isOwner
		}
	}
}

// knownOwner is the owner of a group, as this host knows it since its start.
type knownOwner struct {
	name  string
	since time.Time
}

// recordOwner records the owner of a group in the data centre of this host; m.mu is held.
func (m *Mesh) recordOwner(now time.Time, service string) (owner wagroster.Member, ok bool) {
	owner, ok = m.roster.Owner(service, m.self.DataCentre)
	if m.knownOwners[service].name != owner.Name && len(m.knownOwners) < maxKnownOwners {
		m.knownOwners[service] = knownOwner{name: owner.Name, since: now}
	}
	return owner, ok
}

// isOwnerSettled reports whether the owner of a group has not changed for ownerSettleTime.
func (m *Mesh) isOwnerSettled(now time.Time, service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordOwner(now, service)
	return !now.Before(m.knownOwners[service].since.Add(ownerSettleTime))
}

// PlaceRemote asks the owner of a server group in another data centre to assign a server
// to a request. It returns nil when the owner is unreachable or does not acknowledge the
// request.
func (m *Mesh) PlaceRemote(ctx context.Context, dataCentre, service string, r wagplacement.Request) wagowner.Outcome {
	deadline := m.clock.Now().Add(linkOpenTimeout)
	for {
		if l, _ := m.ownerLink(service, dataCentre); l != nil {
			return l.placeAtPeer(ctx, service, r, m.clock.Now().Add(ackTimeout))
		}
		if !m.clock.Now().Before(deadline) || !wagclock.Wait(ctx, m.clock, m.clock.Now().Add(linkPollInterval)) {
			return nil
		}
	}
}

// ownerLink returns the link to the owner of a group. It returns nil when this host has
// to decide itself: as the owner, which sets isOwner, or because the owner is unknown,
// unreachable or stalled.
func (m *Mesh) ownerLink(service, dataCentre string) (l *link, isOwner bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	owner, ok := m.roster.Owner(service, dataCentre)
	if !ok || owner.Name == m.self.Name {
		return nil, ok
	}
	l = m.linkTo(owner.Name)
	if l == nil {
		m.ensureLink(now, owner)
		return nil, false
	}
	if l.isStalled() {
		return nil, false
	}
	return l, false
}

// placeAtPeer sends a request to the peer for placement and waits for the decision. It
// returns nil when the peer does not acknowledge the request by a time, the link ends or
// ctx ends.
func (l *link) placeAtPeer(ctx context.Context, service string, r wagplacement.Request, ackBy time.Time) wagowner.Outcome {
	clock := l.mesh.clock
	sent := &sentRequest{acknowledged: make(chan struct{}), outcome: make(chan wagowner.Outcome, 1), linkClosed: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.lastRequestID++
	id := l.lastRequestID
	l.lastPlaced = clock.Now()
	l.sentRequests[id] = sent
	l.enqueueLocked(func(f *Frame) { f.Places = append(f.Places, placeMessage(id, clock.Now(), service, r)) })
	l.mu.Unlock()
	ackExpired, stopTimer := clock.TimerAt(ackBy)
	defer stopTimer()
	acknowledged := sent.acknowledged
	for {
		select {
		case x := <-sent.outcome:
			return x
		case <-acknowledged:
			acknowledged, ackExpired = nil, nil
		case <-ackExpired:
			l.markStalled(service, r.Name)
			return l.cancelRequest(id, sent)
		case <-sent.linkClosed:
			return nil
		case <-ctx.Done():
			return l.cancelRequest(id, sent)
		}
	}
}

// markStalled records that the peer did not acknowledge a request in time. The next
// frame from it resets that.
func (l *link) markStalled(service, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stalled {
		l.mesh.log.WithFields(logrus.Fields{
			"peer": l.peer.Name, "dataCentre": l.peer.DataCentre, "service": service, "request": request, "waitedMs": ackTimeout.Milliseconds(),
		}).Info("the owner of the server group did not acknowledge a request in time")
	}
	l.stalled = true
}

// isStalled reports whether the peer has not acknowledged a request and sent nothing
// since.
func (l *link) isStalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stalled
}

// cancelRequest cancels a request that was sent to the peer. It returns the decision if
// that has arrived in the meantime, and nil otherwise.
func (l *link) cancelRequest(id uint64, sent *sentRequest) wagowner.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case x := <-sent.outcome:
		return x
	default:
	}
	if l.closed {
		return nil
	}
	delete(l.sentRequests, id)
	l.enqueueLocked(func(f *Frame) { f.Cancels = append(f.Cancels, id) })
	return nil
}

// handlePlaced handles the peer's reply to a request. A grant that is invalid or no
// longer wanted is given back at once.
func (l *link) handlePlaced(now time.Time, p *Placed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, ok := l.sentRequests[p.GetId()]
	switch p.GetStatus() {
	case Placed_WAITING:
		if ok && !sent.isAcknowledged {
			sent.isAcknowledged = true
			close(sent.acknowledged)
		}
		return
	case Placed_GRANTED:
		server, valid := serverFromMessage(p)
		if !ok || !valid {
			l.enqueueLocked(func(f *Frame) {
				f.Finishes = append(f.Finishes, finishMessage(p.GetId(), wagplacement.Result{Fault: wagplacement.FaultCanceled}))
			})
			return
		}
		id := p.GetId()
		sent.outcome <- wagowner.Granted{Server: server, By: l.peer.Name, HedgeAfter: milliseconds(int64(p.GetHedgeAfter())), Finish: func(r wagplacement.Result) {
			l.enqueue(func(f *Frame) { f.Finishes = append(f.Finishes, finishMessage(id, r)) })
		}}
	default:
		if ok {
			sent.outcome <- refusalFromMessage(p, now)
		}
	}
	delete(l.sentRequests, p.GetId())
}

// handlePlace submits a request of the peer to the owner on this host.
func (l *link) handlePlace(now time.Time, p *Place) {
	id := p.GetId()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.waitingTickets[id] = wagowner.Ticket{}
	l.mu.Unlock()
	r := requestFromMessage(p, now)
	r.Alone = l.mesh.aloneShare(true)
	t := l.mesh.owner.Submit(p.GetService(), r, func(x wagowner.Outcome) { l.sendOutcome(id, x) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.waitingTickets[id]; waiting {
		l.waitingTickets[id] = t
		l.enqueueLocked(func(f *Frame) { f.Placed = append(f.Placed, &Placed{Id: id, Status: Placed_WAITING}) })
	}
}

// sendOutcome sends the decision on a request to the peer. The owner calls it while it
// is locked.
func (l *link) sendOutcome(id uint64, x wagowner.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		// A grant that is never finished is reclaimed after the request's deadline.
		return
	}
	delete(l.waitingTickets, id)
	if g, ok := x.(wagowner.Granted); ok {
		l.grantFinishers[id] = g.Finish
	}
	l.enqueueLocked(func(f *Frame) { f.Placed = append(f.Placed, placedMessage(id, l.mesh.clock.Now(), x)) })
}

// handleFinish passes the result of an attempt of the peer to the owner.
func (l *link) handleFinish(f *Finish) {
	l.mu.Lock()
	finish, ok := l.grantFinishers[f.GetId()]
	delete(l.grantFinishers, f.GetId())
	l.mu.Unlock()
	if ok {
		finish(resultFromMessage(f))
	}
}

// handleCancel cancels a request of the peer that waits for a server. One that has been
// granted meanwhile is given back by the peer with a Finish message.
func (l *link) handleCancel(id uint64) {
	l.mu.Lock()
	t, waiting := l.waitingTickets[id]
	delete(l.waitingTickets, id)
	l.mu.Unlock()
	if waiting {
		t.Cancel()
	}
}
