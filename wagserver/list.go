package wagserver

import (
	"net/netip"
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// MaxServers bounds the host list.
	MaxServers = 1 << 16
	// maxUnlisted bounds the servers that are known only from observations.
	maxUnlisted = 4096
	maxName     = 64

	// absenceTime is how long a server must be missing in all lists, because the
	// list may flap. It leaves 3 s of DrainBound for reading the list.
	absenceTime = 2 * time.Second
	// forgetTime is how long a server that is gone is kept as leaving.
	forgetTime = 10 * time.Minute
	// drainTime and doubtTime are how long observations last after they were last seen.
	drainTime = 10 * time.Minute
	doubtTime = time.Minute
	// settleTime is how long after the latest observation an answer shows a return.
	// Earlier answers may belong to requests that were in flight.
	settleTime = 5 * time.Second
	// shareTime is the pause between the repeats of an observation.
	shareTime = 500 * time.Millisecond
	// shareCount is how often an observation is shared, because messages get
	// lost; all repeats lie within DrainBound.
	shareCount = 8
	// boundShare is the divisor for the servers of a service that refused
	// connections may remove.
	boundShare = 3
)

// List merges the platform's host list with observations.
type List struct {
	host     string
	delegate bool
	services map[string]*service
	// read is when the latest list was read, and round counts the lists.
	read  time.Time
	round uint64
	// active holds the servers with observations or without a place in the list.
	active   map[*entry]struct{}
	unlisted int
	// returns holds what is to be shared once about servers that came back.
	returns []Observation
	next    time.Time
}

type service struct {
	name    string
	servers map[netip.AddrPort]*entry
	// merged is what Servers returns; nil when it has to be rebuilt.
	merged []Server
}

type entry struct {
	service *service
	server  Server
	listed  bool
	// round is that of the latest list that showed the server.
	round uint64
	// absent is when the server was first missing, zero while it is listed.
	absent  time.Time
	live    time.Time
	drain   seen
	refused seen
	unwell  seen
	leaving bool
}

// seen is when an observation was seen first and last; zero without the observation.
type seen struct {
	first, latest time.Time
	// shares is how often the observation is still to be shared.
	shares int
	// observer is who saw it first.
	observer string
}

// NewList returns an empty list of a host.
func NewList(host string) *List {
	return &List{host: host, services: make(map[string]*service), active: make(map[*entry]struct{})}
}

// NextWake returns when Tick has to be called, or the zero time.
func (l *List) NextWake() time.Time {
	if len(l.active) == 0 {
		return time.Time{}
	}
	return l.next
}

// Servers returns the servers of a service, ordered by address. The slice is not
// changed afterwards.
func (l *List) Servers(name string) []Server {
	s := l.services[name]
	if s == nil {
		return nil
	}
	if s.merged == nil {
		s.merged = make([]Server, 0, len(s.servers))
		for _, e := range s.servers {
			if !e.listed && e.absent.IsZero() {
				continue
			}
			server := e.server
			server.State = Live
			if e.leaving {
				server.State = Leaving
			}
			s.merged = append(s.merged, server)
		}
		sort.Slice(s.merged, func(i, j int) bool { return s.merged[i].Address.Compare(s.merged[j].Address) < 0 })
	}
	return s.merged
}

// Services returns the names of all services with servers, in order.
func (l *List) Services() []string {
	names := make([]string, 0, len(l.services))
	for name := range l.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ObservedServers returns the servers with observations, in no particular order.
func (l *List) ObservedServers() []Server {
	list := make([]Server, 0, len(l.active))
	for e := range l.active {
		list = append(list, e.server)
	}
	return list
}

// Handle takes one event.
func (l *List) Handle(now time.Time, event Event) []Command {
	touched := make(map[*service]struct{})
	switch e := event.(type) {
	case HostList:
		l.hostList(now, e, touched)
	case LocalObservation:
		l.observe(now, Observation{Service: e.Service, Address: e.Address, Kind: e.Kind, FirstSeen: now, Observer: l.host}, touched)
	case PeerObservations:
		for _, o := range e.Observations[:min(len(e.Observations), MaxSharedObservations)] {
			l.observe(now, o, touched)
		}
	case Delegate:
		l.delegate = e.IsDelegate
	}
	l.expire(now, touched)
	commands := l.changes(now, touched)
	return append(commands, l.share(now)...)
}

func (l *List) hostList(now time.Time, e HostList, touched map[*service]struct{}) {
	if !e.ReadAt.After(l.read) || e.ReadAt.After(now.Add(wagclock.MaxSkew)) || len(e.Servers) > MaxServers {
		return
	}
	l.read = e.ReadAt
	l.round++
	centres := make(map[string]bool)
	for _, s := range e.Servers {
		if s.Service == "" || len(s.Service) > maxName || len(s.DataCentre) > maxName || !s.Address.IsValid() {
			continue
		}
		centres[s.DataCentre] = true
		l.listed(e.ReadAt, s, touched)
	}
	for _, s := range l.services {
		for _, en := range s.servers {
			// A list without any server of a data centre tells of a cut and not of
			// servers that left.
			if en.listed && en.round != l.round && centres[en.server.DataCentre] {
				en.listed, en.absent = false, now
				l.active[en] = struct{}{}
				touched[s] = struct{}{}
			}
		}
	}
}

func (l *List) listed(read time.Time, s Server, touched map[*service]struct{}) {
	en := l.entry(s.Service, s.Address)
	if s.Started.After(read.Add(wagclock.MaxSkew)) {
		s.Started = time.Time{}
	}
	// The list may show a start late, after the new process began to drain.
	for _, observed := range []*seen{&en.drain, &en.refused, &en.unwell} {
		if s.Started.After(observed.latest.Add(wagclock.MaxSkew)) {
			*observed = seen{}
		}
	}
	if s.Started.Before(en.server.Started) && !s.Started.IsZero() {
		// The list still shows the process that ran before.
		s = en.server
	}
	if s.State == Live {
		en.live = read
	}
	if !en.listed && en.absent.IsZero() {
		l.unlisted--
	}
	if !en.listed || en.server != s {
		touched[en.service] = struct{}{}
		en.service.merged = nil
	}
	en.server, en.listed, en.round, en.absent = s, true, l.round, time.Time{}
}

func (l *List) entry(name string, address netip.AddrPort) *entry {
	s := l.services[name]
	if s == nil {
		s = &service{name: name, servers: make(map[netip.AddrPort]*entry)}
		l.services[name] = s
	}
	en := s.servers[address]
	if en == nil {
		en = &entry{service: s, server: Server{Service: name, Address: address}}
		s.servers[address] = en
		l.unlisted++
	}
	return en
}

// observe takes one observation. The earliest time of an observation is kept.
func (l *List) observe(now time.Time, o Observation, touched map[*service]struct{}) {
	if !o.wellFormed(now) {
		return
	}
	if s := l.services[o.Service]; (s == nil || s.servers[o.Address] == nil) && l.unlisted >= maxUnlisted {
		return
	}
	if o.Kind == Answered {
		if l.answered(o, touched) && (l.delegate || o.Observer == l.host) && len(l.returns) < MaxSharedObservations {
			l.returns = append(l.returns, o)
		}
		return
	}
	en := l.entry(o.Service, o.Address)
	l.active[en] = struct{}{}
	if o.FirstSeen.Add(wagclock.MaxSkew).Before(en.server.Started) {
		return
	}
	touched[en.service] = struct{}{}
	observed := en.seen(o.Kind)
	if observed.first.IsZero() || observed.settled(o.FirstSeen) {
		// An observation that comes back after a while may be that of a new process whose
		// start this host has not seen; peers may have ended the former observation.
		*observed = seen{first: o.FirstSeen, latest: o.FirstSeen, observer: o.Observer}
		if l.delegate || o.Observer == l.host {
			observed.shares = shareCount
		}
	}
	if o.FirstSeen.Before(observed.first) {
		observed.first = o.FirstSeen
	}
	if o.FirstSeen.After(observed.latest) {
		observed.latest = o.FirstSeen
	}
}

func (en *entry) seen(k ObservationKind) *seen {
	switch k {
	case Draining:
		return &en.drain
	case ConnectionRefused:
		return &en.refused
	default:
		return &en.unwell
	}
}

// answered ends observations that are settled. A drain also needs a list that shows the
// server live since.
func (l *List) answered(o Observation, touched map[*service]struct{}) (ended bool) {
	s := l.services[o.Service]
	if s == nil || s.servers[o.Address] == nil {
		return false
	}
	en := s.servers[o.Address]
	if !en.drain.first.IsZero() && en.live.After(en.drain.latest) && en.drain.settled(o.FirstSeen) {
		en.drain, ended = seen{}, true
		touched[s] = struct{}{}
	}
	if !en.refused.first.IsZero() && en.refused.settled(o.FirstSeen) {
		en.refused, ended = seen{}, true
		touched[s] = struct{}{}
	}
	return ended
}

func (s seen) settled(at time.Time) bool {
	return at.After(s.latest.Add(settleTime))
}

func (s seen) expired(now time.Time, after time.Duration) bool {
	return !s.first.IsZero() && !s.latest.Add(after).After(now)
}

func (o Observation) wellFormed(now time.Time) bool {
	if o.Service == "" || len(o.Service) > maxName || len(o.Observer) > maxName || !o.Address.IsValid() {
		return false
	}
	if o.FirstSeen.After(now.Add(wagclock.MaxSkew)) || o.FirstSeen.Add(doubtTime).Before(now) {
		return false
	}
	switch o.Kind {
	case Draining, ConnectionRefused, Unhealthy, Answered:
		return true
	}
	return false
}
