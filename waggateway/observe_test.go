package waggateway

import (
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// reasonRecorder records the reasons of requests and attempts.
type reasonRecorder struct {
	mu    sync.Mutex
	words map[string]bool
}

var _ Observer = (*reasonRecorder)(nil)

func (r *reasonRecorder) RequestEnded(e RequestResult) { r.add(e.Reason) }

func (r *reasonRecorder) AttemptEnded(e AttemptResult) { r.add(e.Reason) }

func (r *reasonRecorder) CallerRefused(cause RefusalCause) { r.add(string(cause)) }

func (r *reasonRecorder) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.words[reason] = true
}

// Guards against a metric label that takes a new value with each failure, such as an
// error with the address of a connection, and exhausts the memory.
func TestReasonsAreBounded(t *testing.T) {
	is := is.New(t)
	seen := &reasonRecorder{words: make(map[string]bool)}
	for range 3 {
		for _, response := range []string{responseUnsigned, responseError, responseFull, responseMisdirected, responseTruncated, responseNone} {
			f := newFixture(t, newTestServer(t, "a", response))
			f.gateway.observer = seen
			f.send(t, http.MethodPost, "/commit/1", http.NoBody)
		}
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for word := range seen.words {
		is.True(len(word) < 20)
	}
	is.True(len(seen.words) <= 8)
}
