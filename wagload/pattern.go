package wagload

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Route is a kind of requests.
type Route struct {
	Name      string
	PerSecond float64
	// ServiceTime is the median time at a server that is not slow. Goal and Deadline are how
	// long an answer is of full and of any use.
	ServiceTime, Goal, Deadline time.Duration
	// Value is what an answer in time counts, LateValue what a later one does.
	Value, LateValue float64
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// Rank orders routes by urgency; 0 comes first.
	Rank int
}

// Pattern is a load on the servers of one service in one data centre.
type Pattern struct {
	Name string
	// Servers have Slots each and a queue of their own; what comes beyond is rejected.
	Servers, Slots, QueueLimit int
	Routes                     []Route
	Duration                   time.Duration
	Phases                     []Phase
}

// Phase changes the load or some servers for a while.
type Phase struct {
	From, Until time.Duration
	// DemandFactor multiplies the rates of all routes; 0 leaves them.
	DemandFactor float64
	// AffectedServers is how many servers the rest is about, beginning with the first.
	AffectedServers int
	// ServiceTimeFactor multiplies the work at the servers; 0 leaves it.
	ServiceTimeFactor float64
	// Hidden tells that the servers do not report Factor.
	Hidden bool
	// ErrorShare is the share of their requests that end with an error.
	ErrorShare float64
	// Silent tells that they take requests and do not answer.
	Silent bool
	// Down tells that they accept no connection.
	Down bool
}

func (p *Phase) holds(at time.Duration) bool { return p.From <= at && at < p.Until }

// demand returns the factor of all rates.
func (p *Pattern) demand(at time.Duration) float64 {
	d := 1.0
	for n := range p.Phases {
		if x := &p.Phases[n]; x.holds(at) && x.DemandFactor > 0 {
			d *= x.DemandFactor
		}
	}
	return d
}

// Services of the two users in one of their data centres.
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

// Patterns returns all patterns.
func Patterns() (list []Pattern) {
	const length = 30 * time.Second
	phases := []struct {
		name   string
		phases []Phase
	}{
		{"calm", nil},
		// The demand of a crest exceeds what the servers can do.
		{"crest", []Phase{{From: 8 * time.Second, Until: 14 * time.Second, DemandFactor: 4.5}}},
		{"wave", []Phase{{From: 6 * time.Second, Until: 24 * time.Second, DemandFactor: 2.5}}},
		{"slow", []Phase{{From: 8 * time.Second, Until: 16 * time.Second, AffectedServers: 2, ServiceTimeFactor: 8}}},
		{"hiddenSlow", []Phase{{From: 8 * time.Second, Until: 16 * time.Second, AffectedServers: 2, ServiceTimeFactor: 8, Hidden: true}}},
		{"grey", []Phase{{From: 8 * time.Second, Until: 20 * time.Second, AffectedServers: 1, ErrorShare: 0.5}}},
		// All servers fail a few requests, so that most of a group has failed lately.
		{"failing", []Phase{{From: 8 * time.Second, Until: 20 * time.Second, AffectedServers: 5, ErrorShare: 0.05}}},
		{"silent", []Phase{{From: 8 * time.Second, Until: 14 * time.Second, AffectedServers: 2, Silent: true}}},
		{"down", []Phase{{From: 8 * time.Second, Until: 14 * time.Second, AffectedServers: 2, Down: true}}},
		{"slowAtCrest", []Phase{
			{From: 8 * time.Second, Until: 16 * time.Second, DemandFactor: 2.5},
			{From: 9 * time.Second, Until: 14 * time.Second, AffectedServers: 2, ServiceTimeFactor: 5},
		}},
	}
	services := []struct {
		name    string
		service Pattern
	}{{"lotDesk", lotDesk}, {"ordering", ordering}}
	for _, s := range services {
		for _, x := range phases {
			p := s.service
			p.Name, p.Phases, p.Duration = s.name+"/"+x.name, x.phases, length
			list = append(list, p)
		}
	}
	return list
}

// FindPattern returns the pattern with a name.
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

// logNormal returns a random number with a median of 1.
func logNormal(r *rand.Rand, spread float64) float64 { return math.Exp(r.NormFloat64() * spread) }
