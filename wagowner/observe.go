package wagowner

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Observer is told what the owner decided. It must not block or call the owner.
type Observer interface {
	Granted(service string, waited time.Duration, g wagplacement.Grant)
	Refused(service string, waited time.Duration, r wagplacement.Refuse)
	// Spilled tells of a request for which another data centre was asked.
	Spilled(service string, s wagplacement.Spill, granted bool)
	Probed(server wagserver.Instance, r wagplacement.Result)
}

type discard struct{}

var _ Observer = discard{}

// Granted drops the event.
func (discard) Granted(string, time.Duration, wagplacement.Grant) {}

// Refused drops the event.
func (discard) Refused(string, time.Duration, wagplacement.Refuse) {}

// Spilled drops the event.
func (discard) Spilled(string, wagplacement.Spill, bool) {}

// Probed drops the event.
func (discard) Probed(wagserver.Instance, wagplacement.Result) {}

// WithObserver sets who is told what the owner decided.
func WithObserver(x Observer) Option { return func(o *Owner) { o.observer = x } }
