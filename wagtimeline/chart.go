package wagtimeline

import (
	"image/color"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	// These packages register the formats of WriteChart.
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

const (
	chartWidth  = 30 * vg.Centimeter
	laneHeight  = 1.2 * vg.Centimeter
	chartMargin = 4 * vg.Centimeter
	// legendShare is how much the time axis is extended for the legend, as a share of
	// its length.
	legendShare = 0.12
	// minLength is the shortest time axis in seconds.
	minLength = 0.001
	// laneSpread is the height over which the kinds of events are spread in the lane of
	// a host. The distance between two lanes is 1.
	laneSpread = 0.6
)

var kindColours = map[wagevent.Kind]color.RGBA{
	wagevent.KindRequest:   {R: 120, G: 120, B: 120, A: 255},
	wagevent.KindAttempt:   {R: 90, G: 160, B: 220, A: 255},
	wagevent.KindForward:   {R: 150, G: 110, B: 200, A: 255},
	wagevent.KindOutcome:   {R: 60, G: 160, B: 80, A: 255},
	wagevent.KindClaim:     {R: 200, G: 150, B: 30, A: 255},
	wagevent.KindDocument:  {R: 20, G: 60, B: 160, A: 255},
	wagevent.KindServer:    {R: 230, G: 120, B: 30, A: 255},
	wagevent.KindMember:    {R: 0, G: 140, B: 140, A: 255},
	wagevent.KindLease:     {R: 100, G: 80, B: 40, A: 255},
	wagevent.KindViolation: {R: 220, G: 0, B: 0, A: 255},
	wagevent.KindFault:     {R: 180, G: 0, B: 90, A: 255},
}

// WriteChart draws the events as points over time, with one lane for each host and
// one colour for each kind. The events are in the order of their times. The format is
// svg or png.
func WriteChart(w io.Writer, events []wagevent.Event, format string) (err error) {
	defer func() { err = errors.WithMessage(err, "draw time line") }()
	if len(events) == 0 {
		return errors.New("no events to draw")
	}
	chart := plot.New()
	chart.Title.Text = "Events over all processes, from " + events[0].Time.UTC().Format("2006-01-02 15:04:05.000") + " UTC"
	chart.X.Label.Text = "seconds"
	hosts, kinds := lanes(events)
	chart.NominalY(hosts...)
	chart.Legend.Top = true
	// The legend is placed to the right of the last event.
	length := events[len(events)-1].Time.Sub(events[0].Time).Seconds()
	chart.X.Min, chart.X.Max = 0, max(length, minLength)*(1+legendShare)
	for i, kind := range kinds {
		if err := addKind(chart, events, hosts, kind, laneSpread*(float64(i)/float64(len(kinds))-0.5)); err != nil {
			return err
		}
	}
	height := chartMargin + laneHeight*vg.Length(len(hosts)) + 0.5*vg.Centimeter*vg.Length(len(kinds))
	writer, err := chart.WriterTo(chartWidth, height, format)
	if err != nil {
		return err
	}
	_, err = writer.WriteTo(w)
	return err
}

// lanes returns the hosts and kinds of the events, each once and sorted.
func lanes(events []wagevent.Event) (hosts []string, kinds []wagevent.Kind) {
	hostSeen, kindSeen := make(map[string]bool), make(map[wagevent.Kind]bool)
	for _, e := range events {
		if !hostSeen[e.Host] {
			hostSeen[e.Host] = true
			hosts = append(hosts, e.Host)
		}
		if !kindSeen[e.Kind] {
			kindSeen[e.Kind] = true
			kinds = append(kinds, e.Kind)
		}
	}
	// Shorter names come first, so that entry-2 precedes entry-10.
	sort.Slice(hosts, func(i, j int) bool {
		if len(hosts[i]) != len(hosts[j]) {
			return len(hosts[i]) < len(hosts[j])
		}
		return hosts[i] < hosts[j]
	})
	sort.Slice(kinds, func(i, j int) bool { return strings.Compare(string(kinds[i]), string(kinds[j])) < 0 })
	return hosts, kinds
}

// addKind adds the events of one kind to the plot. offset is the vertical distance of
// the points from the middle of the lane.
func addKind(chart *plot.Plot, events []wagevent.Event, hosts []string, kind wagevent.Kind, offset float64) error {
	var points plotter.XYs
	start := events[0].Time
	for _, e := range events {
		if e.Kind != kind {
			continue
		}
		lane := float64(slices.Index(hosts, e.Host))
		points = append(points, plotter.XY{X: e.Time.Sub(start).Seconds(), Y: lane + offset})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Shape = draw.CircleGlyph{}
	scatter.Radius = vg.Points(2)
	scatter.Color = color.RGBA{A: 255}
	if c, ok := kindColours[kind]; ok {
		scatter.Color = c
	}
	chart.Add(scatter)
	chart.Legend.Add(string(kind), scatter)
	return nil
}
