package commands

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagtimeline"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the way of one request from the logs of the hosts",
		ArgsUsage: "LOG...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "request", Usage: "`ID` of the request", Required: true}},
		Action:    runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) (err error) {
	defer func() { err = errors.WithMessage(err, "explain") }()
	if c.Args().Len() == 0 {
		return errors.New("name at least one log; - is standard input")
	}
	var streams [][]wagevent.Event
	for _, name := range c.Args().Slice() {
		events, err := readLog(name)
		if err != nil {
			return err
		}
		streams = append(streams, events)
	}
	requestEvents, earlierEvents := wagtimeline.Explain(wagevent.Merge(streams...), c.String("request"))
	if len(requestEvents) == 0 {
		return errors.Errorf("no line of the logs names request %q", c.String("request"))
	}
	w := c.Root().Writer
	fmt.Fprintln(w, "Known before:")
	if err := wagtimeline.WriteText(w, earlierEvents); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nThe request; the clocks of hosts may differ:")
	return wagtimeline.WriteText(w, requestEvents)
}

// readLog reads a log from a file, or from standard input if the name is "-".
func readLog(name string) (events []wagevent.Event, err error) {
	source := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		source = f
	}
	events, _, err = wagtimeline.ReadLog(source)
	return events, errors.WithMessage(err, name)
}
