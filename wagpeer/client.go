package wagpeer

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	// dialTimeout bounds a connection attempt, including its TLS handshake.
	dialTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the time between two connection attempts,
	// before jitter shortens it by up to half.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
	// maxPeers bounds the peers that a client keeps state for.
	maxPeers = 1024
)

// Errors of a client. Test with errors.Is.
var (
	// ErrBackoff is returned until the backoff after a failed connection ends.
	ErrBackoff = errors.New("connection attempt delayed by backoff")
	// ErrTooManyPeers is returned until Forget is called for peers that have left.
	ErrTooManyPeers = errors.New("too many peers")
)

// ClientOption sets a property of a Client.
type ClientOption func(*Client)

// WithTLS sets the TLS configuration of connections. Without it they are plain
// TCP.
func WithTLS(c *tls.Config) ClientOption {
	return func(cl *Client) { cl.tls = c }
}

// WithClock replaces the system clock that times the backoff.
func WithClock(c wagclock.Clock) ClientOption {
	return func(cl *Client) { cl.clock = c }
}

// WithCallTimeout sets the timeout of calls. An earlier deadline of the context
// still applies.
func WithCallTimeout(d time.Duration) ClientOption {
	return func(cl *Client) { cl.callTimeout = d }
}

// Client sends messages to peers over one persistent connection per peer. Calls
// to the same peer are made one after another.
type Client struct {
	Traffic     Traffic
	tls         *tls.Config
	clock       wagclock.Clock
	callTimeout time.Duration

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// link is the connection to one peer.
type link struct {
	// sem holds one element while no call is in flight.
	sem     chan struct{}
	conn    *drpcconn.Conn
	backoff *backoff.ExponentialBackOff
	// nextDial is the earliest time for the next connection attempt.
	nextDial time.Time
}

// NewClient returns a client that has no connections yet.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{clock: wagclock.System{}, callTimeout: 2 * time.Second, links: make(map[netip.AddrPort]*link)}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Forget closes the connection to a peer and drops its state.
func (c *Client) Forget(peer netip.AddrPort) {
	c.mu.Lock()
	l := c.links[peer]
	delete(c.links, peer)
	c.mu.Unlock()
	if l != nil {
		<-l.sem
		l.closeConn()
		l.sem <- struct{}{}
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	peers := make([]netip.AddrPort, 0, len(c.links))
	for p := range c.links {
		peers = append(peers, p)
	}
	c.mu.Unlock()
	for _, p := range peers {
		c.Forget(p)
	}
}

// Heartbeat sends a heartbeat and returns the heartbeat that the peer replies.
func (c *Client) Heartbeat(ctx context.Context, peer netip.AddrPort, h Heartbeat) (Heartbeat, error) {
	m, reply := h.message(), &HeartbeatMessage{}
	err := c.call(ctx, peer, "heartbeat", m, func(ctx context.Context, p DRPCPeerClient) (_ proto.Message, err error) {
		reply, err = p.Heartbeat(ctx, m)
		return reply, err
	})
	if err != nil {
		return Heartbeat{}, err
	}
	return heartbeatFrom(reply), nil
}

// Confirm asks a peer whether it receives heartbeats from a host.
func (c *Client) Confirm(ctx context.Context, peer netip.AddrPort, request ConfirmRequest) (receiving bool, err error) {
	m, reply := &ConfirmMessage{Name: request.Name, Incarnation: request.Incarnation}, &ConfirmedMessage{}
	err = c.call(ctx, peer, "confirm", m, func(ctx context.Context, p DRPCPeerClient) (_ proto.Message, err error) {
		reply, err = p.Confirm(ctx, m)
		return reply, err
	})
	return err == nil && reply.GetHears(), err
}

// Index returns the revisions that a peer has in force in the buckets whose
// digests differ from its own.
func (c *Client) Index(ctx context.Context, peer netip.AddrPort, digests wagrollout.Digests) (Index, error) {
	m, reply := &IndexMessage{Digests: digests[:]}, &IndexedMessage{}
	err := c.call(ctx, peer, "index", m, func(ctx context.Context, p DRPCPeerClient) (_ proto.Message, err error) {
		reply, err = p.Index(ctx, m)
		return reply, err
	})
	if err != nil {
		return Index{}, err
	}
	return indexFrom(reply), nil
}

// Pull returns documents that a peer has in force. The peer leaves out those that
// don't fit into one message.
func (c *Client) Pull(ctx context.Context, peer netip.AddrPort, services []string) ([]Document, error) {
	m, reply := &PullMessage{Services: services}, &DocumentsMessage{}
	err := c.call(ctx, peer, "pull", m, func(ctx context.Context, p DRPCPeerClient) (_ proto.Message, err error) {
		reply, err = p.Pull(ctx, m)
		return reply, err
	})
	if err != nil {
		return nil, err
	}
	return documentsFrom(reply), nil
}

// Share sends observations of servers to a peer.
func (c *Client) Share(ctx context.Context, peer netip.AddrPort, observations []wagserver.Observation) error {
	m := &ShareMessage{Observations: observationMessages(observations)}
	return c.call(ctx, peer, "share", m, func(ctx context.Context, p DRPCPeerClient) (proto.Message, error) {
		return p.Share(ctx, m)
	})
}

// Events returns the events of a peer with a sequence number above after, oldest
// first.
func (c *Client) Events(ctx context.Context, peer netip.AddrPort, after uint64) (events []wagevent.Event, err error) {
	m := &EventsMessage{After: after}
	err = c.call(ctx, peer, "events", m, func(ctx context.Context, p DRPCPeerClient) (proto.Message, error) {
		stream, err := p.Events(ctx, m)
		if err != nil {
			return nil, err
		}
		events, err = receiveEvents(stream)
		return &SharedMessage{}, err
	})
	return events, err
}

// receiveEvents reads and validates the events of a stream, at most
// maxEventsPerStream.
func receiveEvents(stream DRPCPeer_EventsClient) (events []wagevent.Event, err error) {
	defer func() { _ = stream.Close() }()
	for range maxEventsPerStream {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, err
		}
		if err := Validate(message); err != nil {
			return nil, err
		}
		events = append(events, eventFrom(message))
	}
	return events, nil
}

// call waits for the calls to the same peer that came before, validates and sends
// the message, and validates the reply.
func (c *Client) call(ctx context.Context, peer netip.AddrPort, operation string, m proto.Message, invoke func(context.Context, DRPCPeerClient) (proto.Message, error)) (err error) {
	defer func() { err = errors.WithMessagef(err, "%s request to peer %s", operation, peer) }()
	if err := Validate(m); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	l, err := c.link(peer)
	if err != nil {
		return err
	}
	select {
	case <-l.sem:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { l.sem <- struct{}{} }()
	conn, err := c.connect(ctx, peer, l)
	if err != nil {
		return err
	}
	reply, err := invoke(ctx, NewDRPCPeerClient(conn))
	if err != nil {
		if l.isClosed() {
			l.scheduleDial(c.clock.Now())
		}
		return err
	}
	l.backoff.Reset()
	return Validate(reply)
}

func (c *Client) link(peer netip.AddrPort) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[peer]; l != nil {
		return l, nil
	}
	if len(c.links) >= maxPeers {
		return nil, ErrTooManyPeers
	}
	l := &link{sem: make(chan struct{}, 1), backoff: newBackoff()}
	l.sem <- struct{}{}
	c.links[peer] = l
	return l, nil
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier, b.RandomizationFactor = minBackoff, maxBackoff, 2, 0
	return b
}

// connect returns the open connection or opens one. It fails until the backoff
// has ended.
func (c *Client) connect(ctx context.Context, peer netip.AddrPort, l *link) (*drpcconn.Conn, error) {
	if l.conn != nil && !l.isClosed() {
		return l.conn, nil
	}
	l.closeConn()
	if c.clock.Now().Before(l.nextDial) {
		return nil, ErrBackoff
	}
	raw, err := c.dial(ctx, peer)
	if err != nil {
		l.scheduleDial(c.clock.Now())
		return nil, err
	}
	l.conn = drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	return l.conn, nil
}

func (c *Client) dial(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, err
	}
	// The bytes are counted below TLS, as they are on the wire.
	counting := newCountingConn(raw, &c.Traffic, func() {})
	if c.tls == nil {
		return counting, nil
	}
	secure := tls.Client(counting, c.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = counting.Close()
		return nil, err
	}
	return secure, nil
}

// scheduleDial starts the backoff, with jitter, before the next connection
// attempt. It is also called for a peer that accepts connections and closes them,
// like for one that can't be reached.
func (l *link) scheduleDial(now time.Time) {
	delay := l.backoff.NextBackOff()
	l.nextDial = now.Add(delay/2 + rand.N(delay/2))
}

func (l *link) isClosed() bool {
	select {
	case <-l.conn.Closed():
		return true
	default:
		return false
	}
}

func (l *link) closeConn() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
