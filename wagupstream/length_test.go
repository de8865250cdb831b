package wagupstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a panic, or a body that is cut off or too long, for any length that a
// server may state.
func TestReadUpToWithAnyLength(t *testing.T) {
	const size, limit = 100_000, 1 << 16
	for _, length := range []int64{-1, 0, 1, size - 1, size, size + 1, limit - 1, limit, limit + 1, math.MaxInt32, math.MaxInt64 - 1, math.MaxInt64} {
		for _, limit := range []int64{0, 1, limit, math.MaxInt64} {
			t.Run(fmt.Sprintf("length %d, limit %d", length, limit), func(t *testing.T) {
				is := is.New(t)
				body := int64(size)
				if length >= 0 {
					body = min(body, length) // as the reader of net/http returns it
				}
				p, complete, err := ReadUpTo(strings.NewReader(strings.Repeat("x", int(body))), length, limit, nil)
				is.NoErr(err)
				is.Equal(int64(len(p)), min(body, limit))
				is.True(int64(cap(p)) <= limit)
				is.Equal(complete, body < limit) // the end is seen only below the limit
			})
		}
	}
}

// Guards against a server that ends the process of a host with the largest length that a
// response can state (case 6 of the review). The stated length is never reached, so that
// the response is incomplete.
func TestResponseStatesLargestLength(t *testing.T) {
	for _, length := range []int64{math.MaxInt64 - 1, math.MaxInt64} {
		for name, size := range map[string]int{"short": 2, "long": 2 * maxBufferedBody} {
			t.Run(fmt.Sprint(name, length), func(t *testing.T) {
				is := is.New(t)
				s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
					id := readRequest(r).Header.Get(idHeader)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, length, strings.Repeat("x", size))
				})
				p := NewPool(idHeader)
				defer p.Close()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				resp, _, err := p.Exchange(ctx, s.target(), newGet("1"), time.Now().Add(time.Second))
				if err == nil {
					is.Equal(size, 2*maxBufferedBody)
					_, err = io.Copy(io.Discard, resp.BodyRest)
				}
				is.True(errors.Is(err, ErrInvalidResponse))
			})
		}
	}
}

// Guards against idle connections that are dropped at once, or kept for good, because the
// stated idle timeout cannot be held.
func TestLongestIdleTimeout(t *testing.T) {
	is := is.New(t)
	for _, seconds := range []int64{1 << 32, math.MaxInt64 / int64(time.Second), math.MaxInt64 - 1, math.MaxInt64} {
		is.Equal(idleTimeoutFor(http.Header{"Keep-Alive": {fmt.Sprint("timeout=", seconds)}}), maxIdleTimeout)
	}
}
