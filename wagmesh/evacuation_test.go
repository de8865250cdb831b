package wagmesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagroster"
)

// evacuationKind is a kind that only some hosts of a site follow.
const evacuationKind = "evacuations"

// Guards against hosts that follow evacuations and hear of none, while the settings state
// evacMs only at some hosts: hosts that do not follow the kind confirmed their copies.
func TestSomeHostsFollowEvacuations(t *testing.T) {
	for name, follows := range map[string]func(m wagroster.Member) bool{
		"all hosts":        func(wagroster.Member) bool { return true },
		"one data centre":  func(m wagroster.Member) bool { return m.DataCentre == "c" },
		"two data centres": func(m wagroster.Member) bool { return m.DataCentre != "a" },
		"one host":         func(m wagroster.Member) bool { return m.Name == "b1" },
		"every other host": func(m wagroster.Member) bool { return m.Name[1]%2 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			furtherKind := func(m wagroster.Member) string {
				if follows(m) {
					return evacuationKind
				}
				return ""
			}
			runSite(t, 4, threeDataCentres, func(s *site) {
				is := is.New(t)
				sleep(10 * time.Second)
				for n := range 8 {
					at := s.store.put()
					sleep(applyTimeout)
					for _, h := range s.hosts {
						is.True(h.knownRevision() >= at)
						if follows(h.member) {
							is.True(h.sync.Positions()[evacuationKind].Revision >= at)
						}
					}
					sleep(time.Duration(n)*370*time.Millisecond + 5*time.Second)
				}
				t.Log(fmt.Sprint("followers: ", s.followers()))
			}, func(s *site) { s.furtherKind = furtherKind })
		})
	}
}
