package wagload

import (
	"slices"
	"time"
)

// Result tells how well callers were served. All values are shares of what they
// could have had.
type Result struct {
	// Overall is the worth of the answers of the whole run, WorstWindows that of the two worst
	// seconds, WorstRoute that of the worst route.
	Overall, WorstWindows, WorstRoute float64
	// Served is the share of requests that got an answer before their deadline.
	Served float64
}

// Weights of the users for the parts of a day.
const (
	dayWeight    = 0.28
	windowWeight = 0.4
	routeWeight  = 0.12
	servedWeight = 0.2
)

// Score joins the parts of a result.
func (r Result) Score() float64 {
	return dayWeight*r.Overall + windowWeight*r.WorstWindows + routeWeight*r.WorstRoute + servedWeight*r.Served
}

// share is a part of what there was to win.
type share struct{ got, all float64 }

func (s share) value() float64 {
	if s.all == 0 {
		return 1
	}
	return s.got / s.all
}

// worstWindows is how many windows of a second count as the worst.
const worstWindows = 2

func (x *run) result() (r Result) {
	var day, served share
	routes, windows := make(map[string]share), make(map[time.Duration]share)
	add := func(s *share, got, all float64) { s.got, s.all = s.got+got, s.all+all }
	for _, q := range x.requests {
		worth, got := 0.0, 0.0
		switch {
		case q.answered.IsZero() || q.answered.After(q.deadline):
		case q.answered.After(q.goal):
			worth, got = q.route.LateValue, 1
		default:
			worth, got = q.route.Value, 1
		}
		add(&served, got, 1)
		add(&day, worth, q.route.Value)
		second := q.arrived.Sub(start).Truncate(time.Second)
		window, route := windows[second], routes[q.route.Name]
		add(&window, worth, q.route.Value)
		add(&route, worth, q.route.Value)
		windows[second], routes[q.route.Name] = window, route
	}
	r.Overall, r.Served, r.WorstRoute = day.value(), served.value(), 1
	for _, s := range routes {
		r.WorstRoute = min(r.WorstRoute, s.value())
	}
	var values []float64
	for _, s := range windows {
		values = append(values, s.value())
	}
	slices.Sort(values)
	worst := values[:min(worstWindows, len(values))]
	for _, v := range worst {
		r.WorstWindows += v / float64(len(worst))
	}
	return r
}
