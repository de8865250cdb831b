// Package wagsite holds the configuration of a site: which requests go to which
// services and how each of them is treated. A configuration has one version and
// is put in force as a whole. The package does no input or output.
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

// Config is the configuration of a site. It is never changed after New returned
// it, so that requests share it without locks.
type Config struct {
	Version  Version
	Limits   Limits
	services map[string]Service
	// routes holds the routes of each host name in lower case, those with the
	// longest prefix first.
	routes map[string][]*Route
}

// Limits bounds what one caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time for a header, IdleTimeout that between two
	// requests of a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a service whose servers run requests.
type Service struct {
	Name string
	// HealthPath is what probes ask a server for.
	HealthPath string
	// Connections bounds the connections to one server, of all hosts together.
	Connections int
}

// Route tells how requests with one host name and path prefix are treated.
type Route struct {
	Name string
	// Host is the value of the Host header, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once, others at most once.
	Idempotent bool
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer is of full use to the caller.
	Goal time.Duration
	// Attempts is the greatest number of servers one request is sent to, 1 or more.
	Attempts int
	// Rank orders routes by urgency; 0 comes first.
	Rank int
	// TrafficSplit is never empty, and the sum of its weights is above 0.
	TrafficSplit []WeightedService
	// total is the sum of the weights.
	total int
}

// WeightedService is the share of a route that goes to one service.
type WeightedService struct {
	Service string
	Weight  int
}

// maxWeight bounds a weight, so that the sum of all weights of a route is exact.
const maxWeight = 1_000_000

// New checks the parts of a configuration and returns it. Names of hosts are
// compared without regard to case.
func New(version Version, limits Limits, services []Service, routes []Route) (c *Config, err error) {
	defer func() { err = errors.WithMessagef(err, "configuration version %d", version) }()
	c = &Config{Version: version, Limits: limits, services: make(map[string]Service), routes: make(map[string][]*Route)}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.add(r); err != nil {
			return nil, err
		}
	}
	for _, list := range c.routes {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func (c *Config) add(r Route) (err error) {
	defer func() { err = errors.WithMessagef(err, "route %q", r.Name) }()
	if r.Host == "" {
		return errors.New("the host name is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
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
		r.total += p.Weight
	}
	if r.total == 0 {
		return errors.New("no service has a weight above 0")
	}
	if slices.ContainsFunc(c.routes[r.Host], func(o *Route) bool { return o.Prefix == r.Prefix }) {
		return errors.Errorf("prefix %q is there twice", r.Prefix)
	}
	c.routes[r.Host] = append(c.routes[r.Host], &r)
	return nil
}

// Match returns the route of a request, or nil. The port of a Host header is
// ignored.
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

// SelectService returns the service of the n-th request of the route. Any run of
// consecutive numbers gives each part its share within one request a part,
// because the numbers are spread evenly over the weights.
func (r *Route) SelectService(n uint64) string {
	if len(r.TrafficSplit) == 1 {
		return r.TrafficSplit[0].Service
	}
	// Multiples of the golden ratio fill the unit interval evenly.
	const golden = 0x9e3779b97f4a7c15
	point := int((n * golden >> 32) * uint64(r.total) >> 32)
	for _, p := range r.TrafficSplit {
		if point < p.Weight {
			return p.Service
		}
		point -= p.Weight
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}
