package waggateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against a request whose body ends late in a planned stop, which is sent to a server
// and cut off: its head came in time, so that it did not count as late.
func TestBodyEndsLateDuringPlannedStop(t *testing.T) {
	for name, c := range map[string]struct {
		// closeIn is the time until connections are closed.
		closeIn time.Duration
		status  int
	}{
		"work might be cut off":        {testTimeout / 2, http.StatusServiceUnavailable},
		"deadline is within the grace": {2 * testTimeout, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newTestServer(t, "a", responseOK)
			f := newFixture(t, a)
			f.gateway.durations.record(time.Now(), "commit", time.Millisecond, true)
			body, w := io.Pipe()
			var g errgroup.Group
			g.Go(func() error {
				if _, err := io.WriteString(w, "first half"); err != nil {
					return err
				}
				awaitTrue(t, "the body is not read", func() bool { return len(f.gateway.callers.all()) == 1 && f.gateway.callers.all()[0].isReadingBody() })
				now := time.Now()
				f.gateway.shutdown.Store(&shutdownTimes{lateFrom: now, answerBy: now.Add(c.closeIn - responseSlack), closeAt: now.Add(c.closeIn)})
				f.gateway.shuttingDown.Store(true)
				_, err := io.WriteString(w, "second half")
				_ = w.Close() // always nil
				return err
			})
			resp, _ := f.send(t, http.MethodPost, "/commit/1", body)
			is.NoErr(g.Wait())
			is.Equal(resp.StatusCode, c.status)
			is.Equal(a.requestCount() == 0, c.status == http.StatusServiceUnavailable)
			is.True(resp.Close)
		})
	}
}

func (c *callerConn) isReadingBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activity == readingBody
}

// Guards against a long body that is passed on while it arrives, ends late and is cut off at
// the server.
func TestLongBodyDuringPlannedStop(t *testing.T) {
	for name, c := range map[string]struct {
		size    int
		closeIn time.Duration
		status  int
	}{
		"kept":                         {maxBufferedBody / 2, testTimeout / 2, http.StatusOK},
		"passed on while it arrives":   {2 * maxBufferedBody, testTimeout / 2, http.StatusServiceUnavailable},
		"deadline is within the grace": {2 * maxBufferedBody, 2 * testTimeout, http.StatusOK},
	} {
		for framing, wrap := range map[string]func(io.Reader) io.Reader{
			"length": func(r io.Reader) io.Reader { return r },
			"chunks": func(r io.Reader) io.Reader { return struct{ io.Reader }{r} },
		} {
			t.Run(name+"/"+framing, func(t *testing.T) {
				is := is.New(t)
				a := newTestServer(t, "a", responseOK)
				f := newFixture(t, a)
				now := time.Now()
				f.gateway.shutdown.Store(&shutdownTimes{lateFrom: now.Add(c.closeIn / 2), answerBy: now.Add(c.closeIn - responseSlack), closeAt: now.Add(c.closeIn)})
				f.gateway.shuttingDown.Store(true)
				resp, _ := f.send(t, http.MethodPost, "/commit/1", wrap(strings.NewReader(strings.Repeat("x", c.size))))
				is.Equal(resp.StatusCode, c.status)
				is.Equal(a.requestCount() == 0, c.status == http.StatusServiceUnavailable)
			})
		}
	}
}
