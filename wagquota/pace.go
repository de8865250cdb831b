package wagquota

import (
	"math"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// paceTime is the time constant of the rate of admissions.
	paceTime = time.Second
	// maxReturnTime bounds how far ahead returns of refused requests are spread. Callers
	// rarely wait longer, and demand changes meanwhile.
	maxReturnTime = 2 * time.Second
)

// pace spreads the times at which refused requests of a customer may return, at the rate at
// which its requests are admitted. If all returned with the next token, one would be admitted
// and the others refused again, and they would take the tokens of new requests.
type pace struct {
	// admissions is the rate of admissions per second at the time at.
	admissions float64
	at         time.Time
	// nextReturn is when the refused request after the latest one may return.
	nextReturn time.Time
}

func (p *pace) recordAdmission(now time.Time) {
	p.admissions = p.rate(now) + 1/paceTime.Seconds()
	p.at = now
}

// rate returns the rate of admissions at a time.
func (p *pace) rate(now time.Time) float64 {
	return p.admissions * math.Exp(-now.Sub(p.at).Seconds()/paceTime.Seconds())
}

// next returns when a request that is refused now may return, which is not before from. The
// rate of admissions counts as minRate at least.
func (p *pace) next(now, from time.Time, minRate float64) time.Time {
	at := wagclock.Earlier(wagclock.Later(from, p.nextReturn), wagclock.Later(from, now.Add(maxReturnTime)))
	p.nextReturn = at.Add(time.Duration(float64(time.Second) / max(p.rate(now), minRate, 1/maxReturnTime.Seconds())))
	return at
}
