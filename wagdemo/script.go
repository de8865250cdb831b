package wagdemo

import (
	"context"
	"strings"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagstandin"
)

// step is one thing that the script does at a share of the whole time.
type step struct {
	share float64
	text  string
	do    func(ctx context.Context, s *site) error
}

func steps() []step {
	return []step{
		{0.10, "server ordering-1 answers 20 times slower", setFaults("ordering-1", wagstandin.ServerFaults{SlowFactor: 20})},
		{0.15, "server ordering-4 drains", drain("ordering-4")},
		{0.30, "server ordering-1 is back to its old speed", setFaults("ordering-1", wagstandin.ServerFaults{})},
		{0.35, "server patterns-2 fails fast in bulk", setFaults("patterns-2", wagstandin.ServerFaults{FailFast: true})},
		{0.50, "document ordering changes", changeDocument},
		{0.60, "server patterns-2 is back", setFaults("patterns-2", wagstandin.ServerFaults{})},
		{0.70, "server patterns-3 breaks two answers in the middle", setFaults("patterns-3", wagstandin.ServerFaults{TruncateResponses: 2})},
	}
}

// script runs the steps at their times.
func (s *site) script(ctx context.Context, started time.Time, d *Demo) error {
	for _, st := range steps() {
		at := started.Add(time.Duration(st.share * float64(d.time)))
		if !wagclock.Wait(ctx, wagclock.System{}, at) {
			return nil
		}
		d.say("%5.1fs  %s", time.Since(started).Seconds(), st.text)
		s.operator.Record(wagevent.Event{Kind: wagevent.KindFault, Detail: st.text})
		if err := st.do(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) server(name string) *standServer {
	for _, v := range s.servers {
		if v.name == name {
			return v
		}
	}
	return nil
}

func setFaults(name string, f wagstandin.ServerFaults) func(context.Context, *site) error {
	return func(_ context.Context, s *site) error {
		s.server(name).SetFaults(f)
		s.note(name, f)
		return nil
	}
}

// drain lets a server report that it drains; the host list follows late.
func drain(name string) func(context.Context, *site) error {
	return func(_ context.Context, s *site) error {
		v := s.server(name)
		v.SetFaults(wagstandin.ServerFaults{Draining: true})
		s.note(name, wagstandin.ServerFaults{Draining: true})
		v.listing.State = wagserver.Leaving
		s.hosts.Set(v.listing)
		return nil
	}
}

func changeDocument(ctx context.Context, s *site) error {
	return s.publish(ctx, strings.Replace(orderingDocument, "deadline = 1s", "deadline = 1500ms", 1))
}
