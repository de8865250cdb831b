//go:build review2

package standins2

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is an object store that speaks the protocol of the platform: lists and watches.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	// objects maps kinds and names to objects.
	objects map[string]map[string]storedObject
	// changes is the whole history.
	changes []storedChange
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type storedObject struct {
	Meta struct {
		Name       string   `json:"name"`
		Rev        uint64   `json:"rev"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storedChange struct {
	kind    string
	deleted bool
	object  storedObject
}

// newStore starts an empty store.
func newStore(l net.Listener) *store {
	s := &store{address: l.Addr().String(), revision: 1, objects: make(map[string]map[string]storedObject), changed: make(chan struct{})}
	background.Go(func() { _ = http.Serve(l, s) })
	return s
}

// put stores an object; the response of the store is the acknowledgement.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := storedObject{Spec: text, Status: json.RawMessage("null")}
	o.Meta.Name, o.Meta.Rev, o.Meta.Created, o.Meta.Finalizers = name, s.revision, s.revision, []string{}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	s.objects[kind][name] = o
	s.append(storedChange{kind: kind, object: o})
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Meta.Rev = s.revision
	s.append(storedChange{kind: kind, deleted: true, object: o})
}

// append adds a change to the history; s.mu is held.
func (s *store) append(c storedChange) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method != http.MethodGet || kind == "":
		w.WriteHeader(http.StatusNotImplemented)
	case hasName:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, o)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, r, kind)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const pageSize = 500
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []storedObject{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "atRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitTimeoutMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.object.Meta.Rev > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only when the caller is gone
}
