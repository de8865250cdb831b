package wagcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagpeer"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsettings"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

var benchStart = time.Unix(1_700_000_000, 0)

func benchAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)
}

func benchServers(n, services int) []wagserver.Server {
	list := make([]wagserver.Server, 0, n)
	for i := range n {
		list = append(list, wagserver.Server{
			Service: fmt.Sprintf("s%d", i%services), DataCentre: fmt.Sprintf("dc%d", i%28), Address: benchAddress(i), State: wagserver.Live,
		})
	}
	return list
}

// benchControl returns the Control of one of the hosts in 28 data centres, and the
// other hosts.
func benchControl(b *testing.B, hosts, services int) (*Control, []wagmember.Member) {
	is := is.New(b)
	settings, err := wagsettings.Parse("bench", []byte("[host]\nname = h0\ndataCentre = dc0\n"))
	is.NoErr(err)
	clock := wagclock.NewManual(benchStart)
	c := New(settings, wagstore.NewMemory(), WithClock(clock), WithPeerClient(wagpeer.NewClient(wagpeer.WithClock(clock))))
	c.dataPlane = &testHost{changed: make(chan struct{}, 1), inForce: make(map[string]int64)}
	var members []wagmember.Member
	for i := 1; i < hosts; i++ {
		members = append(members, wagmember.Member{
			Name: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%d", i%28), Region: "r", Incarnation: c.self.Incarnation,
			Forward: benchAddress(i), Peer: benchAddress(i),
		})
	}
	c.table.Handle(benchStart, wagmember.StoreRecords{Members: members})
	c.publishMembers()
	var objects []wagrollout.Object
	for i := range services {
		text := fmt.Sprintf("[service]\nname = s%d\nslots = 2\ndeadline = 1s\n[revision]\nnumber = 5\nwriter = w\nsequence = 1\n", i)
		objects = append(objects, wagrollout.Object{Service: fmt.Sprintf("s%d", i), Text: []byte(text), Version: "1"})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.runDocumentCommands(ctx, c.catalog.Handle(benchStart, wagrollout.StoreRead{Started: benchStart, Objects: objects, Full: true}))
	return c, members
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, hosts := range []int{150, 1500} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c, members := benchControl(b, hosts, 1)
			h := NewHandler(context.Background(), c, nil)
			m := wagpeer.Heartbeat{
				Heartbeat: wagmember.Heartbeat{From: wagmember.Entry{Member: members[27]}, SentAt: benchStart, NextAt: benchStart.Add(time.Second)},
				Digest:    c.catalog.Snapshot().Digest,
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = h.Heartbeat(context.Background(), m)
			}
		})
	}
}

// BenchmarkTick measures a tick, which runs every 50 ms, when nothing is due.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ hosts, services int }{{150, 100}, {1500, 100}, {1500, 820}} {
		b.Run(fmt.Sprintf("hosts=%d/services=%d", size.hosts, size.services), func(b *testing.B) {
			c, _ := benchControl(b, size.hosts, size.services)
			if n := len(c.leases); n != size.services {
				b.Fatalf("host has %d leases", n)
			}
			// There are no servers, so no lease is wanted.
			b.ReportAllocs()
			for b.Loop() {
				c.tick(context.Background())
			}
		})
	}
}

// BenchmarkReadHostList measures one read of the host list, including decoding.
func BenchmarkReadHostList(b *testing.B) {
	for _, n := range []int{1000, 29000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text, err := json.Marshal(benchServers(n, 820))
			is.New(b).NoErr(err)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(text) }))
			defer s.Close()
			c, _ := benchControl(b, 2, 1)
			c.settings.HostList.Address = netip.MustParseAddrPort(s.Listener.Addr().String())
			b.ReportAllocs()
			b.ReportMetric(float64(len(text)), "answer-bytes")
			for b.Loop() {
				c.readHostList(context.Background())
			}
		})
	}
}
