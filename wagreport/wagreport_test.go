package wagreport

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagreplay"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against reports that do not show a missed outcome, and against plots that
// fail for runs without samples.
func TestReport(t *testing.T) {
	is := is.New(t)
	bound := 1.0
	verdicts := []wagreplay.Verdict{
		{Outcome: wagreplay.Outcome{Name: "first", AtMost: &bound}, Value: 0.5, Met: true},
		{Outcome: wagreplay.Outcome{Name: "second", AtMost: &bound}, Value: 2},
	}
	results := []*wagreplay.Result{
		{Name: "some", Metrics: wagreplay.Metrics{"short.p99": 12.25}, ShortSamples: []wagreplay.Sample{{EndedAt: start.Add(time.Second), Latency: time.Millisecond}, {EndedAt: start.Add(2 * time.Second)}}},
		{Name: "none"},
	}
	r := New(wagreplay.Config{Trace: &wagtrace.Trace{}}, results, verdicts)
	is.Equal(r.CountMissed(), 1)
	var text bytes.Buffer
	is.NoErr(r.WriteTable(&text))
	is.True(strings.Contains(text.String(), "12.2"))
	is.True(strings.Contains(text.String(), "MISSED  second: 2 (at most 1)"))
	is.NoErr(r.WriteJSON(&text))
	for _, list := range [][]*wagreplay.Result{results, nil} {
		directory := t.TempDir()
		is.NoErr(WritePlots(directory, start, list))
		for _, name := range []string{"latency.svg", "ccdf.svg"} {
			svg, err := os.ReadFile(filepath.Join(directory, name))
			is.NoErr(err)
			is.True(bytes.Contains(svg, []byte("<svg")))
		}
	}
}
