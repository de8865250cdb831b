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
	// timeStep is the time that each point of the latency plot covers.
	timeStep = 250 * time.Millisecond
	// maxCCDFPoints bounds the points of one line of the CCDF plot.
	maxCCDFPoints = 400
)

// WritePlots writes latency.svg, the latency over time, and ccdf.svg, the
// complementary cumulative distribution of the latency, into a directory.
func WritePlots(directory string, start time.Time, results []*wagreplay.Result) (err error) {
	defer func() { err = errors.WithMessage(err, "write plots") }()
	if err := plotLatency(filepath.Join(directory, "latency.svg"), start, results); err != nil {
		return err
	}
	return plotCCDF(filepath.Join(directory, "ccdf.svg"), results)
}

// newPlot returns a plot with a logarithmic y axis.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	return p
}

// addLine adds the i-th line to a plot, unless it has no points.
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

// savePlot writes a plot to a file. A logarithmic axis without points cannot be
// drawn, so a plot without points gets linear axes.
func savePlot(p *plot.Plot, file string, points int) error {
	if points == 0 {
		p.Y.Scale, p.Y.Tick.Marker = plot.LinearScale{}, plot.DefaultTicks{}
		p.X.Scale, p.X.Tick.Marker = plot.LinearScale{}, plot.DefaultTicks{}
	}
	return p.Save(plotWidth, plotHeight, file)
}

// plotLatency plots the p99 latency of short requests over time.
func plotLatency(file string, start time.Time, results []*wagreplay.Result) error {
	p := newPlot("p99 of short work", "time in s", "latency in ms")
	pointCount := 0
	for i, r := range results {
		points := p99PerStep(start, r.ShortSamples)
		pointCount += len(points)
		if err := addLine(p, i, r.Name, points); err != nil {
			return err
		}
	}
	return savePlot(p, file, pointCount)
}

// p99PerStep returns the p99 latency of each timeStep that has samples.
func p99PerStep(start time.Time, samples []wagreplay.Sample) plotter.XYs {
	byStep := make(map[int][]float64)
	last := 0
	for _, s := range samples {
		n := int(s.EndedAt.Sub(start) / timeStep)
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
		points = append(points, plotter.XY{X: float64(n) * timeStep.Seconds(), Y: list[min(len(list)*99/100, len(list)-1)]})
	}
	return points
}

// minLatency, in milliseconds, is the lowest latency in plots, because a logarithmic
// axis has no 0.
const minLatency = 0.001

// milliseconds returns a latency for a plot.
func milliseconds(d time.Duration) float64 {
	return max(float64(d)/float64(time.Millisecond), minLatency)
}

// plotCCDF plots the share of short requests above each latency.
func plotCCDF(file string, results []*wagreplay.Result) error {
	p := newPlot("share of short work above a latency", "latency in ms", "share")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	pointCount := 0
	for i, r := range results {
		points := ccdf(r.ShortSamples)
		pointCount += len(points)
		if err := addLine(p, i, r.Name, points); err != nil {
			return err
		}
	}
	return savePlot(p, file, pointCount)
}

// ccdf returns the complementary cumulative distribution of the latencies. The points
// are spaced evenly on the logarithmic axis of shares, so that the tail is drawn in
// detail.
func ccdf(samples []wagreplay.Sample) plotter.XYs {
	list := make([]float64, 0, len(samples))
	for _, s := range samples {
		list = append(list, milliseconds(s.Latency))
	}
	sort.Float64s(list)
	var points plotter.XYs
	n := len(list)
	for above := float64(n); above >= 1 && len(points) < maxCCDFPoints; above *= 0.97 {
		points = append(points, plotter.XY{X: list[n-int(above)], Y: above / float64(n)})
	}
	return points
}
