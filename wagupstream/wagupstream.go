// Package wagupstream sends requests to backend servers over kept connections.
// It guarantees that an answer belongs to the request it was read for, and tells
// whether a request that failed can have reached its server.
package wagupstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// Errors of an exchange. Test with errors.Is.
var (
	// ErrNotSent tells that no byte of the request was written, so that the server
	// cannot have run it.
	ErrNotSent = errors.New("the request was not sent")
	// ErrResponseMismatch tells that the answers on the connection belong to other
	// requests.
	ErrResponseMismatch = errors.New("the answer belongs to another request")
	// ErrInvalidResponse tells that the connection ended before the answer was complete, or
	// that its bytes are no answer.
	ErrInvalidResponse = errors.New("the answer is not complete")
)

// Server names one start of a server at an address.
type Server struct {
	Address netip.AddrPort
	// ID tells the servers apart that have the same address one after the other.
	ID string
}

// Request is a request as it is written to a server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the whole body, or its beginning when Rest is set.
	Body []byte
	// BodyRest is what follows Body, and Length the length of both; -1 when it is not
	// known. A request with a BodyRest can be sent only once.
	BodyRest      io.Reader
	ContentLength int64
	// ID is echoed by the server under the header that the pool was given.
	ID string
	// AtMostOnce tells that the request must not be sent again, so that it is worth a new
	// connection when a kept one may have been dropped.
	AtMostOnce bool
}

// Response is an answer.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning when Rest is set.
	Body []byte
	// BodyRest is what follows Body; it has to be closed. Its errors tell that the
	// answer is not complete. Length is the length of both, or -1.
	BodyRest      io.ReadCloser
	ContentLength int64
}

// Dialer opens connections to servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}
