package wagmesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// panickingObserver panics at the refusal of requests for an unknown service.
type panickingObserver struct{}

func (panickingObserver) ObserveRefusal(service string, _ time.Duration, _ wagplacement.Refuse) {
	if service == "unknown" {
		panic("unexpected service")
	}
}

func (panickingObserver) ObserveGrant(string, time.Duration, wagplacement.Grant) {}
func (panickingObserver) ObserveSpill(string, wagplacement.Spill, bool)          {}
func (panickingObserver) ObserveProbe(wagserver.Instance, wagplacement.Result)   {}

// Guards against one frame of another host that ends the process: only the link ends, and
// requests are placed as before.
func TestPanicAtFrame(t *testing.T) {
	runSite(t, 1, []string{"a"}, func(s *site) {
		is := is.New(t)
		h := s.hosts[0]
		sleep(2 * time.Second)
		c, l := s.openLink(h, "a")
		synctest.Wait()
		is.NoErr(l.Send(&Frame{Places: []*Place{{Id: 1, Service: "unknown", Route: "status", DeadlineLeft: 1000, GoalLeft: 500}}}))
		for err := error(nil); err == nil; _, err = l.Recv() {
			// Until the link has ended.
		}
		_, granted := h.placeRequest().(wagowner.Granted)
		is.True(granted)
		_ = c.Close()
	}, func(s *site) { s.ownerOptions = []wagowner.Option{wagowner.WithObserver(panickingObserver{})} })
}
