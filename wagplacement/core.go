package wagplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Core decides for the servers of one service in one data centre. It is not
// safe for concurrent use.
type Core struct {
	servers map[string]*server
	// order holds the servers in the order of their IDs.
	order []*server
	// granted holds the requests that run.
	granted map[RequestID]*grant
	// waiting holds the requests that wait, in the order in which they start.
	waiting  []*Request
	commands []Command
}

type server struct {
	wagserver.Instance
	running int
	report  Report
	// reportedAt is when report was made, zero before the first.
	reportedAt time.Time
	// excludedUntil is until when the server gets no work after failures.
	excludedUntil time.Time
	// failures counts the failures since the latest success.
	failures int
	// listed tells that the server may get work; others finish what they run.
	listed bool
}

type grant struct {
	request Request
	server  *server
	at      time.Time
}

// New returns a core without servers.
func New() *Core {
	return &Core{servers: make(map[string]*server), granted: make(map[RequestID]*grant)}
}

// SetServers replaces the servers that may get work.
func (c *Core) SetServers(now time.Time, list []wagserver.Instance) {
	for _, s := range c.servers {
		s.listed = false
	}
	for _, i := range list {
		s, ok := c.servers[i.ID]
		if !ok || !s.Started.Equal(i.Started) {
			s = &server{}
			c.servers[i.ID] = s
		}
		s.Instance, s.listed = i, true
	}
	c.order = c.order[:0]
	for id, s := range c.servers {
		if !s.listed && s.running == 0 {
			delete(c.servers, id)
			continue
		}
		c.order = append(c.order, s)
	}
	slices.SortFunc(c.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	c.dispatch(now)
}

// Submit takes a request that needs a server.
func (c *Core) Submit(now time.Time, r Request) {
	c.waiting = append(c.waiting, &r)
	slices.SortStableFunc(c.waiting, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Deadline.Compare(b.Deadline))
	})
	c.dispatch(now)
}

// Finished ends the attempt of a request.
func (c *Core) Finished(now time.Time, id RequestID, r Result) {
	g, ok := c.granted[id]
	if !ok {
		return
	}
	delete(c.granted, id)
	s := g.server
	s.running--
	if r.HasReport {
		s.report, s.reportedAt = r.Report, now
	}
	switch r.Fault {
	case FaultNone:
		s.failures = 0
	case FaultCanceled:
	default:
		s.failures++
		s.excludedUntil = now.Add(min(time.Duration(s.failures)*500*time.Millisecond, 5*time.Second))
	}
	c.dispatch(now)
}

// Cancel removes a waiting request whose caller went away.
func (c *Core) Cancel(_ time.Time, id RequestID) {
	c.waiting = slices.DeleteFunc(c.waiting, func(r *Request) bool { return r.ID == id })
}

// Tick refuses requests whose deadline passed and starts those that can run.
func (c *Core) Tick(now time.Time) { c.dispatch(now) }

// NextWake returns when Tick has to be called, or the zero time.
func (c *Core) NextWake() time.Time {
	var next time.Time
	for _, r := range c.waiting {
		if next.IsZero() || r.Deadline.Before(next) {
			next = r.Deadline
		}
	}
	return next
}

// Commands returns and clears what the core asks for.
func (c *Core) Commands() []Command {
	list := c.commands
	c.commands = nil
	return list
}

func (c *Core) dispatch(now time.Time) {
	kept := c.waiting[:0]
	for _, r := range c.waiting {
		if !r.Deadline.After(now) {
			c.commands = append(c.commands, Refuse{Request: r.ID, Reason: ReasonDeadline, RetryAt: now})
			continue
		}
		s := c.choose(now, r)
		if s == nil {
			kept = append(kept, r)
			continue
		}
		s.running++
		c.granted[r.ID] = &grant{request: *r, server: s, at: now}
		c.commands = append(c.commands, Grant{Request: r.ID, Server: s.Instance})
	}
	c.waiting = kept
}

// choose returns the server with the least expected time, or nil.
func (c *Core) choose(now time.Time, r *Request) *server {
	var best *server
	var least float64
	for _, s := range c.order {
		if !s.listed || s.State != wagserver.Live || s.running >= s.Slots || s.excludedUntil.After(now) || slices.Contains(r.Avoid, s.ID) {
			continue
		}
		cost := s.cost(now)
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	return best
}

func (s *server) cost(now time.Time) float64 {
	cost := 1 + float64(s.running)/float64(s.Slots)
	if now.Sub(s.reportedAt) < 100*time.Millisecond && s.report.Slowness > 0 {
		cost *= s.report.Slowness
	}
	if s.ColdUntil.After(now) {
		cost *= 2
	}
	return cost
}
