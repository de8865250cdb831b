package wagexplore

import (
	"strings"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// executionLog records what the servers ran, independent of the cores, and checks the
// outcomes and responses that callers get against it.
type executionLog struct {
	world *world
	// firstExecutions holds the first execution of each request with a key.
	firstExecutions map[*request]execution
	// headWriter is the name of the host that last wrote the head of each partition.
	headWriter [partitionCount]string
}

// execution is one run of a request at a server.
type execution struct {
	attempt     *attempt
	fingerprint wagclaim.Digest
	startedAt   time.Duration
	body        string
}

func newExecutionLog(w *world) *executionLog {
	return &executionLog{world: w, firstExecutions: make(map[*request]execution)}
}

// observeHead records the owner of a partition when a write of its head takes effect.
func (l *executionLog) observeHead(key string, value []byte) {
	for p := range partitionCount {
		if key != headKey(p) {
			continue
		}
		if o, err := wagclaim.Decode(value); err == nil {
			l.headWriter[p] = o.Writer
		}
	}
}

// recordExecution records that a server starts to run an attempt. A request with a key
// must run at most once, and not for an attempt that was reported as not run. With a key
// of the caller it must be sent by the current owner of the key's partition.
func (l *executionLog) recordExecution(a *attempt, sender string, body string) {
	l.world.counts.ServerRuns++
	l.world.record(wagevent.KindServer, 0, uint64(a.id))
	l.world.traceEvent(wagevent.KindServer, 0, "runs attempt %d of call %d, sent by %s", a.id, a.request.id, sender)
	if a.request.keyKind == noKey {
		return
	}
	if first, ok := l.firstExecutions[a.request]; ok {
		l.world.reportViolation("call %d ran twice: attempt %d at %s, attempt %d", a.request.id, first.attempt.id, first.startedAt, a.id)
		return
	}
	if a.ended && a.outcome == wagoutcome.NotRun {
		l.world.reportViolation("call %d: attempt %d was told not-run and runs", a.request.id, a.id)
	}
	if p := a.request.partition; a.request.keyKind == callerKey && l.headWriter[p] != sender {
		l.world.reportViolation("call %d: a dispatch of former owner %s runs after %s has taken partition %d over", a.request.id, sender, l.headWriter[p], p)
	}
	l.firstExecutions[a.request] = execution{attempt: a, fingerprint: a.fingerprint, startedAt: l.world.now, body: body}
}

// checkDecision checks an outcome when a core decides it: a request that ran must not be
// reported as not run.
func (l *executionLog) checkDecision(a *attempt, o wagoutcome.Outcome) {
	if first, ok := l.firstExecutions[a.request]; ok && o == wagoutcome.NotRun && first.fingerprint == a.fingerprint {
		l.world.reportViolation("call %d: attempt %d is told not-run, but attempt %d ran at %s", a.request.id, a.id, first.attempt.id, first.startedAt)
	}
}

// checkResponse checks the outcome and the body that a caller gets for an attempt.
func (l *executionLog) checkResponse(a *attempt, body string) {
	if a.request.keyKind == noKey || a.outcome == wagoutcome.Unknown {
		return
	}
	first, ok := l.firstExecutions[a.request]
	switch {
	case a.outcome == wagoutcome.NotRun && ok && first.attempt == a:
		l.world.reportViolation("call %d: attempt %d ran and is told not-run", a.request.id, a.id)
	case a.outcome != wagoutcome.Done:
	case !ok:
		l.world.reportViolation("call %d: attempt %d is told done, but nothing ran", a.request.id, a.id)
	case first.fingerprint != a.fingerprint:
		l.world.reportViolation("call %d: attempt %d gets the answer of another request", a.request.id, a.id)
	case body != first.body && strings.HasPrefix(first.body, body):
		l.world.reportViolation("call %d: attempt %d gets a part of its answer as the whole", a.request.id, a.id)
	case body != first.body:
		l.world.reportViolation("call %d: attempt %d gets answer %q instead of %q", a.request.id, a.id, body, first.body)
	}
}
