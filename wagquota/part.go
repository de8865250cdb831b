package wagquota

import "time"

// Part admits the requests of one service in one data centre by the customers of a shard.
type Part struct {
	name, sender string
	parts, debt  int
	limits       Limits
	// isOwner means that this host is the owner of the part, and hosts is the number of
	// hosts that may spend its share when they reach neither the owner nor the coordinator.
	isOwner bool
	hosts   int
	// coordinator identifies the coordinator, and formerUntil is until when the one before
	// may count the part.
	coordinator string
	formerUntil time.Time
	// echo is the stamp of the latest reply, and leaseUntil is when the part begins to spend
	// its share by itself.
	echo       uint64
	leaseUntil time.Time
	// aloneSince is when the part began to spend its share by itself; zero otherwise.
	aloneSince time.Time
	number     uint64
	// sent holds when the reports without a reply were sent, by number.
	sent      map[uint64]time.Time
	lastFlush time.Time
	// unanswered is when the first report since the latest reply was sent.
	unanswered time.Time
	dirty      bool
	customers  map[string]*customer
	// totalBase is the largest total of a customer that was removed. A customer that is
	// added begins with it, so that its total never decreases.
	totalBase uint64
}

// silenceMemory is how long a host that acts for an owner remembers, without requests, that
// the coordinator does not answer.
const silenceMemory = 10 * time.Second

// maxUnanswered bounds the reports without a reply whose time is kept.
const maxUnanswered = 128

// NewPart returns a part for which a host acts. totalBase is the MaxTotal of the parts that
// the host removed.
func NewPart(now time.Time, name, sender string, totalBase uint64) *Part {
	return &Part{name: name, sender: sender, totalBase: totalBase, parts: 1, debt: 1, hosts: 1, leaseUntil: now.Add(LeaseTime), sent: make(map[uint64]time.Time), customers: make(map[string]*customer)}
}

// SetLimits replaces the limits of the customers, the number of parts and the debt limit.
func (p *Part) SetLimits(limits Limits, parts, debt int) {
	p.limits, p.parts, p.debt = limits, max(parts, 1), debt
	for name, c := range p.customers {
		if _, ok := limits[name]; !ok {
			p.totalBase = max(p.totalBase, c.total)
			delete(p.customers, name)
		}
	}
}

// MaxTotal returns the largest total of any customer.
func (p *Part) MaxTotal() uint64 {
	largest := p.totalBase
	for _, c := range p.customers {
		largest = max(largest, c.total)
	}
	return largest
}

// SetRole sets whether this host is the owner of the part, and the number of known hosts of
// its data centre.
func (p *Part) SetRole(now time.Time, isOwner bool, hosts int) {
	if isOwner && !p.isOwner {
		p.leaseUntil, p.lastFlush, p.aloneSince = now.Add(LeaseTime), time.Time{}, time.Time{}
	}
	// A former owner reports its last charges.
	p.dirty = p.dirty || isOwner != p.isOwner
	p.isOwner, p.hosts = isOwner, max(hosts, 1)
}

// SetCoordinator sets the identity of the coordinator. The new one counts the part when
// the former one does so no more.
func (p *Part) SetCoordinator(now time.Time, id string) {
	if id == p.coordinator {
		return
	}
	if p.echo > 0 {
		p.formerUntil = p.leaseUntil
	}
	p.unanswered = time.Time{}
	p.lastFlush = now.Add(-BatchInterval)
	p.dirty = p.dirty || p.isOwner
	p.coordinator, p.echo = id, 0
	clear(p.sent)
}

// IsAlone reports whether the part spends its share by itself, because its coordinator does
// not answer.
func (p *Part) IsAlone(now time.Time) bool {
	alone := !now.Before(p.leaseUntil)
	if !p.isOwner {
		alone = !p.unanswered.IsZero() && now.Sub(p.unanswered) >= LeaseTime && now.Sub(p.lastFlush) < silenceMemory
	}
	switch {
	case !alone:
		p.aloneSince = time.Time{}
	case p.aloneSince.IsZero():
		p.aloneSince = now
	}
	return alone
}

// Take decides on a new request of a customer.
func (p *Part) Take(now time.Time, name string) Decision {
	limit, ok := p.limits[name]
	if !ok {
		return Admit{}
	}
	c, ok := p.customers[name]
	if !ok {
		c = &customer{total: p.totalBase, acknowledged: p.totalBase}
		p.customers[name] = c
	}
	c.demand++
	c.dirty, p.dirty = true, true
	d := p.decide(now, c, limit)
	if _, waits := d.(Wait); waits {
		c.waiting++
	}
	return d
}

// Retake decides again on a request that waits. The request waits on after Wait only.
func (p *Part) Retake(now time.Time, name string) Decision {
	limit, ok := p.limits[name]
	c, known := p.customers[name]
	if !ok || !known {
		return Admit{}
	}
	d := p.decide(now, c, limit)
	if _, waits := d.(Wait); !waits {
		c.waiting = max(c.waiting-1, 0)
	}
	return d
}

// GiveUp ends the wait of a request.
func (p *Part) GiveUp(name string) {
	if c, ok := p.customers[name]; ok {
		c.waiting = max(c.waiting-1, 0)
	}
}

func (p *Part) decide(now time.Time, c *customer, limit Limit) Decision {
	if until, ok := c.spend(now); ok {
		return Admit{ReturnUntil: until}
	}
	if p.IsAlone(now) {
		return p.decideAlone(now, c, limit)
	}
	if now.Before(c.outUntil) {
		return Refuse{Until: c.outUntil}
	}
	// Hosts that act for the owner have no debt: together they would exceed the debt limit.
	if p.isOwner && int(c.total-c.acknowledged) < p.debt {
		c.total++
		c.dirty, p.dirty = true, true
		return Admit{ReturnUntil: now.Add(CreditLifetime)}
	}
	return Wait{}
}

// decideAlone spends the share of the part, or of this host, without the coordinator.
func (p *Part) decideAlone(now time.Time, c *customer, limit Limit) Decision {
	share := minorityShare / float64(p.parts)
	if !p.isOwner {
		share /= float64(p.hosts)
	}
	if c.alone.at.Before(p.aloneSince) {
		c.alone = bucket{at: p.aloneSince}
	}
	rate := limit.Rate * share
	c.alone.refill(now, rate, capacity(limit, share))
	if c.alone.tokens < 1 {
		return Refuse{Until: now.Add(c.alone.untilOne(rate))}
	}
	c.alone.tokens--
	return Admit{}
}

// Return gives back a request that was admitted and not sent. What was admitted longer
// than CreditLifetime ago is not given back.
func (p *Part) Return(now time.Time, name string, a Admit) {
	if c, ok := p.customers[name]; ok && now.Before(a.ReturnUntil) {
		c.add(1, a.ReturnUntil)
	}
}

// Handle handles the reply of the coordinator. Waiting requests may be decided then.
func (p *Part) Handle(now time.Time, coordinator string, r Reply) {
	sentAt, ok := p.sent[r.Number]
	if coordinator != p.coordinator || !ok {
		return
	}
	delete(p.sent, r.Number)
	p.unanswered = time.Time{}
	if !now.Before(p.formerUntil) {
		if r.Stamp > p.echo {
			// The coordinator counts the part from the first echo on.
			p.dirty = p.dirty || p.echo == 0 && p.isOwner
			p.echo = r.Stamp
			p.leaseUntil = now.Add(LeaseTime)
		}
		p.aloneSince = time.Time{}
	}
	for _, ack := range r.Acks {
		c, ok := p.customers[ack.Customer]
		if !ok {
			continue
		}
		c.acknowledged = max(c.acknowledged, min(ack.Total, c.total))
		if until := sentAt.Add(CreditLifetime); ack.Credit > 0 && now.Before(until) {
			c.add(ack.Credit, until)
		}
		c.outUntil = time.Time{}
		if ack.OutFor > 0 {
			c.outUntil = now.Add(ack.OutFor)
		}
	}
}

// Flush returns the report that is due, if any.
func (p *Part) Flush(now time.Time) (r Report, ok bool) {
	if at := p.NextWake(); at.IsZero() || now.Before(at) {
		return Report{}, false
	}
	p.number++
	r = Report{Part: p.name, Sender: p.sender, Number: p.number, IsOwner: p.isOwner}
	if !now.Before(p.formerUntil) {
		r.Echo = p.echo
	}
	for name, c := range p.customers {
		if !c.dirty && c.total == c.acknowledged && c.waiting == 0 {
			continue
		}
		left := 0
		for _, l := range c.lots {
			if now.Before(l.until) {
				left += l.count
			}
		}
		r.Charges = append(r.Charges, Charge{Customer: name, Total: c.total, Acknowledged: c.acknowledged, Demand: c.demand, Left: left, Waiting: c.waiting})
		c.demand, c.dirty = 0, false
	}
	for number, at := range p.sent {
		if now.Sub(at) > LeaseTime || len(p.sent) >= maxUnanswered {
			delete(p.sent, number)
		}
	}
	p.sent[p.number] = now
	if p.unanswered.IsZero() || now.Sub(p.lastFlush) >= silenceMemory {
		p.unanswered = now
	}
	p.lastFlush, p.dirty = now, false
	return r, true
}

// NextWake returns when Flush is due, or the zero time.
func (p *Part) NextWake() time.Time {
	switch {
	case len(p.limits) == 0:
		return time.Time{}
	case p.dirty:
		return p.lastFlush.Add(BatchInterval)
	case p.isOwner:
		return p.lastFlush.Add(AnnounceInterval)
	default:
		return time.Time{}
	}
}
