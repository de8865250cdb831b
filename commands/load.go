package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagload"
	"github.com/wagtailspar/wagtailspar/wagplacement"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "play patterns of load on a group of servers on virtual time, and compare policies",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "pattern", Usage: "`NAME`s of patterns; all when empty"},
			&cli.StringSliceFlag{Name: "policy", Usage: "`NAME`s of policies: " + strings.Join(wagload.Policies(), ", "), Value: wagload.Policies()},
			&cli.StringSliceFlag{Name: "without", Usage: "`NAME`s of mechanisms; each is left out of " + wagload.PolicyPlacement + " in one more column"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `NUMBER` that random choices depend on", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds", Value: 8},
		},
		Action: func(ctx context.Context, c *cli.Command) (err error) {
			defer func() { err = errors.WithMessage(err, "load") }()
			patterns, err := findPatterns(c.StringSlice("pattern"))
			if err != nil {
				return err
			}
			columns, err := loadColumns(c.StringSlice("policy"), c.StringSlice("without"))
			if err != nil {
				return err
			}
			if c.Int("seeds") < 1 {
				return errors.Errorf("flag --seeds: %d (allowed: 1 or more)", c.Int("seeds"))
			}
			return compareScores(ctx, os.Stdout, patterns, columns, c.Uint64("seed"), c.Int("seeds"))
		},
	}
}

func findPatterns(names []string) (list []wagload.Pattern, err error) {
	if len(names) == 0 {
		return wagload.Patterns(), nil
	}
	for _, name := range names {
		p, err := wagload.FindPattern(name)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// loadColumn is a column of the table: a policy, from which mechanisms may be left out.
type loadColumn struct {
	title   string
	policy  string
	without []wagplacement.Mechanism
}

func loadColumns(policies, without []string) (list []loadColumn, err error) {
	for _, name := range policies {
		list = append(list, loadColumn{title: name, policy: name})
	}
	for _, name := range without {
		m := wagplacement.Mechanism(name)
		if !m.IsValid() {
			return nil, errors.Errorf("unknown mechanism %q (allowed: %v)", name, wagplacement.Mechanisms())
		}
		list = append(list, loadColumn{title: "without " + name, policy: wagload.PolicyPlacement, without: []wagplacement.Mechanism{m}})
	}
	return list, nil
}

// compareScores runs each pattern under each policy and writes a table of the mean scores
// over the seeds.
func compareScores(ctx context.Context, w io.Writer, patterns []wagload.Pattern, columns []loadColumn, firstSeed uint64, seeds int) (err error) {
	scores := make([][]float64, len(patterns)*len(columns))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentRuns)
	for cell := range scores {
		scores[cell] = make([]float64, seeds)
		c := columns[cell%len(columns)]
		for s := range seeds {
			g.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				r, err := wagload.Run(wagload.Config{Pattern: patterns[cell/len(columns)], Policy: c.policy, Seed: firstSeed + uint64(s), Without: c.without})
				scores[cell][s] = r.Score()
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	titles := []string{"pattern"}
	for _, c := range columns {
		titles = append(titles, c.title)
	}
	fmt.Fprintln(table, strings.Join(titles, "\t")+"\t")
	for row, p := range patterns {
		texts := []string{p.Name}
		for column := range columns {
			texts = append(texts, fmt.Sprintf("%.3f", mean(scores[row*len(columns)+column])))
		}
		fmt.Fprintln(table, strings.Join(texts, "\t")+"\t")
	}
	return table.Flush()
}

func mean(values []float64) (m float64) {
	for _, v := range values {
		m += v / float64(len(values))
	}
	return m
}
