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

// cpu returns the processor time of the process so far.
func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// perRound reports processor time and payload bytes of a round of heartbeats.
func perRound(b *testing.B, bytes func() int64, round func()) {
	round()
	used, sent := cpu(b), bytes()
	b.ResetTimer()
	for range b.N {
		round()
	}
	b.StopTimer()
	b.ReportMetric(float64(cpu(b)-used)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(bytes()-sent)/float64(b.N), "bytes/op")
}

func benchmarkDRPC(b *testing.B, peers int, server, client *tls.Config) {
	c := NewClient(WithTLS(client), WithCallTimeout(time.Minute))
	defer c.Close()
	addresses := make([]netip.AddrPort, 0, peers)
	for range peers {
		s, err := NewServer(echo{}, 1)
		if err != nil {
			b.Fatal(err)
		}
		addresses = append(addresses, start(b, func(ctx context.Context, l net.Listener) error { return s.Serve(ctx, l, server) }))
	}
	m := heartbeat()
	perRound(b, func() int64 { return c.Traffic.BytesRead.Load() + c.Traffic.BytesWritten.Load() }, func() {
		for _, a := range addresses {
			if _, err := c.Heartbeat(b.Context(), a, m); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// answerDatagrams decodes, checks and answers heartbeats until the socket closes.
func answerDatagrams(s *net.UDPConn) error {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return err
		}
		if err := answerDatagram(s, from, buffer[:n]); err != nil {
			return err
		}
	}
}

func answerDatagram(s *net.UDPConn, from netip.AddrPort, text []byte) error {
	m := &HeartbeatMessage{}
	if err := proto.Unmarshal(text, m); err != nil {
		return err
	}
	if err := Validate(m); err != nil {
		return err
	}
	answer, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	_, err = s.WriteToUDPAddrPort(answer, from)
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
		group.Go(func() error { return answerDatagrams(server) })
		client, err := net.DialUDP("udp", nil, server.LocalAddr().(*net.UDPAddr))
		if err != nil {
			b.Fatal(err)
		}
		sockets = append(sockets, client, server)
	}
	m, bytes, buffer := heartbeat().message(), int64(0), make([]byte, 64<<10)
	perRound(b, func() int64 { return bytes }, func() {
		for n := 0; n < len(sockets); n += 2 {
			bytes += exchange(b, sockets[n], m, buffer)
		}
	})
	for _, s := range sockets {
		_ = s.Close()
	}
	_ = group.Wait()
}

func exchange(b *testing.B, c *net.UDPConn, m *HeartbeatMessage, buffer []byte) int64 {
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
	answer := &HeartbeatMessage{}
	if err := proto.Unmarshal(buffer[:n], answer); err != nil {
		b.Fatal(err)
	}
	if err := Validate(answer); err != nil {
		b.Fatal(err)
	}
	return int64(len(text) + n)
}

// selfSigned returns configurations that encrypt but check no one.
func selfSigned(b testing.TB) (server, client *tls.Config) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	t := &x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		b.Fatal(err)
	}
	server = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	return server, &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true}
}

// One operation is a heartbeat with its answer to each peer; both sides run in
// the process, as a host both asks and answers all of its peers.
func BenchmarkRound(b *testing.B) {
	server, client := selfSigned(b)
	for _, peers := range []int{15, 50, 150} {
		b.Run(fmt.Sprintf("drpc/%d", peers), func(b *testing.B) { benchmarkDRPC(b, peers, nil, nil) })
		b.Run(fmt.Sprintf("drpcTLS/%d", peers), func(b *testing.B) { benchmarkDRPC(b, peers, server, client) })
		b.Run(fmt.Sprintf("udp/%d", peers), func(b *testing.B) { benchmarkUDP(b, peers) })
	}
}
