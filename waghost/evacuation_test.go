package waghost

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/waglog"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// evacuationDecoder decodes servers whose body is their data centre, and evacuations.
type evacuationDecoder struct{ fakeDecoder }

func (evacuationDecoder) Kinds() []string { return []string{"config", "servers", "evacuations"} }

func (d evacuationDecoder) Decode(r wagmirror.Record, at time.Time) (any, error) {
	switch r.Kind {
	case "evacuations":
		return wagsite.Evacuation{DataCentre: r.Name}, nil
	case "servers":
		return wagserver.Instance{ID: r.Name, Service: "lots", DataCentre: string(r.Body), Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 6, State: wagserver.Live}, nil
	default:
		return d.fakeDecoder.Decode(r, at)
	}
}

// evacuationHost is a host in data centre a, which gets the objects of the store from
// another host.
type evacuationHost struct {
	*SiteHost
	is       *is.I
	out      bytes.Buffer
	log      *waglog.Log
	revision wagmirror.Revision
}

func newEvacuationHost(t *testing.T) *evacuationHost {
	h := &evacuationHost{is: is.New(t)}
	h.log = waglog.New(&h.out, "edge-1")
	h.SiteHost = NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a", FollowEvacuations: true}, noStore{}, evacuationDecoder{}, nil, WithSiteLog(h.log))
	return h
}

// list applies a full list of the objects of a kind.
func (h *evacuationHost) list(kind string, bodies map[string]string) {
	h.revision++
	u := wagmirror.Update{Kind: kind, Full: true, At: h.revision}
	for name, body := range bodies {
		u.Records = append(u.Records, wagmirror.Record{Kind: kind, Name: name, Revision: h.revision, Body: []byte(body)})
	}
	h.sync.Apply(u)
}

// change applies the change of one evacuation at a revision.
func (h *evacuationHost) change(at wagmirror.Revision, dataCentre string, deleted bool) {
	h.revision = max(h.revision, at)
	h.sync.Apply(wagmirror.Update{Kind: "evacuations", Since: h.sync.Positions()["evacuations"].Revision, At: at, Records: []wagmirror.Record{
		{Kind: "evacuations", Name: dataCentre, Revision: at, Deleted: deleted, Body: []byte("{{{")},
	}})
}

// place has a request placed that can no longer meet its goal, so that no server is probed.
// It returns the server or the reason of the refusal.
func (h *evacuationHost) place() string {
	now := time.Now()
	switch x := h.owner.Place(context.Background(), "lots", wagplacement.Request{Route: "r1", Goal: now, Deadline: now.Add(5 * time.Second)}).(type) {
	case wagowner.Granted:
		x.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
		return x.Server.ID
	case wagowner.Refused:
		return string(x.Reason)
	default:
		return fmt.Sprintf("%T", x)
	}
}

// sendable returns those of the servers a1, b1 and c1 that requests may be sent to.
func (h *evacuationHost) sendable() (list string) {
	for _, id := range []string{"a1", "b1", "c1"} {
		if h.maySend(id) {
			list += id
		}
	}
	return list
}

// Guards against an evacuation that ends, or that leaves servers in service, when another
// one begins or ends; against requests that wait when all servers of the service are
// inside; and against servers that do not come back.
func TestTwoEvacuations(t *testing.T) {
	h := newEvacuationHost(t)
	h.list("config", nil)
	h.list("servers", map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	h.list("evacuations", nil)
	h.is.Equal(h.sendable(), "a1b1c1")
	h.is.True(h.evacuations.sendable.Load() == nil) // costs nothing
	h.is.Equal(h.place(), "a1")
	h.change(10, "a", false)
	h.is.Equal(h.sendable(), "b1c1")
	h.change(11, "b", false)
	h.is.Equal(h.sendable(), "c1")
	h.change(12, "c", false)
	h.is.Equal(h.sendable(), "")
	h.is.Equal(h.place(), string(wagplacement.ReasonNoServer))
	h.is.Equal(h.evacuations.serverCount, 3)
	h.change(13, "a", true)
	h.is.Equal(h.sendable(), "a1")
	h.is.Equal(h.place(), "a1")
	h.list("servers", map[string]string{"a2": "a", "b1": "b", "c1": "c"}) // a1 has gone
	h.is.Equal(h.place(), "a2")
	h.is.True(h.maySend("a2"))
	h.is.True(!h.maySend("a1"))
	h.change(14, "b", true)
	h.change(15, "c", true)
	h.is.True(h.evacuations.sendable.Load() == nil)
	h.is.Equal(h.evacuations.serverCount, 0)
}

// Guards against a record that arrives late and ends an evacuation or starts it again, and
// against one that is deleted and made again and is missed.
func TestLateRecordOfEvacuation(t *testing.T) {
	h := newEvacuationHost(t)
	h.list("config", nil)
	h.list("servers", map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	h.list("evacuations", nil)
	late := func(at wagmirror.Revision, deleted bool) {
		h.sync.Apply(wagmirror.Update{Kind: "evacuations", Since: 0, At: at, Records: []wagmirror.Record{{Kind: "evacuations", Name: "a", Revision: at, Deleted: deleted}}})
	}
	h.change(10, "a", false)
	h.change(12, "a", true)
	h.change(14, "a", false)
	h.is.Equal(h.sendable(), "b1c1")
	late(12, true)
	h.is.Equal(h.sendable(), "b1c1")
	h.change(16, "a", true)
	late(14, false)
	h.is.Equal(h.sendable(), "a1b1c1")
	// Both changes in one update, and the later one alone.
	h.sync.Apply(wagmirror.Update{Kind: "evacuations", Since: 16, At: 18, Records: []wagmirror.Record{
		{Kind: "evacuations", Name: "a", Revision: 17}, {Kind: "evacuations", Name: "a", Revision: 18, Deleted: true},
	}})
	h.is.Equal(h.sendable(), "a1b1c1")
	h.change(20, "a", false)
	h.change(22, "a", false) // deleted at 21
	h.is.Equal(h.sendable(), "b1c1")
	h.revision = 30
	h.list("evacuations", nil) // deleted while the store dropped its history
	h.is.Equal(h.sendable(), "a1b1c1")
}

// Guards against the end of an evacuation that removes a server with the name of the data
// centre, against one that counts as the first list of servers, and against log lines that
// are missing.
func TestEvacuationIsNoServer(t *testing.T) {
	h := newEvacuationHost(t)
	h.list("config", nil)
	h.list("evacuations", map[string]string{"b": ""})
	h.list("servers", map[string]string{"a": "a", "b": "b"})
	h.is.Equal(h.place(), "a")
	h.change(10, "a", false)
	h.change(11, "a", true)
	h.is.Equal(len(h.servers), 2)
	h.is.Equal(h.place(), "a")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.is.NoErr(h.log.Run(ctx))
	h.is.Equal(strings.Count(h.out.String(), `"evacuated"`), 2)
	h.is.Equal(strings.Count(h.out.String(), `"takenBack"`), 1)
}

// Guards against a host that starts during an evacuation and sends requests there before it
// knows of it, and against one that serves nobody because the kind cannot be read.
func TestStartDuringEvacuation(t *testing.T) {
	h := newEvacuationHost(t)
	h.list("config", nil)
	h.list("servers", map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	h.is.Equal(h.sendable(), "")
	h.is.Equal(h.withheldAttempts.Load(), uint64(3))
	h.list("evacuations", map[string]string{"b": ""})
	h.is.Equal(h.sendable(), "a1c1")

	h = newEvacuationHost(t)
	h.list("servers", map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	h.evacuationsWaitUntil = time.Now()
	h.is.Equal(h.sendable(), "a1b1c1")

	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a"}, noStore{}, fakeDecoder{}, nil)
	h.is.True(s.maySend("a1")) // the settings plan no evacuations
}
