// Package wagpeer sends and serves control messages between hosts over DRPC.
package wagpeer

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// maxMessageBytes bounds one message: a document of maximum size and its other
	// fields.
	maxMessageBytes = maxDocumentBytes + 64<<10
	// maxKeptBufferBytes bounds the buffer that a connection keeps between
	// messages.
	maxKeptBufferBytes = 16 << 10
	// handlerTimeout bounds the handling of one message.
	handlerTimeout = 5 * time.Second
	// maxEventsPerStream bounds the events of one stream; the client requests the
	// rest afterwards.
	maxEventsPerStream = 1024
)

// Handler handles validated messages from peers.
type Handler interface {
	Heartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error)
	// Confirm reports whether this host receives heartbeats from another one.
	Confirm(ctx context.Context, c ConfirmRequest) (receiving bool, err error)
	// Index returns the revisions in force in the buckets whose digests differ.
	Index(ctx context.Context, d wagrollout.Digests) (Index, error)
	// Pull returns documents in force, as many as fit into one message.
	Pull(ctx context.Context, services []string) ([]Document, error)
	Share(ctx context.Context, observations []wagserver.Observation) error
	// Events returns events with a sequence above after, oldest first.
	Events(ctx context.Context, after uint64) ([]wagevent.Event, error)
}

var _ DRPCPeerServer = (*validatingService)(nil)

// Server serves requests from peers.
type Server struct {
	Traffic Traffic
	server  *drpcserver.Server
	// freeSlots holds one element for each connection that may still be accepted.
	freeSlots chan struct{}
}

// NewServer returns a server that accepts up to the given number of connections.
func NewServer(h Handler, connections int) (*Server, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterPeer(mux, &validatingService{handler: h}); err != nil {
		return nil, errors.WithMessage(err, "register the peer service")
	}
	s := &Server{server: drpcserver.NewWithOptions(wagpanic.RPCHandler(logrus.StandardLogger(), mux), drpcserver.Options{Manager: managerOptions()}), freeSlots: make(chan struct{}, connections)}
	for range connections {
		s.freeSlots <- struct{}{}
	}
	return s, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:     drpcstream.Options{MaximumBufferSize: maxKeptBufferBytes},
		SoftCancel: true,
	}
}

// Serve serves the connections of a TCP listener until ctx ends, over TLS unless
// the configuration is nil.
func (s *Server) Serve(ctx context.Context, l net.Listener, c *tls.Config) error {
	l = &boundedListener{Listener: l, server: s}
	if c != nil {
		l = tls.NewListener(l, c)
	}
	return errors.WithMessage(s.server.Serve(ctx, l), "serve peers")
}

// boundedListener closes new connections at once while no slot is free.
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
		case <-l.server.freeSlots:
			return newCountingConn(c, &l.server.Traffic, func() { l.server.freeSlots <- struct{}{} }), nil
		default:
			l.server.Traffic.RefusedConnections.Add(1)
			_ = c.Close()
		}
	}
}

// validatingService validates the messages of peers before it passes them to a
// Handler.
type validatingService struct {
	handler Handler
}

// beginHandling validates a message and sets the timeout of its handler.
func beginHandling(ctx context.Context, m proto.Message) (context.Context, context.CancelFunc, error) {
	if err := Validate(m); err != nil {
		return ctx, func() {}, errors.WithMessage(err, "message from a peer")
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	return ctx, cancel, nil
}

func (s *validatingService) Heartbeat(ctx context.Context, m *HeartbeatMessage) (*HeartbeatMessage, error) {
	ctx, cancel, err := beginHandling(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	reply, err := s.handler.Heartbeat(ctx, heartbeatFrom(m))
	return reply.message(), err
}

func (s *validatingService) Confirm(ctx context.Context, m *ConfirmMessage) (*ConfirmedMessage, error) {
	ctx, cancel, err := beginHandling(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	receiving, err := s.handler.Confirm(ctx, ConfirmRequest{Name: m.GetName(), Incarnation: m.GetIncarnation()})
	return &ConfirmedMessage{Hears: receiving}, err
}

func (s *validatingService) Pull(ctx context.Context, m *PullMessage) (*DocumentsMessage, error) {
	ctx, cancel, err := beginHandling(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	documents, err := s.handler.Pull(ctx, m.GetServices())
	return documentsMessage(documents), err
}

func (s *validatingService) Share(ctx context.Context, m *ShareMessage) (*SharedMessage, error) {
	ctx, cancel, err := beginHandling(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return &SharedMessage{}, s.handler.Share(ctx, observationsFrom(m.GetObservations()))
}

func (s *validatingService) Index(ctx context.Context, m *IndexMessage) (*IndexedMessage, error) {
	ctx, cancel, err := beginHandling(ctx, m)
	defer cancel()
	if err != nil {
		return nil, err
	}
	index, err := s.handler.Index(ctx, wagrollout.Digests(m.GetDigests()))
	return index.message(), err
}

func (s *validatingService) Events(m *EventsMessage, stream DRPCPeer_EventsStream) error {
	ctx, cancel, err := beginHandling(stream.Context(), m)
	defer cancel()
	if err != nil {
		return err
	}
	events, err := s.handler.Events(ctx, m.GetAfter())
	if err != nil {
		return err
	}
	for _, e := range events[:min(len(events), maxEventsPerStream)] {
		if err := stream.Send(eventMessage(e)); err != nil {
			return err
		}
	}
	return nil
}

// Traffic counts the bytes of all connections of a client or a server, and the
// connections that a server refused.
type Traffic struct {
	BytesRead, BytesWritten, RefusedConnections atomic.Int64
}

// CountingConn counts the bytes of a connection and sets the idle timeout before
// each read and write.
type CountingConn struct {
	net.Conn
	traffic *Traffic
	closed  atomic.Bool
	release func()
}

// idleTimeout bounds how long a read or write may wait. Heartbeats are sent at
// least every 10 s, so a working connection doesn't reach it.
const idleTimeout = 30 * time.Second

func newCountingConn(c net.Conn, t *Traffic, release func()) *CountingConn {
	return &CountingConn{Conn: c, traffic: t, release: release}
}

func (c *CountingConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.traffic.BytesRead.Add(int64(n))
	return n, err
}

func (c *CountingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.BytesWritten.Add(int64(n))
	return n, err
}

// Close closes the connection. The first call frees its slot.
func (c *CountingConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.release()
	}
	return c.Conn.Close()
}
