package wagowner

import "github.com/wagtailspar/wagtailspar/wagplacement"

// SetColdRates sets how many requests per second a cold server of each service tolerates;
// services that are not listed have no bound. Without Limits.ColdOverage it has no effect.
func (o *Owner) SetColdRates(rates map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.coldRates = rates
	for _, g := range o.groups {
		o.setColdRate(g)
	}
}

// setColdRate passes the share of this host in the bound on cold servers to the scheduler
// of a group. The caller must hold o.mu.
func (o *Owner) setColdRate(g *group) {
	rate := o.coldRates[g.service]
	if o.limits.ColdOverage <= 0 || rate <= 0 {
		g.scheduler.SetColdRate(0, 0)
		return
	}
	g.scheduler.SetColdRate(wagplacement.ShareColdBound(rate, o.limits.ColdOverage, o.limits.ColdSlack))
}

// ColdServers returns the number of cold servers of all services in the data centre of the
// owner.
func (o *Owner) ColdServers() (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for _, g := range o.groups {
		n += g.scheduler.CountCold(now)
	}
	return n
}
