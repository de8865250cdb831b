package wagkeyed

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagentry"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// KeyOwner tells which host decides on a key: this one, another or none.
func (c *Claims) KeyOwner(now time.Time, k wagentry.KeyedRequest) wagentry.KeyOwner {
	if c.issued(k.Key) {
		return c.placeIssued(now, k)
	}
	key, err := wagclaim.ParseKey(k.Caller, k.Key)
	if err != nil {
		return wagentry.Denied{Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonBadRequest}
	}
	m, ok := owner(c.members.Members(now), c.slots[wagclaim.PartitionOf(key.Digest, PartitionCount)].key)
	if !ok {
		return wagentry.Denied{Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonStoreUnavailable}
	}
	return c.placeAt(m)
}

func (c *Claims) placeAt(m wagmember.Member) wagentry.KeyOwner {
	if m.Name == c.self.Name && m.DataCentre == c.self.DataCentre {
		return wagentry.LocalOwner{}
	}
	return wagentry.RemoteOwner{Forward: m.Forward}
}

// issued tells whether a key is one of those that hosts issue. Without secrets
// there are none, and any text is a caller's key.
func (c *Claims) issued(key string) bool {
	return c.issuer != nil && strings.HasPrefix(key, wagclaim.IssuedKeyPrefix)
}

func (c *Claims) placeIssued(now time.Time, k wagentry.KeyedRequest) wagentry.KeyOwner {
	issued, err := c.secrets.Verify(k.Key)
	if err != nil {
		return wagentry.Denied{Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonBadRequest}
	}
	if issued.Incarnation == c.incarnation() {
		return wagentry.LocalOwner{}
	}
	for _, m := range c.members.Members(now) {
		if strconv.FormatUint(m.Incarnation, 10) == issued.Incarnation && m.State != wagmember.Dead {
			return wagentry.RemoteOwner{Forward: m.Forward}
		}
	}
	return wagentry.Denied{Outcome: wagoutcome.Unknown, Reason: wagoutcome.ReasonForgotten}
}

// IssueKey returns a new key, or false when this host issues none.
func (c *Claims) IssueKey(now time.Time) (string, bool) {
	if c.issuer == nil {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.issuer.Issue(now), true
}

// Claim decides on a call whose key this host owns. It returns when the claim is
// durable, refused or answered.
func (c *Claims) Claim(ctx context.Context, k wagentry.KeyedRequest) wagentry.ClaimResult {
	a, finish, err := c.begin(k)
	if err != nil {
		return wagentry.Denied{Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonBadRequest}
	}
	select {
	case x := <-a.decided:
		return claimOf(x, finish)
	case <-ctx.Done():
		return claimOf(c.cancel(a), finish)
	}
}

// begin submits an attempt. The returned function ends its call if it is
// dispatched.
func (c *Claims) begin(k wagentry.KeyedRequest) (a *attempt, finish func(wagclaim.DispatchFinished), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.last++
	a = &attempt{decided: make(chan wagclaim.Command, 1), patience: wagclock.Earlier(k.Deadline, now.Add(acquireTime))}
	a.submit = wagclaim.Submit{
		AttemptID: c.last, Deadline: k.Deadline,
		Fingerprint: wagclaim.Fingerprint(k.Request.Method, k.Service+" "+k.Caller+" "+k.Request.URL.RequestURI(), k.BodySum),
	}
	if c.issued(k.Key) {
		issued, err := c.secrets.Verify(k.Key)
		if err != nil {
			return nil, nil, err
		}
		c.attempts[a.submit.AttemptID] = a
		c.tellIssued(c.issuer.Submit(now, issued, a.submit, nil))
		return a, c.finishIssued, nil
	}
	if a.submit.Key, err = wagclaim.ParseKey(k.Caller, k.Key); err != nil {
		return nil, nil, err
	}
	a.core = c.core(k.Service, wagclaim.PartitionOf(a.submit.Key.Digest, PartitionCount))
	c.attempts[a.submit.AttemptID] = a
	c.step(a.core, a.submit)
	return a, func(f wagclaim.DispatchFinished) { c.finish(a.core, f) }, nil
}

// core returns the partition of a service, which is made on demand; c.mu is
// held.
func (c *Claims) core(service string, n int) *core {
	s := c.slots[n]
	k := s.cores[service]
	if k == nil {
		c.made++
		k = &core{slot: s}
		writer := c.self.DataCentre + "-" + c.self.Name + "-" + c.incarnation() + "-" + strconv.FormatUint(c.made, 36)
		k.partition = wagclaim.New(service, n, writer, wagclaim.WithOpaqueKeys(), wagclaim.WithOutcomeDelay(outcomeWait))
		s.cores[service] = k
		if !s.deadline.IsZero() {
			c.step(k, wagclaim.LeaseAcquired{Deadline: s.deadline})
		}
	}
	return k
}

// cancel takes back an attempt at its deadline or when its caller has left. A
// decision that was made meanwhile stands.
func (c *Claims) cancel(a *attempt) wagclaim.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.core != nil && c.attempts[a.submit.AttemptID] == a {
		// At the deadline the core knows whether the call has certainly not run.
		c.step(a.core, wagclaim.Tick{})
	}
	if c.attempts[a.submit.AttemptID] != a {
		return <-a.decided
	}
	delete(c.attempts, a.submit.AttemptID)
	if a.core != nil {
		a.core.pending = slices.DeleteFunc(a.core.pending, func(p *attempt) bool { return p == a })
	}
	return wagclaim.Response{AttemptID: a.submit.AttemptID, Reason: wagoutcome.ReasonDeadline}
}

func (c *Claims) finish(k *core, f wagclaim.DispatchFinished) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.running--
	k.slot.settled = c.clock.Now().Add(settleTime)
	c.step(k, f)
}

func (c *Claims) finishIssued(f wagclaim.DispatchFinished) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tellIssued(c.issuer.FinishDispatch(f, nil))
}

// tellIssued passes the decisions of the issuer on; c.mu is held.
func (c *Claims) tellIssued(commands []wagclaim.Command) {
	for len(commands) > 0 {
		command := commands[0]
		commands = commands[1:]
		switch x := command.(type) {
		case wagclaim.Response:
			if a := c.attempts[x.AttemptID]; a != nil {
				c.decide(a, x)
			}
		case wagclaim.Dispatch:
			if a := c.attempts[x.AttemptID]; a != nil {
				c.decide(a, x)
				continue
			}
			commands = c.issuer.FinishDispatch(wagclaim.DispatchFinished{Key: x.Key, Outcome: wagoutcome.NotRun}, commands)
		}
	}
}

// claimOf turns the decision of a core into that of the call path.
func claimOf(command wagclaim.Command, finish func(wagclaim.DispatchFinished)) wagentry.ClaimResult {
	switch x := command.(type) {
	case wagclaim.Dispatch:
		return wagentry.Dispatch{StartBy: x.StartBy, Finish: func(f wagentry.DispatchResult) {
			finish(wagclaim.DispatchFinished{Key: x.Key, Outcome: f.Outcome, Status: f.Status, Body: f.Body})
		}}
	case wagclaim.Response:
		if x.Outcome != wagoutcome.Done {
			return wagentry.Denied{Outcome: x.Outcome, Reason: x.Reason}
		}
		return wagentry.RecordedResponse{Status: x.Status, Body: x.Body}
	default:
		return wagentry.Denied{Outcome: wagoutcome.Unknown, Reason: wagoutcome.ReasonStoreUnavailable}
	}
}

// context returns what ends the calls of the store.
func (c *Claims) context() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ctx
}
