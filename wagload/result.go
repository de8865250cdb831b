package wagload

import (
	"slices"
	"time"
)

// Result is how well callers were served. All values are shares of the highest possible
// value.
type Result struct {
	// Overall is the value of the responses of the whole run, WorstWindows that of the two
	// worst seconds, WorstRoute that of the worst route.
	Overall, WorstWindows, WorstRoute float64
	// Served is the share of requests that were answered before their deadline.
	Served float64
	// Crashes counts the crashes of cold servers that got too many requests.
	Crashes int
}

// Weights that the users give to the parts of a result.
const (
	overallWeight      = 0.28
	worstWindowsWeight = 0.4
	worstRouteWeight   = 0.12
	servedWeight       = 0.2
)

// Score returns the weighted sum of the parts of a result.
func (r Result) Score() float64 {
	return overallWeight*r.Overall + worstWindowsWeight*r.WorstWindows + worstRouteWeight*r.WorstRoute + servedWeight*r.Served
}

// share is a part of a total.
type share struct{ got, total float64 }

func (s share) value() float64 {
	if s.total == 0 {
		return 1
	}
	return s.got / s.total
}

// worstWindowCount is how many windows of one second WorstWindows covers.
const worstWindowCount = 2

func (x *run) result() (r Result) {
	var overall, served share
	routes, windows := make(map[string]share), make(map[time.Duration]share)
	add := func(s *share, got, total float64) { s.got, s.total = s.got+got, s.total+total }
	for _, req := range x.requests {
		value, got := 0.0, 0.0
		switch {
		case req.answeredAt.IsZero() || req.answeredAt.After(req.deadline):
		case req.answeredAt.After(req.goal):
			value, got = req.route.LateValue, 1
		default:
			value, got = req.route.Value, 1
		}
		add(&served, got, 1)
		add(&overall, value, req.route.Value)
		second := req.arrivedAt.Sub(start).Truncate(time.Second)
		window, route := windows[second], routes[req.route.Name]
		add(&window, value, req.route.Value)
		add(&route, value, req.route.Value)
		windows[second], routes[req.route.Name] = window, route
	}
	r.Overall, r.Served, r.WorstRoute = overall.value(), served.value(), 1
	for _, s := range routes {
		r.WorstRoute = min(r.WorstRoute, s.value())
	}
	for _, s := range x.servers {
		r.Crashes += s.cold.crashes
	}
	var values []float64
	for _, s := range windows {
		values = append(values, s.value())
	}
	slices.Sort(values)
	worst := values[:min(worstWindowCount, len(values))]
	for _, v := range worst {
		r.WorstWindows += v / float64(len(worst))
	}
	return r
}
