package commands

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagreplay"
	"github.com/wagtailspar/wagtailspar/wagreport"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// maxConcurrentRuns bounds the runs that execute at the same time.
const maxConcurrentRuns = 3

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay a trace on virtual time and judge the outcomes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "trace", Usage: "`FILE` of the trace", Required: true},
			&cli.StringFlag{Name: "document", Usage: "`FILE` of the service's document; defaults when empty"},
			&cli.StringFlag{Name: "outcomes", Usage: "`FILE` of the stated outcomes; those of the kind when empty"},
			&cli.StringSliceFlag{Name: "policy", Usage: "`NAME`s of policies: " + strings.Join(wagreplay.Policies(), ", "), Value: []string{wagreplay.Omniscient, wagreplay.GroupOwner, wagreplay.TwoChoices, wagreplay.RoundRobin, wagreplay.RandomChoice}},
			&cli.IntFlag{Name: "hosts", Usage: "`NUMBER` of entry hosts of all data centres", Value: 16},
			&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` that random choices depend on", Value: 1},
			&cli.StringSliceFlag{Name: "without", Usage: "`NAME`s of mechanisms to switch off"},
			&cli.StringFlag{Name: "report", Usage: "`DIRECTORY` for report.json and plots"},
		},
		Action: replay,
	}
}

func replay(ctx context.Context, c *cli.Command) (err error) {
	config, err := replayConfig(c)
	if err != nil {
		return err
	}
	outcomes, err := replayOutcomes(c, config.Trace)
	if err != nil {
		return err
	}
	results, err := replayAll(ctx, config, wagreplay.RequiredRuns(c.StringSlice("policy"), outcomes))
	if err != nil {
		return err
	}
	verdicts, err := wagreplay.CheckOutcomes(outcomes, results)
	if err != nil {
		return err
	}
	report := wagreport.New(config, results, verdicts)
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := writeReport(c.String("report"), config, report, results); err != nil {
		return err
	}
	if n := report.CountMissed(); n > 0 {
		return errors.Errorf("%d of %d outcomes were missed", n, len(verdicts))
	}
	return nil
}

func replayConfig(c *cli.Command) (config wagreplay.Config, err error) {
	config = wagreplay.Config{Hosts: c.Int("hosts"), Seed: c.Uint64("seed")}
	for _, name := range c.StringSlice("without") {
		m := wagrouting.Mechanism(name)
		if !slices.Contains(wagrouting.Mechanisms(), m) {
			return config, errors.Errorf("unknown mechanism %q (allowed: %v)", name, wagrouting.Mechanisms())
		}
		config.DisabledMechanisms = append(config.DisabledMechanisms, m)
	}
	name := c.String("trace")
	f, err := os.Open(name)
	if err != nil {
		return config, errors.WithMessage(err, "read trace")
	}
	defer func() { _ = f.Close() }()
	if config.Trace, err = wagtrace.Read(name, f); err != nil {
		return config, err
	}
	config.Document, err = replayDocument(c.String("document"), config.Trace)
	return config, err
}

func replayDocument(name string, t *wagtrace.Trace) (*wagdocument.Document, error) {
	if name == "" {
		return wagreplay.DefaultDocument(t)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.WithMessage(err, "read document")
	}
	return wagdocument.Parse(name, text)
}

func replayOutcomes(c *cli.Command, t *wagtrace.Trace) ([]wagreplay.Outcome, error) {
	name := c.String("outcomes")
	if name == "" {
		return wagreplay.DefaultOutcomes(t), nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.WithMessage(err, "read outcomes")
	}
	return wagreplay.ParseOutcomes(name, text)
}

// replayAll replays the trace under each policy. The runs share only their input.
func replayAll(ctx context.Context, config wagreplay.Config, names []string) ([]*wagreplay.Result, error) {
	results := make([]*wagreplay.Result, len(names))
	g, _ := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentRuns)
	for i, name := range names {
		g.Go(func() (err error) {
			runConfig := config
			runConfig.Policy = name
			results[i], err = wagreplay.Run(runConfig)
			return err
		})
	}
	return results, g.Wait()
}

func writeReport(directory string, config wagreplay.Config, r *wagreport.Report, results []*wagreplay.Result) (err error) {
	if directory == "" {
		return nil
	}
	defer func() { err = errors.WithMessage(err, "write report") }()
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(directory, "report.json"))
	if err != nil {
		return err
	}
	if err := r.WriteJSON(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return wagreport.WritePlots(directory, config.Trace.Header.Start, results)
}
