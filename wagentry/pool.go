package wagentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// slotTimeout bounds how long a dial waits for a connection slot. Requests stop
	// waiting at their deadline; the bound is for dials that go on after their request
	// has ended.
	slotTimeout = time.Minute
	// idleConnTimeout is how long an idle connection is kept, because a new one takes
	// about 1 ms to open.
	idleConnTimeout = 5 * time.Minute
	// hostIdleConnTimeout is how long an idle connection to another host is kept. It is
	// shorter than that host keeps it: a request that is sent while the other end closes
	// the connection may have run, and a request that may run once is not sent again.
	hostIdleConnTimeout = time.Minute
	// continueTimeout bounds how long a body is held back for the 100 (Continue) of a
	// server.
	continueTimeout = time.Second
	// maxForwardConnections bounds the connections to one other host, and the idle
	// connections to one server.
	maxForwardConnections = 1024
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
)

// pool holds the persistent connections to servers or to other hosts.
type pool struct {
	// idleTimeout is how long an idle connection is kept.
	idleTimeout time.Duration
	// dial opens a connection.
	dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

	mu sync.Mutex
	// endpoints holds one endpoint per address that is listed or was used.
	endpoints map[netip.AddrPort]*endpoint
}

// endpoint is one address with its own transport.
type endpoint struct {
	transport *http.Transport
	// address is the address as text, which is formatted once for all requests and
	// events.
	address string
	connect func(context.Context) (net.Conn, error)
	// onConnectionChange is called with each change of the number of open connections.
	onConnectionChange func(change int)

	mu sync.Mutex
	// openConns counts connections and dials. It exceeds limit only after the limit was
	// lowered.
	openConns, limit int
	// slotFreed is closed and replaced when a connection slot becomes free.
	slotFreed chan struct{}
	// removed is set when the address is no longer listed.
	removed bool
}

func newPool(idleTimeout time.Duration) *pool {
	return &pool{idleTimeout: idleTimeout, dial: dialTCP, endpoints: make(map[netip.AddrPort]*endpoint)}
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
}

// get returns the endpoint of an address and limits it to maxConns connections.
func (p *pool) get(address netip.AddrPort, maxConns int, onConnectionChange func(change int)) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep, ok := p.endpoints[address]
	if !ok {
		ep = newEndpoint(func(ctx context.Context) (net.Conn, error) { return p.dial(ctx, address) }, address.String(), p.idleTimeout, onConnectionChange)
		p.endpoints[address] = ep
	}
	ep.setLimit(maxConns)
	return ep
}

// retain removes the endpoints of addresses for which keep returns false. Requests in
// flight finish.
func (p *pool) retain(keep func(a netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, ep := range p.endpoints {
		if keep(a) {
			continue
		}
		delete(p.endpoints, a)
		ep.remove()
	}
}

func newEndpoint(connect func(context.Context) (net.Conn, error), address string, idleTimeout time.Duration, onConnectionChange func(change int)) *endpoint {
	ep := &endpoint{connect: connect, address: address, onConnectionChange: onConnectionChange, slotFreed: make(chan struct{})}
	ep.transport = &http.Transport{
		DialContext:            func(ctx context.Context, _, _ string) (net.Conn, error) { return ep.dial(ctx) },
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxForwardConnections,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return ep
}

// setLimit sets the maximum number of connections. If more are open, it closes the
// idle ones.
func (ep *endpoint) setLimit(limit int) {
	ep.mu.Lock()
	lowered := limit < ep.openConns
	if limit > ep.limit {
		ep.wakeDials()
	}
	ep.limit = limit
	ep.mu.Unlock()
	if lowered {
		ep.transport.CloseIdleConnections()
	}
}

func (ep *endpoint) remove() {
	ep.mu.Lock()
	ep.removed = true
	ep.mu.Unlock()
	ep.transport.CloseIdleConnections()
}

// closeIdleIfRemoved is called after each request, so that a removed endpoint keeps no
// idle connections.
func (ep *endpoint) closeIdleIfRemoved() {
	ep.mu.Lock()
	removed := ep.removed
	ep.mu.Unlock()
	if removed {
		ep.transport.CloseIdleConnections()
	}
}

// wakeDials wakes the dials that wait for a slot. ep.mu must be held.
func (ep *endpoint) wakeDials() {
	close(ep.slotFreed)
	ep.slotFreed = make(chan struct{})
}

// dial waits for a connection slot and opens a connection, whose Close frees the slot.
func (ep *endpoint) dial(ctx context.Context) (c net.Conn, err error) {
	if err := ep.acquireSlot(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := ep.connect(ctx)
	if err != nil {
		ep.releaseSlot()
		return nil, err
	}
	ep.onConnectionChange(1)
	var once sync.Once
	wrapped := &serverConn{Conn: raw}
	wrapped.close = func() error {
		once.Do(func() {
			ep.onConnectionChange(-1)
			ep.releaseSlot()
		})
		return raw.Close()
	}
	return wrapped, nil
}

// acquireSlot waits until another connection may be opened, and counts it.
func (ep *endpoint) acquireSlot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	for {
		ep.mu.Lock()
		if ep.openConns < ep.limit {
			ep.openConns++
			ep.mu.Unlock()
			return nil
		}
		freed := ep.slotFreed
		ep.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (ep *endpoint) releaseSlot() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.openConns--
	ep.wakeDials()
}
