package wagmesh

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcctx"

	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagroster"
)

const (
	// dialTimeout bounds opening a connection to another host. The longest round trip
	// within a region takes 11 ms; a lost packet is sent again after 1 s. Several hosts
	// in a row may have to be tried before a change has to be in force.
	dialTimeout = 500 * time.Millisecond
	// maxDialRetryDelay bounds the delay before a host is dialled again.
	maxDialRetryDelay = 5 * time.Second
	// maxPendingMessages bounds the messages that wait to be sent on a link. The link
	// to a peer that does not read them is closed.
	maxPendingMessages = 4096
)

// Reasons for which a link ends.
var (
	errUnused        = errors.New("the link is not needed any more")
	errSilent        = errors.New("the other host is silent")
	errSendQueueFull = errors.New("the other host does not read")
	errNoHello       = errors.New("the other host does not say hello")
	errInvalidHello  = errors.New("the first frame is no hello")
	errMeshEnded     = errors.New("the mesh has ended")
	errReplaced      = errors.New("the other host has opened another link")
)

// stream is the stream of frames of a link.
type stream interface {
	Send(*Frame) error
	Recv() (*Frame, error)
	Context() context.Context
}

// link is a connection to a peer that either host opened.
type link struct {
	mesh *Mesh
	// peer is the host at the other end. It is set with the hello and never changes.
	peer wagroster.Member
	// inbound means that the peer opened the link.
	inbound bool
	// cancel closes the link.
	cancel context.CancelCauseFunc
	// greeted is closed when the hello of the peer was received.
	greeted chan struct{}

	mu sync.Mutex
	// subscribed means that this host receives changes on the link, and peerSubscribed
	// that the peer does.
	subscribed, peerSubscribed bool
	// pending is the next frame to be sent; nil when there is none.
	pending *Frame
	// ready is signalled when there is a pending frame.
	ready chan struct{}
	// lastReceived is when the latest frame was received, and nextHeartbeat when the
	// next heartbeat is due.
	lastReceived, nextHeartbeat time.Time
	// peerPositions holds, for each kind, the position up to which the peer's copy is
	// complete.
	peerPositions map[string]wagmirror.Position
	// peerConfirmedAt is when the peer's copy was last confirmed, as far as it said or was
	// told so on the link.
	peerConfirmedAt time.Time
	// peerStamp is the latest stamp that was received from the peer, and echoNeeded is set
	// until a heartbeat was sent that wants its echo.
	peerStamp  uint64
	echoNeeded bool
	// sentRequests holds the requests that the peer has not decided on yet, by ID.
	sentRequests map[uint64]*sentRequest
	// lastRequestID is the ID of the latest request that was sent.
	lastRequestID uint64
	// waitingTickets holds the tickets of the peer's requests that wait for a server,
	// and grantFinishers the functions that end its granted attempts, both by ID.
	waitingTickets map[uint64]wagowner.Ticket
	grantFinishers map[uint64]func(wagplacement.Result)
	// stalled means that the peer did not acknowledge a request in time and has sent
	// no frame since.
	stalled bool
	// lastPlaced is when a request was last sent on the link.
	lastPlaced time.Time
	// closingIdle means that one of the hosts closes the link because it is not needed.
	closingIdle bool
	closed      bool
}

// newLink returns a link that cancel closes.
func (m *Mesh) newLink(cancel context.CancelCauseFunc) *link {
	now := m.clock.Now()
	return &link{
		mesh: m, cancel: cancel, echoNeeded: true, greeted: make(chan struct{}), ready: make(chan struct{}, 1), lastReceived: now, nextHeartbeat: now, lastPlaced: now,
		peerPositions: make(map[string]wagmirror.Position), sentRequests: make(map[uint64]*sentRequest),
		waitingTickets: make(map[uint64]wagowner.Ticket), grantFinishers: make(map[uint64]func(wagplacement.Result)),
	}
}

// linkServer accepts the links that other hosts open.
type linkServer struct{ mesh *Mesh }

var _ DRPCMeshServer = (*linkServer)(nil)

// Link runs a link that another host opened.
func (s *linkServer) Link(in DRPCMesh_LinkStream) error {
	m := s.mesh
	m.mu.Lock()
	atLimit := m.inboundLinks >= maxInboundLinks
	if !atLimit {
		m.inboundLinks++
	}
	m.mu.Unlock()
	if atLimit {
		return errors.New("too many links")
	}
	defer func() {
		m.mu.Lock()
		m.inboundLinks--
		m.mu.Unlock()
	}()
	if c := peerConnOf(in); c != nil {
		// The connection may stay open without a link.
		defer c.becomeUnknown(math.MaxInt)
	}
	ctx, cancel := context.WithCancelCause(in.Context())
	defer cancel(nil)
	l := m.newLink(cancel)
	l.inbound = true
	return m.runLink(ctx, l, in)
}

// runLink sends and receives frames until the link ends.
func (m *Mesh) runLink(ctx context.Context, l *link, s stream) (err error) {
	defer func() { l.release(err) }()
	m.mu.Lock()
	hello := &Hello{Self: memberMessage(m.roster.Self())}
	m.mu.Unlock()
	// The heartbeat shows a host that has just started whether it will get the objects of
	// the store from others.
	b := &Beat{Complete: m.completeMessages(), Disconnected: m.sync.IsDisconnected()}
	first := &Frame{Hello: hello, Beat: b}
	// Recv does not end with ctx when the peer is silent, nor Send when the peer does not
	// read. To close the stream would wait for such a Send, too.
	stop := context.AfterFunc(ctx, func() { closeTransport(s) })
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.sendFrames(gctx, s, first) })
	g.Go(func() error { return l.receiveFrames(gctx, s) })
	g.Go(func() error { return l.awaitHello(gctx) })
	err = g.Wait()
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// closeTransport closes the connection of a stream.
func closeTransport(s stream) {
	if transport, ok := drpcctx.Transport(s.Context()); ok {
		_ = transport.Close()
	}
}

// enqueue adds to the frame that is sent next. It does not block.
func (l *link) enqueue(add func(*Frame)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueueLocked(add)
}

// enqueueLocked is enqueue while l.mu is held.
func (l *link) enqueueLocked(add func(*Frame)) {
	if l.closed {
		return
	}
	if l.pending == nil {
		l.pending = &Frame{}
	}
	add(l.pending)
	if len(l.pending.Places)+len(l.pending.Placed)+len(l.pending.Finishes)+len(l.pending.Members)+len(l.pending.Updates)+len(l.pending.QuotaCharges)+len(l.pending.QuotaAcks) > maxPendingMessages {
		l.cancel(errSendQueueFull)
	}
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// sendFrames sends the first frame and then the pending ones until the link ends. Nothing
// is added to the first frame, because the peer bounds what it reads before the hello.
func (l *link) sendFrames(ctx context.Context, s stream, first *Frame) error {
	if err := s.Send(first); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.ready:
		}
		l.mu.Lock()
		f := l.pending
		l.pending = nil
		l.mu.Unlock()
		if f == nil {
			continue
		}
		if err := s.Send(f); err != nil {
			return err
		}
		if f.GetBye() {
			return errUnused
		}
	}
}

// awaitHello closes the link when the peer says no hello in time, as a suspended host,
// whose kernel accepts connections. From the hello on, tick notices a silent peer.
func (l *link) awaitHello(ctx context.Context) error {
	expired, release := l.mesh.clock.TimerAt(l.mesh.clock.Now().Add(silenceTimeout))
	defer release()
	select {
	case <-ctx.Done():
	case <-l.greeted:
	case <-expired:
		l.cancel(errNoHello)
	}
	return nil
}

// hasGreeted reports whether the hello of the peer was received.
func (l *link) hasGreeted() bool {
	select {
	case <-l.greeted:
		return true
	default:
		return false
	}
}

// receiveFrames receives the hello and handles the frames of the peer until the link
// ends.
func (l *link) receiveFrames(ctx context.Context, s stream) error {
	f, err := s.Recv()
	if err != nil {
		return err
	}
	peer, ok := memberFromMessage(f.GetHello().GetSelf())
	if !ok {
		return errInvalidHello
	}
	l.peer = peer
	close(l.greeted)
	if c := peerConnOf(s); c != nil {
		c.becomeKnown()
	}
	l.mesh.mu.Lock()
	if l.mesh.ctx.Err() != nil {
		l.mesh.mu.Unlock()
		return errMeshEnded
	}
	l.mesh.addLink(l)
	l.mesh.mu.Unlock()
	for {
		err := wagpanic.Catch(l.mesh.log, func() error {
			l.handleFrame(f)
			return nil
		})
		if err != nil {
			return err
		}
		if f, err = s.Recv(); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// handleFrame handles the messages of a frame.
func (l *link) handleFrame(f *Frame) {
	m := l.mesh
	m.gaps.Observe()
	now := m.clock.Now()
	l.mu.Lock()
	l.lastReceived, l.stalled = now, false
	l.mu.Unlock()
	for _, p := range f.GetPlaced() {
		l.handlePlaced(now, p)
	}
	for _, p := range f.GetFinishes() {
		l.handleFinish(p)
	}
	for _, id := range f.GetCancels() {
		l.handleCancel(id)
	}
	for _, p := range f.GetPlaces() {
		l.handlePlace(now, p)
	}
	l.handleQuotas(f)
	if len(f.GetMembers()) > 0 {
		m.receiveMembers(l, f.GetMembers())
	}
	if f.Subscribe != nil {
		l.handleSubscribe(now, f.GetSubscribe())
	}
	if f.GetBye() {
		l.mu.Lock()
		l.closingIdle = true
		l.mu.Unlock()
	}
	for _, message := range f.GetUpdates() {
		u, err := updateFromMessage(message)
		if err != nil {
			m.log.WithError(err).WithField("peer", l.peer.Name).Warning("ignored an invalid update of another host")
			continue
		}
		l.handleUpdate(u)
	}
	if f.GetBeat() != nil {
		l.handleHeartbeat(now, f.GetBeat())
	}
}

// setSubscribed subscribes this host to changes on the link or unsubscribes it; mesh.mu
// is held.
func (l *link) setSubscribed(subscribe bool) {
	l.mu.Lock()
	if l.subscribed == subscribe {
		l.mu.Unlock()
		return
	}
	l.subscribed = subscribe
	l.enqueueLocked(func(f *Frame) { f.Subscribe = &subscribe })
	l.mu.Unlock()
	if subscribe {
		l.sendHeartbeat(l.mesh.clock.Now())
	}
}

// handleSubscribe records whether the peer subscribes to changes on the link.
func (l *link) handleSubscribe(now time.Time, subscribed bool) {
	l.mu.Lock()
	l.peerSubscribed, l.nextHeartbeat = subscribed, now
	l.mu.Unlock()
	if subscribed && (!l.inSameDataCentre() || !l.inbound) {
		// Relays of different data centres send each other the hosts of their own. To a
		// host whose link this one opened, no changes were forwarded before.
		l.mesh.mu.Lock()
		l.mesh.sendMembers(l, l.mesh.roster.Members())
		l.mesh.mu.Unlock()
	}
}

// inSameDataCentre reports whether the peer is in the data centre of this host.
func (l *link) inSameDataCentre() bool { return l.peer.DataCentre == l.mesh.self.DataCentre }

// needsMember reports whether the peer needs to know a member. isRelay means that the
// member is the relay of its data centre. Only some members are sent to another data
// centre, because traffic between data centres is expensive.
func (l *link) needsMember(m wagroster.Member, isRelay bool) bool {
	if m.Name == l.peer.Name {
		return false
	}
	return l.inSameDataCentre() || isRelay || m.DataCentre == l.peer.DataCentre || m.DataCentre == l.mesh.self.DataCentre && l.exchangesUpdates()
}

// isClosingIdle reports whether the link is closed because it is not needed.
func (l *link) isClosingIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closingIdle
}

// exchangesUpdates reports whether either host is subscribed to changes on the link.
func (l *link) exchangesUpdates() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.subscribed || l.peerSubscribed
}

// isPeerSubscribed reports whether the peer is subscribed to changes on the link.
func (l *link) isPeerSubscribed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peerSubscribed
}

// handleUpdate applies an update of the peer and forwards the changes.
func (l *link) handleUpdate(u wagmirror.Update) {
	if !l.exchangesUpdates() {
		return
	}
	u.From = l.peer.Name
	if !l.mesh.sync.Apply(u) {
		return
	}
	l.mu.Lock()
	l.peerPositions[u.Kind] = wagmirror.LaterPosition(l.peerPositions[u.Kind], u.Position())
	l.mu.Unlock()
	l.mesh.PushChanges()
}

// release removes the ended link, cancels the requests and attempts of the peer, and
// ends the requests that were sent to it.
func (l *link) release(cause error) {
	l.mesh.removeLink(l, cause)
	l.mu.Lock()
	l.closed = true
	tickets, finishers, requests := l.waitingTickets, l.grantFinishers, l.sentRequests
	l.waitingTickets, l.grantFinishers, l.sentRequests = nil, nil, nil
	l.mu.Unlock()
	for _, t := range tickets {
		t.Cancel()
	}
	for _, finish := range finishers {
		finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
	}
	for _, r := range requests {
		close(r.linkClosed)
	}
}
