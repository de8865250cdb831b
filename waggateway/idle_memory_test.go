package waggateway

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagupstream"
)

// Guards against idle connections that hold what their earlier requests took: the parsed
// heads and the buffers of pipelined requests, which are not charged any more.
func TestIdleConnectionsHoldNoPipeline(t *testing.T) {
	is := is.New(t)
	const connections, requests, limit = 10, 17, 128 << 10
	a, b := newTestServer(t, "a", responseOK), newTestServer(t, "b", responseOK)
	f, _ := newLimitedFixture(t, Limits{})
	text := headBeginning + strings.Repeat("a:\r\n", 1200) + "\r\n"
	before := usedHeap()
	for n := range connections {
		hold := make(chan struct{})
		a.mu.Lock()
		a.hold = hold
		a.mu.Unlock()
		f.placer.mu.Lock()
		f.placer.servers = append([]*testServer{a}, repeated(b, requests-1)...)
		f.placer.mu.Unlock()
		f.connect()
		f.write(text)
		await(t, a, n+1)
		f.write(strings.Repeat(text, requests-1))
		await(t, b, n*(requests-1)+maxAhead)
		close(hold)
		for range requests {
			status, _, _ := f.read()
			is.Equal(status, http.StatusOK)
		}
		// Server a closes its connection after the response. The next request to it could be
		// sent there before, and would be sent again to server b.
		f.gateway.upstream.Prune(func(wagupstream.Server) bool { return false })
	}
	f.placer.mu.Lock()
	f.placer.requests, f.placer.results, f.placer.servers = nil, nil, nil
	f.placer.mu.Unlock()
	for _, s := range []*testServer{a, b} {
		s.mu.Lock()
		s.requests = nil
		s.mu.Unlock()
	}
	held := (usedHeap() - before) / connections
	t.Logf("%d bytes a connection", held)
	is.True(held < limit)
}

// usedHeap returns the live bytes of the heap.
func usedHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
