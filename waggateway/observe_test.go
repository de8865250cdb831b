package waggateway

import (
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// reasons keeps the reasons of what ended.
type reasons struct {
	mu    sync.Mutex
	words map[string]bool
}

var _ Observer = (*reasons)(nil)

func (r *reasons) RequestEnded(e RequestResult) { r.add(e.Reason) }

func (r *reasons) AttemptEnded(e AttemptResult) { r.add(e.Reason) }

func (r *reasons) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.words[reason] = true
}

// Guards against a label of metrics that takes a new value with each failure, such as
// an error with the address of a connection, and fills the memory.
func TestReasonsAreFewWords(t *testing.T) {
	is := is.New(t)
	seen := &reasons{words: make(map[string]bool)}
	for range 3 {
		for _, answer := range []string{answerUnsigned, answerError, answerFull, answerOther, answerShort, answerNothing} {
			f := newFixture(t, newBackend(t, "a", answer))
			f.gateway.observer = seen
			f.call(t, http.MethodPost, "/commit/1", http.NoBody)
		}
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for word := range seen.words {
		is.True(len(word) < 20)
	}
	is.True(len(seen.words) <= 8)
}
