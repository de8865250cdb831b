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

// echo answers each message with as much of it as fits.
type echo struct{}

func (echo) Heartbeat(_ context.Context, h Heartbeat) (Heartbeat, error) {
	return h, nil
}
func (echo) Confirm(_ context.Context, c ConfirmRequest) (bool, error) {
	return c.Incarnation == 7, nil
}
func (echo) Index(context.Context, wagrollout.Digests) (Index, error) {
	return Index{Confirmed: time.UnixMilli(-1)}, nil
}
func (echo) Pull(_ context.Context, services []string) ([]Document, error) {
	return []Document{{Service: services[0], Text: make([]byte, maxDocument)}}, nil
}
func (echo) Share(context.Context, []wagserver.Observation) error {
	return nil
}
func (echo) Events(_ context.Context, after uint64) ([]wagevent.Event, error) {
	return []wagevent.Event{{Sequence: after + 1, Host: "a"}, {Sequence: after + 2, Host: "a"}}, nil
}

// start runs a server on loopback and returns its address.
func start(t testing.TB, serve func(context.Context, net.Listener) error) netip.AddrPort {
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

func plain(t testing.TB, connections int) (*Server, netip.AddrPort) {
	s, err := NewServer(echo{}, connections)
	if err != nil {
		t.Fatal(err)
	}
	return s, start(t, func(ctx context.Context, l net.Listener) error { return s.Serve(ctx, l, nil) })
}

// heartbeat is a typical message: four services and four members.
func heartbeat() Heartbeat {
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

// Guards against messages that change on the way, one kept connection that is
// not reused, and answers out of bounds that reach the caller.
func TestCalls(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, address := plain(t, 1)
	c := NewClient(WithCallTimeout(time.Minute))
	defer c.Close()
	answer, err := c.Heartbeat(ctx, address, heartbeat())
	is.NoErr(err)
	is.Equal(answer, heartbeat())
	hears, err := c.Confirm(ctx, address, ConfirmRequest{Name: "a", Incarnation: 7})
	is.NoErr(err)
	is.True(hears)
	documents, err := c.Pull(ctx, address, []string{"lot-desk"})
	is.NoErr(err)
	is.Equal(len(documents[0].Text), maxDocument)
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
	is.True(c.Traffic.BytesRead.Load() > maxDocument)
}

// Guards against a server that trusts a peer's message.
func TestServerChecksMessages(t *testing.T) {
	is := is.New(t)
	s := &service{handler: echo{}}
	m := heartbeat().message()
	m.From.Name = strings.Repeat("x", maxName+1)
	_, err := s.Heartbeat(t.Context(), m)
	var field *FieldError
	is.True(errors.As(err, &field))
	is.Equal(field.Field, "from.name")
}

// Guards against unbounded connections, and a place that is not given back.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	s, address := plain(t, 1)
	first := NewClient(WithCallTimeout(time.Minute))
	second := NewClient(WithCallTimeout(time.Minute), WithClock(wagclock.NewManual(time.Unix(0, 0))))
	_, err := first.Heartbeat(t.Context(), address, heartbeat())
	is.NoErr(err)
	_, err = second.Heartbeat(t.Context(), address, heartbeat())
	is.True(err != nil)
	is.Equal(s.Traffic.RefusedConnections.Load(), int64(1))
	_, err = second.Heartbeat(t.Context(), address, heartbeat())
	is.True(errors.Is(err, ErrBackoff))
	first.Close()
	s.free <- <-s.free // waits until the place is free
	third := NewClient(WithCallTimeout(time.Minute))
	defer third.Close()
	_, err = third.Heartbeat(t.Context(), address, heartbeat())
	is.NoErr(err)
}

// Guards against a peer that is gone and takes a connection attempt with every
// heartbeat.
func TestAttemptsArePaused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	clock := wagclock.NewManual(time.Unix(0, 0))
	c := NewClient(WithClock(clock))
	_, err = c.Heartbeat(t.Context(), address, heartbeat())
	is.True(err != nil && !errors.Is(err, ErrBackoff))
	_, err = c.Heartbeat(t.Context(), address, heartbeat())
	is.True(errors.Is(err, ErrBackoff))
	clock.Advance(minPause)
	_, err = c.Heartbeat(t.Context(), address, heartbeat())
	is.True(err != nil && !errors.Is(err, ErrBackoff))
}

// Guards against bytes of a peer that make the decoder or the checks panic, and
// against checked messages that exceed the bound of a message.
func FuzzCheck(f *testing.F) {
	text, err := proto.Marshal(heartbeat().message())
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

// Guards against a client that talks in plain text to a port with TLS, and
// against bytes that are not counted below TLS.
func TestTLS(t *testing.T) {
	is := is.New(t)
	s, err := NewServer(echo{}, 4)
	is.NoErr(err)
	server, client := selfSigned(t)
	address := start(t, func(ctx context.Context, l net.Listener) error { return s.Serve(ctx, l, server) })
	secure := NewClient(WithTLS(client), WithCallTimeout(time.Minute))
	defer secure.Close()
	answer, err := secure.Heartbeat(t.Context(), address, heartbeat())
	is.NoErr(err)
	is.Equal(answer, heartbeat())
	is.True(secure.Traffic.BytesWritten.Load() > int64(proto.Size(heartbeat().message())))
	open := NewClient(WithCallTimeout(time.Minute))
	defer open.Close()
	_, err = open.Heartbeat(t.Context(), address, heartbeat())
	is.True(err != nil)
}
