package wagsite

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testServices() []Service {
	return []Service{{Name: "lots", HealthPath: "/healthz", Connections: 240}, {Name: "assays", HealthPath: "/healthz", Connections: 240}}
}

func testRoute(name, host, prefix, service string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Goal: 250 * time.Millisecond, Attempts: 2,
		TrafficSplit: []WeightedService{{Service: service, Weight: 1}},
	}
}

// Guards against requests that get a route with a shorter prefix, a route of another
// host, or a route whose prefix ends in the middle of a path element.
func TestMatch(t *testing.T) {
	c, err := New(7, Limits{}, testServices(), []Route{
		testRoute("all", "A.example", "/", "lots"),
		testRoute("lots", "a.example", "/lots/", "lots"),
		testRoute("open", "a.example", "/lots/open/", "assays"),
		testRoute("other", "b.example", "/lots/", "assays"),
	})
	is.New(t).NoErr(err)
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/lots/open/1", "open"},
		{"a.example", "/lots/open/", "open"},
		{"a.example", "/lots/open", "lots"},
		{"a.example", "/lots/1", "lots"},
		{"a.example", "/lotsopen", "all"},
		{"A.EXAMPLE:8080", "/lots/1", "lots"},
		{"b.example", "/lots/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/lots/1", ""},
		{"", "/lots/1", ""},
	} {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			name := ""
			if r := c.Match(tt.host, tt.path); r != nil {
				name = r.Name
			}
			is.Equal(name, tt.want)
		})
	}
}

// Guards against a configuration that comes into force with a route that can match
// no request or has no server to send it to.
func TestNewRejects(t *testing.T) {
	for name, change := range map[string]func(*Route){
		"no host":          func(r *Route) { r.Host = "" },
		"no final slash":   func(r *Route) { r.Prefix = "/lots" },
		"relative prefix":  func(r *Route) { r.Prefix = "lots/" },
		"no attempts":      func(r *Route) { r.Attempts = 0 },
		"no timeout":       func(r *Route) { r.Timeout = 0 },
		"unknown service":  func(r *Route) { r.TrafficSplit[0].Service = "none" },
		"negative weight":  func(r *Route) { r.TrafficSplit[0].Weight = -1 },
		"huge weight":      func(r *Route) { r.TrafficSplit[0].Weight = 1 << 60 },
		"no weight":        func(r *Route) { r.TrafficSplit[0].Weight = 0 },
		"no service":       func(r *Route) { r.TrafficSplit = nil },
		"same prefix":      func(r *Route) { r.Prefix = "/lots/" },
		"same, upper case": func(r *Route) { r.Host, r.Prefix = "A.EXAMPLE", "/lots/" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := testRoute("second", "a.example", "/second/", "lots")
			change(&r)
			_, err := New(1, Limits{}, testServices(), []Route{testRoute("first", "a.example", "/lots/", "lots"), r})
			is.True(err != nil)
		})
	}
}

// Guards against services that get more or less than their share in a short run of
// requests, as random selection would give.
func TestTrafficSplitIsEven(t *testing.T) {
	is := is.New(t)
	r := testRoute("split", "a.example", "/", "lots")
	r.TrafficSplit = []WeightedService{{Service: "lots", Weight: 90}, {Service: "assays", Weight: 10}}
	c, err := New(1, Limits{}, testServices(), []Route{r})
	is.NoErr(err)
	route := c.Match("a.example", "/")
	const window = 200
	for start := uint64(0); start < 5000; start += 37 {
		assays := 0
		for n := start; n < start+window; n++ {
			if route.SelectService(n) == "assays" {
				assays++
			}
		}
		is.True(assays >= 17 && assays <= 23) // the weights ask for 20 of 200
	}
}

// Guards against an invalid route that affects the others, or whose requests match a
// shorter prefix and reach a service that the route does not name.
func TestNewPartial(t *testing.T) {
	is := is.New(t)
	invalid := testRoute("invalid", "A.example", "/lots/open/", "none")
	c := NewPartial(3, Limits{}, testServices(), []Route{
		testRoute("all", "a.example", "/", "lots"), invalid, testRoute("no prefix", "a.example", "", "lots"),
		testRoute("again", "a.example", "/", "assays"), {Name: "typed", Host: "a.example", Prefix: "/typed/", Unusable: "field timeout is a text"},
	})
	is.Equal(len(c.Warnings), 4)
	r := c.Match("a.example", "/lots/open/1")
	is.Equal(r.Name, "invalid")
	is.True(r.Unusable != "")
	is.Equal(r.SelectService(1), "")
	is.True(c.Match("a.example", "/typed/1").Unusable != "")
	is.Equal(c.Match("a.example", "/lots/1").SelectService(1), "lots")
}
