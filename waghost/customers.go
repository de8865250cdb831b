package waghost

// registerCustomerMetrics registers the metrics of customers. None has a label for the
// customer, because configurations may have any number of them.
func (s *SiteHost) registerCustomerMetrics() {
	s.metrics.RegisterGauge("site_customers", "Customers in the configuration in force.", func() float64 {
		customers, _ := s.gateway.CustomerCounts()
		return float64(customers)
	})
	s.metrics.RegisterGauge("site_customer_keys", "Keys of customers in the configuration in force.", func() float64 {
		_, keys := s.gateway.CustomerCounts()
		return float64(keys)
	})
}
