package wagentry

import (
	"crypto/sha256"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// maxReplayBytes bounds the body that is buffered for a retry.
const maxReplayBytes = 64 << 10

// maxKeyedBodyBytes bounds the body of a request with a key. The owner of the key
// buffers the whole body in order to compare it with those of repeated requests.
const maxKeyedBodyBytes = 256 << 10

var (
	errBodyTooLarge   = errors.New("request body exceeds the limit")
	errBodySuperseded = errors.New("request body was passed to a later attempt or can't be read again")
)

// replayableBody is the body of a request. A later attempt can read it again if none
// of it was read before, or if all of it was read and is still buffered.
type replayableBody struct {
	mu     sync.Mutex
	source io.Reader
	// remaining is the number of bytes that may still be read from source.
	remaining int64
	// buffered holds the bytes read so far unless discarded is set.
	buffered []byte
	// started is set by the first read from source, ended at its end.
	started, ended bool
	discarded      bool
	// keyed raises the bound of buffered to maxKeyedBodyBytes.
	keyed    bool
	tooLarge bool
	// currentReader is the id of the only reader that may still read.
	currentReader int
	// trailer is filled by net/http at the end of the body.
	trailer http.Header
}

// bodyReader reads the body for one attempt. It also hides the type of the body from
// http.Transport, which would resend requests whose type of body it knows.
type bodyReader struct {
	body   *replayableBody
	id     int
	offset int
	// trailer is that of the attempt. It is filled at the end of the body.
	trailer http.Header
}

// newReader returns a reader for the next attempt, or false if the body can't be read
// again.
func (b *replayableBody) newReader() (*bodyReader, bool) {
	if !b.mu.TryLock() {
		return nil, false
	}
	defer b.mu.Unlock()
	if b.started && (!b.ended || b.discarded) {
		return nil, false
	}
	b.currentReader++
	r := &bodyReader{body: b, id: b.currentReader}
	if len(b.trailer) > 0 {
		r.trailer = make(http.Header, len(b.trailer))
		copyTrailer(r.trailer, b.trailer, "")
	}
	return r, true
}

// canReopen reports whether newReader would succeed. It returns true for a request
// without a body.
func (b *replayableBody) canReopen() bool {
	if b == nil {
		return true
	}
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return !b.started || b.ended && !b.discarded
}

// sha256Sum reads and buffers the whole body and returns its SHA-256 sum, or the
// reason why it can't.
func (b *replayableBody) sha256Sum() (sum [sha256.Size]byte, reason wagoutcome.Reason) {
	if b == nil {
		return sha256.Sum256(nil), ""
	}
	b.mu.Lock()
	b.keyed = true
	b.mu.Unlock()
	r, ok := b.newReader()
	if !ok {
		return sum, wagoutcome.ReasonBadRequest
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	h := sha256.New()
	for {
		n, err := r.Read(buffer[:])
		h.Write(buffer[:n])
		switch {
		case b.exceedsLimit() || !b.isBuffered():
			return sum, wagoutcome.ReasonTooLarge
		case errors.Is(err, io.EOF):
			return [sha256.Size]byte(h.Sum(nil)), ""
		case err != nil:
			return sum, wagoutcome.ReasonBadRequest
		}
	}
}

// isBuffered reports whether all bytes that were read are buffered.
func (b *replayableBody) isBuffered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.discarded
}

// isComplete reports whether all of the body was read. It returns true for a request
// without a body.
func (b *replayableBody) isComplete() bool {
	if b == nil {
		return true
	}
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.ended
}

// revokeReaders waits for a read in progress and makes later ones fail.
func (b *replayableBody) revokeReaders() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentReader++
}

// exceedsLimit reports whether the body has exceeded its limit.
func (b *replayableBody) exceedsLimit() bool {
	if b == nil || !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.tooLarge
}

func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.currentReader != r.id {
		return 0, errBodySuperseded
	}
	if r.offset < len(b.buffered) {
		n := copy(p, b.buffered[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.ended {
		r.fillTrailers()
		return 0, io.EOF
	}
	n, err := b.readSource(p)
	r.offset += n
	if b.ended {
		r.fillTrailers()
	}
	return n, err
}

// fillTrailers sets the values of the announced trailers.
func (r *bodyReader) fillTrailers() {
	for name := range r.trailer {
		r.trailer[name] = r.body.trailer[name]
	}
}

// readSource reads from source and buffers the bytes as long as they are within the
// bound. b.mu must be held.
func (b *replayableBody) readSource(p []byte) (int, error) {
	b.started = true
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.source.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.tooLarge = true
		return 0, errBodyTooLarge
	}
	limit := maxReplayBytes
	if b.keyed {
		limit = maxKeyedBodyBytes
	}
	if b.discarded || len(b.buffered)+n > limit {
		b.discarded = b.discarded || n > 0
		b.buffered = nil
	} else {
		b.buffered = append(b.buffered, p[:n]...)
	}
	b.ended = err == io.EOF
	return n, err
}

// Close does nothing: net/http closes the body of the incoming request.
func (r *bodyReader) Close() error { return nil }
