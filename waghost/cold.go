package waghost

import "github.com/wagtailspar/wagtailspar/wagsite"

// coldRates returns the rates of cold servers by service.
func coldRates(c *wagsite.Config) map[string]float64 {
	rates := make(map[string]float64)
	for _, service := range c.Services() {
		if service.ColdRate > 0 {
			rates[service.Name] = service.ColdRate
		}
	}
	return rates
}

// registerColdMetrics registers the metrics of cold servers.
func (s *SiteHost) registerColdMetrics() {
	s.metrics.RegisterGauge("site_cold_servers", "Servers of the own data centre that are cold, as this host knows.", func() float64 { return float64(s.owner.ColdServers()) })
}
