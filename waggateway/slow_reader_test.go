package waggateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that is cut off while it reads a long response slowly but
// steadily: the kernel lets a blocked write go on only after a third of its buffer, which
// grows to megabytes, has been read.
func TestSlowReadersAreServed(t *testing.T) {
	is := is.New(t)
	const size, pieces, idle = 16 << 20, 40, 2 * time.Second
	body := strings.Repeat("x", size)
	large := newTestServer(t, "large", strings.Replace(responseOK, "Content-Length: 2\r\n\r\nok", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body), 1))
	r, seen := newStallingGateway(t, idle, time.Hour)
	placer := r.gateway.placer.(*fakePlacer)
	placer.mu.Lock()
	placer.servers = repeated(large, 1)
	placer.mu.Unlock()
	c := r.dial()
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(32 << 10))
	_, err := io.WriteString(c, get("/status/1", "r1"))
	is.NoErr(err)
	conn := r.onlyConn()
	awaitTrue(t, "nothing is written", conn.writing.Load)
	var last uint64
	awaitTrue(t, "the write does not block", func() bool {
		<-time.After(20 * time.Millisecond)
		now := conn.progress.Load()
		blocked := now == last
		last = now
		return blocked
	})
	piece := make([]byte, 32<<10)
	for range pieces {
		_, err := io.ReadFull(c, piece)
		is.NoErr(err)
		r.advanceBy(idle / 2)
	}
	is.Equal(seen.count(CauseWriteTimeout), 0)
}

// onlyConn returns the only connection of callers.
func (r *runningGateway) onlyConn() *callerConn {
	r.t.Helper()
	awaitTrue(r.t, "there is not one connection", func() bool { return len(r.gateway.callers.all()) == 1 })
	return r.gateway.callers.all()[0]
}
