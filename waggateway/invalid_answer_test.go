package waggateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// responseNoStatus has the status 000, and bytes that look like a response as its body.
const responseNoStatus = "HTTP/1.1 000 \r\nId: %[1]s\r\nSigned: 1\r\nContent-Length: 70\r\n\r\nHTTP/1.1 200 OK\r\nId: %[1]s\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nwrong"

// Guards against a caller that gets an answer with the status 000, or a part of its body as an
// answer, or waits for its deadline because of it.
func TestAnswerWithoutStatus(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		hedgeAfter   time.Duration
		status       int
		body         string
	}{
		"repeated":      {http.MethodGet, "/status/1", 0, http.StatusOK, "ok"},
		"hedged":        {http.MethodGet, "/status/1", time.Minute, http.StatusOK, "ok"},
		"at most once":  {http.MethodPost, "/commit/1", 0, http.StatusBadGateway, "Bad Gateway: broken\n"},
		"second server": {http.MethodGet, "/status/1", time.Nanosecond, http.StatusOK, "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newTestServer(t, "a", responseNoStatus), newTestServer(t, "b", responseOK)
			f := newFixture(t, a, b)
			f.placer.hedgeAfter = c.hedgeAfter
			start := time.Now()
			resp, body := f.send(t, c.method, c.path, nil)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(body, c.body)
			is.True(time.Since(start) < testTimeout)
			for _, r := range f.placer.reportedResults()[:1] {
				is.True(r.Fault == wagplacement.FaultBroken || c.hedgeAfter == time.Nanosecond)
			}
		})
	}
}
