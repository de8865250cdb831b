package wagreport

import (
	"path/filepath"
	"sort"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/wagtailspar/wagtailspar/wagreplay"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// step is the span of time that one point of a plot over time stands for.
	step = 250 * time.Millisecond
	// ccdfPoints bounds the points of a distribution.
	ccdfPoints = 400
)

// WritePlots writes latency.svg and ccdf.svg into a directory.
func WritePlots(directory string, start time.Time, results []*wagreplay.Result) (err error) {
	defer func() { err = errors.WithMessage(err, "write plots") }()
	if err := overTime(filepath.Join(directory, "latency.svg"), start, results); err != nil {
		return err
	}
	return distribution(filepath.Join(directory, "ccdf.svg"), results)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	return p
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// save draws a plot, which a logarithmic axis without points cannot be.
func save(p *plot.Plot, file string, lines int) error {
	if lines == 0 {
		p.Y.Scale, p.Y.Tick.Marker = plot.LinearScale{}, plot.DefaultTicks{}
		p.X.Scale, p.X.Tick.Marker = plot.LinearScale{}, plot.DefaultTicks{}
	}
	return p.Save(plotWidth, plotHeight, file)
}

func overTime(file string, start time.Time, results []*wagreplay.Result) error {
	p := newPlot("p99 of short work", "time in s", "latency in ms")
	lines := 0
	for i, r := range results {
		points := spans(start, r.ShortSamples)
		lines += len(points)
		if err := addLine(p, i, r.Name, points); err != nil {
			return err
		}
	}
	return save(p, file, lines)
}

// spans returns the p99 of each span of time.
func spans(start time.Time, samples []wagreplay.Sample) plotter.XYs {
	byStep := make(map[int][]float64)
	last := 0
	for _, s := range samples {
		n := int(s.EndedAt.Sub(start) / step)
		byStep[n] = append(byStep[n], milliseconds(s.Latency))
		last = max(last, n)
	}
	var points plotter.XYs
	for n := 0; n <= last; n++ {
		list := byStep[n]
		if len(list) == 0 {
			continue
		}
		sort.Float64s(list)
		points = append(points, plotter.XY{X: float64(n) * step.Seconds(), Y: list[min(len(list)*99/100, len(list)-1)]})
	}
	return points
}

// leastLatency keeps points on the logarithmic axes, in milliseconds.
const leastLatency = 0.001

func milliseconds(d time.Duration) float64 {
	return max(float64(d)/float64(time.Millisecond), leastLatency)
}

func distribution(file string, results []*wagreplay.Result) error {
	p := newPlot("share of short work above a latency", "latency in ms", "share")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	lines := 0
	for i, r := range results {
		points := ccdf(r.ShortSamples)
		lines += len(points)
		if err := addLine(p, i, r.Name, points); err != nil {
			return err
		}
	}
	return save(p, file, lines)
}

// ccdf returns points that are spaced evenly on the logarithmic axis of shares,
// so that the tail is drawn in full.
func ccdf(samples []wagreplay.Sample) plotter.XYs {
	list := make([]float64, 0, len(samples))
	for _, s := range samples {
		list = append(list, milliseconds(s.Latency))
	}
	sort.Float64s(list)
	var points plotter.XYs
	n := len(list)
	for above := float64(n); above >= 1 && len(points) < ccdfPoints; above *= 0.97 {
		points = append(points, plotter.XY{X: list[n-int(above)], Y: above / float64(n)})
	}
	return points
}
