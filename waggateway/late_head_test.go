package waggateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that is cut off although each of its waits is inside its limit:
// the connection is idle for less than idleTimeoutMs, or new for less than headerTimeoutMs,
// and the head then takes less than headerTimeoutMs.
func TestHeadBeginsLateOnAConnection(t *testing.T) {
	for _, x := range []struct {
		name   string
		reused bool
	}{{"new connection", false}, {"idle connection", true}} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			const idle = 4 * time.Second
			r, seen := newStallingGateway(t, idle, time.Hour)
			header, _ := r.gateway.timeouts()
			wait := header * 4 / 5
			c := r.dial()
			if x.reused {
				resp, err := sendRequest(c)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				wait = idle * 4 / 5
			}
			awaitTrue(t, "no connection", func() bool { return len(r.gateway.callers.all()) == 1 })
			conn := r.gateway.callers.all()[0]
			r.advanceBy(wait)
			received := conn.progress.Load()
			_, err := io.WriteString(c, headBeginning)
			is.NoErr(err)
			awaitTrue(t, "the head does not begin", func() bool { return conn.progress.Load() > received })
			r.advanceBy(header * 4 / 5)
			_, err = io.WriteString(c, "\r\n")
			is.NoErr(err)
			status, _ := readStatus(t, c)
			is.Equal(status, http.StatusOK)
			is.Equal(seen.count(CauseHeadTimeout), 0)
		})
	}
}

// advanceBy advances the clock in steps, with time for the checks between them.
func (r *runningGateway) advanceBy(d time.Duration) {
	const step = unusedCheckInterval / 5
	for ; d > 0; d -= step {
		r.clock.Advance(min(step, d))
		<-time.After(2 * time.Millisecond)
	}
}
