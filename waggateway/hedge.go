package waggateway

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// race is a request at one server, or at two of them at once.
type race struct {
	request *request
	group   errgroup.Group
	// ended has room for all attempts.
	ended chan *attempt
}

// race sends the request to a server, and to a second one when the first takes
// longer than usual and the request may run twice. It returns the attempt that
// decides; the other one is given up.
func (q *request) race(ctx context.Context, granted wagowner.Granted) *attempt {
	first := q.begin(granted)
	if !q.mayHedge(granted) {
		q.exchange(ctx, first)
		q.finish(first)
		return first
	}
	r := &race{request: q, ended: make(chan *attempt, 2)}
	cancelFirst := r.start(ctx, first)
	fired, release := q.gateway.clock.TimerAt(first.start.Add(granted.HedgeAfter))
	defer release()
	select {
	case t := <-r.ended:
		q.finish(t)
		return t
	case <-fired:
	}
	q.avoid = append(q.avoid, granted.Server.ID)
	x, ok := q.place(ctx, true).(wagowner.Granted)
	if !ok {
		t := <-r.ended
		q.finish(t)
		return t
	}
	second := q.begin(x)
	cancelSecond := r.start(ctx, second)
	t := <-r.ended
	if t.result.Fault != wagplacement.FaultNone {
		return r.better(t, <-r.ended)
	}
	q.finish(t)
	if t == first {
		cancelSecond()
	} else {
		cancelFirst()
	}
	r.giveUp()
	return t
}

// mayHedge tells whether a second server may be asked beside the first.
func (q *request) mayHedge(granted wagowner.Granted) bool {
	return q.route.Idempotent && q.rest == nil && granted.HedgeAfter > 0 && q.attempts < q.route.Attempts
}

// start sends the request in the background. The rest of a long answer needs its
// context until the end of the request.
func (r *race) start(ctx context.Context, t *attempt) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	r.request.cancels = append(r.request.cancels, cancel)
	r.group.Go(func() error {
		r.request.exchange(ctx, t)
		r.ended <- t
		return nil
	})
	return cancel
}

// better returns the attempt with the better end.
func (r *race) better(a, b *attempt) *attempt {
	q := r.request
	q.finish(a)
	q.finish(b)
	if a.answered() && b.result.Fault != wagplacement.FaultNone {
		a, b = b, a
	}
	a.drop()
	q.mayHaveRun = q.mayHaveRun || a.mayHaveRun()
	return b
}

// giveUp waits for the attempt that was overtaken.
func (r *race) giveUp() {
	r.group.Go(func() error {
		t := <-r.ended
		if t.result.Fault == wagplacement.FaultBroken || t.result.Fault == wagplacement.FaultCanceled {
			t.result.Fault, t.reason = wagplacement.FaultOvertaken, "overtaken"
		}
		t.drop()
		t.granted.Finish(t.result)
		r.request.gateway.observer.AttemptEnded(r.request.attemptEnd(t))
		return nil
	})
}
