package wagquota

import (
	"maps"
	"math"
	"time"
)

const (
	// creditTime is the demand for which a part gets credit in advance. A report and its
	// reply take up to 21 ms within a region.
	creditTime = 100 * time.Millisecond
	// demandTime is the time constant of the estimated demand.
	demandTime = 200 * time.Millisecond
	// maxSenders bounds the hosts that a coordinator knows.
	maxSenders = 4096
	// senderTimeout is how long a silent sender is remembered.
	senderTimeout = time.Minute
)

// Coordinator holds the token buckets of a shard of the customers.
type Coordinator struct {
	parts   int
	began   time.Time
	limits  Limits
	buckets map[string]*bucket
	// countedUntil holds until when the parts are counted.
	countedUntil map[string]time.Time
	senders      map[string]*sender
}

// sender is a host that reports for a part.
type sender struct {
	lastSeen  time.Time
	customers map[string]*account
}

// account holds the charges and the demand of a customer at a sender.
type account struct {
	total  uint64
	demand float64 // requests per second
	at     time.Time
}

// NewCoordinator returns a coordinator with empty buckets.
func NewCoordinator(now time.Time) *Coordinator {
	return &Coordinator{
		began: now.Add(-time.Microsecond), buckets: make(map[string]*bucket), countedUntil: make(map[string]time.Time), senders: make(map[string]*sender),
	}
}

// SetLimits replaces the limits of the customers and the number of parts. A lower limit
// takes effect at once.
func (c *Coordinator) SetLimits(now time.Time, limits Limits, parts int) {
	c.refillAll(now)
	c.limits, c.parts = limits, max(parts, 1)
	for name := range c.buckets {
		if _, ok := limits[name]; !ok {
			delete(c.buckets, name)
		}
	}
	for _, s := range c.senders {
		maps.DeleteFunc(s.customers, func(name string, _ *account) bool { return limits[name] == Limit{} })
	}
	for name := range limits {
		if _, ok := c.buckets[name]; !ok {
			c.buckets[name] = &bucket{at: now}
		}
	}
	c.refillAll(now)
}

// share returns the share of the rate that this coordinator may grant. One that counts most
// parts also grants what the others leave, so that the loss of a data centre costs customers
// less of their limit. Only one coordinator can count most of them.
func (c *Coordinator) share(now time.Time) float64 {
	counted := 0
	for _, until := range c.countedUntil {
		if now.Before(until) {
			counted++
		}
	}
	parts := max(c.parts, 1)
	counted = min(counted, parts)
	if 2*counted <= parts {
		return minorityShare * float64(counted) / float64(parts)
	}
	return (float64(counted) + (1-minorityShare)*float64(parts-counted)) / float64(parts)
}

// refillAll refills all buckets. It precedes each change of the share and the limits.
func (c *Coordinator) refillAll(now time.Time) {
	share := c.share(now)
	for name, b := range c.buckets {
		limit := c.limits[name]
		b.refill(now, limit.Rate*share, capacity(limit, share))
	}
}

// capacity returns the most tokens that a share of the parts may have together. It is at
// least 1, because a customer without a whole token would always be refused.
func capacity(limit Limit, share float64) float64 { return max(limit.Burst*share, 1) }

// Handle handles the report of a part.
func (c *Coordinator) Handle(now time.Time, r Report) Reply {
	c.expire(now)
	stamp := uint64(max(now.Sub(c.began).Microseconds(), 1))
	if r.IsOwner && r.Echo > 0 && r.Echo <= stamp {
		until := c.began.Add(time.Duration(r.Echo) * time.Microsecond).Add(LeaseTime)
		if until.After(c.countedUntil[r.Part]) && now.Before(until) {
			if c.countedUntil[r.Part].IsZero() {
				c.refillAll(now)
			}
			c.countedUntil[r.Part] = until
		}
	}
	reply := Reply{Number: r.Number, Stamp: stamp}
	s := c.sender(now, r)
	if s == nil {
		return reply
	}
	for _, charge := range r.Charges {
		if limit, ok := c.limits[charge.Customer]; ok {
			reply.Acks = append(reply.Acks, c.charge(now, s, limit, charge))
		}
	}
	return reply
}

// expire ends the count of parts that were not heard from, the earliest first, and forgets
// silent senders.
func (c *Coordinator) expire(now time.Time) {
	for {
		var earliest string
		var at time.Time
		for part, until := range c.countedUntil {
			if !now.Before(until) && (at.IsZero() || until.Before(at)) {
				earliest, at = part, until
			}
		}
		if at.IsZero() {
			break
		}
		c.refillAll(at.Add(-1))
		delete(c.countedUntil, earliest)
	}
	for key, s := range c.senders {
		if now.Sub(s.lastSeen) > senderTimeout {
			delete(c.senders, key)
		}
	}
}

// sender returns the sender of a report, or nil if there are too many.
func (c *Coordinator) sender(now time.Time, r Report) *sender {
	key := r.Part + "\x00" + r.Sender
	s, ok := c.senders[key]
	if !ok {
		if len(c.senders) >= maxSenders {
			return nil
		}
		s = &sender{customers: make(map[string]*account)}
		c.senders[key] = s
	}
	s.lastSeen = now
	return s
}

// charge charges a customer that has a limit and grants credit in advance.
func (c *Coordinator) charge(now time.Time, s *sender, limit Limit, charge Charge) Ack {
	share := c.share(now)
	b := c.buckets[charge.Customer]
	rate := limit.Rate * share
	b.refill(now, rate, capacity(limit, share))
	a, ok := s.customers[charge.Customer]
	if !ok {
		a = &account{at: now, total: charge.Acknowledged}
		s.customers[charge.Customer] = a
	}
	if known := max(a.total, charge.Acknowledged); charge.Total > known {
		b.tokens -= float64(charge.Total - known)
		a.total = charge.Total
	}
	a.add(now, charge.Demand)
	ack := Ack{Customer: charge.Customer, Total: charge.Total}
	want := charge.Waiting + int(math.Floor(a.demand*creditTime.Seconds())) - charge.Left
	if want > 0 && b.tokens >= 1 {
		fair := math.Ceil(b.tokens * a.demand / max(c.demand(now, charge.Customer), a.demand, 1e-9))
		// Converted last: a limit without bounds has more tokens than an int can hold.
		ack.Credit = int(min(float64(want), b.tokens, max(fair, 1)))
		b.tokens -= float64(ack.Credit)
	}
	if b.tokens < 1 {
		ack.OutFor = b.untilOne(rate)
	}
	return ack
}

// add adds requests to the estimated demand.
func (a *account) add(now time.Time, n int) {
	a.demand = a.demandAt(now) + float64(n)/demandTime.Seconds()
	a.at = now
}

// demandAt returns the estimated demand at a time.
func (a *account) demandAt(now time.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.at).Seconds()/demandTime.Seconds())
}

// demand returns the estimated demand of a customer at all senders.
func (c *Coordinator) demand(now time.Time, customer string) (sum float64) {
	for _, s := range c.senders {
		if a, ok := s.customers[customer]; ok {
			sum += a.demandAt(now)
		}
	}
	return sum
}
