package wagowner

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Observer is notified of the owner's decisions. Its methods must not block or call
// the owner.
type Observer interface {
	ObserveGrant(service string, waited time.Duration, g wagplacement.Grant)
	ObserveRefusal(service string, waited time.Duration, r wagplacement.Refuse)
	// ObserveSpill is called when another data centre has replied to a request for a
	// server, or has failed to.
	ObserveSpill(service string, s wagplacement.Spill, granted bool)
	ObserveProbe(server wagserver.Instance, r wagplacement.Result)
}

type discardObserver struct{}

var _ Observer = discardObserver{}

// ObserveGrant does nothing.
func (discardObserver) ObserveGrant(string, time.Duration, wagplacement.Grant) {}

// ObserveRefusal does nothing.
func (discardObserver) ObserveRefusal(string, time.Duration, wagplacement.Refuse) {}

// ObserveSpill does nothing.
func (discardObserver) ObserveSpill(string, wagplacement.Spill, bool) {}

// ObserveProbe does nothing.
func (discardObserver) ObserveProbe(wagserver.Instance, wagplacement.Result) {}

// WithObserver sets the observer of the owner's decisions.
func WithObserver(x Observer) Option { return func(o *Owner) { o.observer = x } }
