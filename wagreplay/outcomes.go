package wagreplay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"sort"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// Outcome is a bound on a metric of a run, or on its ratio to another metric.
type Outcome struct {
	Name string `json:"name"`
	// Run is the name of a policy, with a variant after a slash if any.
	Run    string `json:"run"`
	Metric string `json:"metric"`
	// RelativeRun and RelativeMetric name what the metric is divided by. If one
	// of them is empty, that of the outcome itself is used; if both are empty,
	// the metric is not divided.
	RelativeRun    string   `json:"relativeRun,omitempty"`
	RelativeMetric string   `json:"relativeMetric,omitempty"`
	AtMost         *float64 `json:"atMost,omitempty"`
	AtLeast        *float64 `json:"atLeast,omitempty"`
}

// Verdict says whether an outcome was met.
type Verdict struct {
	Outcome Outcome `json:"outcome"`
	Value   float64 `json:"value"`
	Met     bool    `json:"met"`
}

// maxOutcomes bounds the outcomes of a file.
const maxOutcomes = 1000

// ParseOutcomes reads a file of outcomes: {"outcomes": [...]}.
func ParseOutcomes(file string, text []byte) (list []Outcome, err error) {
	defer func() { err = errors.WithMessage(err, file) }()
	var f struct {
		Outcomes []Outcome `json:"outcomes"`
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, err
	}
	if len(f.Outcomes) == 0 || len(f.Outcomes) > maxOutcomes {
		return nil, errors.Errorf("field outcomes: %d entries (allowed: 1 to %d)", len(f.Outcomes), maxOutcomes)
	}
	for i, o := range f.Outcomes {
		if o.Run == "" || o.Metric == "" {
			return nil, errors.Errorf("outcome %d: fields run and metric are required", i+1)
		}
		if (o.AtMost == nil) == (o.AtLeast == nil) {
			return nil, errors.Errorf("outcome %d: exactly one of the fields atMost and atLeast is required", i+1)
		}
	}
	return f.Outcomes, nil
}

// RequiredRuns returns a list of runs together with those that the outcomes refer
// to, each of them once.
func RequiredRuns(list []string, outcomes []Outcome) []string {
	seen := make(map[string]bool)
	var all []string
	add := func(name string) {
		if name != "" && !seen[name] {
			seen[name] = true
			all = append(all, name)
		}
	}
	for _, name := range list {
		add(name)
	}
	for _, o := range outcomes {
		add(o.Run)
		add(o.RelativeRun)
	}
	return all
}

// CheckOutcomes compares the results of runs with the outcomes.
func CheckOutcomes(outcomes []Outcome, results []*Result) (list []Verdict, err error) {
	byName := make(map[string]Metrics)
	for _, r := range results {
		byName[r.Name] = r.Metrics
	}
	metricOf := func(run, metric string) (float64, error) {
		v, ok := byName[run][metric]
		if !ok {
			return 0, errors.Errorf("outcome refers to metric %q of run %q, which was not measured (metrics: %v)", metric, run, metricNames(byName[run]))
		}
		return v, nil
	}
	for _, o := range outcomes {
		value, err := metricOf(o.Run, o.Metric)
		if err != nil {
			return nil, err
		}
		if o.RelativeRun != "" || o.RelativeMetric != "" {
			base, err := metricOf(firstNonEmpty(o.RelativeRun, o.Run), firstNonEmpty(o.RelativeMetric, o.Metric))
			if err != nil {
				return nil, err
			}
			value /= base
		}
		met := !math.IsNaN(value) && ((o.AtMost != nil && value <= *o.AtMost) || (o.AtLeast != nil && value >= *o.AtLeast))
		list = append(list, Verdict{Outcome: o, Value: value, Met: met})
	}
	return list, nil
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func metricNames(m Metrics) []string {
	list := make([]string, 0, len(m))
	for n := range m {
		list = append(list, n)
	}
	sort.Strings(list)
	return list
}

// Bound returns the bound of an outcome as a text.
func (o Outcome) Bound() string {
	if o.AtMost != nil {
		return fmt.Sprintf("at most %g", *o.AtMost)
	}
	return fmt.Sprintf("at least %g", *o.AtLeast)
}

// samplingTolerance is the ratio of the p99 of two phases that the choice of
// requests alone may cause.
const samplingTolerance = 1.1

// DefaultOutcomes returns the outcomes of docs/design.md, section 1.5, that a
// kind of trace can show.
func DefaultOutcomes(t *wagtrace.Trace) []Outcome {
	atMost := func(name, metric string, bound float64) Outcome {
		return Outcome{Name: name, Run: GroupOwner, Metric: metric, AtMost: &bound}
	}
	atMostRatio := func(name, metric, run string, bound float64) Outcome {
		o := atMost(name, metric, bound)
		o.RelativeRun = run
		return o
	}
	list := []Outcome{
		atMost("probe cost against the budget", "probeShare", 1),
		atMost("control bytes per host and second", "controlBytes", 11000),
		atMost("invariants violated", "violations", 0),
		atMost("new work at servers that drain for 5 s", "lateSends", 0),
	}
	switch t.Header.Kind {
	case wagtrace.SteadyNoise:
		list = append(list,
			atMostRatio("p99 of short work against the omniscient baseline", "short.p99", Omniscient, 1.25),
			atMostRatio("p99 of short work against random", "short.p99", RandomChoice, 0.5),
			atMostRatio("p99 of short work against one host", "short.p99", GroupOwner+"/"+OneHost, 1.15))
	case wagtrace.PeakMorning, wagtrace.PeakWeek:
		goodput := 0.95
		peak := atMost("p99 of served short work at peak against the deadline", "peak.short.p99", 1)
		peak.RelativeMetric = "short.deadline"
		recovery := atMost("p99 of short work from 2 s after the peak against that before", "after.peak.short.p99", samplingTolerance)
		recovery.RelativeMetric = "steady.short.p99"
		list = append(list, Outcome{Name: "work done in time at peak against capacity", Run: GroupOwner, Metric: "peak.goodput", AtLeast: &goodput}, peak, recovery)
	case wagtrace.LongTail, wagtrace.LongBurst:
		list = append(list, atMostRatio("p99 of short work against that without long work", "short.p99", GroupOwner+"/"+WithoutLong, 1.2))
	}
	return list
}

// shortDeadline returns the shortest time that a short request is given, in
// milliseconds.
func shortDeadline(t *wagtrace.Trace) float64 {
	least := math.Inf(1)
	for _, r := range t.Requests {
		if r.ActualClass == wagdocument.Short {
			least = min(least, r.Deadline.Sub(r.At).Seconds()*1000)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}
