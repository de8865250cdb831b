//go:build review

package standins

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the part of an object that the store itself writes.
type meta struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Meta meta
	Spec json.RawMessage
}

// text returns the object as the store answers it. The spec is passed on as it was written.
func (o object) text() string {
	text, err := json.Marshal(o.Meta)
	if err != nil {
		panic(err)
	}
	return `{"meta":` + string(text) + `,"spec":` + string(o.Spec) + `,"status":null}`
}

// change is one change of an object.
type change struct {
	kind    string
	object  object
	deleted bool
	at      time.Time
}

// retention is retentionS: how long the store keeps its history.
const retention = 20 * time.Second

// copyOfStore is the state to which the store comes back in a drill.
type copyOfStore struct {
	revision, historyFrom uint64
	objects               map[string]map[string]object
	changes               []change
}

// store is a stand-in of the platform's store, as PROTOCOL.md and pages-added.md describe it.
type store struct {
	mu       sync.Mutex
	era      int
	revision uint64
	objects  map[string]map[string]object
	// changes is the history after the revision historyFrom.
	changes     []change
	historyFrom uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
	away    bool
	server  *http.Server
	address string
}

func newStore() (*store, error) {
	s := &store{era: 1, revision: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	background.Go(func() error { return s.server.Serve(l) })
	return s, nil
}

// write replaces the spec of an object. A write that changes nothing does not increase the
// revision. It returns the revision of the store.
func (s *store) write(kind, name string, spec any) uint64 {
	revision, _ := s.writeSized(kind, name, spec)
	return revision
}

// writeSized is write, and returns the size of the object as well.
func (s *store) writeSized(kind, name string, spec any) (revision uint64, bytes int) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.writeRaw(kind, name, text)
}

// writeRaw is writeSized with a spec that may not be readable. The store passes it on as it is.
func (s *store) writeRaw(kind, name string, text json.RawMessage) (revision uint64, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	old, known := s.objects[kind][name]
	if known && string(old.Spec) == string(text) {
		return s.revision, len(text)
	}
	s.revision++
	o := object{Meta: meta{Name: name, Rev: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: text}
	if known {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][name] = o
	s.add(change{kind: kind, object: o})
	return s.revision, len(o.text())
}

// remove removes an object.
func (s *store) remove(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return s.revision
	}
	s.revision++
	o.Meta.Rev = s.revision
	delete(s.objects[kind], name)
	s.add(change{kind: kind, object: o, deleted: true})
	return s.revision
}

// add adds a change to the history and drops what is older than retention; s.mu is held.
func (s *store) add(c change) {
	c.at = time.Now()
	s.changes = append(s.changes, c)
	s.dropHistory()
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory drops the changes that are older than retention; s.mu is held.
func (s *store) dropHistory() {
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > retention {
		s.historyFrom = s.changes[0].object.Meta.Rev
		s.changes = s.changes[1:]
	}
}

// copy returns a copy of the present state.
func (s *store) copy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOfStore{revision: s.revision, historyFrom: s.historyFrom, objects: make(map[string]map[string]object), changes: slices.Clone(s.changes)}
	for kind, list := range s.objects {
		c.objects[kind] = make(map[string]object)
		for name, o := range list {
			c.objects[kind][name] = o
		}
	}
	return c
}

// leave makes the store reset all connections, until comeBack.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack ends an absence with the state of an earlier copy. The era rises by one.
func (s *store) comeBack(c copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.era = false, s.era+1
	s.revision, s.historyFrom, s.objects, s.changes = c.revision, c.historyFrom, c.objects, c.changes
}

// ServeHTTP serves lists, single objects and watches. The system writes nothing.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	switch {
	case r.Method != http.MethodGet:
		s.mu.Unlock()
		w.WriteHeader(http.StatusMethodNotAllowed)
	case len(path) > 1:
		o, known := s.objects[path[0]][path[1]]
		s.mu.Unlock()
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, o.text())
	case query.Has("watch"):
		s.mu.Unlock()
		s.watch(w, r, path[0])
	default:
		items, at := s.list(path[0], query.Get("after")), s.revision
		s.mu.Unlock()
		texts := make([]string, len(items))
		for i, o := range items {
			texts[i] = o.text()
		}
		_, _ = fmt.Fprintf(w, `{"items":[%s],"hasMore":false,"atRev":%d}`, strings.Join(texts, ","), at)
	}
}

// list returns the objects of a kind by name; s.mu is held.
func (s *store) list(kind, after string) []object {
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return items
}

// watch answers a watch as soon as there is an event, with 410 for a revision that the store
// does not have.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, err2 := strconv.Atoi(r.URL.Query().Get("waitTimeoutMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expired := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	for {
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		s.dropHistory()
		if after > s.revision || after < s.historyFrom {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events []string
		for _, c := range s.changes {
			if c.kind == kind && c.object.Meta.Rev > after {
				events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%v}`, c.object.text(), c.deleted))
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ms == 0 {
			_, _ = fmt.Fprintf(w, `{"events":[%s],"atRev":%d}`, strings.Join(events, ","), at)
			return
		}
		select {
		case <-changed:
		case <-expired:
			ms = 0
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}
