package commands

import (
	"context"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/wagtrace"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:  "trace",
		Usage: "generate a trace for replay",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Usage: "`NAME` of what happens: " + strings.Join(wagtrace.Kinds(), ", "), Value: wagtrace.SteadyNoise},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service: " + strings.Join(wagtrace.Services(), ", "), Value: "lot-desk"},
			&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` that the trace depends on", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "`TIME` in which calls arrive; that of the kind when 0"},
			&cli.StringFlag{Name: "output", Usage: "`FILE` to write; standard output when empty"},
		},
		Action: generateTrace,
	}
}

func generateTrace(_ context.Context, c *cli.Command) (err error) {
	var opts []wagtrace.Option
	if d := c.Duration("length"); d > 0 {
		opts = append(opts, wagtrace.WithLength(d))
	}
	trace, err := wagtrace.Generate(c.String("kind"), c.String("service"), c.Uint64("seed"), opts...)
	if err != nil {
		return err
	}
	if c.String("output") == "" {
		return wagtrace.Write(os.Stdout, trace)
	}
	f, err := os.Create(c.String("output"))
	if err != nil {
		return errors.WithMessage(err, "write trace")
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return wagtrace.Write(f, trace)
}
