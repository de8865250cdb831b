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

	// The formats that WritePicture offers register themselves.
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/wagtailspar/wagtailspar/wagevent"
)

const (
	pictureWidth  = 30 * vg.Centimeter
	laneHeight    = 1.2 * vg.Centimeter
	pictureMargin = 4 * vg.Centimeter
	// legendShare is the part of the time axis that is kept free for the legend.
	legendShare = 0.12
	// minLength is the shortest time axis in seconds.
	minLength = 0.001
	// laneSpread is how far the kinds of one host stand apart in its lane.
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

// WriteChart draws the events with one lane per host and one colour per kind.
// The format is svg or png.
func WriteChart(w io.Writer, events []wagevent.Event, format string) (err error) {
	defer func() { err = errors.WithMessage(err, "draw time line") }()
	if len(events) == 0 {
		return errors.New("no events to draw")
	}
	p := plot.New()
	p.Title.Text = "Events over all processes, from " + events[0].Time.UTC().Format("2006-01-02 15:04:05.000") + " UTC"
	p.X.Label.Text = "seconds"
	hosts, kinds := lanes(events)
	p.NominalY(hosts...)
	p.Legend.Top = true
	// The legend stands to the right of the last event.
	length := events[len(events)-1].Time.Sub(events[0].Time).Seconds()
	p.X.Min, p.X.Max = 0, max(length, minLength)*(1+legendShare)
	for i, k := range kinds {
		if err := addKind(p, events, hosts, k, laneSpread*(float64(i)/float64(len(kinds))-0.5)); err != nil {
			return err
		}
	}
	height := pictureMargin + laneHeight*vg.Length(len(hosts)) + 0.5*vg.Centimeter*vg.Length(len(kinds))
	writer, err := p.WriterTo(pictureWidth, height, format)
	if err != nil {
		return err
	}
	_, err = writer.WriteTo(w)
	return err
}

// lanes returns the hosts and kinds of the events in ascending order.
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
	// Shorter names come first, so that entry-2 stands before entry-10.
	sort.Slice(hosts, func(i, j int) bool {
		if len(hosts[i]) != len(hosts[j]) {
			return len(hosts[i]) < len(hosts[j])
		}
		return hosts[i] < hosts[j]
	})
	sort.Slice(kinds, func(i, j int) bool { return strings.Compare(string(kinds[i]), string(kinds[j])) < 0 })
	return hosts, kinds
}

func addKind(p *plot.Plot, events []wagevent.Event, hosts []string, k wagevent.Kind, offset float64) error {
	var points plotter.XYs
	start := events[0].Time
	for _, e := range events {
		if e.Kind != k {
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
	if c, ok := kindColours[k]; ok {
		scatter.Color = c
	}
	p.Add(scatter)
	p.Legend.Add(string(k), scatter)
	return nil
}
