package wagupstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
	// shortBody is up to which size a body is sent before the answer is read. It
	// fits into the buffers of a connection, so that a server which answers early
	// does not stop both sides.
	shortBody = 8 << 10
	// maxBuffered bounds the part of an answer that is read before it is passed on.
	maxBuffered = 256 << 10
)

// conn is a connection to a server that carries one request at a time.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	// idleUntil is when the connection is no longer used again, and briefUntil when it
	// is no longer while servers drop connections early.
	idleUntil, briefUntil time.Time
	// written tells whether a byte of the current request may have left.
	written atomic.Bool
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

// head returns the request line and the header.
func head(r *Request) (*bytes.Buffer, error) {
	b := &bytes.Buffer{}
	b.Grow(1024 + min(len(r.Body), shortBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(b); err != nil {
		return nil, err
	}
	length := r.ContentLength
	if r.BodyRest == nil {
		length = int64(len(r.Body))
	}
	switch {
	case length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		b.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	return b, nil
}

// Write writes to the server and notes that something was sent.
func (c *conn) Write(p []byte) (n int, err error) {
	n, err = c.raw.Write(p)
	if n > 0 {
		c.written.Store(true)
	}
	return n, err
}

// writeShort sends a request with a short body in one piece.
func (c *conn) writeShort(r *Request) error {
	b, err := head(r)
	if err != nil {
		return err
	}
	b.Write(r.Body)
	_, err = c.Write(b.Bytes())
	return err
}

// writeLong sends a request whose body may be longer than the buffers.
func (c *conn) writeLong(r *Request) error {
	b, err := head(r)
	if err != nil {
		return err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return err
	}
	var body io.Reader = bytes.NewReader(r.Body)
	if r.BodyRest != nil {
		body = io.MultiReader(body, r.BodyRest)
	}
	if r.ContentLength >= 0 || r.BodyRest == nil {
		n, err := io.Copy(c, body)
		if err == nil && r.BodyRest != nil && n != r.ContentLength {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	chunks := httputil.NewChunkedWriter(c)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err = io.WriteString(c, "\r\n")
	return err
}

// read reads one answer. keep tells whether the connection can carry another
// request once the answer is complete.
func (c *conn) read(method string) (resp *Response, keep bool, err error) {
	request := &http.Request{Method: method}
	for {
		h, err := http.ReadResponse(c.reader, request) //nolint:bodyclose // The body is read to its end, or becomes Rest.
		if err != nil {
			return nil, false, broken(err)
		}
		if h.StatusCode >= http.StatusOK {
			return readBody(h)
		}
		if h.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, broken(errors.New("the server switched protocols"))
		}
	}
}

func readBody(h *http.Response) (resp *Response, keep bool, err error) {
	resp = &Response{Status: h.StatusCode, Header: h.Header, ContentLength: h.ContentLength}
	size := min(max(h.ContentLength, 0), maxBuffered)
	body := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	if _, err := io.CopyN(body, h.Body, maxBuffered); err != nil && !errors.Is(err, io.EOF) {
		return nil, false, broken(err)
	}
	resp.Body = body.Bytes()
	if len(resp.Body) < maxBuffered {
		// The body is complete: a shorter one than the header says is an error.
		return resp, !h.Close, nil
	}
	resp.BodyRest = h.Body
	return resp, !h.Close, nil
}

// broken annotates the cause of an incomplete answer.
func broken(cause error) error { return errors.WithMessage(ErrInvalidResponse, cause.Error()) }

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
