package waggateway

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagpanic"
	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// hedge sends a request to one server, or to two of them concurrently.
type hedge struct {
	request *request
	group   errgroup.Group
	// ended is buffered for all attempts.
	ended chan *attempt
}

// start runs f in the background. A panic of f ends nothing but f.
func (h *hedge) start(f func()) {
	h.group.Go(func() error {
		_ = wagpanic.Catch(h.request.gateway.log, func() error { // logs the error
			f()
			return nil
		})
		return nil
	})
}

// sendHedged sends the request to a server, and also to a second one when the first
// takes longer than usual and the request is idempotent. It returns the attempt that
// decides the response; the other one is canceled.
func (q *request) sendHedged(ctx context.Context, granted wagowner.Granted) *attempt {
	first := q.newAttempt(granted)
	if !q.mayHedge(granted) {
		q.send(ctx, first)
		q.finish(first)
		return first
	}
	h := &hedge{request: q, ended: make(chan *attempt, 2)}
	cancelFirst := h.startAttempt(ctx, first)
	fired, release := q.gateway.clock.TimerAt(first.start.Add(granted.HedgeAfter))
	defer release()
	select {
	case t := <-h.ended:
		q.finish(t)
		return t
	case <-fired:
	}
	q.avoidServers = append(q.avoidServers, granted.Server.ID)
	secondGrant, ended := h.placeSecond()
	if ended != nil {
		q.finish(ended)
		return ended
	}
	second := q.newAttempt(secondGrant)
	cancelSecond := h.startAttempt(ctx, second)
	t := <-h.ended
	if t.result.Fault != wagplacement.FaultNone {
		return h.betterAttempt(t, <-h.ended)
	}
	q.finish(t)
	if t == first {
		cancelSecond()
	} else {
		cancelFirst()
	}
	h.awaitOvertaken()
	return t
}

// placeSecond asks for a second server until the first attempt ends, which it returns then.
// An answer that is there must not wait for a server: the slot that its attempt still holds
// may be the one that the second attempts of many requests wait for.
func (h *hedge) placeSecond() (second wagowner.Granted, ended *attempt) {
	q := h.request
	ctx, cancel := context.WithCancel(q.placing)
	placed := make(chan wagowner.Outcome, 1)
	r := q.placementRequest(true)
	h.start(func() {
		var outcome wagowner.Outcome
		defer func() { placed <- outcome }()
		outcome = q.gateway.placer.Place(ctx, q.service, r)
	})
	select {
	case outcome := <-placed:
		cancel()
		granted, ok := outcome.(wagowner.Granted)
		if ok && q.updateAccess() && q.gateway.mayAttempt(granted) && !q.gateway.isDeparted(granted) && !q.mustRefuse(q.gateway.clock.Now()) {
			return granted, nil
		}
		if ok {
			granted.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
		}
		return wagowner.Granted{}, <-h.ended
	case ended = <-h.ended:
	}
	cancel()
	h.start(func() {
		if granted, ok := (<-placed).(wagowner.Granted); ok {
			granted.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
		}
	})
	return wagowner.Granted{}, ended
}

// mayHedge reports whether the request may be sent to a second server while the first
// one works on it.
func (q *request) mayHedge(granted wagowner.Granted) bool {
	return q.route.Idempotent && q.bodyRest == nil && granted.HedgeAfter > 0 && q.attempts < q.route.Attempts
}

// startAttempt sends the request in the background. The context is not canceled before
// the request ends, because the rest of a long response is read with it.
func (h *hedge) startAttempt(ctx context.Context, t *attempt) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	h.request.cancels = append(h.request.cancels, cancel)
	h.start(func() {
		h.request.send(ctx, t)
		h.ended <- t
	})
	return cancel
}

// betterAttempt finishes two attempts and returns the one with the better result; the
// other one is discarded.
func (h *hedge) betterAttempt(a, b *attempt) *attempt {
	q := h.request
	q.finish(a)
	q.finish(b)
	if a.hasResponse() && b.result.Fault != wagplacement.FaultNone {
		a, b = b, a
	}
	a.closeBody()
	q.mayHaveRun = q.mayHaveRun || a.mayHaveRun()
	return b
}

// awaitOvertaken waits in the background for the attempt that was overtaken, and
// reports its result.
func (h *hedge) awaitOvertaken() {
	h.start(func() {
		t := <-h.ended
		if t.result.Fault == wagplacement.FaultBroken || t.result.Fault == wagplacement.FaultCanceled {
			t.result.Fault, t.reason = wagplacement.FaultOvertaken, "overtaken"
		}
		t.closeBody()
		t.granted.Finish(t.result)
		h.request.gateway.observer.AttemptEnded(h.request.attemptResult(t))
	})
}
