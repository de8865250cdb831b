package wagexplore

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// peakBurstInterval is the mean time between bursts of requests at peak. A burst has 4/3
// requests on average, which gives 667 requests per second over two partitions.
const peakBurstInterval = 2 * time.Millisecond

// WriteTable runs each fault alone and each pair of faults, and writes a Markdown table
// of the outcomes of requests with a key.
func WriteTable(ctx context.Context, out io.Writer, c Config, seeds, parallel int) (err error) {
	defer func() { err = errors.WithMessage(err, "write table") }()
	row := func(name string, config Config) error {
		s, err := RunMany(ctx, config, seeds, parallel)
		if err != nil {
			return err
		}
		if s.Violation != nil {
			return errors.WithMessage(s.Violation.Err(), name)
		}
		_, err = fmt.Fprintln(out, tableRow(name, s.Counts))
		return err
	}
	header := "| faults | calls | first done | not-run | unknown | final done | not-run | unknown | claims/write | store calls/call | keyed extra |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|"
	if _, err := fmt.Fprintln(out, header); err != nil {
		return err
	}
	for _, faults := range faultCombinations() {
		c.Faults = faults
		if err := row(combinationName(faults), c); err != nil {
			return err
		}
	}
	c.Faults, c.BurstInterval = nil, peakBurstInterval
	return row("none, at peak", c)
}

// faultCombinations returns no fault, each fault, each pair of faults, and all faults.
// MessageLoss and MessageDelay are not combined, because they affect only the fleet.
func faultCombinations() [][]Fault {
	combinations := [][]Fault{nil}
	for f := range MessageLoss {
		combinations = append(combinations, []Fault{f})
	}
	for a := range MessageLoss {
		for b := a + 1; b < MessageLoss; b++ {
			combinations = append(combinations, []Fault{a, b})
		}
	}
	return append(combinations, AllFaults())
}

func combinationName(faults []Fault) string {
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

// KeyedOverhead returns how much longer a request with a key of the caller takes on
// average than one without a key, of requests that were done at the first attempt.
func (c Counts) KeyedOverhead() time.Duration {
	return time.Duration(ratio(uint64(c.KeyedTime), c.KeyedDone) - ratio(uint64(c.UnkeyedTime), c.UnkeyedDone))
}

func ratio(a, b uint64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
