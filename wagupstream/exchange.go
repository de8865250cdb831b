package wagupstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxForeign bounds the answers to earlier requests that are passed over on
	// one connection. Servers were seen to repeat one answer.
	maxForeign = 2
	// maxBody bounds the body of an answer that is held in memory.
	maxBody = 16 << 20
)

// conn is a connection to a server that carries one request at a time.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	// idleUntil is when the connection is no longer used again.
	idleUntil time.Time
}

func newConn(raw net.Conn) *conn {
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// close ends the connection. The error is of no use: nothing is in flight.
func (c *conn) close() { _ = c.raw.Close() }

// quiet tells whether the connection is open and has no bytes to read. Bytes
// that no request asked for belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, err := syscall.Read(int(fd), one[:])
		quiet = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// Exchange sends a request to a server and returns the complete answer. A
// connection has to be there by dialBy, and the answer until ctx ends. reused
// tells that the request was sent on a kept connection.
func (p *Pool) Exchange(ctx context.Context, s Server, r *Request, dialBy time.Time) (resp *Response, reused bool, err error) {
	c, reused, err := p.get(ctx, s, dialBy)
	if err != nil {
		return nil, false, err
	}
	p.count(func(s *Stats) { s.Exchanges++ })
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	if ctx.Err() != nil {
		c.close()
		return nil, reused, ErrNotSent
	}
	resp, keep, err := p.exchange(c, r)
	if err != nil || !keep {
		c.close()
		return resp, reused, err
	}
	if !stop() {
		return resp, reused, nil
	}
	p.put(s, c)
	return resp, reused, nil
}

// exchange writes the request and reads its answer. keep tells whether the
// connection can carry another request.
func (p *Pool) exchange(c *conn, r *Request) (resp *Response, keep bool, err error) {
	if err := c.write(r); err != nil {
		return nil, false, errors.WithMessage(err, "write the request")
	}
	for range maxForeign + 1 {
		resp, keep, err = c.read(r.Method)
		if err != nil {
			return nil, false, err
		}
		if resp.Header.Get(p.idHeader) == r.ID {
			keep = keep && c.reader.Buffered() == 0
			c.idleUntil = p.now().Add(idleTime(resp.Header))
			return resp, keep, nil
		}
		p.count(func(s *Stats) { s.Foreign++ })
		if !keep {
			break
		}
	}
	return nil, false, ErrForeign
}

// write sends the request in one piece where it is short.
func (c *conn) write(r *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	_, err := c.raw.Write(b.Bytes())
	return err
}

// read reads one answer.
func (c *conn) read(method string) (resp *Response, keep bool, err error) {
	request := &http.Request{Method: method}
	for {
		h, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, errors.WithMessage(ErrTruncated, err.Error())
		}
		if h.StatusCode >= http.StatusOK {
			return c.readBody(h)
		}
		if h.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, errors.WithMessage(ErrTruncated, "the server switched protocols")
		}
	}
}

func (c *conn) readBody(h *http.Response) (*Response, bool, error) {
	resp := &Response{Status: h.StatusCode, Header: h.Header, Arrived: time.Now()}
	size := max(h.ContentLength, 0)
	if size > maxBody {
		return nil, false, errors.Errorf("an answer of %d bytes is longer than %d", size, maxBody)
	}
	body := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	n, err := io.Copy(body, io.LimitReader(h.Body, maxBody+1))
	if err != nil {
		return nil, false, errors.WithMessage(ErrTruncated, err.Error())
	}
	if n > maxBody {
		return nil, false, errors.Errorf("an answer is longer than %d bytes", maxBody)
	}
	resp.Body = body.Bytes()
	return resp, !h.Close, nil
}

// idleTime returns how long a connection may be idle by the Keep-Alive header of
// an answer.
func idleTime(h http.Header) time.Duration {
	for _, word := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(word), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			return min(time.Duration(float64(seconds)*idlePart*float64(time.Second)), maxIdle)
		}
	}
	return maxIdle
}
