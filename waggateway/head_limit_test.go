package waggateway

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagsite"
)

// Guards against a configuration whose limits are so large that sums with them overflow, and
// all requests are refused.
func TestLargestLimits(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, newTestServer(t, "a", responseOK))
	c, err := wagsite.New(2, wagsite.Limits{BodyBytes: math.MaxInt64, HeaderBytes: math.MaxInt, HeaderTimeout: math.MaxInt64, IdleTimeout: math.MaxInt64}, []wagsite.Service{{Name: "lots"}},
		[]wagsite.Route{{Name: "status", Host: "a.example", Prefix: "/status/", Idempotent: true, Timeout: time.Second, Goal: time.Second, Attempts: 1, TrafficSplit: []wagsite.WeightedService{{Service: "lots", Weight: 1}}}})
	is.NoErr(err)
	f.gateway.SetConfig(c)
	resp, body := f.send(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "ok")
}
