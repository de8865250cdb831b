package wagmember

import (
	"sort"
	"time"
)

const (
	// MaxMembers bounds the table. It is more than twice the 1,500 hosts that the
	// design is made for, so that it has room if all restart under new names.
	MaxMembers = 4096
	// maxHistoryNames bounds the names whose latest incarnation is remembered. It
	// is enough for ten days with 1,500 restarts a day, each under a new name.
	maxHistoryNames = 16384
	// randomBits is the size of the random part of an incarnation.
	randomBits = 16
)

// NewIncarnation returns an incarnation of the start time in milliseconds and a
// random part. A later start of the same name gets a higher one.
func NewIncarnation(start time.Time, random uint16) uint64 {
	return uint64(start.UnixMilli())<<randomBits | uint64(random)
}

// StartTime returns the start time that an incarnation contains.
func StartTime(incarnation uint64) time.Time {
	return time.UnixMilli(int64(incarnation >> randomBits))
}

// history remembers the latest incarnation of each name, even after the member was
// removed from the table. When it is full, it drops the lowest incarnations and
// raises floor to the highest one that was dropped. Unknown names are admitted only
// above floor, so that nothing that was dropped can come back. The price is that a
// live host with an incarnation below floor is refused by hosts that did not know
// it before, until it starts again.
type history struct {
	latest map[string]uint64
	floor  uint64
	limit  int
}

func newHistory() history {
	return history{latest: make(map[string]uint64), limit: maxHistoryNames}
}

// admits reports whether an incarnation is at least the latest one of its name or,
// for an unknown name, above floor.
func (h *history) admits(name string, incarnation uint64) bool {
	if latest, ok := h.latest[name]; ok {
		return incarnation >= latest
	}
	return incarnation > h.floor
}

// record remembers the incarnation of a name. Names in keep, the members of the
// table, are not dropped.
func (h *history) record(name string, incarnation uint64, keep map[string]*member) {
	h.latest[name] = incarnation
	if len(h.latest) <= h.limit {
		return
	}
	var dropped []string
	for n := range h.latest {
		if keep[n] == nil && n != name {
			dropped = append(dropped, n)
		}
	}
	sort.Slice(dropped, func(i, j int) bool { return h.latest[dropped[i]] < h.latest[dropped[j]] })
	// Dropping a quarter at once keeps sorting rare.
	for _, n := range dropped[:min(len(dropped), h.limit/4)] {
		h.floor = max(h.floor, h.latest[n])
		delete(h.latest, n)
	}
}
