package wagexplore

import (
	"encoding/binary"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

const (
	// requestTimeout bounds the time of one attempt of a caller.
	requestTimeout = 3 * time.Second
	// maxRepeats bounds how often a caller repeats a request that is not done.
	maxRepeats = 3
)

// request is a request of a caller, who sends it in one or more attempts.
type request struct {
	id           int
	keyKind      keyKind
	key          wagclaim.Key
	issuedKey    wagclaim.IssuedKey
	issuerIndex  int
	partition    int
	fingerprint  wagclaim.Digest
	startedAt    time.Duration
	attemptCount int
	firstOutcome wagoutcome.Outcome
	finalOutcome wagoutcome.Outcome
	// ended is set once an attempt has ended.
	ended bool
}

// attempt is one sending of a request to an entry host.
type attempt struct {
	id      int
	request *request
	// fingerprint identifies the content. It differs from the one of the request when
	// the caller sends other content with the same key.
	fingerprint wagclaim.Digest
	deadline    time.Time
	entry       *host
	owner       *host
	// submissions counts how often the entry host has submitted the attempt again.
	submissions int
	ended       bool
	outcome     wagoutcome.Outcome
}

// callers simulates all callers and holds their requests and attempts.
type callers struct {
	world    *world
	requests []*request
	attempts []*attempt
}

// numberDigest returns a digest that is unique for a kind and a number.
func numberDigest(kind byte, n int) (d wagclaim.Digest) {
	// The multiplication spreads consecutive numbers over the partitions.
	binary.BigEndian.PutUint64(d[:8], uint64(n+1)*0x9e3779b97f4a7c15>>3)
	binary.BigEndian.PutUint32(d[8:12], uint32(n))
	d[15] = kind
	return d
}

// startRequest sends the first attempt of a planned request and schedules the planned
// further ones.
func (c *callers) startRequest(planned *action) {
	req := &request{id: len(c.requests), keyKind: planned.keyKind, startedAt: c.world.now}
	req.key = wagclaim.Key{Digest: numberDigest(1, req.id), CreatedAt: c.world.trueTime().Truncate(time.Millisecond)}
	if c.world.config.defect == opaqueKeys {
		req.key.CreatedAt = time.Time{}
	}
	req.fingerprint = numberDigest(2, req.id)
	req.partition = wagclaim.PartitionOf(req.key.Digest, partitionCount)
	c.requests = append(c.requests, req)
	if req.keyKind == issuedKey && !c.issueKey(req, planned.target) {
		req.keyKind = callerKey
	}
	c.sendAttempt(req, planned.target, req.fingerprint)
	if planned.change && req.keyKind != noKey {
		c.world.schedule(c.world.randomDuration(0, time.Second), func() { c.sendAttempt(req, c.world.random.IntN(hostCount), numberDigest(3, req.id)) })
	}
	if planned.repeatDelay > 0 {
		c.world.schedule(planned.repeatDelay, func() { c.sendAttempt(req, c.world.random.IntN(hostCount), req.fingerprint) })
	}
	if c.world.random.IntN(8) == 0 {
		c.world.tokens.presentToken(planned.target)
	}
}

// issueKey lets a host issue the key of a request. It reports false when the host is not
// available.
func (c *callers) issueKey(req *request, hostIndex int) bool {
	h := c.world.hosts[hostIndex]
	if !h.alive || c.world.now < h.pausedUntil {
		return false
	}
	var err error
	req.issuedKey, err = secrets.Verify(h.issuer.Issue(h.now()))
	req.issuerIndex = hostIndex
	return err == nil
}

// sendAttempt sends a request to an entry host.
func (c *callers) sendAttempt(req *request, hostIndex int, fingerprint wagclaim.Digest) {
	a := &attempt{id: len(c.attempts), request: req, fingerprint: fingerprint, deadline: c.world.trueTime().Add(requestTimeout)}
	c.attempts = append(c.attempts, a)
	if fingerprint == req.fingerprint {
		req.attemptCount++
	}
	c.world.record(wagevent.KindRequest, hostIndex, uint64(req.id), uint64(a.id))
	c.world.traceEvent(wagevent.KindRequest, hostIndex, "call %d attempt %d", req.id, a.id)
	// The load balancer of the platform skips hosts that refuse connections.
	for n := 0; n < hostCount && !c.world.hosts[hostIndex].alive; n++ {
		hostIndex = (hostIndex + 1) % hostCount
	}
	h := c.world.hosts[hostIndex]
	a.entry = h
	c.world.schedule(requestTimeout+100*time.Millisecond, func() { c.endAttempt(a, wagoutcome.Unknown, "") })
	h.schedule(time.Millisecond, func() { c.arriveAtHost(h, a) })
}

func (c *callers) arriveAtHost(h *host, a *attempt) {
	switch a.request.keyKind {
	case callerKey:
		h.receiveKeyed(a)
	case issuedKey:
		h.receiveIssued(a)
	default:
		h.schedule(h.world.randomDuration(200*time.Microsecond, 400*time.Microsecond), func() {
			h.send(wagclaim.Dispatch{AttemptID: uint64(a.id), StartBy: a.deadline}, func(f wagclaim.DispatchFinished) {
				c.endAttempt(a, f.Outcome, string(f.Body))
			})
		})
	}
}

// receiveIssued handles an attempt with an issued key at the entry host. It submits the
// attempt to the host that issued the key.
func (h *host) receiveIssued(a *attempt) {
	o := h.world.hosts[a.request.issuerIndex]
	if !h.linked(o) {
		return
	}
	if !o.alive {
		h.schedule(h.latency(o), func() { h.world.callers.endAttempt(a, wagoutcome.Unknown, "") })
		return
	}
	o.schedule(h.latency(o), func() {
		a.owner, a.entry = o, h
		s := wagclaim.Submit{AttemptID: uint64(a.id), Fingerprint: a.fingerprint, Deadline: a.deadline}
		o.executeIssued(o.issuer.Submit(o.now(), a.request.issuedKey, s, nil))
	})
}

// executeIssued carries out the commands of the issuer.
func (h *host) executeIssued(commands []wagclaim.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case wagclaim.Response:
			h.returnOutcome(c)
		case wagclaim.Dispatch:
			h.pauseRandomly()
			h.schedule(50*time.Microsecond, func() { h.sendIssued(c) })
		}
	}
}

func (h *host) sendIssued(d wagclaim.Dispatch) {
	finished := func(f wagclaim.DispatchFinished) { h.executeIssued(h.issuer.FinishDispatch(f, nil)) }
	if !d.CanSend(h.now()) {
		finished(wagclaim.DispatchFinished{Key: d.Key, Outcome: wagoutcome.NotRun})
		return
	}
	h.send(d, finished)
}

// endAttempt ends an attempt with the response that the caller gets; only the first one
// counts. A request that is not done is repeated up to maxRepeats times.
func (c *callers) endAttempt(a *attempt, o wagoutcome.Outcome, body string) {
	if a.ended {
		return
	}
	a.ended, a.outcome = true, o
	c.world.record(wagevent.KindOutcome, 0, uint64(a.id), uint64(o))
	c.world.traceEvent(wagevent.KindOutcome, 0, "caller of call %d gets %s for attempt %d", a.request.id, o, a.id)
	c.world.executions.checkResponse(a, body)
	req := a.request
	if a.fingerprint != req.fingerprint {
		return
	}
	c.recordOutcome(req, o)
	if o != wagoutcome.Done && req.keyKind != noKey && req.attemptCount <= maxRepeats {
		c.world.schedule(c.world.randomDuration(100*time.Millisecond, 5*time.Second), func() { c.sendAttempt(req, c.world.random.IntN(hostCount), req.fingerprint) })
	}
}

// recordOutcome records the first outcome of a request and its final one, which stays
// once it is done.
func (c *callers) recordOutcome(req *request, o wagoutcome.Outcome) {
	if !req.ended {
		req.ended, req.firstOutcome = true, o
		c.addDuration(req, o)
	}
	if req.finalOutcome != wagoutcome.Done {
		req.finalOutcome = o
	}
}

func (c *callers) addDuration(req *request, o wagoutcome.Outcome) {
	if o != wagoutcome.Done {
		return
	}
	switch req.keyKind {
	case callerKey:
		c.world.counts.KeyedTime += c.world.now - req.startedAt
		c.world.counts.KeyedDone++
	case noKey:
		c.world.counts.UnkeyedTime += c.world.now - req.startedAt
		c.world.counts.UnkeyedDone++
	}
}

// addOutcomeCounts counts the outcomes of the requests with a key that have ended.
func (c *callers) addOutcomeCounts() {
	for _, req := range c.requests {
		if req.keyKind == noKey || !req.ended {
			continue
		}
		c.world.counts.EndedRequests++
		c.world.counts.FirstOutcomes[req.firstOutcome]++
		c.world.counts.FinalOutcomes[req.finalOutcome]++
	}
}
