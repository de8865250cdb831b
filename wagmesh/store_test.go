package wagmesh

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// store is a store with one configuration object. Its requests fail for some hosts.
type store struct {
	mu       sync.Mutex
	era      wagmirror.Era
	revision wagmirror.Revision
	// body is the text of the object; empty stands for its revision.
	body string
	// changed is closed and replaced when the object or refused changes.
	changed chan struct{}
	// refused holds the hosts whose requests fail with wagstore.ErrUnavailable.
	refused map[string]bool
	// silent holds the hosts whose requests get no response.
	silent  map[string]bool
	lists   int
	watches int
}

func newStore() *store {
	return &store{revision: 1, changed: make(chan struct{}), refused: make(map[string]bool), silent: make(map[string]bool)}
}

// put changes the object and returns its revision.
func (s *store) put() wagmirror.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// setRefused makes the requests of a host fail, or succeed again.
func (s *store) setRefused(host string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = refused
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent makes the requests of a host time out, or succeed again.
func (s *store) setSilent(host string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[host] = silent
}

// requests returns how many lists and watches there were. Pings do not count.
func (s *store) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists + s.watches
}

func (s *store) listCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// hostStore is the store as one host uses it.
type hostStore struct {
	*store
	host string
}

var _ wagmirror.Store = hostStore{}

// snapshot returns the object of a kind, the revision and whether the host is refused; s.mu is
// held.
func (s hostStore) snapshot(kind string) (wagmirror.Record, wagmirror.Revision, bool) {
	r := wagmirror.Record{Kind: kind, Name: "main", Revision: s.revision, Body: []byte(s.body)}
	if s.body == "" {
		r.Body = []byte(fmt.Sprint(s.revision))
	}
	return r, s.revision, s.refused[s.host]
}

// responseTimeout is how long a client waits for a response after it is due.
const responseTimeout = 600 * time.Millisecond

// waitIfSilent reports whether the host's requests get no response. If so, it waits for
// the timeout of a response that is due at a time.
func (s hostStore) waitIfSilent(ctx context.Context, due time.Time) bool {
	s.mu.Lock()
	silent := s.silent[s.host]
	s.mu.Unlock()
	if silent {
		select {
		case <-time.After(time.Until(due.Add(responseTimeout))):
		case <-ctx.Done():
		}
	}
	return silent
}

// Ping fails when the host is silent or refused.
func (s hostStore) Ping(ctx context.Context) error {
	if s.waitIfSilent(ctx, time.Now()) {
		return wagstore.ErrTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused[s.host] {
		return wagstore.ErrUnavailable
	}
	return nil
}

func (s hostStore) List(ctx context.Context, kind string) (wagmirror.Update, error) {
	if s.waitIfSilent(ctx, time.Now()) {
		return wagmirror.Update{}, wagstore.ErrTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	r, at, refused := s.snapshot(kind)
	if refused {
		return wagmirror.Update{}, wagstore.ErrUnavailable
	}
	return wagmirror.Update{Kind: kind, Era: s.era, Full: true, At: at, Records: []wagmirror.Record{r}}, nil
}

func (s hostStore) Watch(ctx context.Context, kind string, after wagmirror.Revision, until time.Time) (wagmirror.Update, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for {
		if s.waitIfSilent(ctx, until) {
			return wagmirror.Update{}, wagstore.ErrTimeout
		}
		s.mu.Lock()
		r, at, refused := s.snapshot(kind)
		changed := s.changed
		s.mu.Unlock()
		s.mu.Lock()
		u := wagmirror.Update{Kind: kind, Era: s.era, Since: after, At: at}
		s.mu.Unlock()
		switch {
		case refused:
			return u, wagstore.ErrUnavailable
		case after > at:
			return u, wagstore.ErrGap
		case at > after:
			u.Records = []wagmirror.Record{r}
			return u, nil
		case !time.Now().Before(until):
			return u, nil
		}
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return u, ctx.Err()
		}
	}
}
