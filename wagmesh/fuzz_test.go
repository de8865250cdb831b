package wagmesh

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagsync"
)

// Guards against a frame of another host that ends the program, or makes it take a
// server without an address.
func FuzzFrame(f *testing.F) {
	seeds := []*Frame{
		{Hello: &Hello{Self: &Member{Name: "b1", DataCentre: "b", Address: "10.0.0.1:1"}}},
		{Beat: &Beat{Complete: []*Complete{{Kind: testKind, Revision: 1 << 63}}, Disconnected: true, StoreMayBeDown: true}},
		{Members: []*Member{{Name: "a1"}, {Name: "a1", DataCentre: "a", Address: "10.0.0.1:70000"}, nil}},
		{Updates: []*Update{{Kind: testKind, Full: true, At: 3, Compressed: []byte("no deflate")}, {Kind: "none"}, nil}},
		{Places: []*Place{{Id: 1, Service: testService, GoalLeft: -1 << 31, DeadlineLeft: 1<<32 - 1, Rank: 1<<32 - 1, Avoid: []string{""}}}, Cancels: []uint64{1, 2}},
		{Placed: []*Placed{{Id: 1, Status: Placed_GRANTED, Address: "x"}, {Id: 1, Status: 77}}, Finishes: []*Finish{{Id: 1, Fault: 99, Report: &Report{Running: 1<<32 - 1, SlownessPercent: 1<<32 - 1}}}},
		{Subscribe: proto.Bool(true), Bye: true},
	}
	for _, frame := range seeds {
		data, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame Frame
		if proto.Unmarshal(data, &frame) != nil {
			return
		}
		self := testMember("a", 0, 0)
		h := &host{member: self, site: &site{probes: make(map[string]int)}, log: log}
		owner := wagowner.New(self.DataCentre, h)
		owner.SetServers(testServers())
		s := wagsync.New(hostStore{newStore(), self.Name}, func(wagsync.Change) {}, []string{testKind}, wagsync.WithLog(log))
		m := New(self, s, owner, WithLog(log), WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errRefused }))
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		m.group, m.ctx = errgroup.WithContext(ctx)
		l := m.newLink(cancel)
		l.peer = testMember("b", 1, 1)
		sent := &sentRequest{acknowledged: make(chan struct{}), outcome: make(chan wagowner.Outcome, 1), linkClosed: make(chan struct{})}
		l.sentRequests[1] = sent
		m.mu.Lock()
		m.addLink(l)
		m.mu.Unlock()
		l.handleFrame(&frame)
		l.handleFrame(&frame)
		m.tick()
		select {
		case x := <-sent.outcome:
			if granted, ok := x.(wagowner.Granted); ok {
				if !granted.Server.Address.IsValid() {
					t.Fatalf("granted %+v", granted.Server)
				}
				granted.Finish(wagplacement.Result{Latency: time.Second})
			}
		default:
		}
		l.release(nil)
	})
}
