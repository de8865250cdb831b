package wagmesh

import (
	"context"
	"math"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"

	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagroster"
)

const (
	// dialTime bounds opening a connection to another host. The farthest link of a
	// region has a round trip of 11 ms; a lost packet is sent again after 1 s.
	dialTime = 1500 * time.Millisecond
	// maxDialPause bounds the pause after failures in a row.
	maxDialPause = 5 * time.Second
	// maxPending bounds the messages that wait to be sent on one link. A host
	// that does not read is given up.
	maxPending = 4096
)

var (
	errUnused     = errors.New("the link is not needed any more")
	errSilent     = errors.New("the other host is silent")
	errOverflow   = errors.New("the other host does not read")
	errNoHello    = errors.New("the first frame is no hello")
	errSuperseded = errors.New("the mesh has ended")
)

// stream is one end of a link.
type stream interface {
	Send(*Frame) error
	Recv() (*Frame, error)
	Close() error
}

// link is a connection to another host, in either direction.
type link struct {
	mesh *Mesh
	// peer is set with the hello and never changes.
	peer wagroster.Member
	// inbound tells that the other host opened the link.
	inbound bool
	cancel  context.CancelCauseFunc

	mu sync.Mutex
	// upstream tells that this host learns of changes on the link, subscribed
	// that the other one does.
	upstream, subscribed bool
	// pending is what is to be sent next; nil when nothing is.
	pending *Frame
	ready   chan struct{}
	// heard is when the latest frame arrived, and nextBeat when one is due.
	heard, nextBeat time.Time
	// known holds the revision of each kind up to which the other host is
	// complete.
	known map[string]wagmirror.Revision
	// asked holds the requests that this host placed on the link.
	asked map[uint64]*asked
	// next is the identity of the next request.
	next uint64
	// taken holds the requests of the other host that wait here, granted those
	// that have a server.
	taken   map[uint64]wagowner.Ticket
	granted map[uint64]func(wagplacement.Result)
	// stalled tells that the other host did not take note of a request in time and
	// was not heard since.
	stalled bool
	// used is when the link was last used for placing requests.
	used time.Time
	// bye tells that one of the hosts closes the link because it is not needed.
	bye    bool
	closed bool
}

func (m *Mesh) newLink(cancel context.CancelCauseFunc) *link {
	now := m.clock.Now()
	return &link{
		mesh: m, cancel: cancel, ready: make(chan struct{}, 1), heard: now, nextBeat: now, used: now,
		known: make(map[string]wagmirror.Revision), asked: make(map[uint64]*asked),
		taken: make(map[uint64]wagowner.Ticket), granted: make(map[uint64]func(wagplacement.Result)),
	}
}

// service answers the links that other hosts open.
type service struct{ mesh *Mesh }

var _ DRPCMeshServer = (*service)(nil)

// Link runs a link that another host opened.
func (s *service) Link(in DRPCMesh_LinkStream) error {
	m := s.mesh
	m.mu.Lock()
	full := m.inbound >= maxLinks
	if !full {
		m.inbound++
	}
	m.mu.Unlock()
	if full {
		return errors.New("too many links")
	}
	defer func() {
		m.mu.Lock()
		m.inbound--
		m.mu.Unlock()
	}()
	ctx, cancel := context.WithCancelCause(in.Context())
	defer cancel(nil)
	l := m.newLink(cancel)
	l.inbound = true
	return m.run(ctx, l, in)
}

// runOutbound opens a link and runs it until it ends.
func (m *Mesh) runOutbound(to netip.AddrPort, d *dial) {
	err := m.outbound(to, d)
	m.mu.Lock()
	defer m.mu.Unlock()
	d.under = false
	if m.ctx.Err() != nil {
		return
	}
	m.log.WithError(err).WithField("address", to).Debug("a link ended")
	if d.failures == 0 {
		return
	}
	d.next = m.clock.Now().Add(min(dialPause*time.Duration(d.failures), maxDialPause))
	for _, member := range m.roster.Members() {
		if member.Address == to {
			m.roster.MarkUnreachable(m.clock.Now(), member.Name)
		}
	}
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTime}
	return dialer.DialContext(ctx, "tcp", to.String())
}

func (m *Mesh) outbound(to netip.AddrPort, d *dial) error {
	raw, err := m.dial(m.ctx, to)
	m.mu.Lock()
	if err != nil {
		d.failures++
	} else {
		d.failures = 0
	}
	m.mu.Unlock()
	if err != nil {
		return err
	}
	conn := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(m.ctx)
	defer cancel(nil)
	s, err := NewDRPCMeshClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	return m.run(ctx, m.newLink(cancel), s)
}

// run exchanges frames until the link ends.
func (m *Mesh) run(ctx context.Context, l *link, s stream) error {
	m.mu.Lock()
	hello := &Hello{Self: memberMessage(m.roster.Self())}
	m.mu.Unlock()
	l.send(func(f *Frame) { f.Hello = hello })
	defer l.end()
	// A silent host does not end the wait for its next frame.
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.sendFrames(gctx, s) })
	g.Go(func() error { return l.receiveFrames(gctx, s) })
	err := g.Wait()
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// send adds to the next frame. It does not block.
func (l *link) send(add func(*Frame)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendLocked(add)
}

func (l *link) sendLocked(add func(*Frame)) {
	if l.closed {
		return
	}
	if l.pending == nil {
		l.pending = &Frame{}
	}
	add(l.pending)
	if len(l.pending.Places)+len(l.pending.Placed)+len(l.pending.Finishes)+len(l.pending.Members)+len(l.pending.Updates) > maxPending {
		l.cancel(errOverflow)
	}
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

func (l *link) sendFrames(ctx context.Context, s stream) error {
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

func (l *link) receiveFrames(ctx context.Context, s stream) error {
	f, err := s.Recv()
	if err != nil {
		return err
	}
	peer, ok := memberOf(f.GetHello().GetSelf())
	if !ok {
		return errNoHello
	}
	l.peer = peer
	l.mesh.mu.Lock()
	if l.mesh.ctx.Err() != nil {
		l.mesh.mu.Unlock()
		return errSuperseded
	}
	l.mesh.joined(l)
	l.mesh.mu.Unlock()
	for {
		l.handle(f)
		if f, err = s.Recv(); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// handle takes one frame.
func (l *link) handle(f *Frame) {
	m := l.mesh
	now := m.clock.Now()
	l.mu.Lock()
	l.heard, l.stalled = now, false
	l.mu.Unlock()
	for _, p := range f.GetPlaced() {
		l.placed(now, p)
	}
	for _, p := range f.GetFinishes() {
		l.finished(p)
	}
	for _, id := range f.GetCancels() {
		l.canceled(id)
	}
	for _, p := range f.GetPlaces() {
		l.place(now, p)
	}
	if len(f.GetMembers()) > 0 {
		m.learn(l, f.GetMembers())
	}
	if f.Subscribe != nil {
		l.subscriber(now, f.GetSubscribe())
	}
	if f.GetBye() {
		l.mu.Lock()
		l.bye = true
		l.mu.Unlock()
	}
	for _, message := range f.GetUpdates() {
		u, err := updateOf(message)
		if err != nil {
			m.log.WithError(err).WithField("peer", l.peer.Name).Warning("an update is not valid")
			continue
		}
		l.update(u)
	}
	if f.GetBeat() != nil {
		l.beat(now, f.GetBeat())
	}
}

// subscribe sets whether this host learns of changes on the link.
func (l *link) subscribe(want bool) {
	l.mu.Lock()
	if l.upstream == want {
		l.mu.Unlock()
		return
	}
	l.upstream = want
	l.sendLocked(func(f *Frame) { f.Subscribe = &want })
	l.mu.Unlock()
	if want {
		l.sendBeat(l.mesh.clock.Now())
	}
}

// subscriber notes whether the other host learns of changes on the link.
func (l *link) subscriber(now time.Time, want bool) {
	l.mu.Lock()
	l.subscribed, l.nextBeat = want, now
	l.mu.Unlock()
	if want && !l.near() {
		// The relays of two data centres tell each other of their hosts.
		l.mesh.mu.Lock()
		l.mesh.tell(l, l.mesh.roster.Members())
		l.mesh.mu.Unlock()
	}
}

// near tells whether the other host is in the same data centre.
func (l *link) near() bool { return l.peer.DataCentre == l.mesh.self.DataCentre }

// concerns tells whether the other host needs to know of a member, which may be
// the relay of its data centre. Bytes between data centres are dear.
func (l *link) concerns(m wagroster.Member, relay bool) bool {
	if m.Name == l.peer.Name {
		return false
	}
	return l.near() || relay || m.DataCentre == l.peer.DataCentre || m.DataCentre == l.mesh.self.DataCentre && l.synced()
}

// parted tells whether the link ends because it is not needed.
func (l *link) parted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bye
}

// synced tells whether changes pass on the link.
func (l *link) synced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.upstream || l.subscribed
}

// update takes changes of objects.
func (l *link) update(u wagmirror.Update) {
	if !l.synced() {
		return
	}
	if !l.mesh.sync.Apply(u) {
		return
	}
	l.mu.Lock()
	l.known[u.Kind] = max(l.known[u.Kind], u.At)
	l.mu.Unlock()
	l.mesh.PushChanges()
}

// beat takes what the other host says of its copy.
func (l *link) beat(now time.Time, b *Beat) {
	l.mu.Lock()
	for _, c := range b.GetComplete() {
		l.known[c.GetKind()] = wagmirror.Revision(c.GetRevision())
	}
	l.mu.Unlock()
	complete := l.mesh.sync.CompleteRevisions()
	l.push(complete)
	l.mesh.reach(now, l.peer.Name, b.GetDisconnected())
	l.mu.Lock()
	upstream := l.upstream
	l.mu.Unlock()
	if upstream && l.near() {
		l.mesh.relayLost(now, b.GetLost())
	}
	if b.ConfirmedAge == nil || !l.synced() {
		return
	}
	for _, c := range b.GetComplete() {
		if complete[c.GetKind()] < wagmirror.Revision(c.GetRevision()) {
			// The changes are still under way.
			return
		}
	}
	l.mesh.sync.RecordPeerConfirmation(now.Add(-milliseconds(int64(b.GetConfirmedAge()))))
}

// push sends the changes that the other host lacks.
func (l *link) push(complete map[string]wagmirror.Revision) {
	for kind, revision := range complete {
		l.mu.Lock()
		known := l.known[kind]
		wanted := (l.upstream || l.subscribed) && revision > known
		if wanted {
			l.known[kind] = revision
		}
		l.mu.Unlock()
		if !wanted {
			continue
		}
		u, err := updateMessage(l.mesh.sync.UpdateSince(kind, known))
		if err != nil {
			l.mesh.log.WithError(err).Warning("an update cannot be encoded")
			continue
		}
		l.send(func(f *Frame) { f.Updates = append(f.Updates, u) })
	}
}

// tick sends a beat when one is due and gives up a link that is silent. A link to a
// host that does not reach the store stays, so that this host hears when it does;
// the mesh is locked.
func (l *link) tick(now time.Time) {
	every := nearBeat
	if !l.near() {
		every = farBeat
	}
	disconnected := l.mesh.roster.IsDisconnected(now, l.peer.Name)
	l.mu.Lock()
	if l.mayPart() && !disconnected && now.Sub(l.used) > unusedTime {
		l.bye = true
		l.sendLocked(func(f *Frame) { f.Bye = true })
	}
	silent := now.Sub(l.heard) > silentTime
	due := !now.Before(l.nextBeat)
	if due {
		l.nextBeat = now.Add(every)
	}
	l.mu.Unlock()
	if silent {
		l.cancel(errSilent)
		return
	}
	if due {
		l.sendBeat(now)
	}
}

// mayPart tells whether this host opened the link to another data centre and does
// not need it now; l.mu is held.
func (l *link) mayPart() bool {
	return !l.near() && !l.inbound && !l.upstream && !l.subscribed && len(l.asked) == 0 && !l.bye
}

// sendBeat tells the other host that this one is there, and what it knows of the
// store; the mesh is locked.
func (l *link) sendBeat(now time.Time) {
	s := l.mesh.sync
	b := &Beat{Disconnected: s.IsDisconnected(), Lost: l.near() && l.mesh.lost}
	if l.synced() {
		for kind, revision := range s.CompleteRevisions() {
			b.Complete = append(b.Complete, &Complete{Kind: kind, Revision: uint64(revision)})
		}
		if at := s.ConfirmedAt(); !at.IsZero() {
			age := uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
			b.ConfirmedAge = &age
		}
	}
	l.send(func(f *Frame) { f.Beat = b })
}

// end gives back what the link holds.
func (l *link) end() {
	l.mesh.left(l)
	l.mu.Lock()
	l.closed = true
	taken, granted, waiting := l.taken, l.granted, l.asked
	l.taken, l.granted, l.asked = nil, nil, nil
	l.mu.Unlock()
	for _, t := range taken {
		t.Cancel()
	}
	for _, finish := range granted {
		finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
	}
	for _, a := range waiting {
		close(a.lost)
	}
}
