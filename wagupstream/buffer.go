package wagupstream

import (
	"io"

	"github.com/pkg/errors"
)

// firstBufferBytes is the size of the first buffer of a body. Ordinary bodies fit into it.
const firstBufferBytes = 16 << 10

// ReadUpTo reads a body into memory, up to a limit. The buffer grows by doubling and never
// beyond the limit; mayGrow is asked before each growth, nil permits all. length is the
// length of the body, or -1. complete reports whether the body ended; otherwise the rest is
// still to be read.
func ReadUpTo(body io.Reader, length, limit int64, mayGrow func(bytes int64) bool) (p []byte, complete bool, err error) {
	if length >= 0 && length < limit {
		// One byte more, so that the end of the body is seen.
		limit = length + 1
	}
	p = make([]byte, 0, min(firstBufferBytes, limit))
	for {
		// Not io.ReadFull, which does not tell the end of a body from one that is cut off.
		for len(p) < cap(p) {
			n, err := body.Read(p[len(p):cap(p)])
			p = p[:len(p)+n]
			if errors.Is(err, io.EOF) {
				return p, true, nil
			}
			if err != nil {
				return p, false, err
			}
		}
		size := min(2*int64(cap(p)), limit)
		if size == int64(cap(p)) || mayGrow != nil && !mayGrow(size-int64(cap(p))) {
			return p, false, nil
		}
		grown := make([]byte, len(p), size)
		copy(grown, p)
		p = grown
	}
}
