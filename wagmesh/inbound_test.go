package wagmesh

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcwire"
)

// clientAddress is the address of a client of the peer port that is no host.
var clientAddress = netip.AddrFrom4([4]byte{10, 9, 0, 1})

// dialPeerPort connects a client to the peer port of a host.
func (s *site) dialPeerPort(h *host) net.Conn {
	s.t.Helper()
	c, err := s.network.dial(context.Background(), clientAddress, h.member.Address)
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// isClosed reports whether the other end has closed a connection on which nothing is sent.
func isClosed(c net.Conn) bool {
	select {
	case <-c.(*conn).peerClosed:
		return true
	default:
		return false
	}
}

func (h *host) unknownConns() int {
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	return h.mesh.unknownConns
}

// Guards against clients of the peer port that take all descriptors and memory of a host
// by connections on which they send nothing, and against a host that does not find the
// others afterwards.
func TestUnknownConnectionsAreBounded(t *testing.T) {
	runSite(t, 1, []string{"a"}, func(s *site) {
		is := is.New(t)
		h := s.hosts[0]
		synctest.Wait()
		var conns []net.Conn
		for range maxUnknownConns + 10 {
			conns = append(conns, s.dialPeerPort(h))
			synctest.Wait()
		}
		is.Equal(h.unknownConns(), maxUnknownConns)
		for i, c := range conns {
			is.Equal(isClosed(c), i >= maxUnknownConns)
		}
		<-time.After(silenceTimeout + time.Millisecond)
		synctest.Wait()
		is.Equal(h.unknownConns(), 0)
		for _, c := range conns {
			is.True(isClosed(c))
			is.NoErr(c.Close())
		}
		s.startHost(testMember("a", 0, 1))
		<-time.After(time.Second)
		is.Equal(len(h.mesh.Members()), 2)
	})
}

// Guards against a client that fills the memory of a host with a frame before its hello.
func TestBytesBeforeTheHelloAreBounded(t *testing.T) {
	runSite(t, 1, []string{"a"}, func(s *site) {
		is := is.New(t)
		c := s.dialPeerPort(s.hosts[0])
		frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Kind: drpcwire.KindInvoke, ID: drpcwire.ID{Stream: 1, Message: 1}, Data: make([]byte, 1<<20)})
		_, err := c.Write(frame)
		is.NoErr(err)
		synctest.Wait()
		server := c.(*conn).peer
		server.mu.Lock()
		unread := len(server.buffer)
		server.mu.Unlock()
		is.Equal(len(frame)-unread, maxUnknownBytes)
		<-time.After(silenceTimeout + time.Millisecond)
		synctest.Wait()
		is.True(isClosed(c))
		is.NoErr(c.Close())
	})
}

// openLink opens a link to a host in the name of a member and sends its hello.
func (s *site) openLink(h *host, name string) (*drpcconn.Conn, DRPCMesh_LinkClient) {
	s.t.Helper()
	c := drpcconn.NewWithOptions(s.dialPeerPort(h), drpcconn.Options{Manager: managerOptions()})
	l, err := NewDRPCMeshClient(c).Link(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	member := testMember(name, 0, 7)
	if err := l.Send(&Frame{Hello: &Hello{Self: memberMessage(member)}}); err != nil {
		s.t.Fatal(err)
	}
	return c, l
}

// Guards against a connection that is bounded after its hello, and against one that stays
// open without a link and is not counted.
func TestConnectionAfterItsLink(t *testing.T) {
	runSite(t, 1, []string{"a"}, func(s *site) {
		is := is.New(t)
		h := s.hosts[0]
		c, l := s.openLink(h, "a")
		synctest.Wait()
		is.Equal(h.unknownConns(), 0)
		for range 4 {
			// More than maxUnknownBytes, and longer than silenceTimeout.
			is.NoErr(l.Send(&Frame{Cancels: make([]uint64, maxUnknownBytes)}))
			<-time.After(silenceTimeout / 2)
		}
		is.True(!isClosed(c.Transport().(net.Conn)))
		is.NoErr(l.CloseSend())
		synctest.Wait()
		is.Equal(h.unknownConns(), 1)
		<-time.After(silenceTimeout + time.Millisecond)
		synctest.Wait()
		is.Equal(h.unknownConns(), 0)
		is.True(isClosed(c.Transport().(net.Conn)))
		_ = c.Close()
	})
}

// Guards against a host that opens any number of links, each of which costs memory for its
// frames.
func TestHostHasOneInboundLink(t *testing.T) {
	runSite(t, 1, []string{"a"}, func(s *site) {
		is := is.New(t)
		h := s.hosts[0]
		first, _ := s.openLink(h, "a")
		synctest.Wait()
		second, _ := s.openLink(h, "a")
		synctest.Wait()
		is.True(isClosed(first.Transport().(net.Conn)))
		is.True(!isClosed(second.Transport().(net.Conn)))
		h.mesh.mu.Lock()
		is.Equal(len(h.mesh.links["a7"]), 1)
		is.Equal(h.mesh.inboundLinks, 1)
		h.mesh.mu.Unlock()
		_ = first.Close()
		_ = second.Close()
	})
}
