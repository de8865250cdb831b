package wagserver

import (
	"net/netip"
	"sort"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// MaxServers limits the servers of a host list.
	MaxServers = 1 << 16
	// maxUnlisted limits the servers that are known only from observations.
	maxUnlisted = 4096
	// maxNameLength limits the names of services, data centres and hosts.
	maxNameLength = 64

	// absenceTimeout is how long a server must be missing from the host list before it
	// counts as leaving, because the list may flap. It leaves 3 s of MaxDrainDelay for
	// reading the list.
	absenceTimeout = 2 * time.Second
	// absentServerTTL is how long a server that is gone is kept as leaving.
	absentServerTTL = 10 * time.Minute
	// drainTTL and suspicionTTL are how long observations hold after they were last seen:
	// drainTTL for those of draining servers, suspicionTTL for the others. Observations
	// that are older than suspicionTTL on arrival are ignored.
	drainTTL     = 10 * time.Minute
	suspicionTTL = time.Minute
	// settleDelay is how long after the latest observation an answer shows that the server
	// is back. Earlier answers may belong to requests that were in flight.
	settleDelay = 5 * time.Second
	// shareInterval is the interval at which an observation is shared again.
	shareInterval = 500 * time.Millisecond
	// shareCount is how often an observation is shared, because messages get lost. All of
	// these messages are sent within MaxDrainDelay.
	shareCount = 8
	// maxRefusedDivisor limits the servers that refused connections may remove: one in
	// maxRefusedDivisor of the listed servers of a service.
	maxRefusedDivisor = 3
)

// List merges the host list of the platform with observations.
type List struct {
	host       string
	isDelegate bool
	services   map[string]*service
	// latestRead is when the latest list was read, and generation counts the lists.
	latestRead time.Time
	generation uint64
	// active holds the servers that have observations or are missing from the host list.
	active map[*entry]struct{}
	// unlisted counts the servers that no host list has shown.
	unlisted int
	// pendingReturns holds observations of servers that came back. Each is shared once.
	pendingReturns []Observation
	nextShare      time.Time
}

type service struct {
	name    string
	servers map[netip.AddrPort]*entry
	// cachedServers is what Servers returns; nil if it must be rebuilt.
	cachedServers []Server
}

type entry struct {
	service *service
	server  Server
	listed  bool
	// generation is that of the latest list with the server.
	generation uint64
	// absentSince is when the server was first missing; zero while it is listed.
	absentSince time.Time
	// lastLive is when the latest list was read that showed the server as live.
	lastLive  time.Time
	draining  sighting
	refused   sighting
	unhealthy sighting
	leaving   bool
}

// sighting is when an observation was seen first and last; zero without the
// observation.
type sighting struct {
	first, latest time.Time
	// sharesLeft is how often the observation is still to be shared.
	sharesLeft int
	// observer is the host that saw it first.
	observer string
}

// NewList returns the empty list of a host.
func NewList(host string) *List {
	return &List{host: host, services: make(map[string]*service), active: make(map[*entry]struct{})}
}

// NextWake returns when Tick is due, or the zero time.
func (l *List) NextWake() time.Time {
	if len(l.active) == 0 {
		return time.Time{}
	}
	return l.nextShare
}

// Servers returns the servers of a service, ordered by address. The slice is never
// changed afterwards.
func (l *List) Servers(name string) []Server {
	s := l.services[name]
	if s == nil {
		return nil
	}
	if s.cachedServers == nil {
		s.cachedServers = make([]Server, 0, len(s.servers))
		for _, e := range s.servers {
			if !e.listed && e.absentSince.IsZero() {
				continue
			}
			server := e.server
			server.State = Live
			if e.leaving {
				server.State = Leaving
			}
			s.cachedServers = append(s.cachedServers, server)
		}
		sort.Slice(s.cachedServers, func(i, j int) bool { return s.cachedServers[i].Address.Compare(s.cachedServers[j].Address) < 0 })
	}
	return s.cachedServers
}

// Services returns the names of all services with servers, sorted.
func (l *List) Services() []string {
	names := make([]string, 0, len(l.services))
	for name := range l.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ObservedServers returns the servers that have observations or are missing from the
// host list, in no particular order.
func (l *List) ObservedServers() []Server {
	list := make([]Server, 0, len(l.active))
	for e := range l.active {
		list = append(list, e.server)
	}
	return list
}

// Handle processes one event.
func (l *List) Handle(now time.Time, event Event) []Command {
	affected := make(map[*service]struct{})
	switch e := event.(type) {
	case HostList:
		l.applyHostList(now, e, affected)
	case LocalObservation:
		l.applyObservation(now, Observation{Service: e.Service, Address: e.Address, Kind: e.Kind, FirstSeen: now, Observer: l.host}, affected)
	case PeerObservations:
		for _, o := range e.Observations[:min(len(e.Observations), MaxSharedObservations)] {
			l.applyObservation(now, o, affected)
		}
	case Delegate:
		l.isDelegate = e.IsDelegate
	}
	l.expire(now, affected)
	commands := l.collectChanges(now, affected)
	return append(commands, l.shareObservations(now)...)
}

// applyHostList merges a host list. It ignores lists that are older than the latest
// one or lie in the future.
func (l *List) applyHostList(now time.Time, e HostList, affected map[*service]struct{}) {
	if !e.ReadAt.After(l.latestRead) || e.ReadAt.After(now.Add(wagclock.MaxSkew)) || len(e.Servers) > MaxServers {
		return
	}
	l.latestRead = e.ReadAt
	l.generation++
	dataCentres := make(map[string]bool)
	for _, s := range e.Servers {
		if s.Service == "" || len(s.Service) > maxNameLength || len(s.DataCentre) > maxNameLength || !s.Address.IsValid() {
			continue
		}
		dataCentres[s.DataCentre] = true
		l.applyListed(e.ReadAt, s, affected)
	}
	for _, s := range l.services {
		for _, en := range s.servers {
			// A list without any server of a data centre shows that the data centre is cut off,
			// not that its servers have left.
			if en.listed && en.generation != l.generation && dataCentres[en.server.DataCentre] {
				en.listed, en.absentSince = false, now
				l.active[en] = struct{}{}
				affected[s] = struct{}{}
			}
		}
	}
}

// applyListed updates the entry of a listed server.
func (l *List) applyListed(readAt time.Time, s Server, affected map[*service]struct{}) {
	en := l.findOrAddEntry(s.Service, s.Address)
	if s.Started.After(readAt.Add(wagclock.MaxSkew)) {
		s.Started = time.Time{}
	}
	// Only observations from before the start are dropped: the list may show a start
	// late, after the new process began to drain.
	for _, observed := range []*sighting{&en.draining, &en.refused, &en.unhealthy} {
		if s.Started.After(observed.latest.Add(wagclock.MaxSkew)) {
			*observed = sighting{}
		}
	}
	if s.Started.Before(en.server.Started) && !s.Started.IsZero() {
		// The list still shows the previous process.
		s = en.server
	}
	if s.State == Live {
		en.lastLive = readAt
	}
	if !en.listed && en.absentSince.IsZero() {
		l.unlisted--
	}
	if !en.listed || en.server != s {
		affected[en.service] = struct{}{}
		en.service.cachedServers = nil
	}
	en.server, en.listed, en.generation, en.absentSince = s, true, l.generation, time.Time{}
}

// findOrAddEntry returns the entry of a server and adds it if needed.
func (l *List) findOrAddEntry(name string, address netip.AddrPort) *entry {
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

// applyObservation records one observation. The earliest time of an observation is
// kept.
func (l *List) applyObservation(now time.Time, o Observation, affected map[*service]struct{}) {
	if !o.isValid(now) {
		return
	}
	if s := l.services[o.Service]; (s == nil || s.servers[o.Address] == nil) && l.unlisted >= maxUnlisted {
		return
	}
	if o.Kind == Answered {
		if l.endObservations(o, affected) && (l.isDelegate || o.Observer == l.host) && len(l.pendingReturns) < MaxSharedObservations {
			l.pendingReturns = append(l.pendingReturns, o)
		}
		return
	}
	en := l.findOrAddEntry(o.Service, o.Address)
	l.active[en] = struct{}{}
	if o.FirstSeen.Add(wagclock.MaxSkew).Before(en.server.Started) {
		return
	}
	affected[en.service] = struct{}{}
	observed := en.sightingOf(o.Kind)
	if observed.first.IsZero() || observed.isSettled(o.FirstSeen) {
		// An observation that returns after a while may be about a new process whose start
		// this host has not seen. Peers may have ended the previous observation.
		*observed = sighting{first: o.FirstSeen, latest: o.FirstSeen, observer: o.Observer}
		if l.isDelegate || o.Observer == l.host {
			observed.sharesLeft = shareCount
		}
	}
	if o.FirstSeen.Before(observed.first) {
		observed.first = o.FirstSeen
	}
	if o.FirstSeen.After(observed.latest) {
		observed.latest = o.FirstSeen
	}
}

// sightingOf returns the sighting of a kind of observation.
func (en *entry) sightingOf(k ObservationKind) *sighting {
	switch k {
	case Draining:
		return &en.draining
	case ConnectionRefused:
		return &en.refused
	default:
		return &en.unhealthy
	}
}

// endObservations ends the observations of a server that has answered late enough
// after them. Draining ends only if a list has shown the server as live since.
func (l *List) endObservations(o Observation, affected map[*service]struct{}) (ended bool) {
	s := l.services[o.Service]
	if s == nil || s.servers[o.Address] == nil {
		return false
	}
	en := s.servers[o.Address]
	if !en.draining.first.IsZero() && en.lastLive.After(en.draining.latest) && en.draining.isSettled(o.FirstSeen) {
		en.draining, ended = sighting{}, true
		affected[s] = struct{}{}
	}
	if !en.refused.first.IsZero() && en.refused.isSettled(o.FirstSeen) {
		en.refused, ended = sighting{}, true
		affected[s] = struct{}{}
	}
	return ended
}

// isSettled reports whether an answer at the given time shows that the server is back.
func (s sighting) isSettled(at time.Time) bool {
	return at.After(s.latest.Add(settleDelay))
}

// isExpired reports whether the observation was last seen too long ago.
func (s sighting) isExpired(now time.Time, after time.Duration) bool {
	return !s.first.IsZero() && !s.latest.Add(after).After(now)
}

// isValid reports whether the observation is well-formed and recent.
func (o Observation) isValid(now time.Time) bool {
	if o.Service == "" || len(o.Service) > maxNameLength || len(o.Observer) > maxNameLength || !o.Address.IsValid() {
		return false
	}
	if o.FirstSeen.After(now.Add(wagclock.MaxSkew)) || o.FirstSeen.Add(suspicionTTL).Before(now) {
		return false
	}
	switch o.Kind {
	case Draining, ConnectionRefused, Unhealthy, Answered:
		return true
	}
	return false
}
