package waglog

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// parseLines decodes the lines that were written.
func parseLines(t *testing.T, text string) (list []map[string]any) {
	t.Helper()
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatal(err)
		}
		list = append(list, m)
	}
	return list
}

// Guards against lines without host, time or kind.
func TestLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	now := time.Unix(1000, 0).UTC()
	l := New(&out, "a1", WithNow(func() time.Time { return now }))
	l.Info(KindRequest, Fields{"request": "9c41", "status": 200})
	l.Warn(KindStore, Fields{"error": "reset"})
	l.out.flush()
	got := parseLines(t, out.String())
	is.Equal(got[0]["msg"], "request")
	is.Equal(got[0]["host"], "a1")
	is.Equal(got[0]["time"], "1970-01-01T00:16:40.000Z")
	is.Equal(got[0]["request"], "9c41")
	is.Equal(got[1]["level"], "warning")
}

// Guards against text of a caller or a server that breaks a line or adds fields.
func TestStringsAreEscaped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out, "a1")
	texts := []string{"", "plain", "a\"b", "a\\b", "a\nb", "a\x00b", "č", "\xff", "\x7f", `","level":"error`}
	for _, text := range texts {
		l.Info(KindRequest, Fields{"request": text, "age": 1.5, "list": []int{1}, "error": context.Canceled})
	}
	l.out.flush()
	for i, m := range parseLines(t, out.String()) {
		is.Equal(m["level"], "info")
		is.Equal(m["age"], 1.5)
		is.Equal(m["error"], "context canceled")
		if texts[i] != "\xff" {
			is.Equal(m["request"], texts[i])
		}
	}
}

// Guards against an unlimited number of lines, against one kind that uses up the limit
// of others, and against dropped lines that are not counted.
func TestRateLimitOfEachKind(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	l := New(&out, "a1", WithRate(10), WithNow(func() time.Time { return now }))
	for range 100 {
		l.Info(KindRequest, Fields{})
	}
	l.Info(KindConfig, Fields{"version": 7})
	now = now.Add(time.Second)
	l.Info(KindRequest, Fields{})
	l.out.flush()
	got := parseLines(t, out.String())
	is.Equal(len(got), 20+1+1)
	is.Equal(got[20]["version"], 7.0)
	is.Equal(got[21]["dropped"], 80.0)
	is.Equal(l.DroppedCounts(), map[Kind]uint64{KindRequest: 80})
}

// blockingWriter blocks each write until release is closed.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that wait because the log output blocks.
func TestWritingNeverBlocks(t *testing.T) {
	is := is.New(t)
	b := blockingWriter{release: make(chan struct{})}
	l := New(b, "a1", WithRate(1e9))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return l.Run(ctx) })
	for range 10000 {
		l.Info(KindRequest, Fields{"text": strings.Repeat("x", 100)})
	}
	is.True(l.DroppedCounts()["buffer"] > 0)
	cancel()
	close(b.release)
	is.NoErr(g.Wait())
}

// Guards against a level that has no effect, and against one that drops warnings.
func TestLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out, "a1", WithLevel(logrus.WarnLevel))
	l.Info(KindRequest, Fields{"request": "9c41"})
	l.Warn(KindStore, Fields{"error": "reset"})
	l.out.flush()
	got := parseLines(t, out.String())
	is.Equal(len(got), 1)
	is.Equal(got[0]["msg"], "store")
}
