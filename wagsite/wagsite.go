// Package wagsite holds the configuration of a site: which requests go to which
// services, and with which limits. A configuration has one version and comes into
// force as a whole. The package does no I/O.
package wagsite

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Version orders the configurations of a site. Versions increase, with gaps.
type Version uint64

// Config is the configuration of a site. It does not change after New has returned
// it, so requests share it without locks.
type Config struct {
	Version Version
	Limits  Limits
	// Warnings describes the parts of the configuration that are not used as written.
	Warnings []string
	services map[string]Service
	// routes maps host names in lower case to their routes. The longest prefix comes
	// first.
	routes map[string][]*Route
	// needsKeys reports whether requests need a key, unless their route is public.
	// customers holds the customers, ordered by name, and customerByKey those that hold a
	// key.
	needsKeys     bool
	customers     []*Customer
	customerByKey map[KeyDigest]*Customer
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time until the header of a request has arrived.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
}

// Service describes a service, whose servers run requests.
type Service struct {
	Name string
	// HealthPath is the path that probes request.
	HealthPath string
	// Connections bounds the connections of all hosts together to one server.
	Connections int
	// ColdRate is the number of requests a second that a server tolerates while it is
	// cold; 0 means any number.
	ColdRate float64
}

// Route configures the requests with one host name and path prefix.
type Route struct {
	Name string
	// Host is the value of the Host header, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent marks requests that may run more than once. Others run at most once.
	Idempotent bool
	// Timeout bounds the time from the arrival of a request to its response.
	Timeout time.Duration
	// Goal is the latency objective: a later response is of less use to the caller.
	Goal time.Duration
	// Attempts bounds the attempts of one request. It is 1 or more.
	Attempts int
	// Rank orders routes by priority. 0 is the most urgent.
	Rank int
	// Public marks a route whose requests need no key of a customer.
	Public bool
	// TrafficSplit lists the services that share the requests. It is never empty, and
	// the sum of its weights is above 0, unless the route is unusable.
	TrafficSplit []WeightedService
	// Unusable is why no request of the route can be sent to a server; empty for a
	// usable route. An unusable route stays in the configuration, so that its requests
	// are not sent to the services of a shorter prefix.
	Unusable string
	// totalWeight is the sum of the weights of TrafficSplit.
	totalWeight int
}

// WeightedService is a service with its share of the requests of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// maxWeight bounds a weight, so that the sum of all weights of a route is exact.
const maxWeight = 1_000_000

// New returns a configuration after checking its routes. Host names are compared
// without regard to case.
func New(version Version, limits Limits, services []Service, routes []Route, opts ...ConfigOption) (c *Config, err error) {
	defer func() { err = errors.WithMessagef(err, "configuration version %d", version) }()
	c = newConfig(version, limits, services, opts)
	for _, r := range routes {
		if err := c.addRoute(r); err != nil {
			return nil, err
		}
	}
	c.sortRoutes()
	return c, nil
}

// NewPartial returns a configuration like New, but an invalid route does not affect the
// others: it becomes unusable, or is left out when it has no valid host name or prefix,
// or when another route has the same. Warnings names each such route.
func NewPartial(version Version, limits Limits, services []Service, routes []Route, opts ...ConfigOption) *Config {
	c := newConfig(version, limits, services, opts)
	for _, r := range routes {
		err := c.addRoute(r)
		if err == nil {
			continue
		}
		c.Warnings = append(c.Warnings, err.Error())
		c.addUnusableRoute(r, err)
	}
	c.sortRoutes()
	return c
}

func newConfig(version Version, limits Limits, services []Service, opts []ConfigOption) *Config {
	c := &Config{Version: version, Limits: limits, services: make(map[string]Service), routes: make(map[string][]*Route)}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

func (c *Config) sortRoutes() {
	for _, list := range c.routes {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// addUnusableRoute adds an invalid route without services if its prefix is valid and
// not taken.
func (c *Config) addUnusableRoute(r Route, cause error) {
	if checkPrefix(r) != nil || c.hasPrefix(r) {
		return
	}
	r.Host = strings.ToLower(r.Host)
	r.TrafficSplit, r.Unusable = nil, cause.Error()
	r.Attempts, r.Timeout = max(r.Attempts, 1), max(r.Timeout, time.Millisecond)
	c.routes[r.Host] = append(c.routes[r.Host], &r)
}

// checkPrefix checks what a route needs to match requests.
func checkPrefix(r Route) error {
	if r.Host == "" {
		return errors.New("the host name is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	return nil
}

// hasPrefix reports whether a route with the host name and prefix of r exists.
func (c *Config) hasPrefix(r Route) bool {
	return slices.ContainsFunc(c.routes[strings.ToLower(r.Host)], func(other *Route) bool { return other.Prefix == r.Prefix })
}

func (c *Config) addRoute(r Route) (err error) {
	defer func() { err = errors.WithMessagef(err, "route %q", r.Name) }()
	if r.Unusable != "" {
		return errors.New(r.Unusable)
	}
	if err := checkPrefix(r); err != nil {
		return err
	}
	if r.Attempts < 1 || r.Timeout <= 0 {
		return errors.Errorf("attempts %d and timeout %s must be above 0", r.Attempts, r.Timeout)
	}
	r.Host = strings.ToLower(r.Host)
	for _, p := range r.TrafficSplit {
		if _, ok := c.services[p.Service]; !ok {
			return errors.Errorf("service %q does not exist", p.Service)
		}
		if p.Weight < 0 || p.Weight > maxWeight {
			return errors.Errorf("weight %d of service %q is not between 0 and %d", p.Weight, p.Service, maxWeight)
		}
		r.totalWeight += p.Weight
	}
	if r.totalWeight == 0 {
		return errors.New("no service has a weight above 0")
	}
	if c.hasPrefix(r) {
		return errors.Errorf("prefix %q occurs twice", r.Prefix)
	}
	c.routes[r.Host] = append(c.routes[r.Host], &r)
	return nil
}

// Match returns the route with the longest prefix that matches a request, or nil. It
// ignores the port of the Host header, unless a route names the host with the port.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := c.routes[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		list = c.routes[name]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, ordered by name.
func (c *Config) Services() []Service {
	list := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Routes returns all routes, ordered by host name and prefix.
func (c *Config) Routes() []*Route {
	var list []*Route
	for _, routes := range c.routes {
		list = append(list, routes...)
	}
	slices.SortFunc(list, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	return list
}

// SelectService returns the service of the n-th request of the route. In every run
// of consecutive requests each service gets close to its share, because consecutive
// numbers are spread evenly over the weights. An unusable route has no service.
func (r *Route) SelectService(n uint64) string {
	if len(r.TrafficSplit) == 0 {
		return ""
	}
	if len(r.TrafficSplit) == 1 {
		return r.TrafficSplit[0].Service
	}
	// Multiples of the golden ratio fill the unit interval evenly.
	const goldenRatio = 0x9e3779b97f4a7c15
	point := int((n * goldenRatio >> 32) * uint64(r.totalWeight) >> 32)
	for _, p := range r.TrafficSplit {
		if point < p.Weight {
			return p.Service
		}
		point -= p.Weight
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}
