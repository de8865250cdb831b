package waghost

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagsync"
)

// versionDecoder decodes configurations whose body is their version, and servers.
type versionDecoder struct{ reportDecoder }

func (d versionDecoder) Decode(r wagmirror.Record, at time.Time) (any, error) {
	if r.Kind != "config" {
		return d.reportDecoder.Decode(r, at)
	}
	var version wagsite.Version
	_, err := fmt.Sscan(string(r.Body), &version)
	return wagsite.NewPartial(version, wagsite.Limits{}, nil, nil), err
}

// serversIn returns the change of a list of servers in an era. A report is a state, a start
// and a sequence; an empty one stands for a deletion.
func serversIn(era wagmirror.Era, at wagmirror.Revision, reports map[string]string) wagsync.Change {
	c := wagsync.Change{Kind: "servers", Era: era}
	for name, report := range reports {
		c.Records = append(c.Records, wagmirror.Record{Kind: "servers", Name: name, Revision: at, Body: []byte(report), Deleted: report == ""})
	}
	return c
}

// Guards against a host that goes back to what a copy of the store shows: a server that has
// left or is leaving is used again by its restored entry, and one that the copy lacks is not
// used until it has registered again (review/11, related paths).
func TestServersAfterStoreComesBack(t *testing.T) {
	is := is.New(t)
	live, leaving := string(wagserver.Live), string(wagserver.Leaving)
	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a"}, noStore{}, reportDecoder{}, nil)
	state := func(name string) string { return string(s.servers[name].State) }
	s.applyChange(serversIn(1, 9, map[string]string{
		"left": live + " 1 1", "drains": live + " 1 1", "stays": live + " 1 1", "returns": live + " 1 1", "restarts": live + " 1 5", "recent": live + " 1 1", "lost": live + " 1 1",
	}))
	s.applyChange(serversIn(1, 10, map[string]string{"left": "", "returns": "", "restarts": "", "drains": leaving + " 1 1"}))
	now := time.Now()
	// The copy holds none of these changes, and neither "recent" nor "lost".
	for era := range wagmirror.Era(2) { // two drills in a row
		s.applyChange(serversIn(2+era, 9, map[string]string{
			"left": live + " 1 1", "drains": live + " 1 1", "returns": live + " 1 1", "restarts": live + " 1 5", "recent": "", "lost": "",
		}))
		is.Equal(state("left"), "")
		is.Equal(state("drains"), leaving)
		is.Equal(state("returns"), "")
		is.Equal(state("recent"), live)
		is.Equal(state("lost"), live)
		is.Equal(state("stays"), live)
	}
	// Servers write again; one that left does not, and its entry is removed in the end.
	s.applyChange(serversIn(3, 11, map[string]string{"recent": live + " 1 1", "returns": live + " 1 1", "restarts": live + " 2 1"}))
	is.Equal(state("returns"), live)
	is.Equal(state("restarts"), live)
	s.endRestoration(now.Add(missingServerTimeout + time.Second))
	is.Equal(state("recent"), live)
	is.Equal(state("lost"), "")
	s.applyChange(serversIn(3, 12, map[string]string{"left": "", "drains": leaving + " 1 1"}))
	s.endRestoration(now.Add(time.Hour))
	is.Equal(state("left"), "")
	is.Equal(state("drains"), leaving)
	is.True(s.restoration.nextDeadline().IsZero())
}

// Guards against a server that is never used again because its restored entry, which did not
// change, was taken for that of a server that has left: the store would have removed it.
func TestRestoredEntryOfRunningServer(t *testing.T) {
	is := is.New(t)
	live := string(wagserver.Live)
	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a", RegistrationTimeout: time.Second}, noStore{}, reportDecoder{}, nil)
	s.applyChange(serversIn(1, 9, map[string]string{"s1": live + " 1 4"}))
	s.applyChange(serversIn(1, 10, map[string]string{"s1": ""}))
	now := time.Now()
	s.applyChange(serversIn(2, 9, map[string]string{"s1": live + " 1 4"}))
	s.endRestoration(now.Add(1500 * time.Millisecond))
	is.Equal(len(s.servers), 0)
	s.endRestoration(now.Add(2500 * time.Millisecond))
	is.Equal(len(s.servers), 1)
}

// Guards against a configuration that goes back, with its customers and cold rates, to the
// one that a copy of the store holds.
func TestConfigAfterStoreComesBack(t *testing.T) {
	is := is.New(t)
	s := NewSiteHost(SiteSettings{Name: "edge-1", DataCentre: "a"}, noStore{}, versionDecoder{}, nil)
	config := func(era wagmirror.Era, version string) {
		s.applyChange(wagsync.Change{Kind: "config", Era: era, Records: []wagmirror.Record{{Kind: "config", Name: "main", Revision: 9, Body: []byte(version)}}})
	}
	config(1, "1")
	config(1, "3")
	config(2, "1")
	is.Equal(s.configVersion, wagsite.Version(3))
	config(2, "3")
	config(2, "4")
	is.Equal(s.configVersion, wagsite.Version(4))
}

// Guards against an evacuation that ends because a copy of the store lacks it, against one
// that begins again because a copy still holds it, and against either for good.
func TestEvacuationsAfterStoreComesBack(t *testing.T) {
	h := newEvacuationHost(t)
	h.list("config", nil)
	h.list("servers", map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	h.list("evacuations", nil)
	evacuations := func(era wagmirror.Era, full bool, at wagmirror.Revision, records ...wagmirror.Record) {
		u := wagmirror.Update{Kind: "evacuations", Era: era, Full: full, Since: h.sync.Positions()["evacuations"].Revision, At: at}
		for _, r := range records {
			r.Kind = "evacuations"
			u.Records = append(u.Records, r)
		}
		h.sync.Apply(u)
	}
	evacuations(0, false, 10, wagmirror.Record{Name: "a", Revision: 10})
	evacuations(0, false, 11, wagmirror.Record{Name: "a", Revision: 11, Deleted: true}, wagmirror.Record{Name: "b", Revision: 11})
	h.is.Equal(h.sendable(), "a1c1")
	now := time.Now()
	// The copy is of revision 10.
	evacuations(1, true, 10, wagmirror.Record{Name: "a", Revision: 10})
	h.is.Equal(h.sendable(), "a1c1")
	h.endRestoration(now.Add(restoredEvacuationTimeout / 2))
	h.is.Equal(h.sendable(), "a1c1")
	// The operator writes again.
	evacuations(1, false, 12, wagmirror.Record{Name: "a", Revision: 11, Deleted: true}, wagmirror.Record{Name: "b", Revision: 12})
	h.endRestoration(now.Add(time.Hour))
	h.is.Equal(h.sendable(), "a1c1")
	evacuations(1, false, 13, wagmirror.Record{Name: "b", Revision: 13, Deleted: true})
	h.is.Equal(h.sendable(), "a1b1c1")
	// After the next drill, it doesn't.
	evacuations(1, false, 14, wagmirror.Record{Name: "c", Revision: 14})
	evacuations(2, true, 12, wagmirror.Record{Name: "b", Revision: 12})
	h.is.Equal(h.sendable(), "a1b1")
	h.endRestoration(time.Now().Add(restoredEvacuationTimeout + time.Second))
	h.is.Equal(h.sendable(), "a1c1")
}
