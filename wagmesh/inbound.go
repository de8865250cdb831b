package wagmesh

import (
	"net"
	"sync"

	"storj.io/drpc/drpcctx"
)

const (
	// maxUnknownConns bounds the connections to the peer port that have not sent a hello.
	// Each may hold maxUnknownBytes and the buffers of drpc. Further ones are closed at
	// once; a host dials again after dialRetryDelay.
	maxUnknownConns = 256
	// maxUnknownBytes bounds what is read from such a connection. The frame with the
	// hello takes less than 1 KB; without the bound each connection could fill
	// maxFrameBytes.
	maxUnknownBytes = 16 << 10
)

// peerListener accepts the connections of other hosts, which are unknown until their
// hello arrives.
type peerListener struct {
	net.Listener
	mesh *Mesh
}

// Accept accepts a connection. It closes those beyond maxUnknownConns.
func (l peerListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &peerConn{Conn: raw, mesh: l.mesh}
		if c.becomeUnknown(maxUnknownConns) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// peerConn is a connection that another host opened.
type peerConn struct {
	net.Conn
	mesh *Mesh

	mu sync.Mutex
	// settled is closed when the hello has arrived or the connection is closed; nil while
	// the connection is known or closed. bytesLeft is how many bytes may be read until
	// then.
	settled   chan struct{}
	bytesLeft int
	closed    bool
}

// becomeUnknown counts the connection as unknown until the hello of a link arrives or the
// connection is closed, which happens after silenceTimeout. It returns false if there are
// limit unknown connections already.
func (c *peerConn) becomeUnknown(limit int) bool {
	m := c.mesh
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.settled != nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unknownConns >= limit {
		return false
	}
	m.unknownConns++
	settled := make(chan struct{})
	c.bytesLeft, c.settled = maxUnknownBytes, settled
	expired, release := m.clock.TimerAt(m.clock.Now().Add(silenceTimeout))
	m.group.Go(func() error {
		defer release()
		select {
		case <-m.ctx.Done():
		case <-settled:
		case <-expired:
			_ = c.Close() // the server notices the end of the connection
		}
		return nil
	})
	return true
}

// becomeKnown ends the limits of an unknown connection.
func (c *peerConn) becomeKnown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle()
}

// settle stops counting the connection as unknown; c.mu is held.
func (c *peerConn) settle() {
	if c.settled == nil {
		return
	}
	close(c.settled)
	c.settled = nil
	c.mesh.mu.Lock()
	c.mesh.unknownConns--
	c.mesh.mu.Unlock()
}

// Read reads from the connection. It waits for the hello when maxUnknownBytes were read
// without one: the frames after the hello may be large, and may be read before the hello
// is handled.
func (c *peerConn) Read(p []byte) (n int, err error) {
	c.mu.Lock()
	settled, left := c.settled, c.bytesLeft
	c.mu.Unlock()
	if settled != nil && left <= 0 {
		<-settled
		settled = nil
	}
	if settled != nil {
		p = p[:min(len(p), left)]
	}
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	c.bytesLeft -= n
	c.mu.Unlock()
	return n, err
}

// Close closes the connection.
func (c *peerConn) Close() error {
	c.mu.Lock()
	c.settle()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// peerConnOf returns the connection of a stream that another host opened, or nil.
func peerConnOf(s stream) *peerConn {
	transport, ok := drpcctx.Transport(s.Context())
	if !ok {
		return nil
	}
	c, _ := transport.(*peerConn)
	return c
}
