package wagload

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Route is one kind of request.
type Route struct {
	Name      string
	PerSecond float64
	// ServiceTime is the median on a server that is not slow. A response has its full
	// value within Goal after the arrival of the request, and none after Deadline.
	ServiceTime, Goal, Deadline time.Duration
	// Value is what a response by the goal counts, LateValue what a later one counts.
	Value, LateValue float64
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Rank is the urgency of the requests; 0 is the most urgent.
	Rank int
}

// Pattern is a load on the servers of one service in one data centre.
type Pattern struct {
	Name string
	// Each server has Slots slots and a queue of QueueLimit requests, and rejects further
	// requests.
	Servers, Slots, QueueLimit int
	Routes                     []Route
	Duration                   time.Duration
	Phases                     []Phase
}

// Phase changes the load or some servers for a while.
type Phase struct {
	From, Until time.Duration
	// DemandFactor multiplies the rates of all routes; 0 leaves them unchanged.
	DemandFactor float64
	// AffectedServers is how many servers the fields below apply to, from the first one
	// on.
	AffectedServers int
	// ServiceTimeFactor multiplies the service time on these servers; 0 leaves it
	// unchanged.
	ServiceTimeFactor float64
	// Hidden is set if the servers do not report ServiceTimeFactor.
	Hidden bool
	// ErrorShare is the share of their requests that end with an error.
	ErrorShare float64
	// Silent is set if the servers accept requests and send no responses.
	Silent bool
	// Down is set if the servers accept no connections.
	Down bool
	// ColdStart is set if the servers start at From and are cold at first. Servers that get
	// too many requests while they are cold crash. The baselines know nothing of it.
	ColdStart bool
}

// isActive reports whether the phase is active at a time after the start of the run.
func (p *Phase) isActive(at time.Duration) bool { return p.From <= at && at < p.Until }

// demandFactor returns the factor of all rates at a time after the start of the run.
func (p *Pattern) demandFactor(at time.Duration) float64 {
	factor := 1.0
	for n := range p.Phases {
		if x := &p.Phases[n]; x.isActive(at) && x.DemandFactor > 0 {
			factor *= x.DemandFactor
		}
	}
	return factor
}

// A service of each of the two users, as it runs in one data centre.
var (
	lotDesk = Pattern{Servers: 5, Slots: 6, QueueLimit: 12, Routes: []Route{
		{Name: "lot-status", PerSecond: 50, ServiceTime: 65 * time.Millisecond, Goal: 250 * time.Millisecond, Deadline: time.Second, Value: 1, LateValue: 0.1, Idempotent: true, Rank: 1},
		{Name: "purchase-commit", PerSecond: 16, ServiceTime: 85 * time.Millisecond, Goal: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond, Value: 2, LateValue: 0.2},
	}}
	ordering = Pattern{Servers: 5, Slots: 2, QueueLimit: 8, Routes: []Route{
		{Name: "stock-check", PerSecond: 13.5, ServiceTime: 76 * time.Millisecond, Goal: 300 * time.Millisecond, Deadline: 800 * time.Millisecond, Value: 1, LateValue: 0.1, Idempotent: true, Rank: 1},
		{Name: "band-order", PerSecond: 4.8, ServiceTime: 100 * time.Millisecond, Goal: 300 * time.Millisecond, Deadline: time.Second, Value: 2, LateValue: 0.2},
	}}
)

// lotDeskLarge is lotDesk in one data centre of a site with hundreds of servers, whose
// requests take six times as long.
var lotDeskLarge = Pattern{Servers: 84, Slots: 6, QueueLimit: 12, Routes: []Route{
	{Name: "lot-status", PerSecond: 165, ServiceTime: 360 * time.Millisecond, Goal: time.Second, Deadline: 5 * time.Second, Value: 1, LateValue: 0.1, Idempotent: true, Rank: 1},
	{Name: "purchase-commit", PerSecond: 54, ServiceTime: 460 * time.Millisecond, Goal: 1200 * time.Millisecond, Deadline: 6 * time.Second, Value: 2, LateValue: 0.2},
}}

// Patterns returns all patterns.
func Patterns() (list []Pattern) {
	const length = 30 * time.Second
	services := []struct {
		name    string
		service Pattern
	}{{"lotDesk", lotDesk}, {"ordering", ordering}, {"lotDeskLarge", lotDeskLarge}}
	for _, s := range services {
		for _, x := range phasesOf(s.service.Servers) {
			p := s.service
			p.Name, p.Phases, p.Duration = s.name+"/"+x.name, x.phases, length
			list = append(list, p)
		}
	}
	return list
}

// namedPhases are the phases of a pattern, with the second part of its name.
type namedPhases struct {
	name   string
	phases []Phase
}

// phasesOf returns the phases of the patterns for a number of servers.
func phasesOf(servers int) []namedPhases {
	// Faults affect a seventh of the servers, and two or one of a few servers.
	const share = 7
	two, one := max(2, servers/share), max(1, servers/share)
	return []namedPhases{
		{"calm", nil},
		// The demand of the peak exceeds the capacity of the servers.
		{"crest", []Phase{{From: 8 * time.Second, Until: 14 * time.Second, DemandFactor: 4.5}}},
		{"wave", []Phase{{From: 6 * time.Second, Until: 24 * time.Second, DemandFactor: 2.5}}},
		{"slow", []Phase{{From: 8 * time.Second, Until: 16 * time.Second, AffectedServers: two, ServiceTimeFactor: 8}}},
		{"hiddenSlow", []Phase{{From: 8 * time.Second, Until: 16 * time.Second, AffectedServers: two, ServiceTimeFactor: 8, Hidden: true}}},
		{"grey", []Phase{{From: 8 * time.Second, Until: 20 * time.Second, AffectedServers: one, ErrorShare: 0.5}}},
		// All servers fail a few requests, so that most servers of the group have failed
		// recently.
		{"failing", []Phase{{From: 8 * time.Second, Until: 20 * time.Second, AffectedServers: servers, ErrorShare: 0.05}}},
		{"silent", []Phase{{From: 8 * time.Second, Until: 14 * time.Second, AffectedServers: two, Silent: true}}},
		{"down", []Phase{{From: 8 * time.Second, Until: 14 * time.Second, AffectedServers: two, Down: true}}},
		// All servers return after a power failure or an evacuation of the data centre.
		{"coldReturn", []Phase{
			{From: 8 * time.Second, Until: 10 * time.Second, AffectedServers: servers, Down: true},
			{From: 10 * time.Second, Until: 10*time.Second + coldDuration, AffectedServers: servers, ColdStart: true},
		}},
		{"slowAtCrest", []Phase{
			{From: 8 * time.Second, Until: 16 * time.Second, DemandFactor: 2.5},
			{From: 9 * time.Second, Until: 14 * time.Second, AffectedServers: two, ServiceTimeFactor: 5},
		}},
	}
}

// FindPattern returns the pattern with the given name.
func FindPattern(name string) (p Pattern, err error) {
	var names []string
	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return p, errors.Errorf("unknown pattern %q (allowed: %s)", name, strings.Join(names, ", "))
}

// logNormal draws a number from a log-normal distribution with a median of 1.
func logNormal(r *rand.Rand, spread float64) float64 { return math.Exp(r.NormFloat64() * spread) }
