package wagstore

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// Guards against a lease that expires because reads use up the rate limit. Ten reads
// already wait when the renewal is sent, at a limit of one request per second.
func TestLeaseRequestsComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newRequestLimiter(wagclock.System{}, 1, 16, rand.New(rand.NewPCG(1, 1)))
		order := make(chan requestClass, 16)
		request := func(class requestClass) func() error {
			return func() error {
				_, err := l.do(t.Context(), class, func() (*response, error) { order <- class; return &response{}, nil })
				return err
			}
		}
		is.NoErr(request(classNormal)())
		<-order
		var requests errgroup.Group
		for range 10 {
			requests.Go(request(classNormal))
		}
		synctest.Wait()
		began := time.Now()
		requests.Go(request(classLease))
		is.Equal(<-order, classLease)
		is.Equal(time.Since(began), time.Second)
		is.NoErr(requests.Wait())
	})
}

// Guards against hosts that together exceed the rate limit.
func TestLiveHostsShareTheRate(t *testing.T) {
	is := is.New(t)
	l := newRequestLimiter(wagclock.System{}, 200, 8, rand.New(rand.NewPCG(1, 1)))
	l.setLiveHosts(16)
	is.Equal(float64(l.rateLimiter.Limit()), 12.5)
	is.Equal(l.rateLimiter.Burst(), 3)
	l.setLiveHosts(0)
	is.Equal(float64(l.rateLimiter.Limit()), 200.0)
}

// recoveringTransport fails until upFrom and then records the waits that watches ask
// for.
type recoveringTransport struct {
	upFrom time.Time
	waits  []string
}

func (f *recoveringTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if time.Now().Before(f.upFrom) {
		return nil, errors.New("connection refused")
	}
	f.waits = append(f.waits, r.URL.Query().Get("wait"))
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{CursorHeader: {"1"}}, Body: io.NopCloser(strings.NewReader("[]"))}, nil
}

// Guards against a watch that waits for changes when it is the one request that tests
// whether the store is back: all other requests of the host would wait for its end.
func TestHalfOpenWatchDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &recoveringTransport{upFrom: time.Now().Add(30 * time.Second)}
		c := NewClient(netip.MustParseAddrPort("127.0.0.1:1"), WithTransport(f), WithRandom(rand.New(rand.NewPCG(1, 1))))
		for len(f.waits) < 2 {
			if _, _, err := c.Watch(t.Context(), "d/", "1"); err != nil {
				is.NoErr(waitUntil(t.Context(), wagclock.System{}, time.Now().Add(time.Second)))
			}
		}
		is.Equal(f.waits, []string{"0s", "20s"})
		is.True(time.Since(f.upFrom) < maxOpenDelay+minOpenDelay+time.Second)
	})
}

// Guards against responses that make the decoder panic, or that pass its checks with
// a key outside the prefix.
func FuzzObjects(f *testing.F) {
	f.Add([]byte(`[{"key":"d/a","version":"\"1\"","value":"eA=="}]`))
	f.Add([]byte(`[{"key":"x","version":"W/\"1\""}]`))
	f.Add([]byte(`{"key":[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a := &response{header: http.Header{CursorHeader: {"1"}}, body: body}
		objects, _, err := a.objects("d/")
		for _, o := range objects {
			if err != nil || !strings.HasPrefix(o.Key, "d/") || o.Version == "" {
				t.Errorf("accepted invalid object %+v", o)
			}
		}
	})
}
