package waghost

import (
	"github.com/wagtailspar/wagtailspar/wagquota"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// quotaLimits returns the limits of the customers that have one.
func quotaLimits(c *wagsite.Config) wagquota.Limits {
	limits := make(wagquota.Limits)
	for _, customer := range c.Customers() {
		if customer.HasLimit() {
			limits[customer.Name] = wagquota.Limit{Rate: customer.Rate, Burst: customer.Burst}
		}
	}
	return limits
}

// registerQuotaMetrics registers the counts of quotas, if the settings turn them on.
func (s *SiteHost) registerQuotaMetrics() {
	if s.settings.Limits.Quota.Window <= 0 {
		return
	}
	s.metrics.RegisterGauge("site_quota_parts_alone", "Parts of quotas that this host spends by itself, because the coordinator does not answer.", func() float64 { return float64(s.owner.QuotaStats().PartsAlone) })
	s.metrics.RegisterCounter("site_quota_admitted_total", "Requests of limited customers that this host admitted as an owner.", func() float64 { return float64(s.owner.QuotaStats().Admitted) })
	s.metrics.RegisterCounter("site_quota_waited_total", "Requests that waited for credit of their customer.", func() float64 { return float64(s.owner.QuotaStats().Waited) })
	s.metrics.RegisterCounter("site_quota_refused_total", "Requests beyond the quota of their customer.", func() float64 { return float64(s.owner.QuotaStats().Refused) })
	s.metrics.RegisterCounter("site_quota_reports_sent_total", "Reports to quota coordinators on other hosts.", func() float64 { return float64(s.owner.QuotaStats().ReportsSent) })
	s.metrics.RegisterCounter("site_quota_reports_received_total", "Reports to this host as a quota coordinator.", func() float64 { return float64(s.owner.QuotaStats().ReportsReceived) })
}
