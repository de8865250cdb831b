package wagupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// awaitUnreadBytes waits until the kernel holds bytes of a connection that were not read. A
// close resets the connection only then; without any it ends the answer properly.
func awaitUnreadBytes(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for unread := 0; unread <= 0; {
		err := raw.Control(func(fd uintptr) {
			unread, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT) // none yet is an error
		})
		if err != nil {
			return
		}
		<-time.After(time.Millisecond)
	}
}

// Guards against an answer without a length that is reset while a long request body is being
// written, and counts as whole (case 7 of the review), and against one that is not accepted
// although its connection ended properly.
func TestAnswerWithoutLengthDuringLongRequest(t *testing.T) {
	const tries, size = 20, 16 << 20
	answer := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n"
	for name, x := range map[string]struct {
		// readsAll makes the server read the request before it answers.
		readsAll, reset bool
		bodySize        int
	}{
		"reset":                    {false, true, 300},
		"reset of a long answer":   {false, true, 2 * maxBufferedBody},
		"closed with unread bytes": {false, false, 300}, // which resets the connection
		"whole":                    {true, false, 300},
		"whole and early":          {true, false, 0},
		"whole and long":           {true, false, 2 * maxBufferedBody},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if x.readsAll && x.bodySize > 0 {
					_, _ = io.Copy(io.Discard, q.Body)
				}
				_, _ = io.WriteString(c, answer+strings.Repeat("x", x.bodySize))
				if x.readsAll && x.bodySize == 0 {
					_ = c.(*net.TCPConn).CloseWrite() // ends the answer and reads on, slowly
					for err == nil {
						_, err = io.CopyN(io.Discard, q.Body, 1<<20)
						<-time.After(5 * time.Millisecond)
					}
				}
				if !x.readsAll && !x.reset {
					awaitUnreadBytes(c)
				}
				if x.reset {
					<-time.After(2 * time.Millisecond) // until the answer has arrived
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			p := NewPool(idHeader)
			defer p.Close()
			for range tries {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				r := newGet("1")
				r.Method, r.Body = http.MethodPost, make([]byte, size)
				resp, _, err := p.Exchange(ctx, s.target(), r, time.Now().Add(time.Second))
				if err == nil && resp.BodyRest != nil {
					_, err = io.Copy(io.Discard, resp.BodyRest)
				}
				if x.readsAll {
					is.NoErr(err)
				} else if !errors.Is(err, ErrInvalidResponse) {
					t.Errorf("an answer that was cut off counts as whole (%v)", err)
				}
			}
		})
	}
}
