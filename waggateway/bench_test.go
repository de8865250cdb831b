package waggateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"golang.org/x/sync/errgroup"
)

// BenchmarkConnections measures the memory of an idle connection in bytes, with that of
// its caller in the same process, which is one socket. It is the basis of connBaseBytes.
func BenchmarkConnections(b *testing.B) {
	gateway := New(testProtocol{}, nil, nil, WithLimits(Limits{MemoryBytes: 1 << 40}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	server := &http.Server{Handler: handler, ConnContext: connContext, ConnState: connState}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(callerListener{Listener: l, gateway: gateway}) })
	defer func() {
		_ = server.Close()
		_ = group.Wait() // http.ErrServerClosed
	}()
	used := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	const count = 1000
	for b.Loop() {
		before := used()
		conns := make([]net.Conn, count)
		for n := range conns {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			conns[n] = c
			_, _ = io.WriteString(c, headBeginning+"\r\n")
			resp, err := http.ReadResponse(bufio.NewReaderSize(c, 16), nil)
			if err != nil {
				b.Fatal(err)
			}
			_ = resp.Body.Close()
		}
		b.ReportMetric(float64(used()-before)/count, "B/conn")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
