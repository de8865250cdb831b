package wagload

import (
	"fmt"
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/wagplacement"
)

const (
	// grantDelay is the delay of a message between a host and the owner: a grant, or the
	// result of an attempt.
	grantDelay = 200 * time.Microsecond
	// maxAttempts limits the servers that a request is sent to.
	maxAttempts = 2
)

// placementPolicy decides with wagplacement.Scheduler.
type placementPolicy struct {
	*run
	scheduler *wagplacement.Scheduler
	lastID    wagplacement.RequestID
	placed    map[wagplacement.RequestID]*placedRequest
	nextWake  time.Time
}

// placedRequest is a request that waits for a server or runs on one.
type placedRequest struct {
	request *request
	avoid   []string
	attempt *attempt
	// sibling is the other attempt of a hedged request, or nil.
	sibling *placedRequest
	hedge   bool
	id      wagplacement.RequestID
}

func newPlacementPolicy(x *run, without []wagplacement.Mechanism) *placementPolicy {
	var opts []wagplacement.Option
	for _, m := range without {
		opts = append(opts, wagplacement.WithoutMechanism(m))
	}
	p := &placementPolicy{run: x, scheduler: wagplacement.New(opts...), placed: make(map[wagplacement.RequestID]*placedRequest)}
	if x.pattern.hasColdStarts() {
		p.scheduler.SetColdRate(wagplacement.ShareColdBound(coldRate, coldOverage, coldSlack))
	}
	p.listServers()
	return p
}

func serverID(number int) string { return fmt.Sprintf("s%d", number) }

func (p *placementPolicy) findServer(id string) *server {
	return p.servers[slices.IndexFunc(p.servers, func(v *server) bool { return serverID(v.number) == id })]
}

func (p *placementPolicy) submit(r *request) { p.place(&placedRequest{request: r}) }

// place asks the scheduler for a server.
func (p *placementPolicy) place(placed *placedRequest) {
	p.lastID++
	placed.id = p.lastID
	p.placed[placed.id] = placed
	r := placed.request
	p.scheduler.Submit(p.Now(), wagplacement.Request{
		ID: placed.id, Route: r.route.Name, Rank: r.route.Rank, Goal: r.goal, Deadline: r.deadline,
		Avoid: placed.avoid, Repeat: r.attempts > 0, Hedge: placed.hedge,
	})
	p.executeCommands()
}

// executeCommands executes the commands of the scheduler and calls Tick when it is due.
func (p *placementPolicy) executeCommands() {
	for commands := p.scheduler.TakeCommands(); len(commands) > 0; commands = p.scheduler.TakeCommands() {
		for _, command := range commands {
			switch x := command.(type) {
			case wagplacement.Grant:
				p.ScheduleAfter(grantDelay, func() { p.handleGrant(x) })
			case wagplacement.Refuse:
				p.handleRefusal(x)
			case wagplacement.Probe:
				p.handleProbe(x)
			case wagplacement.Spill:
			}
		}
	}
	at := p.scheduler.NextWake()
	if at.IsZero() || p.nextWake.After(p.Now()) && !at.Before(p.nextWake) {
		return
	}
	if at.Before(p.Now()) {
		at = p.Now()
	}
	p.nextWake = at
	p.ScheduleAt(at, func() {
		if p.nextWake.Equal(p.Now()) {
			p.nextWake = time.Time{}
			p.scheduler.Tick(p.Now())
			p.executeCommands()
		}
	})
}

// handleGrant sends a request to its server, and later to a second one if it may be
// hedged.
func (p *placementPolicy) handleGrant(g wagplacement.Grant) {
	placed := p.placed[g.Request.ID]
	r := placed.request
	if r.ended {
		p.reportResult(placed, wagplacement.FaultCanceled, false)
		return
	}
	r.attempts++
	s := p.findServer(g.Server.ID)
	placed.avoid = append(slices.Clone(placed.avoid), g.Server.ID)
	placed.attempt = p.send(r, s, func(e attemptEnd) { p.handleAttemptEnd(placed, e) })
	if placed.hedge || g.HedgeAfter == 0 || !r.route.Idempotent || r.attempts >= maxAttempts {
		return
	}
	p.ScheduleAfter(g.HedgeAfter, func() {
		if placed.attempt.over || r.ended || r.attempts >= maxAttempts {
			return
		}
		placed.sibling = &placedRequest{request: r, avoid: placed.avoid, hedge: true, sibling: placed}
		p.place(placed.sibling)
	})
}

// handleAttemptEnd handles the end of an attempt.
func (p *placementPolicy) handleAttemptEnd(placed *placedRequest, end attemptEnd) {
	r := placed.request
	switch end {
	case attemptAnswered:
		p.answer(r)
		p.reportResult(placed, wagplacement.FaultNone, true)
		if o := placed.sibling; o != nil && o.attempt != nil && !o.attempt.over {
			o.attempt.cancel()
			p.reportResult(o, wagplacement.FaultOvertaken, false)
		}
		return
	case attemptError:
		p.reportResult(placed, wagplacement.FaultError, true)
	case attemptRejected:
		p.reportResult(placed, wagplacement.FaultRejected, true)
	case attemptUnreachable:
		p.reportResult(placed, wagplacement.FaultConnect, false)
	case attemptTimeout:
		p.reportResult(placed, wagplacement.FaultTimeout, false)
	}
	if o := placed.sibling; o != nil && o.attempt != nil && !o.attempt.over {
		return
	}
	notRun := end == attemptRejected || end == attemptUnreachable
	if r.ended || r.attempts >= maxAttempts || !notRun && !r.route.Idempotent || !p.Now().Before(r.deadline) {
		p.fail(r)
		return
	}
	p.place(&placedRequest{request: r, avoid: placed.avoid})
}

// reportResult reports the result of an attempt to the scheduler.
func (p *placementPolicy) reportResult(placed *placedRequest, fault wagplacement.Fault, answered bool) {
	delete(p.placed, placed.id)
	result := wagplacement.Result{Fault: fault}
	if placed.attempt != nil {
		result.Latency = p.Now().Sub(placed.attempt.sentAt)
		result.HasReport = answered
		result.Report = placed.attempt.server.report()
		if fault == wagplacement.FaultNone {
			result.Report.Running++ // the report counts the request that it answers
		}
	}
	p.ScheduleAfter(grantDelay, func() {
		p.scheduler.FinishAttempt(p.Now(), placed.id, result)
		p.executeCommands()
	})
}

func (p *placementPolicy) handleRefusal(x wagplacement.Refuse) {
	placed := p.placed[x.Request.ID]
	delete(p.placed, x.Request.ID)
	switch {
	case placed.hedge:
	case placed.request.attempts > 0:
		p.fail(placed.request)
	default:
		p.refuse(placed.request, x.RetryAt)
	}
}

func (p *placementPolicy) handleProbe(x wagplacement.Probe) {
	s := p.findServer(x.Server.ID)
	answer := func(r wagplacement.Result) {
		p.scheduler.HandleProbeResult(p.Now(), x.Server.ID, r)
		p.executeCommands()
	}
	p.ScheduleAfter(linkDelay, func() {
		switch {
		case s.isDown():
			p.ScheduleAfter(linkDelay, func() { answer(wagplacement.Result{Fault: wagplacement.FaultConnect}) })
		case s.isSilent():
			p.ScheduleAt(x.Deadline, func() { answer(wagplacement.Result{Fault: wagplacement.FaultTimeout}) })
		default:
			r := wagplacement.Result{HasReport: true, Report: s.report(), ColdUntil: s.cold.coldUntil}
			p.ScheduleAfter(linkDelay, func() { answer(r) })
		}
	})
}

// report returns the load report of the server.
func (s *server) report() wagplacement.Report {
	return wagplacement.Report{Running: len(s.running), Waiting: len(s.waiting), Slots: s.run.pattern.Slots, Slowness: s.reportedSlowness()}
}
