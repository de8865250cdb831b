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

// Guards against requests that take a route with a shorter prefix, another host's
// route or one whose prefix is only a part of a path element.
func TestMatch(t *testing.T) {
	c, err := New(7, Limits{}, testServices(), []Route{
		testRoute("all", "A.example", "/", "lots"),
		testRoute("lots", "a.example", "/lots/", "lots"),
		testRoute("open", "a.example", "/lots/open/", "assays"),
		testRoute("other", "b.example", "/lots/", "assays"),
	})
	is.New(t).NoErr(err)
	for _, x := range []struct{ host, path, want string }{
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
		t.Run(x.host+x.path, func(t *testing.T) {
			is := is.New(t)
			name := ""
			if r := c.Match(x.host, x.path); r != nil {
				name = r.Name
			}
			is.Equal(name, x.want)
		})
	}
}

// Guards against a configuration that is put in force although a part of it has no
// meaning.
func TestNewRejects(t *testing.T) {
	for name, change := range map[string]func(*Route){
		"no host":           func(r *Route) { r.Host = "" },
		"bare prefix":       func(r *Route) { r.Prefix = "/lots" },
		"relative prefix":   func(r *Route) { r.Prefix = "lots/" },
		"no attempts":       func(r *Route) { r.Attempts = 0 },
		"no timeout":        func(r *Route) { r.Timeout = 0 },
		"unknown service":   func(r *Route) { r.TrafficSplit[0].Service = "none" },
		"negative weight":   func(r *Route) { r.TrafficSplit[0].Weight = -1 },
		"huge weight":       func(r *Route) { r.TrafficSplit[0].Weight = 1 << 60 },
		"no weight":         func(r *Route) { r.TrafficSplit[0].Weight = 0 },
		"no service":        func(r *Route) { r.TrafficSplit = nil },
		"same place":        func(r *Route) { r.Prefix = "/lots/" },
		"same place, upper": func(r *Route) { r.Host, r.Prefix = "A.EXAMPLE", "/lots/" },
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

// Guards against splits whose parts get other shares than their weights within a
// short run of requests, which random selection would give.
func TestSplitIsEven(t *testing.T) {
	is := is.New(t)
	r := testRoute("split", "a.example", "/", "lots")
	r.TrafficSplit = []WeightedService{{Service: "lots", Weight: 90}, {Service: "assays", Weight: 10}}
	c, err := New(1, Limits{}, testServices(), []Route{r})
	is.NoErr(err)
	route := c.Match("a.example", "/")
	const run = 200
	for start := uint64(0); start < 5000; start += 37 {
		few := 0
		for n := start; n < start+run; n++ {
			if route.SelectService(n) == "assays" {
				few++
			}
		}
		is.True(few >= 17 && few <= 23) // 20 in 200 are meant
	}
}
