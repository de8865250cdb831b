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
	hostCount      = 1000
	outageDuration = 60 * time.Second
	// recoveryDuration is how long the requests are counted after the outage.
	recoveryDuration = 60 * time.Second
	// maxStoreRate is the lowest reading of the platform's limit of "several hundred
	// writes/s".
	maxStoreRate = 300
	// binDuration is the width of the bins in which requests are counted.
	binDuration = 100 * time.Millisecond
)

// storeOutage is a transport to a store that responds from upFrom on.
type storeOutage struct {
	upFrom time.Time

	mu sync.Mutex
	// bins counts the requests since upFrom, by bin.
	bins map[int]int
}

func (o *storeOutage) RoundTrip(*http.Request) (*http.Response, error) {
	after := time.Since(o.upFrom)
	if after < 0 {
		return nil, errors.New("connection refused")
	}
	o.mu.Lock()
	o.bins[int(after/binDuration)]++
	o.mu.Unlock()
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Etag": {`"1"`}}, Body: io.NopCloser(strings.NewReader("x"))}, nil
}

// peak returns the most requests within any second since upFrom.
func (o *storeOutage) peak() int {
	highest := 0
	for first := range int(recoveryDuration / binDuration) {
		count := 0
		for b := first; b < first+int(time.Second/binDuration); b++ {
			count += o.bins[b]
		}
		highest = max(highest, count)
	}
	return highest
}

// useStore reads as often as the limits permit and waits a second after a failure.
func useStore(ctx context.Context, c *Client) {
	for ctx.Err() == nil {
		if _, err := c.Get(ctx, "documents/a"); err != nil {
			_ = waitUntil(ctx, wagclock.System{}, time.Now().Add(time.Second))
		}
	}
}

// peakReconnectRate runs all hosts through an outage in virtual time and returns the
// most requests within any second after it.
func peakReconnectRate(t *testing.T, share, spread bool) (peak int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), outageDuration+recoveryDuration)
		defer cancel()
		o := &storeOutage{upFrom: time.Now().Add(outageDuration), bins: make(map[int]int)}
		var hosts errgroup.Group
		for n := range hostCount {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			c := NewClient(netip.MustParseAddrPort("127.0.0.1:1"), WithTransport(o), WithRandom(random), WithRate(200))
			c.limiter.spreadReconnects = spread
			if share {
				c.SetLiveHosts(hostCount)
			}
			hosts.Go(func() error { useStore(ctx, c); return nil })
		}
		_ = hosts.Wait()
		peak = o.peak()
	})
	return peak
}

// Guards against an overload of the store when all hosts reconnect at once after an
// outage.
func TestThousandHostsReconnectUnderTheLimit(t *testing.T) {
	is := is.New(t)
	peak := peakReconnectRate(t, true, true)
	t.Logf("requests in the busiest second with shared rate and spread: %d", peak)
	is.True(peak > 0)
	is.True(peak <= maxStoreRate)
}

// Shows that it is the spread of the reconnects that keeps the requests under the limit:
// without it they exceed the limit.
func TestReconnectsExceedTheLimitWithoutSpread(t *testing.T) {
	is := is.New(t)
	peak := peakReconnectRate(t, true, false)
	t.Logf("requests in the busiest second without spread: %d", peak)
	is.True(peak > maxStoreRate)
}
