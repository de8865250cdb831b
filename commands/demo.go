package commands

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/wagdemo"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagtimeline"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small site in one process, with calls, faults and a report",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "time", Usage: "how long calls are made (default 10s), or how long a fleet is measured and disturbed (default 30s)"},
			&cli.IntFlag{Name: "hosts", Usage: "`NUMBER` of entry hosts; above 2, a fleet without calls whose documents change during faults", Value: wagdemo.DefaultHosts},
			&cli.IntFlag{Name: "data-centres", Usage: "`NUMBER` of data centres of a fleet", Value: wagdemo.DefaultDataCentres},
			&cli.IntFlag{Name: "changes", Usage: "`NUMBER` of changes of documents in a fleet", Value: wagdemo.DefaultChanges},
			&cli.BoolFlag{Name: "idle", Usage: "measure a fleet without changes and faults"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the callers' behaviour", Value: wagdemo.DefaultSeed},
			&cli.StringFlag{Name: "timeline-out", Usage: "`FILE` for the events of all processes in JSON Lines"},
			&cli.StringFlag{Name: "trace-out", Usage: "`FILE` for a trace of the calls, servers and faults of one service, for replay"},
			&cli.StringFlag{Name: "trace-service", Usage: "`NAME` of the service that is traced", Value: "ordering"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the log lines of the entry hosts"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	if c.Int("hosts") > wagdemo.DefaultHosts || c.Bool("idle") {
		return runFleet(ctx, c)
	}
	duration := demoDuration(c, wagdemo.DefaultDuration)
	out := c.Root().Writer
	fmt.Fprintf(out, "Demonstration of %s on loopback, seed %d\n", duration, c.Uint64("seed"))
	d := wagdemo.New(append(demoOptions(c), wagdemo.WithSeed(c.Uint64("seed")), wagdemo.WithDuration(duration))...)
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	if name := c.String("trace-out"); name != "" {
		if err := writeDemoTrace(name, c.String("trace-service"), r); err != nil {
			return err
		}
	}
	return finishDemo(c, r, r.Events)
}

func runFleet(ctx context.Context, c *cli.Command) error {
	if c.Int("data-centres") < 1 || c.Int("changes") < 0 {
		return errors.New("--data-centres must be at least 1 and --changes at least 0")
	}
	duration := demoDuration(c, wagdemo.DefaultFleetDuration)
	fmt.Fprintf(c.Root().Writer, "Fleet of %d hosts on loopback\n", c.Int("hosts"))
	d := wagdemo.New(append(demoOptions(c), wagdemo.WithDataCentres(c.Int("data-centres")), wagdemo.WithChanges(c.Int("changes")),
		wagdemo.WithIdleOnly(c.Bool("idle")), wagdemo.WithDuration(duration))...)
	r, err := d.RunFleet(ctx)
	if err != nil {
		return err
	}
	return finishDemo(c, r, r.Events)
}

func demoDuration(c *cli.Command, defaultDuration time.Duration) time.Duration {
	if t := c.Duration("time"); t > 0 {
		return t
	}
	return defaultDuration
}

func demoOptions(c *cli.Command) []wagdemo.Option {
	log := io.Discard
	if c.Bool("verbose") {
		log = c.Root().ErrWriter
	}
	return []wagdemo.Option{wagdemo.WithHosts(c.Int("hosts")), wagdemo.WithProgress(c.Root().Writer), wagdemo.WithLog(log)}
}

// demoReport is the result of a demonstration.
type demoReport interface {
	Write(w io.Writer) error
	HasViolations() bool
}

var (
	_ demoReport = (*wagdemo.Report)(nil)
	_ demoReport = (*wagdemo.FleetReport)(nil)
)

func finishDemo(c *cli.Command, r demoReport, events []wagevent.Event) error {
	if err := r.Write(c.Root().Writer); err != nil {
		return err
	}
	if name := c.String("timeline-out"); name != "" {
		if err := writeDemoTimeline(name, events); err != nil {
			return err
		}
	}
	if r.HasViolations() {
		return errors.New("an invariant was broken")
	}
	return nil
}

func writeDemoTimeline(name string, events []wagevent.Event) error {
	return createFile(name, func(w io.Writer) error { return wagtimeline.WriteJSON(w, events) })
}

func writeDemoTrace(name, service string, r *wagdemo.Report) error {
	trace := r.Traces[service]
	if trace == nil {
		return errors.Errorf("no service %q is traced (allowed: %s)", service, strings.Join(slices.Sorted(maps.Keys(r.Traces)), ", "))
	}
	return createFile(name, func(w io.Writer) error { return wagtrace.Write(w, trace) })
}

func createFile(name string, write func(io.Writer) error) (err error) {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return write(f)
}
