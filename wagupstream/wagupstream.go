// Package wagupstream sends requests to backend servers over kept connections.
// It guarantees that an answer belongs to the request it was read for.
package wagupstream

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Errors of an exchange. Test with errors.Is.
var (
	// ErrNotSent tells that no byte of the request was written, so that the server
	// cannot have run it.
	ErrNotSent = errors.New("the request was not sent")
	// ErrForeign tells that the answers on the connection belong to other
	// requests.
	ErrForeign = errors.New("the answer belongs to another request")
	// ErrTruncated tells that an answer ended before it was complete.
	ErrTruncated = errors.New("the answer is not complete")
)

// Request is a request as it is written to a server. Body is complete, so that
// it can be sent more than once.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// ID is echoed by the server under the header that the pool was given.
	ID string
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Arrived is when the header was complete.
	Arrived time.Time
}

// Dialer opens connections to servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Server names one start of a server at an address.
type Server struct {
	Address netip.AddrPort
	// ID tells the servers apart that have the same address one after the other.
	ID string
}
