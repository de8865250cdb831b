package wagowner

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Observer is told what the owner decided. It must not block or call the owner.
type Observer interface {
	ObserveGrant(service string, waited time.Duration, g wagplacement.Grant)
	ObserveRefusal(service string, waited time.Duration, r wagplacement.Refuse)
	// ObserveSpill tells of a request for which another data centre was asked.
	ObserveSpill(service string, s wagplacement.Spill, granted bool)
	ObserveProbe(server wagserver.Instance, r wagplacement.Result)
}

type discard struct{}

var _ Observer = discard{}

// ObserveGrant drops the event.
func (discard) ObserveGrant(string, time.Duration, wagplacement.Grant) {}

// ObserveRefusal drops the event.
func (discard) ObserveRefusal(string, time.Duration, wagplacement.Refuse) {}

// ObserveSpill drops the event.
func (discard) ObserveSpill(string, wagplacement.Spill, bool) {}

// ObserveProbe drops the event.
func (discard) ObserveProbe(wagserver.Instance, wagplacement.Result) {}

// WithObserver sets who is told what the owner decided.
func WithObserver(x Observer) Option { return func(o *Owner) { o.observer = x } }
