package wagexplore

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// peakGap is the mean time between bursts of calls at peak. A burst has 4/3
// calls, so that it stands for 667 calls a second over two partitions.
const peakGap = 2 * time.Millisecond

// WriteTable runs every fault alone and every two together and writes what
// became of keyed calls as Markdown.
func WriteTable(ctx context.Context, out io.Writer, c Config, seeds, parallel int) (err error) {
	defer func() { err = errors.WithMessage(err, "write table") }()
	row := func(name string, one Config) error {
		s, err := RunMany(ctx, one, seeds, parallel)
		if err != nil {
			return err
		}
		if s.Violation != nil {
			return errors.WithMessage(s.Violation.Err(), name)
		}
		_, err = fmt.Fprintln(out, tableRow(name, s.Counts))
		return err
	}
	head := "| faults | calls | first done | not-run | unknown | final done | not-run | unknown | claims/write | store calls/call | keyed extra |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|"
	if _, err := fmt.Fprintln(out, head); err != nil {
		return err
	}
	for _, faults := range faultSets() {
		c.Faults = faults
		if err := row(setName(faults), c); err != nil {
			return err
		}
	}
	c.Faults, c.BurstInterval = nil, peakGap
	return row("none, at peak", c)
}

// faultSets returns no fault, each fault, each pair, and all. Loss and Delay are
// left out, because they touch only the fleet.
func faultSets() [][]Fault {
	sets := [][]Fault{nil}
	for f := range MessageLoss {
		sets = append(sets, []Fault{f})
	}
	for a := range MessageLoss {
		for b := a + 1; b < MessageLoss; b++ {
			sets = append(sets, []Fault{a, b})
		}
	}
	return append(sets, AllFaults())
}

func setName(faults []Fault) string {
	switch len(faults) {
	case 0:
		return "none"
	case 1:
		return faults[0].String()
	case 2:
		return faults[0].String() + " + " + faults[1].String()
	}
	return "all"
}

func tableRow(name string, c Counts) string {
	share := func(n uint64) string { return fmt.Sprintf("%.2f%%", 100*ratio(n, c.EndedRequests)) }
	outcomes := func(n [3]uint64) string {
		return share(n[wagoutcome.Done]) + " | " + share(n[wagoutcome.NotRun]) + " | " + share(n[wagoutcome.Unknown])
	}
	return fmt.Sprintf("| %s | %d | %s | %s | %.2f | %.2f | %s |", name, c.EndedRequests, outcomes(c.FirstOutcomes), outcomes(c.FinalOutcomes),
		ratio(c.Claims, c.ClaimWrites), ratio(c.StoreRequests, c.EndedRequests), c.KeyedOverhead().Round(100*time.Microsecond))
}

// KeyedOverhead returns how much longer a keyed call takes than one without a key, of
// calls that were done at the first attempt.
func (c Counts) KeyedOverhead() time.Duration {
	return time.Duration(ratio(uint64(c.KeyedTime), c.KeyedDone) - ratio(uint64(c.UnkeyedTime), c.UnkeyedDone))
}

func ratio(a, b uint64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
