// Package wagreport writes the results of replays as tables, JSON and plots.
package wagreport

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagreplay"
)

// Report holds the results of one replay command.
type Report struct {
	Kind    string   `json:"kind"`
	Service string   `json:"service"`
	Seed    uint64   `json:"seed"`
	Hosts   int      `json:"hosts"`
	Without []string `json:"without,omitempty"`
	Runs    []Run    `json:"runs"`
	// Verdicts has one entry for each outcome.
	Verdicts []wagreplay.Verdict `json:"verdicts"`
}

// Run holds the metrics of one policy.
type Run struct {
	Name    string            `json:"name"`
	Metrics wagreplay.Metrics `json:"metrics"`
}

// New returns the report of a replay.
func New(c wagreplay.Config, results []*wagreplay.Result, verdicts []wagreplay.Verdict) *Report {
	h := c.Trace.Header
	r := &Report{Kind: h.Kind, Service: h.Service, Seed: h.Seed, Hosts: c.Hosts, Verdicts: verdicts}
	for _, m := range c.DisabledMechanisms {
		r.Without = append(r.Without, string(m))
	}
	for _, result := range results {
		r.Runs = append(r.Runs, Run{Name: result.Name, Metrics: result.Metrics})
	}
	return r
}

// WriteJSON writes the report as WriteJSON.
func (r *Report) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return errors.WithMessage(e.Encode(r), "write report")
}

// column describes a column of the table.
type column struct{ heading, metric, format string }

var columns = []column{
	{"short p50", "short.p50", "%.1f"},
	{"p99", "short.p99", "%.1f"},
	{"p99.9", "short.p999", "%.1f"},
	{"long p50", "long.p50", "%.0f"},
	{"p99", "long.p99", "%.0f"},
	{"p99.9", "long.p999", "%.0f"},
	{"done", "calls.done", "%.0f"},
	{"late", "calls.late", "%.0f"},
	{"not run", "calls.notRun", "%.0f"},
	{"failed", "calls.failed", "%.0f"},
	{"broken", "calls.broken", "%.0f"},
	{"head of line", "headOfLine", "%.4f"},
	{"probe s", "probeSeconds", "%.2f"},
	{"control B/s/host", "controlBytes", "%.0f"},
	{"forwarded B/s/host", "forwardedBytes", "%.0f"},
	{"zone B/s", "zoneBytes", "%.0f"},
	{"wasted s", "wastedSeconds", "%.1f"},
	{"connections", "connections", "%.0f"},
}

// WriteTable writes the report as text. Latencies are in milliseconds.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	writef(w, "policy\t")
	for _, c := range columns {
		writef(w, "%s\t", c.heading)
	}
	writef(w, "\n")
	for _, run := range r.Runs {
		writef(w, "%s\t", run.Name)
		for _, c := range columns {
			writef(w, c.format+"\t", run.Metrics[c.metric])
		}
		writef(w, "\n")
	}
	if err := w.Flush(); err != nil {
		return errors.WithMessage(err, "write table")
	}
	for _, v := range r.Verdicts {
		word := "met"
		if !v.Met {
			word = "MISSED"
		}
		writef(out, "%-6s  %s: %.4g (%s)\n", word, v.Outcome.Name, v.Value, v.Outcome.Bound())
	}
	return nil
}

// writef writes formatted text and ignores the error. Flush of a tabwriter returns it
// later, and the exit status depends on the verdicts even if nobody reads the text.
func writef(out io.Writer, format string, values ...any) { _, _ = fmt.Fprintf(out, format, values...) }

// CountMissed returns the number of outcomes that were not met.
func (r *Report) CountMissed() int {
	n := 0
	for _, v := range r.Verdicts {
		if !v.Met {
			n++
		}
	}
	return n
}
