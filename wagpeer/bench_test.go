package wagpeer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

// processorTime returns the CPU time that the process has used so far.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkRounds reports CPU time and payload bytes per round of heartbeats.
func benchmarkRounds(b *testing.B, bytes func() int64, round func()) {
	round()
	used, sent := processorTime(b), bytes()
	b.ResetTimer()
	for range b.N {
		round()
	}
	b.StopTimer()
	b.ReportMetric(float64(processorTime(b)-used)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(bytes()-sent)/float64(b.N), "bytes/op")
}

func benchmarkDRPC(b *testing.B, peers int, server, client *tls.Config) {
	c := NewClient(WithTLS(client), WithCallTimeout(time.Minute))
	defer c.Close()
	addresses := make([]netip.AddrPort, 0, peers)
	for range peers {
		s, err := NewServer(echoHandler{}, 1)
		if err != nil {
			b.Fatal(err)
		}
		addresses = append(addresses, startServer(b, func(ctx context.Context, l net.Listener) error { return s.Serve(ctx, l, server) }))
	}
	m := testHeartbeat()
	benchmarkRounds(b, func() int64 { return c.Traffic.BytesRead.Load() + c.Traffic.BytesWritten.Load() }, func() {
		for _, a := range addresses {
			if _, err := c.Heartbeat(b.Context(), a, m); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// serveDatagrams decodes and validates heartbeats and sends them back until the
// socket is closed.
func serveDatagrams(s *net.UDPConn) error {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return err
		}
		if err := replyToDatagram(s, from, buffer[:n]); err != nil {
			return err
		}
	}
}

func replyToDatagram(s *net.UDPConn, from netip.AddrPort, text []byte) error {
	m := &HeartbeatMessage{}
	if err := proto.Unmarshal(text, m); err != nil {
		return err
	}
	if err := Validate(m); err != nil {
		return err
	}
	reply, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	_, err = s.WriteToUDPAddrPort(reply, from)
	return err
}

func benchmarkUDP(b *testing.B, peers int) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	var group errgroup.Group
	sockets := make([]*net.UDPConn, 0, 2*peers)
	for range peers {
		server, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
		if err != nil {
			b.Fatal(err)
		}
		group.Go(func() error { return serveDatagrams(server) })
		client, err := net.DialUDP("udp", nil, server.LocalAddr().(*net.UDPAddr))
		if err != nil {
			b.Fatal(err)
		}
		sockets = append(sockets, client, server)
	}
	m, bytes, buffer := testHeartbeat().message(), int64(0), make([]byte, 64<<10)
	benchmarkRounds(b, func() int64 { return bytes }, func() {
		for n := 0; n < len(sockets); n += 2 {
			bytes += exchangeDatagrams(b, sockets[n], m, buffer)
		}
	})
	for _, s := range sockets {
		_ = s.Close()
	}
	_ = group.Wait()
}

func exchangeDatagrams(b *testing.B, c *net.UDPConn, m *HeartbeatMessage, buffer []byte) int64 {
	text, err := proto.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	if _, err = c.Write(text); err != nil {
		b.Fatal(err)
	}
	n, err := c.Read(buffer)
	if err != nil {
		b.Fatal(err)
	}
	reply := &HeartbeatMessage{}
	if err := proto.Unmarshal(buffer[:n], reply); err != nil {
		b.Fatal(err)
	}
	if err := Validate(reply); err != nil {
		b.Fatal(err)
	}
	return int64(len(text) + n)
}

// selfSignedTLS returns configurations that encrypt without verifying the peer.
func selfSignedTLS(b testing.TB) (server, client *tls.Config) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		b.Fatal(err)
	}
	server = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	return server, &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true}
}

// One operation is a heartbeat to each peer and its reply. Client and servers run in
// the same process, because a host both sends heartbeats to its peers and replies
// to theirs.
func BenchmarkRound(b *testing.B) {
	server, client := selfSignedTLS(b)
	for _, peers := range []int{15, 50, 150} {
		b.Run(fmt.Sprintf("drpc/%d", peers), func(b *testing.B) { benchmarkDRPC(b, peers, nil, nil) })
		b.Run(fmt.Sprintf("drpcTLS/%d", peers), func(b *testing.B) { benchmarkDRPC(b, peers, server, client) })
		b.Run(fmt.Sprintf("udp/%d", peers), func(b *testing.B) { benchmarkUDP(b, peers) })
	}
}
