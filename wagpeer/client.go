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
	// dialTime bounds a connection attempt with its TLS handshake.
	dialTime = 2 * time.Second
	// minPause and maxPause bound the time between two connection attempts.
	minPause = 200 * time.Millisecond
	maxPause = 10 * time.Second
	// maxPeers bounds the peers a client keeps state of.
	maxPeers = 1024
)

// Errors of a client. Test with errors.Is.
var (
	// ErrBackoff tells that the peer could not be reached a moment ago.
	ErrBackoff = errors.New("the next connection attempt is not due yet")
	// ErrTooManyPeers tells that Forget has to be called for peers that are gone.
	ErrTooManyPeers = errors.New("too many peers")
)

// ClientOption sets a property of a Client.
type ClientOption func(*Client)

// WithTLS sets the configuration of connections; without it they are plain TCP.
func WithTLS(c *tls.Config) ClientOption {
	return func(cl *Client) { cl.tls = c }
}

// WithClock replaces the clock of the pauses between connection attempts.
func WithClock(c wagclock.Clock) ClientOption {
	return func(cl *Client) { cl.clock = c }
}

// WithCallTimeout bounds calls whose context has no earlier deadline.
func WithCallTimeout(d time.Duration) ClientOption {
	return func(cl *Client) { cl.callTime = d }
}

// Client sends messages over one kept connection to each peer. Calls to the
// same peer follow one another.
type Client struct {
	Traffic  Traffic
	tls      *tls.Config
	clock    wagclock.Clock
	callTime time.Duration

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// link is the connection to one peer.
type link struct {
	// turn has one element while no call is under way.
	turn   chan struct{}
	conn   *drpcconn.Conn
	pauses *backoff.ExponentialBackOff
	// nextDial is when another connection attempt is due.
	nextDial time.Time
}

// NewClient returns a client without connections.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{clock: wagclock.System{}, callTime: 2 * time.Second, links: make(map[netip.AddrPort]*link)}
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
		<-l.turn
		l.drop()
		l.turn <- struct{}{}
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

// Heartbeat sends a heartbeat and returns the peer's own.
func (c *Client) Heartbeat(ctx context.Context, peer netip.AddrPort, h Heartbeat) (Heartbeat, error) {
	m, answer := h.message(), &HeartbeatMessage{}
	err := c.call(ctx, peer, "heartbeat", m, func(ctx context.Context, p DRPCPeerClient) (_ proto.Message, err error) {
		answer, err = p.Heartbeat(ctx, m)
		return answer, err
	})
	if err != nil {
		return Heartbeat{}, err
	}
	return heartbeatFrom(answer), nil
}

// Confirm asks whether the peer hears a host.
func (c *Client) Confirm(ctx context.Context, peer netip.AddrPort, q ConfirmRequest) (hears bool, err error) {
	m, answer := &ConfirmMessage{Name: q.Name, Incarnation: q.Incarnation}, &ConfirmedMessage{}
	err = c.call(ctx, peer, "confirm", m, func(ctx context.Context, p DRPCPeerClient) (_ proto.Message, err error) {
		answer, err = p.Confirm(ctx, m)
		return answer, err
	})
	return err == nil && answer.GetHears(), err
}

// Index asks what is in force in the buckets that differ.
func (c *Client) Index(ctx context.Context, peer netip.AddrPort, d wagrollout.Digests) (Index, error) {
	m, answer := &IndexMessage{Digests: d[:]}, &IndexedMessage{}
	err := c.call(ctx, peer, "index", m, func(ctx context.Context, p DRPCPeerClient) (_ proto.Message, err error) {
		answer, err = p.Index(ctx, m)
		return answer, err
	})
	if err != nil {
		return Index{}, err
	}
	return indexFrom(answer), nil
}

// Pull asks for documents.
func (c *Client) Pull(ctx context.Context, peer netip.AddrPort, services []string) ([]Document, error) {
	m, answer := &PullMessage{Services: services}, &DocumentsMessage{}
	err := c.call(ctx, peer, "pull", m, func(ctx context.Context, p DRPCPeerClient) (_ proto.Message, err error) {
		answer, err = p.Pull(ctx, m)
		return answer, err
	})
	if err != nil {
		return nil, err
	}
	return documentsFrom(answer), nil
}

// Share sends observations of servers.
func (c *Client) Share(ctx context.Context, peer netip.AddrPort, observations []wagserver.Observation) error {
	m := &ShareMessage{Observations: observationMessages(observations)}
	return c.call(ctx, peer, "share", m, func(ctx context.Context, p DRPCPeerClient) (proto.Message, error) {
		return p.Share(ctx, m)
	})
}

// Events returns events of a peer with a sequence above after, oldest first.
func (c *Client) Events(ctx context.Context, peer netip.AddrPort, after uint64) (events []wagevent.Event, err error) {
	m := &EventsMessage{After: after}
	err = c.call(ctx, peer, "events", m, func(ctx context.Context, p DRPCPeerClient) (proto.Message, error) {
		stream, err := p.Events(ctx, m)
		if err != nil {
			return nil, err
		}
		events, err = receive(stream)
		return &SharedMessage{}, err
	})
	return events, err
}

func receive(stream DRPCPeer_EventsClient) (events []wagevent.Event, err error) {
	defer func() { _ = stream.Close() }()
	for range maxEvents {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, err
		}
		if err := Validate(e); err != nil {
			return nil, err
		}
		events = append(events, eventFrom(e))
	}
	return events, nil
}

// call waits for its turn on the link, sends and checks both messages.
func (c *Client) call(ctx context.Context, peer netip.AddrPort, name string, m proto.Message, send func(context.Context, DRPCPeerClient) (proto.Message, error)) (err error) {
	defer func() { err = errors.WithMessagef(err, "%s to %s", name, peer) }()
	if err := Validate(m); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTime)
	defer cancel()
	l, err := c.link(peer)
	if err != nil {
		return err
	}
	select {
	case <-l.turn:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { l.turn <- struct{}{} }()
	conn, err := c.connect(ctx, peer, l)
	if err != nil {
		return err
	}
	answer, err := send(ctx, NewDRPCPeerClient(conn))
	if err != nil {
		if l.closed() {
			l.pause(c.clock.Now())
		}
		return err
	}
	l.pauses.Reset()
	return Validate(answer)
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
	l := &link{turn: make(chan struct{}, 1), pauses: newPauses()}
	l.turn <- struct{}{}
	c.links[peer] = l
	return l, nil
}

func newPauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier, b.RandomizationFactor = minPause, maxPause, 2, 0
	return b
}

// connect returns the kept connection or makes one when that is due.
func (c *Client) connect(ctx context.Context, peer netip.AddrPort, l *link) (*drpcconn.Conn, error) {
	if l.conn != nil && !l.closed() {
		return l.conn, nil
	}
	l.drop()
	if c.clock.Now().Before(l.nextDial) {
		return nil, ErrBackoff
	}
	raw, err := c.dial(ctx, peer)
	if err != nil {
		l.pause(c.clock.Now())
		return nil, err
	}
	l.conn = drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	return l.conn, nil
}

func (c *Client) dial(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, err
	}
	// The count is below TLS, so that it holds the bytes on the wire.
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

// pause sets when another connection attempt is due. A peer that accepts
// connections and closes them counts like one that does not answer.
func (l *link) pause(now time.Time) {
	pause := l.pauses.NextBackOff()
	l.nextDial = now.Add(pause/2 + rand.N(pause/2))
}

func (l *link) closed() bool {
	select {
	case <-l.conn.Closed():
		return true
	default:
		return false
	}
}

func (l *link) drop() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
