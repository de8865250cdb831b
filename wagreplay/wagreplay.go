// Package wagreplay replays the requests of a trace in virtual time, with the
// scheduler of wagrouting and with baselines. Servers, hosts and the delays
// between them are simulated; the routing decisions are those of the real
// scheduler.
package wagreplay

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagrouting"
	"github.com/wagtailspar/wagtailspar/wagtrace"
)

// Names of policies.
const (
	Omniscient        = "omniscient"
	GroupOwner        = "groupOwner"
	SlotShares        = "slotShares"
	RandomChoice      = "random"
	RoundRobin        = "roundRobin"
	LeastOutstanding  = "leastOutstanding"
	TwoChoices        = "twoChoices"
	TwoChoicesReports = "twoChoicesReports"
)

// Policies lists the names of all policies.
func Policies() []string {
	return []string{Omniscient, GroupOwner, SlotShares, TwoChoicesReports, TwoChoices, LeastOutstanding, RoundRobin, RandomChoice}
}

var policies = map[string]wagrouting.Policy{
	GroupOwner:        wagrouting.GroupOwner{},
	SlotShares:        wagrouting.SlotShares{},
	RandomChoice:      wagrouting.Random{},
	RoundRobin:        wagrouting.RoundRobin{},
	LeastOutstanding:  wagrouting.LeastOutstanding{},
	TwoChoices:        wagrouting.TwoChoices{},
	TwoChoicesReports: wagrouting.TwoChoicesReports{},
}

// Variants of a run, which outcomes name as POLICY/VARIANT.
const (
	// WithoutLong runs the trace without its long requests.
	WithoutLong = "withoutLong"
	// OneHost runs with one entry host in each data centre.
	OneHost = "oneHost"
)

// Config describes one run.
type Config struct {
	Trace    *wagtrace.Trace
	Document *wagdocument.Document
	// Policy is one of the names of policies, followed by a slash and a variant
	// if there is one.
	Policy string
	// Hosts is the number of entry hosts of all data centres together; each
	// data centre has at least one.
	Hosts              int
	Seed               uint64
	DisabledMechanisms []wagrouting.Mechanism
}

// Result is what one run measured.
type Result struct {
	Name    string
	Metrics Metrics
	// ShortSamples holds the latencies of the short requests that were served in
	// time, in the order in which they ended.
	ShortSamples []Sample
}

// Sample is the latency of one request.
type Sample struct {
	EndedAt time.Time
	Latency time.Duration
}

// DefaultDocument returns the document for the replay of a trace that comes
// without one.
func DefaultDocument(t *wagtrace.Trace) (*wagdocument.Document, error) {
	d, err := wagdocument.Parse("default", []byte("[service]\nname = replay\n"))
	if err != nil {
		return nil, err
	}
	d.Service.Slots = t.Header.Servers[0].Slots
	if len(t.Header.Links) > 0 {
		d.Zones.Cost = t.Header.Links[0].Delay
	}
	return d, nil
}

// Run replays a trace. The same configuration gives the same result.
func Run(c Config) (r *Result, err error) {
	defer func() { err = errors.WithMessagef(err, "replay policy %s", c.Policy) }()
	name, variant, _ := strings.Cut(c.Policy, "/")
	switch variant {
	case "":
	case WithoutLong:
		c.Trace = c.Trace.WithoutLong()
	case OneHost:
		c.Hosts = len(c.Trace.Header.DataCentres)
	default:
		return nil, errors.Errorf("unknown variant %q (allowed: %s, %s)", variant, WithoutLong, OneHost)
	}
	s := newSimulation(c)
	if name == Omniscient {
		s.router = newOmniscient(s)
		return s.run(c.Policy), nil
	}
	p, ok := policies[name]
	if !ok {
		return nil, errors.Errorf("unknown policy %q (allowed: %s)", name, strings.Join(Policies(), ", "))
	}
	s.router = newFleet(s, p)
	return s.run(c.Policy), nil
}
