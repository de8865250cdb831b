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

// KeyOwner returns which host decides on a key: this one, another or none.
func (c *Claims) KeyOwner(now time.Time, k wagentry.KeyedRequest) wagentry.KeyOwner {
	if c.isIssuedKey(k.Key) {
		return c.issuedKeyOwner(now, k)
	}
	key, err := wagclaim.ParseKey(k.Caller, k.Key)
	if err != nil {
		return wagentry.Denied{Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonBadRequest}
	}
	m, ok := partitionOwner(c.members.Members(now), c.partitions[wagclaim.PartitionOf(key.Digest, PartitionCount)].leaseKey)
	if !ok {
		return wagentry.Denied{Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonStoreUnavailable}
	}
	return c.ownerOf(m)
}

// ownerOf returns a member as the owner of a key.
func (c *Claims) ownerOf(m wagmember.Member) wagentry.KeyOwner {
	if m.Name == c.self.Name && m.DataCentre == c.self.DataCentre {
		return wagentry.LocalOwner{}
	}
	return wagentry.RemoteOwner{Forward: m.Forward}
}

// isIssuedKey reports whether a host issued the key. Without secrets, every key
// is treated as one that the caller made.
func (c *Claims) isIssuedKey(key string) bool {
	return c.issuer != nil && strings.HasPrefix(key, wagclaim.IssuedKeyPrefix)
}

// issuedKeyOwner returns the host that issued a key, if it is still the same
// incarnation.
func (c *Claims) issuedKeyOwner(now time.Time, k wagentry.KeyedRequest) wagentry.KeyOwner {
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

// IssueKey returns a new key, or false if this host issues none.
func (c *Claims) IssueKey(now time.Time) (string, bool) {
	if c.issuer == nil {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.issuer.Issue(now), true
}

// Claim decides on a request whose key this host owns. It returns when the claim
// is durable, refused or answered.
func (c *Claims) Claim(ctx context.Context, k wagentry.KeyedRequest) wagentry.ClaimResult {
	a, finish, err := c.submit(k)
	if err != nil {
		return wagentry.Denied{Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonBadRequest}
	}
	select {
	case decision := <-a.decision:
		return claimResult(decision, finish)
	case <-ctx.Done():
		return claimResult(c.cancel(a), finish)
	}
}

// submit submits an attempt. The returned function reports the end of the request
// if it is dispatched.
func (c *Claims) submit(k wagentry.KeyedRequest) (a *attempt, finish func(wagclaim.DispatchFinished), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.lastAttemptID++
	a = &attempt{decision: make(chan wagclaim.Command, 1), takeoverDeadline: wagclock.Earlier(k.Deadline, now.Add(takeoverTimeout))}
	a.submit = wagclaim.Submit{
		AttemptID: c.lastAttemptID, Deadline: k.Deadline,
		Fingerprint: wagclaim.Fingerprint(k.Request.Method, k.Service+" "+k.Caller+" "+k.Request.URL.RequestURI(), k.BodySum),
	}
	if c.isIssuedKey(k.Key) {
		issued, err := c.secrets.Verify(k.Key)
		if err != nil {
			return nil, nil, err
		}
		c.attempts[a.submit.AttemptID] = a
		c.executeIssuerCommands(c.issuer.Submit(now, issued, a.submit, nil))
		return a, c.finishIssuedDispatch, nil
	}
	if a.submit.Key, err = wagclaim.ParseKey(k.Caller, k.Key); err != nil {
		return nil, nil, err
	}
	a.partition = c.servicePartition(k.Service, wagclaim.PartitionOf(a.submit.Key.Digest, PartitionCount))
	c.attempts[a.submit.AttemptID] = a
	c.step(a.partition, a.submit)
	return a, func(f wagclaim.DispatchFinished) { c.finishDispatch(a.partition, f) }, nil
}

// servicePartition returns a partition of a service. It creates the partition on
// demand; c.mu is held.
func (c *Claims) servicePartition(service string, n int) *servicePartition {
	lp := c.partitions[n]
	sp := lp.servicePartitions[service]
	if sp == nil {
		c.partitionsCreated++
		sp = &servicePartition{leased: lp}
		writer := c.self.DataCentre + "-" + c.self.Name + "-" + c.incarnation() + "-" + strconv.FormatUint(c.partitionsCreated, 36)
		sp.partition = wagclaim.New(service, n, writer, wagclaim.WithOpaqueKeys(), wagclaim.WithOutcomeDelay(outcomeDelay))
		lp.servicePartitions[service] = sp
		if !lp.leaseDeadline.IsZero() {
			c.step(sp, wagclaim.LeaseAcquired{Deadline: lp.leaseDeadline})
		}
	}
	return sp
}

// cancel withdraws an attempt at its deadline or when its caller has
// disconnected. A decision that was made in the meantime is kept.
func (c *Claims) cancel(a *attempt) wagclaim.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.partition != nil && c.attempts[a.submit.AttemptID] == a {
		// At the deadline, the partition knows whether the request has certainly
		// not run.
		c.step(a.partition, wagclaim.Tick{})
	}
	if c.attempts[a.submit.AttemptID] != a {
		return <-a.decision
	}
	delete(c.attempts, a.submit.AttemptID)
	if a.partition != nil {
		a.partition.waiting = slices.DeleteFunc(a.partition.waiting, func(p *attempt) bool { return p == a })
	}
	return wagclaim.Response{AttemptID: a.submit.AttemptID, Reason: wagoutcome.ReasonDeadline}
}

// finishDispatch passes the end of a request to its partition.
func (c *Claims) finishDispatch(sp *servicePartition, f wagclaim.DispatchFinished) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sp.inFlight--
	sp.leased.flushedAt = c.clock.Now().Add(outcomeFlushDelay)
	c.step(sp, f)
}

// finishIssuedDispatch passes the end of a request with an issued key to the
// issuer.
func (c *Claims) finishIssuedDispatch(f wagclaim.DispatchFinished) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executeIssuerCommands(c.issuer.FinishDispatch(f, nil))
}

// executeIssuerCommands executes the commands of the issuer; c.mu is held.
func (c *Claims) executeIssuerCommands(commands []wagclaim.Command) {
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

// claimResult converts the decision of a partition or the issuer for the entry
// host.
func claimResult(command wagclaim.Command, finish func(wagclaim.DispatchFinished)) wagentry.ClaimResult {
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

// storeContext returns the context of requests to the store.
func (c *Claims) storeContext() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ctx
}
