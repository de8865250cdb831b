package commands

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagtimeline"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all processes into one time line",
		Flags: append(tlsFlags(),
			&cli.StringSliceFlag{Name: "operator", Usage: "operator `ADDRESS` of an entry host; repeat or separate by commas"},
			&cli.StringSliceFlag{Name: "file", Usage: "`FILE` with events in JSON Lines, such as the demo writes"},
			&cli.StringSliceFlag{Name: "log", Usage: "`FILE` with the log of a host on the platform"},
			&cli.StringFlag{Name: "service", Usage: "only events of a service"},
			&cli.StringFlag{Name: "server", Usage: "only events of a server"},
			&cli.StringFlag{Name: "caller", Usage: "only events of a caller"},
			&cli.StringFlag{Name: "request", Usage: "only events of a request"},
			&cli.StringFlag{Name: "kind", Usage: "only events of a kind"},
			&cli.StringFlag{Name: "format", Usage: "text, json, svg or png", Value: "text"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` to write; standard output without"},
		),
		Action: runTimeline,
	}
}

func runTimeline(ctx context.Context, c *cli.Command) (err error) {
	defer func() { err = errors.WithMessage(err, "timeline") }()
	events, err := collectEvents(ctx, c)
	if err != nil {
		return err
	}
	filter := wagevent.Filter{
		Service: c.String("service"), Server: c.String("server"), Caller: c.String("caller"),
		Request: c.String("request"), Kind: wagevent.Kind(c.String("kind")),
	}
	events = wagtimeline.Select(events, filter)
	w := c.Root().Writer
	if name := c.String("out"); name != "" {
		f, err := os.Create(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		w = f
	}
	return writeTimeline(w, events, c.String("format"))
}

func writeTimeline(w io.Writer, events []wagevent.Event, format string) error {
	switch format {
	case "text":
		return wagtimeline.WriteText(w, events)
	case "json":
		return wagtimeline.WriteJSON(w, events)
	case "svg", "png":
		return wagtimeline.WriteChart(w, events, format)
	default:
		return errors.Errorf("unknown format %q (allowed: text, json, svg, png)", format)
	}
}

// collectEvents merges the events of the hosts and files that the flags name.
func collectEvents(ctx context.Context, c *cli.Command) ([]wagevent.Event, error) {
	operators, err := parseAddresses(c.StringSlice("operator"))
	if err != nil {
		return nil, err
	}
	if len(operators) == 0 && len(c.StringSlice("file")) == 0 && len(c.StringSlice("log")) == 0 {
		return nil, errors.New("name at least one --operator, --file or --log")
	}
	client, err := operatorClient(c)
	if err != nil {
		return nil, err
	}
	var streams [][]wagevent.Event
	for _, s := range wagtimeline.Collect(ctx, client, operators) {
		if s.Err != nil {
			fmt.Fprintln(c.Root().ErrWriter, "missing:", s.Err)
		}
		if s.Lost > 0 {
			fmt.Fprintf(c.Root().ErrWriter, "missing: %d events that %s no longer keeps\n", s.Lost, s.Operator)
		}
		streams = append(streams, s.Events)
	}
	for _, name := range c.StringSlice("file") {
		events, err := readEvents(name)
		if err != nil {
			return nil, err
		}
		streams = append(streams, events)
	}
	for _, name := range c.StringSlice("log") {
		events, err := readLog(name)
		if err != nil {
			return nil, err
		}
		streams = append(streams, events)
	}
	return wagevent.Merge(streams...), nil
}

func readEvents(name string) (events []wagevent.Event, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return wagtimeline.ReadJSON(f)
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, errors.Errorf("address %q is not an IP address with a port", t)
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}
