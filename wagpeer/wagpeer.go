// Package wagpeer carries control messages between entry hosts over drpc.
package wagpeer

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// maxMessage bounds one message: a document of full size and its fields.
	maxMessage = maxDocument + 64<<10
	// keptBuffer is the greatest buffer that a connection keeps between messages.
	keptBuffer = 16 << 10
	// handlerTime bounds the work on one message.
	handlerTime = 5 * time.Second
	// maxEvents bounds the events of one stream; the caller asks again.
	maxEvents = 1024
)

// Handler answers checked messages of peers.
type Handler interface {
	Heartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error)
	Confirm(ctx context.Context, c ConfirmRequest) (hears bool, err error)
	// Index tells what is in force in the buckets that differ.
	Index(ctx context.Context, d wagrollout.Digests) (Index, error)
	// Pull returns the documents that fit into one message.
	Pull(ctx context.Context, services []string) ([]Document, error)
	Share(ctx context.Context, observations []wagserver.Observation) error
	// Events returns events with a sequence above after, oldest first.
	Events(ctx context.Context, after uint64) ([]wagevent.Event, error)
}

var _ DRPCPeerServer = (*service)(nil)

// Server answers peers.
type Server struct {
	Traffic Traffic
	server  *drpcserver.Server
	// free holds one element for each further connection that is accepted.
	free chan struct{}
}

// NewServer returns a server that accepts up to the given count of connections.
func NewServer(h Handler, connections int) (*Server, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterPeer(mux, &service{handler: h}); err != nil {
		return nil, errors.WithMessage(err, "register the peer service")
	}
	s := &Server{server: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}), free: make(chan struct{}, connections)}
	for range connections {
		s.free <- struct{}{}
	}
	return s, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		Stream:     drpcstream.Options{MaximumBufferSize: keptBuffer},
		SoftCancel: true,
	}
}

// Serve answers the connections of a plain listener until ctx ends, with TLS
// unless the configuration is nil.
func (s *Server) Serve(ctx context.Context, l net.Listener, c *tls.Config) error {
	l = &boundedListener{Listener: l, server: s}
	if c != nil {
		l = tls.NewListener(l, c)
	}
	return errors.WithMessage(s.server.Serve(ctx, l), "serve peers")
}

// boundedListener closes connections beyond the bound at once.
type boundedListener struct {
	net.Listener
	server *Server
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case <-l.server.free:
			return newCountingConn(c, &l.server.Traffic, func() { l.server.free <- struct{}{} }), nil
		default:
			l.server.Traffic.RefusedConnections.Add(1)
			_ = c.Close()
		}
	}
}

// service checks messages in both directions around a Handler.
type service struct {
	handler Handler
}

// begin checks a message and bounds the time of its handler.
func begin(ctx context.Context, m proto.Message) (context.Context, context.CancelFunc, error) {
	if err := Validate(m); err != nil {
		return ctx, func() {}, errors.WithMessage(err, "message from a peer")
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTime)
	return ctx, cancel, nil
}

func (s *service) Heartbeat(ctx context.Context, m *HeartbeatMessage) (*HeartbeatMessage, error) {
	ctx, cancel, err := begin(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	answer, err := s.handler.Heartbeat(ctx, heartbeatFrom(m))
	return answer.message(), err
}

func (s *service) Confirm(ctx context.Context, m *ConfirmMessage) (*ConfirmedMessage, error) {
	ctx, cancel, err := begin(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	hears, err := s.handler.Confirm(ctx, ConfirmRequest{Name: m.GetName(), Incarnation: m.GetIncarnation()})
	return &ConfirmedMessage{Hears: hears}, err
}

func (s *service) Pull(ctx context.Context, m *PullMessage) (*DocumentsMessage, error) {
	ctx, cancel, err := begin(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	documents, err := s.handler.Pull(ctx, m.GetServices())
	return documentsMessage(documents), err
}

func (s *service) Share(ctx context.Context, m *ShareMessage) (*SharedMessage, error) {
	ctx, cancel, err := begin(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return &SharedMessage{}, s.handler.Share(ctx, observationsFrom(m.GetObservations()))
}

func (s *service) Index(ctx context.Context, m *IndexMessage) (*IndexedMessage, error) {
	ctx, cancel, err := begin(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	index, err := s.handler.Index(ctx, wagrollout.Digests(m.GetDigests()))
	return index.message(), err
}

func (s *service) Events(m *EventsMessage, stream DRPCPeer_EventsStream) error {
	ctx, cancel, err := begin(stream.Context(), m)
	defer cancel()
	if err != nil {
		return err
	}
	events, err := s.handler.Events(ctx, m.GetAfter())
	if err != nil {
		return err
	}
	for _, e := range events[:min(len(events), maxEvents)] {
		if err := stream.Send(eventMessage(e)); err != nil {
			return err
		}
	}
	return nil
}

// Traffic counts the bytes of all connections of one side.
type Traffic struct {
	BytesRead, BytesWritten, RefusedConnections atomic.Int64
}

// CountingConn counts the bytes of a connection and bounds the time in which
// the other side may be silent.
type CountingConn struct {
	net.Conn
	traffic *Traffic
	closed  atomic.Bool
	release func()
}

// silence is how long a connection may carry nothing. Heartbeats come at least
// every 10 s.
const silence = 30 * time.Second

func newCountingConn(c net.Conn, t *Traffic, release func()) *CountingConn {
	return &CountingConn{Conn: c, traffic: t, release: release}
}

func (c *CountingConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.traffic.BytesRead.Add(int64(n))
	return n, err
}

func (c *CountingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(silence)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.BytesWritten.Add(int64(n))
	return n, err
}

// Close closes the connection and gives its place back once.
func (c *CountingConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.release()
	}
	return c.Conn.Close()
}
