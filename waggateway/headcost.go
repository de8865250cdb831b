package waggateway

import "net/http"

const (
	// headByteCost and headLineCost are the memory in bytes that a byte and a line of a
	// head take: copies, strings, the entry of the header map and the header that is sent
	// to the server.
	headByteCost = 4
	headLineCost = 512
)

// headCounter counts the bytes of a head that were handed to net/http.
type headCounter struct {
	bytes int
	// hasLine is set after the first line, and lineBytes counts the bytes of the current
	// line without carriage returns.
	hasLine   bool
	lineBytes int
}

// add counts received bytes and returns the memory that they take. Bytes after the
// empty line that ends the head are those of a body or of another request; net/http has
// them in its buffer.
func (h *headCounter) add(p []byte) (cost int64) {
	h.bytes += len(p)
	for i, b := range p {
		switch b {
		case '\r':
		case '\n':
			cost += headLineCost
			if h.lineBytes == 0 && h.hasLine {
				return cost + headByteCost*int64(i+1)
			}
			h.hasLine = h.hasLine || h.lineBytes > 0
			h.lineBytes = 0
		default:
			h.lineBytes++
		}
	}
	return cost + headByteCost*int64(len(p))
}

// requestCost returns the memory that a parsed request without a body takes.
func requestCost(r *http.Request) int64 {
	lines := 3 // the request line, the host and the empty line
	for _, values := range r.Header {
		lines += len(values)
	}
	return headByteCost*int64(headerSize(r)) + headLineCost*int64(lines)
}
