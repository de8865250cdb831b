// Package commands implements the command line.
package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

// Execute runs the command line and returns the exit status.
func Execute(args []string) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := root().Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "wagtailspar:", err)
		return 1
	}
	return 0
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "wagtailspar",
		Usage: "load balancer for servers whose load shifts within milliseconds",
		Commands: []*cli.Command{
			demoCommand(),
			serveCommand(),
			explainCommand(),
			gatewayCommand(),
			settingsCommand(),
			documentCommand(),
			timelineCommand(),
			referenceCommand(),
			standinCommand(),
			replayCommand(),
			loadCommand(),
			traceCommand(),
			exploreCommand(),
		},
		// Execute alone determines the exit status.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// untilSignal returns a context that ends at the first SIGINT or SIGTERM. A second one of
// them ends the process, unless it is among the ignored signals.
func untilSignal(parent context.Context, ignored ...os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var g errgroup.Group
	g.Go(func() error {
		select {
		case <-signals:
		case <-ctx.Done():
		}
		// The handling of the signals is reset before the context ends. A second signal
		// therefore has its effect as soon as the shutdown is visible from outside.
		if len(ignored) > 0 {
			signal.Ignore(ignored...)
		}
		signal.Stop(signals)
		cancel()
		return nil
	})
	return ctx, func() {
		cancel()
		_ = g.Wait()
	}
}
