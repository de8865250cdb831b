package waggateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that comes late in a planned stop, is sent to a server and
// then cut off without an answer (case 9 of the review): that earlier work of its route was
// short does not bound its own.
func TestLateRequestDuringPlannedStop(t *testing.T) {
	const closeIn = time.Second // less than testTimeout, the deadline of the requests
	for name, c := range map[string]struct {
		lateFor time.Duration
		// work is how long requests of the route took before; 0 when that is not known.
		work time.Duration
		// closeIn replaces closeIn unless it is 0.
		closeIn time.Duration
		status  int
	}{
		"work is not known":            {lateFor: time.Second, status: 503},
		"work is too long":             {lateFor: time.Second, work: 900 * time.Millisecond, status: 503},
		"work is mostly short":         {lateFor: time.Second, work: 50 * time.Millisecond, status: 503},
		"just late":                    {lateFor: 0, work: time.Millisecond, status: 503},
		"deadline is within the grace": {lateFor: time.Second, work: 900 * time.Millisecond, closeIn: 2 * testTimeout, status: 200},
		"request is not late":          {lateFor: -time.Second, status: 200},
		"not late, work is short":      {lateFor: -time.Second, work: 50 * time.Millisecond, status: 200},
		"not late, work is too long":   {lateFor: -time.Second, work: 2 * closeIn, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/commit/1", "/status/1"} {
				is := is.New(t)
				a := newTestServer(t, "a", responseOK)
				f := newFixture(t, a)
				now := time.Now()
				end := now.Add(closeIn)
				if c.closeIn > 0 {
					end = now.Add(c.closeIn)
				}
				f.gateway.shutdown.Store(&shutdownTimes{lateFrom: now.Add(-c.lateFor), answerBy: end.Add(-responseSlack), closeAt: end})
				f.gateway.shuttingDown.Store(true)
				if c.work > 0 {
					f.gateway.durations.record(now, "commit", c.work, true)
					f.gateway.durations.record(now, "status", c.work, true)
				}
				resp, _ := f.send(t, "POST", path, nil)
				is.Equal(resp.StatusCode, c.status)
				wantSent := 0
				if c.status == 200 {
					wantSent = 1
				}
				is.Equal(a.requestCount(), wantSent)
				is.Equal(resp.Header.Get("Retry-After") != "", c.status == 503)
				is.True(resp.Close)
			}
		})
	}
}

// Guards against the same on a connection that was opened before the listener closed, with
// the times of a running host.
func TestLateRequestOnLateConnection(t *testing.T) {
	const grace = 5 * time.Second
	for name, c := range map[string]struct {
		// sentAfter is the time between the signal and the request, signalDelay the time
		// between the signal and the beginning of the shutdown.
		sentAfter, signalDelay time.Duration
		timeout                string
		status                 int
	}{
		"late":                        {lateAfter + 10*time.Millisecond, 0, testCallerTimeout, http.StatusServiceUnavailable},
		"late, signal noticed late":   {lateAfter + 10*time.Millisecond, signalSlack, testCallerTimeout, http.StatusServiceUnavailable},
		"late, ends within the grace": {lateAfter + 10*time.Millisecond, 0, "1000", http.StatusOK},
		"in time":                     {lateAfter - signalSlack - 10*time.Millisecond, 0, testCallerTimeout, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRunningGateway(t, grace)
			r.shutDown()
			<-r.announced
			r.clock.Advance(fraction(grace, acceptFraction) - 100*time.Millisecond)
			late := r.dial()
			resp, err := sendRequest(r.dial()) // accepted after the other one
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK) // the work is known to be short from now on
			r.clock.Advance(c.sentAfter - c.signalDelay - fraction(grace, acceptFraction) + 100*time.Millisecond)
			resp, err = sendRequestFor(late, c.timeout)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.True(resp.Close)
			r.awaitEnd()
		})
	}
}

// Guards against a request that comes in time, may not be repeated and is sent to a server
// although some work of its route would be cut off, and against one that is refused although
// its caller may repeat it.
func TestRequestInTimeDuringPlannedStop(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, newTestServer(t, "a", responseOK))
	now := time.Now()
	f.gateway.shutdown.Store(&shutdownTimes{lateFrom: now.Add(time.Second / 2), answerBy: now.Add(time.Second), closeAt: now.Add(time.Second)})
	f.gateway.shuttingDown.Store(true)
	for _, route := range []string{"commit", "status"} {
		f.gateway.durations.record(now, route, time.Millisecond, true)
		f.gateway.durations.record(now, route, 2*time.Second, true)
	}
	resp, _ := f.send(t, "POST", "/commit/1", nil)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	resp, _ = f.send(t, "GET", "/status/1", nil)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against work that is forgotten while its route is in use, remembered for good,
// or remembered for any number of routes.
func TestRouteDurations(t *testing.T) {
	is := is.New(t)
	var d routeDurations
	start := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	_, known := d.longest(start, "status")
	is.True(!known)
	d.record(start, "status", 3*time.Second, true)
	d.record(start, "status", time.Second, true)
	d.record(start, "status", time.Millisecond, false) // has no answer
	shortest, known := d.shortest(start.Add(durationWindow), "status")
	is.True(known)
	is.Equal(shortest, time.Second)
	longest, known := d.longest(start.Add(durationWindow), "status")
	is.True(known)
	is.Equal(longest, 3*time.Second)
	_, known = d.longest(start.Add(2*durationWindow), "status")
	is.True(!known)
	for n := range 2 * maxRoutesWithDurations {
		d.record(start.Add(3*durationWindow), string(rune(n)), time.Second, true)
	}
	is.True(len(d.current) <= maxRoutesWithDurations)
}
