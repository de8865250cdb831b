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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

const (
	// readBufferSize is the size of the read buffer of a connection in bytes.
	readBufferSize = 4 << 10
	// maxShortBody is the size in bytes up to which a body is written completely before
	// the response is read. It fits into the socket buffers of a connection; otherwise
	// a server that responds before it has read the body could block both sides.
	maxShortBody = 8 << 10
	// writeChunkBytes is the size of one write, so that the progress of a long one is seen.
	writeChunkBytes = 64 << 10
	// maxBufferedBody bounds the part of a response body, in bytes, that is read into
	// memory before the response is passed on.
	maxBufferedBody = 256 << 10
	// maxHeadBytes bounds the status line and header of a response, with the
	// informational responses before it, and maxHeadLines their lines: a line of four
	// bytes takes many times as much memory as a map entry with a string. A head may
	// exceed maxHeadLines by the lines of one read buffer.
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
)

// Errors of heads that exceed maxHeadBytes or maxHeadLines.
var (
	errHeadTooLong      = errors.Errorf("the head of the response is longer than %d bytes", maxHeadBytes)
	errTooManyHeadLines = errors.Errorf("the head of the response has more than %d lines", maxHeadLines)
)

// conn is a connection to a server that carries one request at a time.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	// headBytesLeft and headLinesLeft are how many bytes and lines may still be read of
	// the head of a response. They apply while readingHead is set.
	headBytesLeft, headLinesLeft int
	readingHead                  bool
	// idleSince is when the connection became idle.
	idleSince time.Time
	// idleUntil is until when the connection may be reused, and shortIdleUntil until
	// when it may be while the short idle timeout applies.
	idleUntil, shortIdleUntil time.Time
	// written reports whether a byte of the current request may have been sent.
	written atomic.Bool
	// writes counts the writes that succeeded. writing is set during a write, and stays set
	// after one that failed.
	writes  atomic.Uint64
	writing atomic.Bool
	// closeOnce guards closing the connection, and onClose is called after it.
	closeOnce sync.Once
	onClose   func()
}

func newConn(raw net.Conn, onClose func()) *conn {
	c := &conn{raw: raw, onClose: onClose}
	c.reader = bufio.NewReaderSize(connReader{c}, readBufferSize)
	return c
}

// connReader reads from a connection and limits the head of a response.
type connReader struct{ conn *conn }

// Read reads from the connection.
func (r connReader) Read(p []byte) (n int, err error) {
	c := r.conn
	if !c.readingHead {
		return c.raw.Read(p)
	}
	switch {
	case c.headBytesLeft <= 0:
		return 0, errHeadTooLong
	case c.headLinesLeft <= 0:
		return 0, errTooManyHeadLines
	}
	n, err = c.raw.Read(p[:min(len(p), c.headBytesLeft)])
	c.headBytesLeft -= n
	c.headLinesLeft -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// close closes the connection. The error is ignored because no request is in flight.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close()
		c.onClose()
	})
}

// isReusable reports whether the connection is open and has no bytes to read: bytes
// that arrive on an idle connection belong to no request.
func (c *conn) isReusable() bool {
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
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, err := syscall.Read(int(fd), one[:])
		nothingToRead = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && nothingToRead
}

// encodeHead returns the request line and the header.
func encodeHead(r *Request) (*bytes.Buffer, error) {
	b := &bytes.Buffer{}
	b.Grow(1024 + min(len(r.Body), maxShortBody))
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

// Write writes to the connection and records that something was sent.
func (c *conn) Write(p []byte) (n int, err error) {
	for {
		c.writing.Store(true)
		m, err := c.raw.Write(p[n:min(n+writeChunkBytes, len(p))])
		n += m
		if m > 0 {
			c.written.Store(true)
		}
		if err != nil {
			return n, err
		}
		c.writes.Add(1)
		c.writing.Store(false)
		if n == len(p) {
			return n, nil
		}
	}
}

// writeShort sends a request with a short body in a single write.
func (c *conn) writeShort(r *Request) error {
	b, err := encodeHead(r)
	if err != nil {
		return err
	}
	b.Write(r.Body)
	_, err = c.Write(b.Bytes())
	return err
}

// writeLong sends a request whose body may exceed the socket buffers.
func (c *conn) writeLong(r *Request) error {
	b, err := encodeHead(r)
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

// read reads a response. keep reports whether the connection can carry another request
// after the whole body has been read.
func (c *conn) read(method string, mayBuffer func(int64) bool) (resp *Response, keep bool, err error) {
	request := &http.Request{Method: method}
	c.readingHead, c.headBytesLeft, c.headLinesLeft = true, maxHeadBytes, maxHeadLines
	defer func() { c.readingHead = false }()
	for {
		httpResp, err := http.ReadResponse(c.reader, request) //nolint:bodyclose // The body is read to its end, or becomes Rest.
		if err != nil {
			return nil, false, invalidResponse(err)
		}
		switch status := httpResp.StatusCode; {
		case httpResp.ProtoMajor != 1:
			return nil, false, invalidResponse(errors.Errorf("the response has the protocol %s", httpResp.Proto))
		case wagoutcome.IsFinalStatus(status):
			c.readingHead = false
			return readBody(httpResp, mayBuffer)
		case status == http.StatusSwitchingProtocols:
			return nil, false, invalidResponse(errors.New("the server switched protocols"))
		case !wagoutcome.IsInformationalStatus(status):
			// What follows belongs to it, and is no response.
			return nil, false, invalidResponse(errors.Errorf("the response has the invalid status %q", httpResp.Status))
		}
	}
}

// readBody reads a body up to maxBufferedBody, or as far as mayBuffer permits.
func readBody(httpResp *http.Response, mayBuffer func(int64) bool) (resp *Response, keep bool, err error) {
	resp = &Response{
		Status: httpResp.StatusCode, Header: httpResp.Header, ContentLength: httpResp.ContentLength,
		endsWithConnection: httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 && httpResp.Body != http.NoBody,
	}
	// A body that is shorter than the Content-Length is an error of the reader.
	body, complete, err := ReadUpTo(httpResp.Body, httpResp.ContentLength, maxBufferedBody, mayBuffer)
	if err != nil {
		return nil, false, invalidResponse(err)
	}
	resp.Body = body
	if !complete {
		resp.BodyRest = httpResp.Body
	}
	return resp, !httpResp.Close, nil
}

// invalidResponse returns ErrInvalidResponse with its cause.
func invalidResponse(cause error) error { return errors.WithMessage(ErrInvalidResponse, cause.Error()) }

// idleTimeoutFor returns how long a connection may stay idle, by the Keep-Alive header
// of a response.
func idleTimeoutFor(h http.Header) time.Duration {
	for _, word := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(word), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			return min(wagclock.FromNanoseconds(float64(seconds)*idleTimeoutFraction*float64(time.Second)), maxIdleTimeout)
		}
	}
	return maxIdleTimeout
}
