package wagmesh

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// ackTime is how long an owner may take to take note of a request. Within a data
// centre the round trip is below 1 ms, and an owner decides or takes note at
// once; a packet that is lost is sent again after 200 ms.
const ackTime = 40 * time.Millisecond

const (
	// openTime is how long a request waits for a link to another data centre that is
	// not open. Opening one takes two round trips of up to 11 ms within a region.
	openTime = 40 * time.Millisecond
	// openPause is the time between two pings for the link.
	openPause = 2 * time.Millisecond
)

// asked is a request that was placed at another host.
type asked struct {
	// noted is closed when the other host took note of the request.
	noted chan struct{}
	// outcome has room for the one outcome.
	outcome chan wagowner.Outcome
	// lost is closed when the link ends.
	lost chan struct{}
	seen bool
}

// Place returns a server for a request from the owner of the server group, after
// waiting for one if need be. While the owner does not answer, this host decides
// itself.
func (m *Mesh) Place(ctx context.Context, service string, r wagplacement.Request) wagowner.Outcome {
	l, isOwner := m.ownerLink(service, m.self.DataCentre)
	if l != nil {
		if x := l.ask(ctx, service, r); x != nil {
			return x
		}
		if ctx.Err() != nil {
			return wagowner.Refused{Reason: wagplacement.ReasonDeadline, RetryAt: m.clock.Now()}
		}
	}
	r.OwnerUnreachable = !isOwner
	return m.owner.Place(ctx, service, r)
}

// PlaceRemote returns a server of another data centre, or nil when its owner does
// not answer.
func (m *Mesh) PlaceRemote(ctx context.Context, dataCentre, service string, r wagplacement.Request) wagowner.Outcome {
	until := m.clock.Now().Add(openTime)
	for {
		if l, _ := m.ownerLink(service, dataCentre); l != nil {
			return l.ask(ctx, service, r)
		}
		if !m.clock.Now().Before(until) || !wagclock.Wait(ctx, m.clock, m.clock.Now().Add(openPause)) {
			return nil
		}
	}
}

// ownerLink returns a link to the owner of a group that answers, or nil when this
// host decides itself. isOwner tells that it does so as the owner.
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
		m.ensure(now, owner)
		return nil, false
	}
	if l.isStalled() {
		return nil, false
	}
	return l, false
}

// ask places a request at the other host. It returns nil when the host does not
// take note of the request or is lost.
func (l *link) ask(ctx context.Context, service string, r wagplacement.Request) wagowner.Outcome {
	clock := l.mesh.clock
	a := &asked{noted: make(chan struct{}), outcome: make(chan wagowner.Outcome, 1), lost: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.next++
	id := l.next
	l.used = clock.Now()
	l.asked[id] = a
	l.sendLocked(func(f *Frame) { f.Places = append(f.Places, placeMessage(id, clock.Now(), service, r)) })
	l.mu.Unlock()
	fired, release := clock.At(clock.Now().Add(ackTime))
	defer release()
	noted := a.noted
	for {
		select {
		case x := <-a.outcome:
			return x
		case <-noted:
			noted, fired = nil, nil
		case <-fired:
			l.stall(service, r.Name)
			return l.withdraw(id, a)
		case <-a.lost:
			return nil
		case <-ctx.Done():
			return l.withdraw(id, a)
		}
	}
}

// stall notes that the other host did not answer to a request. The next frame from it
// ends that.
func (l *link) stall(service, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stalled {
		l.mesh.log.WithFields(logrus.Fields{
			"peer": l.peer.Name, "dataCentre": l.peer.DataCentre, "service": service, "request": request, "waitedMs": ackTime.Milliseconds(),
		}).Info("the owner does not answer")
	}
	l.stalled = true
}

func (l *link) isStalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stalled
}

// withdraw gives up a request that was placed at the other host.
func (l *link) withdraw(id uint64, a *asked) wagowner.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case x := <-a.outcome:
		return x
	default:
	}
	if l.closed {
		return nil
	}
	delete(l.asked, id)
	l.sendLocked(func(f *Frame) { f.Cancels = append(f.Cancels, id) })
	return nil
}

// placed takes what the other host says of a request.
func (l *link) placed(now time.Time, p *Placed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.asked[p.GetId()]
	switch p.GetStatus() {
	case Placed_WAITING:
		if ok && !a.seen {
			a.seen = true
			close(a.noted)
		}
		return
	case Placed_GRANTED:
		server, valid := serverOf(p)
		if !ok || !valid {
			l.sendLocked(func(f *Frame) {
				f.Finishes = append(f.Finishes, finishMessage(p.GetId(), wagplacement.Result{Fault: wagplacement.FaultCanceled}))
			})
			return
		}
		id := p.GetId()
		a.outcome <- wagowner.Granted{Server: server, HedgeAfter: milliseconds(int64(p.GetHedgeAfter())), Finish: func(r wagplacement.Result) {
			l.send(func(f *Frame) { f.Finishes = append(f.Finishes, finishMessage(id, r)) })
		}}
	default:
		if ok {
			a.outcome <- refusedOf(p, now)
		}
	}
	delete(l.asked, p.GetId())
}

// place takes a request of the other host.
func (l *link) place(now time.Time, p *Place) {
	id := p.GetId()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.taken[id] = wagowner.Ticket{}
	l.mu.Unlock()
	t := l.mesh.owner.Submit(p.GetService(), requestOf(p, now), func(x wagowner.Outcome) { l.decided(id, x) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waits := l.taken[id]; waits {
		l.taken[id] = t
		l.sendLocked(func(f *Frame) { f.Placed = append(f.Placed, &Placed{Id: id, Status: Placed_WAITING}) })
	}
}

// decided tells the other host the outcome of its request. The owner is locked.
func (l *link) decided(id uint64, x wagowner.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		// The owner takes back a grant that nobody finishes.
		return
	}
	delete(l.taken, id)
	if g, ok := x.(wagowner.Granted); ok {
		l.granted[id] = g.Finish
	}
	l.sendLocked(func(f *Frame) { f.Placed = append(f.Placed, placedMessage(id, l.mesh.clock.Now(), x)) })
}

// finished takes the end of an attempt of the other host.
func (l *link) finished(f *Finish) {
	l.mu.Lock()
	finish, ok := l.granted[f.GetId()]
	delete(l.granted, f.GetId())
	l.mu.Unlock()
	if ok {
		finish(resultOf(f))
	}
}

// canceled drops a request of the other host, or gives its server back.
func (l *link) canceled(id uint64) {
	l.mu.Lock()
	t, waits := l.taken[id]
	delete(l.taken, id)
	l.mu.Unlock()
	if waits {
		t.Cancel()
	}
}
