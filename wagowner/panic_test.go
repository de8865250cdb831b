package wagowner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// panickingProber panics at the servers of which it has the ID.
type panickingProber struct {
	prober
	panicsAt string
}

func (p *panickingProber) Probe(ctx context.Context, server wagserver.Instance) wagplacement.Result {
	if server.ID == p.panicsAt {
		panic("unexpected health response")
	}
	return p.prober.Probe(ctx, server)
}

// Guards against the health response of one server that ends the process of a host: the
// server counts as broken, and the others are probed and used.
func TestPanicDuringProbe(t *testing.T) {
	runOwner(t, &panickingProber{panicsAt: "a0"}, func(is *is.I, o *Owner) {
		before := wagpanic.Count()
		o.SetServers(servers(map[string]int{"a": 2}))
		for n := range 20 {
			granted, ok := o.Place(context.Background(), "lots", request()).(Granted)
			is.True(ok)
			if n > 4 {
				is.Equal(granted.Server.ID, "a1")
			}
			granted.Finish(wagplacement.Result{})
			time.Sleep(100 * time.Millisecond) //nolint:forbidigo // The time of a bubble passes at once.
		}
		is.True(wagpanic.Count() > before)
	})
}

// Guards against a process that ends while another data centre is asked for a server.
func TestPanicDuringSpill(t *testing.T) {
	runOwner(t, &prober{}, func(is *is.I, o *Owner) {
		o.SetRemotePlaceFunc(func(context.Context, string, string, wagplacement.Request) Outcome { panic("unexpected reply") })
		o.SetServers(servers(map[string]int{"b": 1})) // none in the own data centre
		_, refused := o.Place(context.Background(), "lots", request()).(Refused)
		is.True(refused)
	})
}
