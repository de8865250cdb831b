package wagstore

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	returnHosts = 1000
	outageTime  = 60 * time.Second
	afterTime   = 60 * time.Second
	// storeLimit is the lower reading of the platform's "several hundred
	// writes/s".
	storeLimit = 300
	bin        = 100 * time.Millisecond
)

// outage is a transport to a store that answers from a deadline on.
type outage struct {
	upFrom time.Time

	mu sync.Mutex
	// bins counts the calls after the return in steps of bin.
	bins map[int]int
}

func (o *outage) RoundTrip(*http.Request) (*http.Response, error) {
	after := time.Since(o.upFrom)
	if after < 0 {
		return nil, errors.New("connection refused")
	}
	o.mu.Lock()
	o.bins[int(after/bin)]++
	o.mu.Unlock()
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Etag": {`"1"`}}, Body: io.NopCloser(strings.NewReader("x"))}, nil
}

// peak returns the most calls of any second after the return.
func (o *outage) peak() int {
	most := 0
	for first := range int(afterTime / bin) {
		sum := 0
		for b := first; b < first+int(time.Second/bin); b++ {
			sum += o.bins[b]
		}
		most = max(most, sum)
	}
	return most
}

// useStore reads as often as it may and pauses a second after a failure.
func useStore(ctx context.Context, c *Client) {
	for ctx.Err() == nil {
		if _, err := c.Get(ctx, "documents/a"); err != nil {
			_ = wait(ctx, wagclock.System{}, time.Now().Add(time.Second))
		}
	}
}

// returnPeak runs all hosts through an outage on virtual time.
func returnPeak(t *testing.T, share, spread bool) (peak int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), outageTime+afterTime)
		defer cancel()
		o := &outage{upFrom: time.Now().Add(outageTime), bins: make(map[int]int)}
		var hosts errgroup.Group
		for n := range returnHosts {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			c := NewClient(netip.MustParseAddrPort("127.0.0.1:1"), WithTransport(o), WithRandom(random), WithRate(200))
			c.gate.spread = spread
			if share {
				c.SetLiveHosts(returnHosts)
			}
			hosts.Go(func() error { useStore(ctx, c); return nil })
		}
		_ = hosts.Wait()
		peak = o.peak()
	})
	return peak
}

// Guards against the return of all hosts at once, which would bring the store
// down again.
func TestReturnOfAThousandHostsStaysUnderTheLimit(t *testing.T) {
	is := is.New(t)
	peak := returnPeak(t, true, true)
	t.Logf("calls in the worst second with share and spread: %d", peak)
	is.True(peak > 0)
	is.True(peak <= storeLimit)
}

// Guards against a limit that holds for another reason than the mechanism.
func TestReturnExceedsTheLimitWithoutTheMechanism(t *testing.T) {
	is := is.New(t)
	unspread := returnPeak(t, true, false)
	t.Logf("calls in the worst second without spread: %d", unspread)
	is.True(unspread > storeLimit)
}
