package commands

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagexplore"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

func exploreCommand() *cli.Command {
	return &cli.Command{
		Name:  "explore",
		Usage: "run the cores on virtual time with injected faults and check what callers are told",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`", Value: 1},
			&cli.IntFlag{Name: "steps", Usage: "`NUMBER` of steps of each seed", Value: 10000},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds", Value: 1},
			&cli.StringFlag{Name: "faults", Usage: "`LIST` of faults separated by commas, or all, or none", Value: "all"},
			&cli.BoolFlag{Name: "fleet", Usage: "add the cores of membership, documents, server lists and probes at nine hosts", Value: true},
			&cli.IntFlag{Name: "parallel", Usage: "`NUMBER` of seeds that run at once", Value: runtime.NumCPU()},
			&cli.BoolFlag{Name: "table", Usage: "write what every fault and every two do to the outcomes"},
		},
		Action: func(ctx context.Context, c *cli.Command) (err error) {
			defer func() { err = errors.WithMessage(err, "explore") }()
			faults, err := wagexplore.ParseFaults(c.String("faults"))
			if err != nil {
				return err
			}
			ctx, stop := untilSignal(ctx)
			defer stop()
			config := wagexplore.Config{Seed: c.Uint64("seed"), Steps: c.Int("steps"), Faults: faults, Fleet: c.Bool("fleet")}
			if c.Bool("table") {
				config.Fleet = false
				return wagexplore.WriteTable(ctx, c.Root().Writer, config, c.Int("seeds"), c.Int("parallel"))
			}
			return explore(ctx, c.Root().Writer, config, c.Int("seeds"), c.Int("parallel"))
		},
	}
}

// explore runs the seeds and prints the counts of all runs and, if an invariant was
// violated, the shrunk run.
func explore(ctx context.Context, out io.Writer, config wagexplore.Config, seeds, parallel int) error {
	clock := wagclock.System{}
	start := clock.Now()
	summary, err := wagexplore.RunMany(ctx, config, seeds, parallel)
	if err != nil {
		return err
	}
	elapsed := clock.Now().Sub(start).Seconds()
	counts, fleet := summary.Counts, summary.Counts.Fleet
	_, err = fmt.Fprintf(out, "seeds %d, steps %d in %.1f s, %.0f steps/s\n"+
		"keyed calls %d, done %d, not run %d, unknown %d; runs at servers %d\n"+
		"claims %d in %d writes; tokens presented %d, refused %d\n"+
		"fleet: revisions %d, in force at hosts %d, checks of a revision %d; dead %d, unreachable %d; drains %d, calls kept from them %d; probes %d\n"+
		"violations %t\n",
		summary.Seeds, summary.Steps, elapsed, float64(summary.Steps)/elapsed,
		counts.EndedRequests, counts.FinalOutcomes[wagoutcome.Done], counts.FinalOutcomes[wagoutcome.NotRun], counts.FinalOutcomes[wagoutcome.Unknown], counts.ServerRuns,
		counts.Claims, counts.ClaimWrites, counts.TokensPresented, counts.TokensRejected,
		fleet.Revisions, fleet.InForce, fleet.RevisionChecks, fleet.Deaths, fleet.Unreachable, fleet.Drains, fleet.AvoidedRequests, fleet.Probes, summary.Violation != nil)
	if err != nil || summary.Violation == nil {
		return err
	}
	return reportViolation(out, config, summary.Violation)
}

// reportViolation shrinks the run that violated an invariant and prints the timeline of the
// shrunk run. It returns the violation as an error.
func reportViolation(out io.Writer, config wagexplore.Config, v *wagexplore.Violation) error {
	config.Seed = v.Seed
	shrunk := wagexplore.Shrink(config)
	if shrunk == nil {
		return v.Err()
	}
	var text strings.Builder
	for _, e := range shrunk.Events {
		fmt.Fprintf(&text, "%s %-9s %-3s %s\n", e.Time.Format("04:05.000000"), e.Kind, e.Server, e.Detail)
	}
	fmt.Fprintf(&text, "shrunk from %d planned calls and faults to %d: %v\n", shrunk.PlannedActions, shrunk.RemainingActions, shrunk)
	if _, err := io.WriteString(out, text.String()); err != nil {
		return err
	}
	return v.Err()
}
