package waggateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// Guards against a request over the quota of its customer that looks like a shortage of
// servers, or that does not say when to come back.
func TestRequestOverQuota(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.placer.refusal = wagowner.Refused{Reason: wagplacement.ReasonQuota, RetryAt: time.Now().Add(3 * time.Second)}
	resp, _ := f.send(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, http.StatusTooManyRequests)
	is.True(resp.Header.Get("Retry-After") != "")
}
