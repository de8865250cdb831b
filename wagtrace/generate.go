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

// profile describes one service; see docs/design.md, section 1.2. Service times
// and deadlines are assumptions, because the users state none.
type profile struct {
	dataCentres    []string
	linkDelay      time.Duration
	callerDelay    time.Duration
	serverCount    int
	slotsPerServer int
	// medianServiceTime is the median of the service times of short requests;
	// sigma is the standard deviation of their logarithms.
	medianServiceTime time.Duration
	sigma             float64
	deadline          time.Duration
	// longShare is the share of long requests in every kind of trace.
	longShare   float64
	callerCount int
}

var (
	cascadiaCentres = []string{"astoria", "bend", "corvallis", "dalles"}
	zalnaCentres    = []string{"kranj", "ljubljana", "maribor"}
)

var profiles = map[string]profile{
	"lot-desk":        {dataCentres: cascadiaCentres, linkDelay: 3 * time.Millisecond, callerDelay: time.Millisecond, serverCount: 20, slotsPerServer: 6, medianServiceTime: 12 * time.Millisecond, sigma: 0.5, deadline: 500 * time.Millisecond, callerCount: 200},
	"assay-house":     {dataCentres: cascadiaCentres, linkDelay: 3 * time.Millisecond, callerDelay: time.Millisecond, serverCount: 10, slotsPerServer: 6, medianServiceTime: 20 * time.Millisecond, sigma: 0.5, deadline: 800 * time.Millisecond, callerCount: 100},
	"ordering":        {dataCentres: zalnaCentres, linkDelay: 5 * time.Millisecond, callerDelay: 3 * time.Millisecond, serverCount: 15, slotsPerServer: 2, medianServiceTime: 15 * time.Millisecond, sigma: 0.5, deadline: time.Second, callerCount: 100},
	"pattern-library": {dataCentres: zalnaCentres, linkDelay: 5 * time.Millisecond, callerDelay: 3 * time.Millisecond, serverCount: 13, slotsPerServer: 2, medianServiceTime: 15 * time.Millisecond, sigma: 0.5, deadline: 2 * time.Second, longShare: 0.01, callerCount: 60},
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

// WithLength sets for how long requests arrive.
func WithLength(d time.Duration) Option { return func(g *generator) { g.length = d } }

// WithLoad sets the offered load outside of peaks, as a share of all slots.
func WithLoad(share float64) Option { return func(g *generator) { g.load = share } }

// generator builds one trace.
type generator struct {
	profile
	kind   string
	random *rand.Rand
	trace  *Trace
	length time.Duration
	// load is the offered load outside of peaks.
	load float64
	// traceLongShare is the share of long requests in this trace, outside of
	// bursts.
	traceLongShare float64
}

// Generate generates a trace from a seed. The same arguments give the same trace.
func Generate(kind, service string, seed uint64, opts ...Option) (t *Trace, err error) {
	defer func() { err = errors.WithMessage(err, "generate trace") }()
	p, ok := profiles[service]
	if !ok {
		return nil, errors.Errorf("unknown service %q (allowed: %s)", service, strings.Join(Services(), ", "))
	}
	g := &generator{profile: p, kind: kind, random: rand.New(rand.NewPCG(seed, 1)), length: 20 * time.Second, load: 0.6, traceLongShare: p.longShare}
	for _, o := range opts {
		o(g)
	}
	g.trace = &Trace{Header: Header{Kind: kind, Service: service, Seed: seed, Start: traceStart, DataCentres: p.dataCentres, CallerDelay: p.callerDelay, HostDelay: 100 * time.Microsecond, ServerDelay: 100 * time.Microsecond}}
	g.addTopology()
	if err := g.addFaultsAndPhases(); err != nil {
		return nil, err
	}
	sort.SliceStable(g.trace.Faults, func(i, j int) bool { return g.trace.Faults[i].From.Before(g.trace.Faults[j].From) })
	g.addRequests()
	return g.trace, nil
}

// addTopology adds the links and the servers to the header.
func (g *generator) addTopology() {
	h := &g.trace.Header
	for i, a := range g.dataCentres {
		for _, b := range g.dataCentres[i+1:] {
			h.Links = append(h.Links, Link{A: a, B: b, Delay: g.linkDelay})
		}
	}
	for i := range g.serverCount {
		h.Servers = append(h.Servers, Server{Name: fmt.Sprintf("server-%02d", i), DataCentre: g.dataCentres[i%len(g.dataCentres)], Slots: g.slotsPerServer})
	}
}

// addFaultsAndPhases adds the faults and phases of the kind of trace and adjusts
// its load and length.
func (g *generator) addFaultsAndPhases() error {
	switch g.kind {
	case SteadyNoise:
		g.addNoise()
	case PeakMorning:
		g.load = 0.2
		// A p99 needs some ten thousand requests to vary by less than a tenth.
		g.length = 3 * g.length
		g.addPhase("steady", 0.05, 0.3)
		g.addPhase("peak", 0.3, 0.55)
	case PeakWeek:
		g.length = 3 * g.length
		g.addPhase("steady", 0.02, 0.2)
		for _, from := range []float64{0.2, 0.45, 0.7} {
			g.addPhase("peak", from, from+0.08)
		}
	case GreedyCaller:
		g.addPhase("peak", 0.3, 0.8)
	case LongTail:
		g.traceLongShare = 0.01
	case LongBurst:
		g.traceLongShare = 0.01
		g.addPhase("burst", 0.25, 0.6)
	case RollingDrain:
		g.addRollingDrain()
	case BulkFailure:
		g.addBulkFailure()
	case LostDataCentre:
		g.load = 0.5
		for _, s := range g.trace.Header.Servers {
			if s.DataCentre == g.dataCentres[0] {
				g.addFault(Fault{Kind: FaultDown, Server: s.Name, From: g.timeAt(0.3), Until: g.timeAt(0.8)})
			}
		}
		g.addPhase("lost", 0.3, 0.8)
	case SlowLinks:
		g.load = 0.5
		g.addFault(Fault{Kind: FaultSlowLinks, DataCentre: g.dataCentres[1], From: g.timeAt(0.2), Until: g.timeAt(0.7), Factor: 6, Loss: 0.02})
	default:
		return errors.Errorf("unknown kind %q (allowed: %s)", g.kind, strings.Join(Kinds(), ", "))
	}
	return nil
}

// timeAt returns the time at a share of the length of the trace.
func (g *generator) timeAt(share float64) time.Time {
	return traceStart.Add(time.Duration(share * float64(g.length)).Truncate(time.Microsecond))
}

func (g *generator) addPhase(name string, from, until float64) {
	g.trace.Header.Phases = append(g.trace.Header.Phases, Phase{Name: name, From: g.timeAt(from), Until: g.timeAt(until)})
}

func (g *generator) addFault(f Fault) { g.trace.Faults = append(g.trace.Faults, f) }

// addNoise slows each server in a tenth of the time, by a factor of 2 to 5.
func (g *generator) addNoise() {
	for _, s := range g.trace.Header.Servers {
		startSeconds := 0.0
		for {
			startSeconds += g.random.ExpFloat64() * 9
			durationSeconds := 0.5 + g.random.Float64()
			if startSeconds+durationSeconds > g.length.Seconds() {
				break
			}
			g.addFault(Fault{Kind: FaultSlow, Server: s.Name, From: timeAtSeconds(startSeconds), Until: timeAtSeconds(startSeconds + durationSeconds), Factor: 2 + 3*g.random.Float64()})
			startSeconds += durationSeconds
		}
	}
}

// timeAtSeconds returns the time at a number of seconds after the start.
func timeAtSeconds(s float64) time.Time {
	return traceStart.Add(time.Duration(s * float64(time.Second)).Truncate(time.Microsecond))
}

// addRollingDrain replaces one server after the other. The server list shows each
// drain 8 s late, which is later than the limit of 5 s for new requests at a
// draining server.
func (g *generator) addRollingDrain() {
	servers := g.trace.Header.Servers
	step := 0.8 / float64(len(servers))
	for i, s := range servers {
		from, until := g.timeAt(0.05+float64(i)*step), g.timeAt(0.05+float64(i+2)*step)
		g.addFault(Fault{Kind: FaultDrain, Server: s.Name, From: from, Until: until, ListedAt: from.Add(8 * time.Second)})
		g.addFault(Fault{Kind: FaultColdStart, Server: s.Name, From: until, Until: until.Add(3 * time.Second), Factor: 4})
	}
}

// addBulkFailure lets servers fail every request at once, with load reports that
// show them idle: first one server in five, spread over the data centres, later
// all servers of one data centre.
func (g *generator) addBulkFailure() {
	for i, s := range g.trace.Header.Servers {
		if i%5 == 0 {
			g.addFailingServer(s, 0.2, 0.4)
		}
		if s.DataCentre == g.dataCentres[0] {
			g.addFailingServer(s, 0.6, 0.8)
		}
	}
	g.addPhase("some", 0.2, 0.4)
	g.addPhase("all", 0.6, 0.8)
}

// addFailingServer lets one server fail every request, with load reports that
// show it idle.
func (g *generator) addFailingServer(s Server, from, until float64) {
	for _, kind := range []FaultKind{FaultFailFast, FaultFalseLoad} {
		g.addFault(Fault{Kind: kind, Server: s.Name, From: g.timeAt(from), Until: g.timeAt(until)})
	}
}

// offeredLoad returns the load at a time, as a share of all slots.
func (g *generator) offeredLoad(at time.Time) float64 {
	for _, p := range g.trace.Header.Phases {
		if p.Name == "peak" && !at.Before(p.From) && at.Before(p.Until) {
			return 1.3
		}
	}
	return g.load
}

// longShareAt returns the share of long requests at a time. In a burst it is four
// times the normal one; its long requests alone need more than all slots.
func (g *generator) longShareAt(at time.Time) float64 {
	for _, p := range g.trace.Header.Phases {
		if p.Name == "burst" && !at.Before(p.From) && at.Before(p.Until) {
			return 4 * g.traceLongShare
		}
	}
	return g.traceLongShare
}

// addRequests adds the requests, as a Poisson process. A long request takes 75
// times as long as a short one on average.
func (g *generator) addRequests() {
	meanServiceSeconds := g.medianServiceTime.Seconds() * math.Exp(g.sigma*g.sigma/2) * (1 + g.traceLongShare*74)
	slots := float64(g.trace.Header.TotalSlots())
	end := traceStart.Add(g.length)
	for at := traceStart; ; {
		rate := g.offeredLoad(at) * slots / meanServiceSeconds
		at = at.Add(time.Duration(g.random.ExpFloat64() / rate * float64(time.Second)).Truncate(time.Microsecond))
		if at.After(end) {
			return
		}
		g.trace.Requests = append(g.trace.Requests, g.newRequest(at))
	}
}

// newRequest returns a random request that arrives at a time.
func (g *generator) newRequest(at time.Time) Request {
	service := time.Duration(float64(g.medianServiceTime) * math.Exp(g.sigma*g.random.NormFloat64()))
	r := Request{
		At: at, Caller: fmt.Sprintf("caller-%d", g.random.IntN(g.callerCount)), Route: "check", ActualClass: wagdocument.Short,
		Bytes: 400 + g.random.Int64N(2000), Deadline: at.Add(g.deadline), DataCentre: g.arrivalDataCentre(at),
	}
	if g.random.Float64() < g.longShareAt(at) {
		service = time.Duration(float64(service) * (50 + 50*g.random.Float64()))
		r.Route, r.ActualClass = "export", wagdocument.Long
		r.Bytes *= 500
		r.Deadline = at.Add(g.deadline * 40)
		// One long request in ten is on the route of the short ones, because
		// routes do not separate all long requests.
		if g.random.Float64() < 0.1 {
			r.Route = "check"
		}
	}
	if g.kind == GreedyCaller && g.random.Float64() < 0.5 {
		r.Caller = "greedy"
	}
	r.ServiceTime = service.Truncate(time.Microsecond)
	return r
}

// arrivalDataCentre chooses where a request arrives: in proportion to the servers
// there, except in traces with skewed arrivals and for data centres that are
// lost.
func (g *generator) arrivalDataCentre(at time.Time) string {
	servers := g.trace.Header.Servers
	name := servers[g.random.IntN(len(servers))].DataCentre
	switch {
	case g.kind == SlowLinks && g.random.Float64() < 0.25:
		return g.dataCentres[0]
	case g.kind == LostDataCentre && name == g.dataCentres[0] && !at.Before(g.timeAt(0.3)) && at.Before(g.timeAt(0.8)):
		return g.dataCentres[1+g.random.IntN(len(g.dataCentres)-1)]
	}
	return name
}
