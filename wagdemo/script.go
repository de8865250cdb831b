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

// scriptStep is an action that the script takes after a share of the whole duration.
type scriptStep struct {
	share float64
	text  string
	run   func(ctx context.Context, s *site) error
}

func scriptSteps() []scriptStep {
	return []scriptStep{
		{0.10, "server ordering-1 answers 20 times slower", setFaults("ordering-1", wagstandin.ServerFaults{SlowFactor: 20})},
		{0.15, "server ordering-4 drains", startDrain("ordering-4")},
		{0.30, "server ordering-1 is back to its old speed", setFaults("ordering-1", wagstandin.ServerFaults{})},
		{0.35, "server patterns-2 fails fast in bulk", setFaults("patterns-2", wagstandin.ServerFaults{FailFast: true})},
		{0.50, "document ordering changes", changeDocument},
		{0.60, "server patterns-2 is back", setFaults("patterns-2", wagstandin.ServerFaults{})},
		{0.70, "server patterns-3 breaks two answers in the middle", setFaults("patterns-3", wagstandin.ServerFaults{TruncateResponses: 2})},
	}
}

// runScript runs the steps of the script at their times.
func (s *site) runScript(ctx context.Context, started time.Time, d *Demo) error {
	for _, step := range scriptSteps() {
		at := started.Add(time.Duration(step.share * float64(d.duration)))
		if !wagclock.Wait(ctx, wagclock.System{}, at) {
			return nil
		}
		d.printProgress("%5.1fs  %s", time.Since(started).Seconds(), step.text)
		s.faultEvents.Record(wagevent.Event{Kind: wagevent.KindFault, Detail: step.text})
		if err := step.run(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) findServer(name string) *standInServer {
	for _, v := range s.servers {
		if v.name == name {
			return v
		}
	}
	return nil
}

func setFaults(name string, f wagstandin.ServerFaults) func(context.Context, *site) error {
	return func(_ context.Context, s *site) error {
		s.findServer(name).SetFaults(f)
		s.recordFaults(name, f)
		return nil
	}
}

// startDrain makes a server report that it drains and lists it as leaving. Hosts see
// the report first, because they read the host list only at intervals.
func startDrain(name string) func(context.Context, *site) error {
	return func(_ context.Context, s *site) error {
		v := s.findServer(name)
		v.SetFaults(wagstandin.ServerFaults{Draining: true})
		s.recordFaults(name, wagstandin.ServerFaults{Draining: true})
		v.hostListEntry.State = wagserver.Leaving
		s.hostList.Set(v.hostListEntry)
		return nil
	}
}

func changeDocument(ctx context.Context, s *site) error {
	return s.publish(ctx, strings.Replace(orderingDocument, "deadline = 1s", "deadline = 1500ms", 1))
}
