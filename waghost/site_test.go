package waghost

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagstore"
	"github.com/wagtailspar/wagtailspar/wagsync"
)

// fakeDecoder decodes objects whose body is the address of a server. All others are
// invalid.
type fakeDecoder struct{ ObjectDecoder }

func (fakeDecoder) Kinds() []string         { return []string{"config", "servers"} }
func (fakeDecoder) RequestIDHeader() string { return "Request-Id" }

func (fakeDecoder) Decode(r wagmirror.Record, _ time.Time) (any, error) {
	if r.Kind == "config" {
		return wagsite.NewPartial(1, wagsite.Limits{}, nil, []wagsite.Route{{Name: "r1"}}), nil
	}
	if string(r.Body) == "poison" {
		panic("unexpected entry")
	}
	address, err := netip.ParseAddrPort(string(r.Body))
	if err != nil {
		return nil, errors.New("the entry is invalid")
	}
	return wagserver.Instance{ID: r.Name, Service: "lots", DataCentre: "a", Address: address, Slots: 6, State: wagserver.Live}, nil
}

type noStore struct{}

func (noStore) List(context.Context, string) (wagmirror.Update, error) {
	return wagmirror.Update{}, wagstore.ErrUnavailable
}

func (noStore) Watch(context.Context, string, wagmirror.Revision, time.Time) (wagmirror.Update, error) {
	return wagmirror.Update{}, wagstore.ErrUnavailable
}

func (noStore) Ping(context.Context) error { return wagstore.ErrUnavailable }

// Guards against requests that are sent to a server whose entry another writer has made
// invalid, and against one invalid entry that hides the others.
func TestInvalidEntries(t *testing.T) {
	is := is.New(t)
	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a"}, noStore{}, fakeDecoder{}, nil)
	entry := func(name, body string, revision wagmirror.Revision) wagmirror.Record {
		return wagmirror.Record{Kind: "servers", Name: name, Revision: revision, Body: []byte(body)}
	}
	s.applyChange(wagsync.Change{Records: []wagmirror.Record{{Kind: "config", Name: "main", Revision: 1}, entry("odd", "{{{", 2), entry("s1", "10.0.0.1:80", 3), entry("s2", "10.0.0.2:80", 4)}})
	is.Equal(len(s.servers), 2)
	s.applyChange(wagsync.Change{Records: []wagmirror.Record{entry("s1", "10.0.0.1:99999", 5)}})
	is.Equal(len(s.servers), 1)
	is.Equal(s.servers["s2"].Address.Port(), uint16(80))
	s.applyChange(wagsync.Change{Records: []wagmirror.Record{entry("s1", "10.0.0.1:80", 6)}})
	is.Equal(len(s.servers), 2)
	is.Equal(len(s.loggedFaults), 3) // two entries and one route
}

// Guards against one entry that ends the process of each host of a site, and again after
// each restart.
func TestPanicAtEntry(t *testing.T) {
	is := is.New(t)
	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a"}, noStore{}, fakeDecoder{}, nil)
	s.applyChange(wagsync.Change{Records: []wagmirror.Record{
		{Kind: "servers", Name: "odd", Revision: 1, Body: []byte("poison")}, {Kind: "servers", Name: "s1", Revision: 2, Body: []byte("10.0.0.1:80")},
	}})
	is.Equal(len(s.servers), 1)
	is.Equal(s.servers["s1"].Address.Port(), uint16(80))
}

// reportDecoder decodes objects whose body is the state and the sequence of a server.
type reportDecoder struct{ fakeDecoder }

func (reportDecoder) Decode(r wagmirror.Record, _ time.Time) (any, error) {
	var state string
	var born, sequence int64
	if _, err := fmt.Sscan(string(r.Body), &state, &born, &sequence); err != nil {
		return nil, err
	}
	return wagserver.Instance{
		ID: r.Name, Service: "lots", DataCentre: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 6, State: wagserver.State(state),
		Started: time.UnixMilli(born), Sequence: sequence,
	}, nil
}

// Guards against a report that the store has done late, and that makes a server which is
// leaving ready again until its next one (review/left-out/latebeat.sh).
func TestLateReportOfServer(t *testing.T) {
	is := is.New(t)
	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a"}, noStore{}, reportDecoder{}, nil)
	live, leaving := string(wagserver.Live), string(wagserver.Leaving)
	for n, step := range []struct{ report, want string }{
		{live + " 1000 7", live}, {leaving + " 1000 9", leaving}, {live + " 1000 8", leaving}, {leaving + " 1000 9", leaving},
		{live + " 1000 10", live}, // changed its mind
		{leaving + " 1000 11", leaving},
		{live + " 2000 1", live}, // started again, and counts anew
	} {
		s.applyChange(wagsync.Change{Records: []wagmirror.Record{{Kind: "servers", Name: "s1", Revision: wagmirror.Revision(n + 1), Body: []byte(step.report)}}})
		is.Equal(string(s.servers["s1"].State), step.want)
	}
}
