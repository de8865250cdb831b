package wagentry

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/labstack/echo/v4"
	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagmember"
)

// minimalProxy runs a proxy that only copies requests and responses, with the same
// libraries, and returns its address.
func minimalProxy(t testing.TB, server string) string {
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableCompression: true}
	r := echo.New()
	r.Any("/*", func(c echo.Context) error {
		out := c.Request().Clone(c.Request().Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", server, ""
		resp, err := transport.RoundTrip(out)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			c.Response().Header()[name] = values
		}
		c.Response().WriteHeader(resp.StatusCode)
		_, err = io.Copy(c.Response(), resp.Body)
		return err
	})
	return startServer(t, r)
}

// BenchmarkAdded compares the cost of a request that is sent directly, through a minimal
// proxy, through one host and through two hosts.
func BenchmarkAdded(b *testing.B) {
	address := startServer(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("answer of a server"))
	}))
	entry := newTestHost(b, "a", "", liveServers(address))
	owner := newTestHost(b, "z", "", liveServers(address))
	forwarding := newTestHost(b, "a", "", liveServers(address), WithMembers(staticMembership{{
		Name: "z", DataCentre: "dc1", State: wagmember.Alive, Forward: netip.MustParseAddrPort(owner.forward),
	}}))
	for _, x := range []struct{ name, address string }{
		{"direct", address},
		{"pass-through", minimalProxy(b, address)},
		{"entry", entry.caller},
		{"entry-forward", forwarding.caller},
	} {
		b.Run(x.name, func(b *testing.B) { measureLatency(b, x.address) })
	}
}

func measureLatency(b *testing.B, address string) {
	is := is.New(b)
	client := &http.Transport{DisableCompression: true}
	defer client.CloseIdleConnections()
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/lots/x", nil)
		is.NoErr(err)
		resp, err := client.RoundTrip(req)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusOK)
		is.NoErr(latencies.RecordValue(int64(time.Since(start))))
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-ns")
}
