package waggateway

import (
	"sync"
	"time"
)

// inFlight holds the requests that are being placed or sent, so that a graceful shutdown can
// end their waits. It is safe for concurrent use.
type inFlight struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func (f *inFlight) add(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[*request]struct{})
	}
	f.requests[q] = struct{}{}
}

func (f *inFlight) remove(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, q)
}

// endWaits ends the waits for a server of requests that must not be sent any more. From
// answerBy on it ends all requests, so that each gets a response before its connection is
// closed: a response of a server that is kept while another one is tried, or one of this
// host, and so do the requests behind it on its connection.
func (f *inFlight) endWaits(now, answerBy time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for q := range f.requests {
		if q.mustRefuse(now) {
			q.endPlacing()
		}
		if !now.Before(answerBy) {
			q.cutOff.Store(true)
			q.endAttempts()
		}
	}
}
