package wagquota

import "time"

// customer is the state of a customer at a part.
type customer struct {
	total, acknowledged uint64
	demand, waiting     int
	// lots holds the credit, the earliest first.
	lots     []lot
	outUntil time.Time
	alone    bucket
	dirty    bool
}

// lot is credit that may be spent until a time.
type lot struct {
	count int
	until time.Time
}

// spend spends the credit that expires first. It returns when that expires.
func (c *customer) spend(now time.Time) (until time.Time, ok bool) {
	for len(c.lots) > 0 && !now.Before(c.lots[0].until) {
		c.lots = c.lots[1:]
	}
	if len(c.lots) == 0 {
		return time.Time{}, false
	}
	until = c.lots[0].until
	if c.lots[0].count--; c.lots[0].count == 0 {
		c.lots = c.lots[1:]
	}
	return until, true
}

// add adds credit that may be spent until a time.
func (c *customer) add(count int, until time.Time) {
	i := len(c.lots)
	for i > 0 && until.Before(c.lots[i-1].until) {
		i--
	}
	c.lots = append(c.lots, lot{})
	copy(c.lots[i+1:], c.lots[i:])
	c.lots[i] = lot{count, until}
}
