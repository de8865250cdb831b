package wagupstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against an answer with a status that is none, such as 000: it must not be passed on,
// be passed over for what follows on the connection, or keep the request waiting.
func TestInvalidStatus(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 020 OK", "HTTP/1.1 099 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 +20 OK",
		"HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 0x2 OK", "HTTP/1.1 ２00 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	} {
		for name, rest := range map[string]string{
			"with a body":      fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answer), answer),
			"without a length": "\r\n" + answer,
			"alone":            "Content-Length: 0\r\n\r\n",
		} {
			t.Run(line+" "+name, func(t *testing.T) {
				is := is.New(t)
				ended := make(chan struct{})
				s := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
					readRequest(r)
					_, _ = io.WriteString(c, line+"\r\n"+idHeader+": 1\r\n"+rest)
					<-ended // the connection stays open
				})
				defer close(ended)
				p := NewPool(idHeader)
				defer p.Close()
				const timeout = 3 * time.Second
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				_, _, err := p.Exchange(ctx, s.target(), newGet("1"), time.Now().Add(time.Second))
				is.True(errors.Is(err, ErrInvalidResponse))
				is.NoErr(ctx.Err()) // the request did not wait
				is.True(!errors.Is(err, ErrNotSent))
				is.Equal(len(p.idle[s.target()]), 0)
			})
		}
	}
}
