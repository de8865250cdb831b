package wagtrace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

// Kinds of generated traces.
const (
	SteadyNoise    = "steady-noise"
	PeakMorning    = "peak-morning"
	PeakWeek       = "peak-week"
	GreedyCaller   = "greedy-caller"
	LongTail       = "long-tail"
	LongBurst      = "long-burst"
	RollingDrain   = "rolling-drain"
	BulkFailure    = "bulk-failure"
	LostDataCentre = "lost-data-centre"
	SlowLinks      = "slow-links"
)

// Kinds lists the kinds of generated traces.
func Kinds() []string {
	return []string{SteadyNoise, PeakMorning, PeakWeek, GreedyCaller, LongTail, LongBurst, RollingDrain, BulkFailure, LostDataCentre, SlowLinks}
}

// profile has the sizes of one service; docs/design.md, section 1.2. Service
// times and deadlines are assumptions, since the users state none.
type profile struct {
	centres     []string
	link        time.Duration
	callerDelay time.Duration
	servers     int
	slots       int
	// median of the service time of short work; sigma is the standard deviation
	// of its logarithm.
	median   time.Duration
	sigma    float64
	deadline time.Duration
	// longShare is the share of calls that are long in every kind of trace.
	longShare float64
	callers   int
}

var (
	cascadia = []string{"astoria", "bend", "corvallis", "dalles"}
	zalna    = []string{"kranj", "ljubljana", "maribor"}
)

var profiles = map[string]profile{
	"lot-desk":        {centres: cascadia, link: 3 * time.Millisecond, callerDelay: time.Millisecond, servers: 20, slots: 6, median: 12 * time.Millisecond, sigma: 0.5, deadline: 500 * time.Millisecond, callers: 200},
	"assay-house":     {centres: cascadia, link: 3 * time.Millisecond, callerDelay: time.Millisecond, servers: 10, slots: 6, median: 20 * time.Millisecond, sigma: 0.5, deadline: 800 * time.Millisecond, callers: 100},
	"ordering":        {centres: zalna, link: 5 * time.Millisecond, callerDelay: 3 * time.Millisecond, servers: 15, slots: 2, median: 15 * time.Millisecond, sigma: 0.5, deadline: time.Second, callers: 100},
	"pattern-library": {centres: zalna, link: 5 * time.Millisecond, callerDelay: 3 * time.Millisecond, servers: 13, slots: 2, median: 15 * time.Millisecond, sigma: 0.5, deadline: 2 * time.Second, longShare: 0.01, callers: 60},
}

// Services lists the services that traces can be generated for.
func Services() []string {
	names := make([]string, 0, len(profiles))
	for n := range profiles {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Option changes a generated trace.
type Option func(*generator)

// WithLength sets how long calls arrive.
func WithLength(d time.Duration) Option { return func(g *generator) { g.length = d } }

// WithLoad sets the offered load outside of peaks, as a share of all slots.
func WithLoad(share float64) Option { return func(g *generator) { g.load = share } }

type generator struct {
	profile
	kind   string
	random *rand.Rand
	trace  *Trace
	length time.Duration
	// load is the offered load outside of peaks.
	load float64
	// long is the share of calls that are long.
	long float64
}

// Generate makes a trace from a seed. The same arguments give the same trace.
func Generate(kind, service string, seed uint64, opts ...Option) (t *Trace, err error) {
	defer func() { err = errors.WithMessage(err, "generate trace") }()
	p, ok := profiles[service]
	if !ok {
		return nil, errors.Errorf("unknown service %q (allowed: %s)", service, strings.Join(Services(), ", "))
	}
	g := &generator{profile: p, kind: kind, random: rand.New(rand.NewPCG(seed, 1)), length: 20 * time.Second, load: 0.6, long: p.longShare}
	for _, o := range opts {
		o(g)
	}
	g.trace = &Trace{Header: Header{Kind: kind, Service: service, Seed: seed, Start: epoch, DataCentres: p.centres, CallerDelay: p.callerDelay, HostDelay: 100 * time.Microsecond, ServerDelay: 100 * time.Microsecond}}
	g.layout()
	if err := g.disturb(); err != nil {
		return nil, err
	}
	sort.SliceStable(g.trace.Faults, func(i, j int) bool { return g.trace.Faults[i].From.Before(g.trace.Faults[j].From) })
	g.arrivals()
	return g.trace, nil
}

func (g *generator) layout() {
	h := &g.trace.Header
	for i, a := range g.centres {
		for _, b := range g.centres[i+1:] {
			h.Links = append(h.Links, Link{A: a, B: b, Delay: g.link})
		}
	}
	for i := range g.servers {
		h.Servers = append(h.Servers, Server{Name: fmt.Sprintf("server-%02d", i), DataCentre: g.centres[i%len(g.centres)], Slots: g.slots})
	}
}

// disturb sets the faults and phases of the kind.
func (g *generator) disturb() error {
	switch g.kind {
	case SteadyNoise:
		g.noise()
	case PeakMorning:
		g.load = 0.2
		// A p99 needs some ten thousand calls to vary by less than a tenth.
		g.length = 3 * g.length
		g.phase("steady", 0.05, 0.3)
		g.phase("peak", 0.3, 0.55)
	case PeakWeek:
		g.length = 3 * g.length
		g.phase("steady", 0.02, 0.2)
		for _, from := range []float64{0.2, 0.45, 0.7} {
			g.phase("peak", from, from+0.08)
		}
	case GreedyCaller:
		g.phase("peak", 0.3, 0.8)
	case LongTail:
		g.long = 0.01
	case LongBurst:
		g.long = 0.01
		g.phase("burst", 0.25, 0.6)
	case RollingDrain:
		g.rollingDrain()
	case BulkFailure:
		g.bulkFailure()
	case LostDataCentre:
		g.load = 0.5
		for _, s := range g.trace.Header.Servers {
			if s.DataCentre == g.centres[0] {
				g.fault(Fault{Kind: FaultDown, Server: s.Name, From: g.at(0.3), Until: g.at(0.8)})
			}
		}
		g.phase("lost", 0.3, 0.8)
	case SlowLinks:
		g.load = 0.5
		g.fault(Fault{Kind: FaultSlowLinks, DataCentre: g.centres[1], From: g.at(0.2), Until: g.at(0.7), Factor: 6, Loss: 0.02})
	default:
		return errors.Errorf("unknown kind %q (allowed: %s)", g.kind, strings.Join(Kinds(), ", "))
	}
	return nil
}

func (g *generator) at(share float64) time.Time {
	return epoch.Add(time.Duration(share * float64(g.length)).Truncate(time.Microsecond))
}

func (g *generator) phase(name string, from, until float64) {
	g.trace.Header.Phases = append(g.trace.Header.Phases, Phase{Name: name, From: g.at(from), Until: g.at(until)})
}

func (g *generator) fault(f Fault) { g.trace.Faults = append(g.trace.Faults, f) }

// noise slows each server in a tenth of the time, by a factor of 2 to 5.
func (g *generator) noise() {
	for _, s := range g.trace.Header.Servers {
		at := 0.0
		for {
			at += g.random.ExpFloat64() * 9
			d := 0.5 + g.random.Float64()
			if at+d > g.length.Seconds() {
				break
			}
			g.fault(Fault{Kind: FaultSlow, Server: s.Name, From: seconds(at), Until: seconds(at + d), Factor: 2 + 3*g.random.Float64()})
			at += d
		}
	}
}

func seconds(s float64) time.Time {
	return epoch.Add(time.Duration(s * float64(time.Second)).Truncate(time.Microsecond))
}

// rollingDrain replaces one server after the other. The host list tells it 8 s
// late, which is later than the bound of 5 s for new work.
func (g *generator) rollingDrain() {
	servers := g.trace.Header.Servers
	step := 0.8 / float64(len(servers))
	for i, s := range servers {
		from, until := g.at(0.05+float64(i)*step), g.at(0.05+float64(i+2)*step)
		g.fault(Fault{Kind: FaultDrain, Server: s.Name, From: from, Until: until, ListedAt: from.Add(8 * time.Second)})
		g.fault(Fault{Kind: FaultColdStart, Server: s.Name, From: until, Until: until.Add(3 * time.Second), Factor: 4})
	}
}

// bulkFailure lets servers fail every request at once, with load reports that
// show them idle: first one in five, spread over the data centres, later all of
// one data centre.
func (g *generator) bulkFailure() {
	for i, s := range g.trace.Header.Servers {
		if i%5 == 0 {
			g.failing(s, 0.2, 0.4)
		}
		if s.DataCentre == g.centres[0] {
			g.failing(s, 0.6, 0.8)
		}
	}
	g.phase("some", 0.2, 0.4)
	g.phase("all", 0.6, 0.8)
}

func (g *generator) failing(s Server, from, until float64) {
	for _, kind := range []FaultKind{FaultFailFast, FaultFalseLoad} {
		g.fault(Fault{Kind: kind, Server: s.Name, From: g.at(from), Until: g.at(until)})
	}
}

// offered is the load at a time, as a share of all slots.
func (g *generator) offered(at time.Time) float64 {
	for _, p := range g.trace.Header.Phases {
		if p.Name == "peak" && !at.Before(p.From) && at.Before(p.Until) {
			return 1.3
		}
	}
	return g.load
}

// longShareAt is the share of calls that are long; in a burst it is four times
// the normal one, which alone offers more than all slots.
func (g *generator) longShareAt(at time.Time) float64 {
	for _, p := range g.trace.Header.Phases {
		if p.Name == "burst" && !at.Before(p.From) && at.Before(p.Until) {
			return 4 * g.long
		}
	}
	return g.long
}

func (g *generator) arrivals() {
	mean := g.median.Seconds() * math.Exp(g.sigma*g.sigma/2) * (1 + g.long*74)
	slots := float64(g.trace.Header.TotalSlots())
	end := epoch.Add(g.length)
	for at := epoch; ; {
		rate := g.offered(at) * slots / mean
		at = at.Add(time.Duration(g.random.ExpFloat64() / rate * float64(time.Second)).Truncate(time.Microsecond))
		if at.After(end) {
			return
		}
		g.trace.Requests = append(g.trace.Requests, g.call(at))
	}
}

func (g *generator) call(at time.Time) Request {
	service := time.Duration(float64(g.median) * math.Exp(g.sigma*g.random.NormFloat64()))
	c := Request{
		At: at, Caller: fmt.Sprintf("caller-%d", g.random.IntN(g.callers)), Route: "check", ActualClass: wagdocument.Short,
		Bytes: 400 + g.random.Int64N(2000), Deadline: at.Add(g.deadline), DataCentre: g.centre(at),
	}
	if g.random.Float64() < g.longShareAt(at) {
		service = time.Duration(float64(service) * (50 + 50*g.random.Float64()))
		c.Route, c.ActualClass = "export", wagdocument.Long
		c.Bytes *= 500
		c.Deadline = at.Add(g.deadline * 40)
		// Routes do not separate all long work.
		if g.random.Float64() < 0.1 {
			c.Route = "check"
		}
	}
	if g.kind == GreedyCaller && g.random.Float64() < 0.5 {
		c.Caller = "greedy"
	}
	c.ServiceTime = service.Truncate(time.Microsecond)
	return c
}

// centre chooses where a call arrives: in proportion to the servers there, but
// for skewed kinds and for data centres that are lost.
func (g *generator) centre(at time.Time) string {
	servers := g.trace.Header.Servers
	name := servers[g.random.IntN(len(servers))].DataCentre
	switch {
	case g.kind == SlowLinks && g.random.Float64() < 0.25:
		return g.centres[0]
	case g.kind == LostDataCentre && name == g.centres[0] && !at.Before(g.at(0.3)) && at.Before(g.at(0.8)):
		return g.centres[1+g.random.IntN(len(g.centres)-1)]
	}
	return name
}
