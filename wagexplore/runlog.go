package wagexplore

import (
	"strings"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// runLog keeps what ran, independent of the cores, and checks it against what
// callers are told.
type runLog struct {
	w *world
	// runs holds the first run of each keyed call.
	runs map[*call]run
	// writer is who last rewrote the head of a partition.
	writer [partitionCount]string
}

type run struct {
	attempt *attempt
	request wagclaim.Digest
	at      time.Duration
	body    string
}

func newRunLog(w *world) *runLog {
	return &runLog{w: w, runs: make(map[*call]run)}
}

// wrote follows the owners by the heads that took effect.
func (l *runLog) wrote(key string, value []byte) {
	for p := range partitionCount {
		if key != headKey(p) {
			continue
		}
		if o, err := wagclaim.Decode(value); err == nil {
			l.writer[p] = o.Writer
		}
	}
}

// ran logs the start of work at a server.
func (l *runLog) ran(a *attempt, writer string, body string) {
	l.w.counts.ServerRuns++
	l.w.record(wagevent.KindServer, 0, uint64(a.id))
	l.w.note(wagevent.KindServer, 0, "runs attempt %d of call %d, sent by %s", a.id, a.call.id, writer)
	if a.call.kind == plain {
		return
	}
	if first, ok := l.runs[a.call]; ok {
		l.w.violate("call %d ran twice: attempt %d at %s, attempt %d", a.call.id, first.attempt.id, first.at, a.id)
		return
	}
	if a.told && a.outcome == wagoutcome.NotRun {
		l.w.violate("call %d: attempt %d was told not-run and runs", a.call.id, a.id)
	}
	if p := a.call.partition; a.call.kind == keyed && l.writer[p] != writer {
		l.w.violate("call %d: a dispatch of former owner %s runs after %s has taken partition %d over", a.call.id, writer, l.writer[p], p)
	}
	l.runs[a.call] = run{attempt: a, request: a.request, at: l.w.now, body: body}
}

// decided checks an outcome when a core decides it.
func (l *runLog) decided(a *attempt, o wagoutcome.Outcome) {
	if r, ok := l.runs[a.call]; ok && o == wagoutcome.NotRun && r.request == a.request {
		l.w.violate("call %d: attempt %d is told not-run, but attempt %d ran at %s", a.call.id, a.id, r.attempt.id, r.at)
	}
}

// answered checks what a caller gets.
func (l *runLog) answered(a *attempt, body string) {
	if a.call.kind == plain || a.outcome == wagoutcome.Unknown {
		return
	}
	r, ok := l.runs[a.call]
	switch {
	case a.outcome == wagoutcome.NotRun && ok && r.attempt == a:
		l.w.violate("call %d: attempt %d ran and is told not-run", a.call.id, a.id)
	case a.outcome != wagoutcome.Done:
	case !ok:
		l.w.violate("call %d: attempt %d is told done, but nothing ran", a.call.id, a.id)
	case r.request != a.request:
		l.w.violate("call %d: attempt %d gets the answer of another request", a.call.id, a.id)
	case body != r.body && strings.HasPrefix(r.body, body):
		l.w.violate("call %d: attempt %d gets a part of its answer as the whole", a.call.id, a.id)
	case body != r.body:
		l.w.violate("call %d: attempt %d gets answer %q instead of %q", a.call.id, a.id, body, r.body)
	}
}
