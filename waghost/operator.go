package waghost

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
)

// Limits of the operator port, on which readiness is asked for and metrics are read. The
// port has to answer while callers are hostile, and its clients are not trusted either.
const (
	// maxOperatorConnections bounds the connections. Further ones wait to be accepted.
	maxOperatorConnections = 64
	// maxOperatorHeadBytes bounds the head of a request, to which net/http adds 4 KB, and
	// maxOperatorLines its lines, which cost about 200 bytes of memory each.
	maxOperatorHeadBytes = 16 << 10
	maxOperatorLines     = 256
	// operatorReadTimeout bounds the time in which a request has to arrive with its body,
	// and operatorWriteTimeout the time in which the response has to be read.
	operatorReadTimeout  = 5 * time.Second
	operatorWriteTimeout = 10 * time.Second
	// operatorIdleTimeout bounds the time between two requests of a connection, so that
	// idle connections do not keep others from being accepted for long.
	operatorIdleTimeout = 15 * time.Second
)

var errTooManyOperatorLines = errors.Errorf("a request has more than %d lines", maxOperatorLines)

// operatorHandler returns the handler of the readiness port, which also serves the metrics.
func (s *SiteHost) operatorHandler() http.Handler {
	e := echo.New()
	e.GET("/readyz", func(c echo.Context) error {
		if !s.gateway.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET("/metrics", echo.WrapHandler(s.metrics.Handler()))
	return e
}

// serveOperators serves HTTP on the listener of the operator port until ctx ends.
func serveOperators(ctx context.Context, h http.Handler, l net.Listener) error {
	server := &http.Server{
		Handler: h, MaxHeaderBytes: maxOperatorHeadBytes, ReadHeaderTimeout: operatorReadTimeout, ReadTimeout: operatorReadTimeout,
		WriteTimeout: operatorWriteTimeout, IdleTimeout: operatorIdleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(operatorListener{netutil.LimitListener(l, maxOperatorConnections)}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// operatorListener accepts connections that bound the lines of a request.
type operatorListener struct{ net.Listener }

// Accept accepts a connection.
func (l operatorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &operatorConn{Conn: c}, nil
}

// operatorConn is a connection that fails when a client sends more than maxOperatorLines
// lines without a response between them. net/http bounds only the bytes of a head.
type operatorConn struct {
	net.Conn
	lines atomic.Int64
}

// Read reads from the connection.
func (c *operatorConn) Read(p []byte) (n int, err error) {
	if c.lines.Load() > maxOperatorLines {
		return 0, errTooManyOperatorLines
	}
	n, err = c.Conn.Read(p)
	c.lines.Add(int64(bytes.Count(p[:n], []byte{'\n'})))
	return n, err
}

// Write writes to the connection. A response ends the count of lines of its request.
func (c *operatorConn) Write(p []byte) (n int, err error) {
	c.lines.Store(0)
	return c.Conn.Write(p)
}
