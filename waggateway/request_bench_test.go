package waggateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"
)

// BenchmarkOrdinaryRequest measures a request without a body that one server answers at
// once: one request after the other on one connection, with caller, host and server in one
// process.
func BenchmarkOrdinaryRequest(b *testing.B) {
	a := newTestServer(b, "a", responseOK)
	f := newFixture(b)
	for range b.N {
		f.placer.servers = append(f.placer.servers, a)
	}
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	text := "GET /status/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nPatience: " + testCallerTimeout + "\r\n\r\n"
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		start := time.Now()
		if _, err := io.WriteString(c, text); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		times = append(times, time.Since(start))
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2]), "median-ns")
	b.ReportMetric(float64(times[len(times)*99/100]), "p99-ns")
}
