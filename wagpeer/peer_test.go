package wagpeer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// echoHandler replies with the content of the message where the reply has fields
// for it, and with fixed values otherwise. Its Index reply is invalid.
type echoHandler struct{}

func (echoHandler) Heartbeat(_ context.Context, h Heartbeat) (Heartbeat, error) {
	return h, nil
}
func (echoHandler) Confirm(_ context.Context, c ConfirmRequest) (bool, error) {
	return c.Incarnation == 7, nil
}
func (echoHandler) Index(context.Context, wagrollout.Digests) (Index, error) {
	return Index{Confirmed: time.UnixMilli(-1)}, nil
}
func (echoHandler) Pull(_ context.Context, services []string) ([]Document, error) {
	return []Document{{Service: services[0], Text: make([]byte, maxDocumentBytes)}}, nil
}
func (echoHandler) Share(context.Context, []wagserver.Observation) error {
	return nil
}
func (echoHandler) Events(_ context.Context, after uint64) ([]wagevent.Event, error) {
	return []wagevent.Event{{Sequence: after + 1, Host: "a"}, {Sequence: after + 2, Host: "a"}}, nil
}

// startServer runs serve on a loopback port until the test ends and returns its
// address.
func startServer(t testing.TB, serve func(context.Context, net.Listener) error) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return serve(ctx, l) })
	t.Cleanup(func() { cancel(); _ = group.Wait() })
	return netip.MustParseAddrPort(l.Addr().String())
}

func startPlainServer(t testing.TB, connections int) (*Server, netip.AddrPort) {
	s, err := NewServer(echoHandler{}, connections)
	if err != nil {
		t.Fatal(err)
	}
	return s, startServer(t, func(ctx context.Context, l net.Listener) error { return s.Serve(ctx, l, nil) })
}

// testHeartbeat returns a typical heartbeat, with four services and four members.
func testHeartbeat() Heartbeat {
	at := time.UnixMilli(1_800_000_000_000)
	member := func(n int) wagmember.Entry {
		return wagmember.Entry{Refutation: uint64(n), Member: wagmember.Member{
			Name: fmt.Sprintf("entry-%d", n), DataCentre: "dc1", Region: "region1", Incarnation: 1 << 60,
			Forward: netip.MustParseAddrPort("10.0.0.1:8081"), Peer: netip.MustParseAddrPort("10.0.0.1:8082"),
		}}
	}
	h := Heartbeat{
		Heartbeat: wagmember.Heartbeat{From: member(0), SentAt: at, NextAt: at, ReachableDataCentres: []string{"dc2"}},
		Digest:    1 << 60, Confirmed: at,
	}
	for n := range 4 {
		h.Entries = append(h.Entries, member(n+1))
		s := wagrouting.Summary{ExpectedWait: 12 * time.Millisecond, ServiceTime: 4 * time.Millisecond, Slots: 120, FreeSlots: 3.25, HealthyServers: 20}
		h.Loads = append(h.Loads, GroupLoad{Service: fmt.Sprintf("service-%d", n), DataCentre: "dc1", Summary: s, At: at})
	}
	return h
}

// Guards against messages that change on the way, against a new connection for
// each call (the server permits one), and against invalid replies that the client
// returns.
func TestCalls(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, address := startPlainServer(t, 1)
	c := NewClient(WithCallTimeout(time.Minute))
	defer c.Close()
	reply, err := c.Heartbeat(ctx, address, testHeartbeat())
	is.NoErr(err)
	is.Equal(reply, testHeartbeat())
	hears, err := c.Confirm(ctx, address, ConfirmRequest{Name: "a", Incarnation: 7})
	is.NoErr(err)
	is.True(hears)
	documents, err := c.Pull(ctx, address, []string{"lot-desk"})
	is.NoErr(err)
	is.Equal(len(documents[0].Text), maxDocumentBytes)
	is.NoErr(c.Share(ctx, address, []wagserver.Observation{{Service: "a", Address: address, Kind: wagserver.Draining, FirstSeen: time.UnixMilli(1), Observer: "b"}}))
	events, err := c.Events(ctx, address, 4)
	is.NoErr(err)
	is.Equal(len(events), 2)
	_, err = c.Index(ctx, address, wagrollout.Digests{})
	var field *FieldError
	is.True(errors.As(err, &field))
	is.Equal(field.Field, "confirmed")
	is.Equal(s.Traffic.RefusedConnections.Load(), int64(0))
	is.True(s.Traffic.BytesRead.Load() > 0)
	is.True(c.Traffic.BytesRead.Load() > maxDocumentBytes)
}

// Guards against a server that passes invalid messages to its handler.
func TestServerChecksMessages(t *testing.T) {
	is := is.New(t)
	s := &validatingService{handler: echoHandler{}}
	m := testHeartbeat().message()
	m.From.Name = strings.Repeat("x", maxNameLength+1)
	_, err := s.Heartbeat(t.Context(), m)
	var field *FieldError
	is.True(errors.As(err, &field))
	is.Equal(field.Field, "from.name")
}

// Guards against a server that accepts more connections than permitted, or that
// keeps the slot of a closed connection.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	s, address := startPlainServer(t, 1)
	first := NewClient(WithCallTimeout(time.Minute))
	second := NewClient(WithCallTimeout(time.Minute), WithClock(wagclock.NewManual(time.Unix(0, 0))))
	_, err := first.Heartbeat(t.Context(), address, testHeartbeat())
	is.NoErr(err)
	_, err = second.Heartbeat(t.Context(), address, testHeartbeat())
	is.True(err != nil)
	is.Equal(s.Traffic.RefusedConnections.Load(), int64(1))
	_, err = second.Heartbeat(t.Context(), address, testHeartbeat())
	is.True(errors.Is(err, ErrBackoff))
	first.Close()
	s.freeSlots <- <-s.freeSlots // waits until the slot is free
	third := NewClient(WithCallTimeout(time.Minute))
	defer third.Close()
	_, err = third.Heartbeat(t.Context(), address, testHeartbeat())
	is.NoErr(err)
}

// Guards against a connection attempt with every heartbeat to an unreachable peer.
func TestDialBackoff(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	clock := wagclock.NewManual(time.Unix(0, 0))
	c := NewClient(WithClock(clock))
	_, err = c.Heartbeat(t.Context(), address, testHeartbeat())
	is.True(err != nil && !errors.Is(err, ErrBackoff))
	_, err = c.Heartbeat(t.Context(), address, testHeartbeat())
	is.True(errors.Is(err, ErrBackoff))
	clock.Advance(minBackoff)
	_, err = c.Heartbeat(t.Context(), address, testHeartbeat())
	is.True(err != nil && !errors.Is(err, ErrBackoff))
}

// Guards against bytes from a peer that make the decoder or Validate panic.
func FuzzValidate(f *testing.F) {
	text, err := proto.Marshal(testHeartbeat().message())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x00, 0x22, 0x00})
	f.Fuzz(func(_ *testing.T, text []byte) {
		for _, m := range []proto.Message{&HeartbeatMessage{}, &ConfirmMessage{}, &IndexMessage{}, &IndexedMessage{}, &PullMessage{}, &DocumentsMessage{}, &ShareMessage{}, &EventsMessage{}, &EventMessage{}} {
			if proto.Unmarshal(text, m) == nil {
				_ = Validate(m)
			}
		}
	})
}

// Guards against a server that accepts plain text on a port with TLS, and against
// byte counts that leave out the overhead of TLS.
func TestTLS(t *testing.T) {
	is := is.New(t)
	s, err := NewServer(echoHandler{}, 4)
	is.NoErr(err)
	server, client := selfSignedTLS(t)
	address := startServer(t, func(ctx context.Context, l net.Listener) error { return s.Serve(ctx, l, server) })
	secure := NewClient(WithTLS(client), WithCallTimeout(time.Minute))
	defer secure.Close()
	reply, err := secure.Heartbeat(t.Context(), address, testHeartbeat())
	is.NoErr(err)
	is.Equal(reply, testHeartbeat())
	is.True(secure.Traffic.BytesWritten.Load() > int64(proto.Size(testHeartbeat().message())))
	open := NewClient(WithCallTimeout(time.Minute))
	defer open.Close()
	_, err = open.Heartbeat(t.Context(), address, testHeartbeat())
	is.True(err != nil)
}
