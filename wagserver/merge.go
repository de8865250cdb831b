package wagserver

import (
	"sort"
	"time"
)

// expire removes observations and servers that have expired.
func (l *List) expire(now time.Time, affected map[*service]struct{}) {
	for en := range l.active {
		affected[en.service] = struct{}{}
		if en.draining.isExpired(now, drainTTL) {
			en.draining = sighting{}
		}
		if en.refused.isExpired(now, suspicionTTL) {
			en.refused = sighting{}
		}
		if en.unhealthy.isExpired(now, suspicionTTL) {
			en.unhealthy = sighting{}
		}
		observed := !en.draining.first.IsZero() || !en.refused.first.IsZero() || !en.unhealthy.first.IsZero()
		switch {
		case en.listed && !observed:
			delete(l.active, en)
		case !en.listed && !observed && !en.absentSince.Add(absentServerTTL).After(now):
			l.remove(en)
		}
	}
}

func (l *List) remove(en *entry) {
	if en.absentSince.IsZero() {
		l.unlisted--
	}
	delete(l.active, en)
	delete(en.service.servers, en.server.Address)
	en.service.cachedServers = nil
	if len(en.service.servers) == 0 {
		delete(l.services, en.service.name)
	}
}

// collectChanges updates the states of the affected services and returns a command for
// each service that changed.
func (l *List) collectChanges(now time.Time, affected map[*service]struct{}) []Command {
	var names []string
	for s := range affected {
		if s.updateLeaving(now) || s.cachedServers == nil {
			s.cachedServers = nil
			names = append(names, s.name)
		}
	}
	sort.Strings(names)
	commands := make([]Command, len(names))
	for i, name := range names {
		commands[i] = ServersChanged{Service: name}
	}
	return commands
}

// updateLeaving updates which servers are leaving and reports whether that changed.
func (s *service) updateLeaving(now time.Time) bool {
	changed := false
	var refused []*entry
	listed := 0
	for _, en := range s.servers {
		if en.listed {
			listed++
		}
		leaving := en.isKnownLeaving(now)
		if !leaving && !en.refused.first.IsZero() {
			refused = append(refused, en)
			continue
		}
		changed = changed || leaving != en.leaving
		en.leaving = leaving
	}
	sort.Slice(refused, func(i, j int) bool {
		a, b := refused[i], refused[j]
		if !a.refused.first.Equal(b.refused.first) {
			return a.refused.first.Before(b.refused.first)
		}
		return a.server.Address.Compare(b.server.Address) < 0
	})
	for i, en := range refused {
		leaving := i < listed/maxRefusedDivisor
		changed = changed || leaving != en.leaving
		en.leaving = leaving
	}
	return changed
}

// isKnownLeaving reports whether the server announced that it leaves, or whether the
// host list shows it. Refused connections and an unhealthy endpoint only shorten the
// wait for a server that is missing from the list.
func (en *entry) isKnownLeaving(now time.Time) bool {
	switch {
	case !en.draining.first.IsZero() || en.server.State == Leaving:
		return true
	case en.listed || en.absentSince.IsZero():
		return false
	case !en.unhealthy.first.IsZero() || !en.refused.first.IsZero():
		return true
	default:
		return !en.absentSince.Add(absenceTimeout).After(now)
	}
}

// shareObservations returns the command that shares the observations which are due.
func (l *List) shareObservations(now time.Time) []Command {
	if l.nextShare.After(now) && !l.hasUnshared() && len(l.pendingReturns) == 0 {
		return nil
	}
	var list []Observation
	for en := range l.active {
		for _, kind := range []ObservationKind{Draining, ConnectionRefused, Unhealthy} {
			if s := en.sightingOf(kind); s.sharesLeft > 0 {
				list = append(list, Observation{Service: en.service.name, Address: en.server.Address, Kind: kind, FirstSeen: s.first, Observer: s.observer})
			}
		}
	}
	l.nextShare = now.Add(shareInterval)
	// Draining comes first, because it removes a server without any limit.
	sort.Slice(list, func(i, j int) bool { return list[i].sortsBefore(list[j]) })
	list = list[:min(len(list), MaxSharedObservations-len(l.pendingReturns))]
	for _, o := range list {
		l.services[o.Service].servers[o.Address].sightingOf(o.Kind).sharesLeft--
	}
	list = append(list, l.pendingReturns...)
	l.pendingReturns = nil
	if len(list) == 0 {
		return nil
	}
	return []Command{ShareObservations{Observations: list}}
}

// hasUnshared reports whether a drain or a refused connection was never shared.
func (l *List) hasUnshared() bool {
	for en := range l.active {
		if en.draining.sharesLeft == shareCount || en.refused.sharesLeft == shareCount {
			return true
		}
	}
	return false
}

// sortsBefore orders observations by kind, service and address.
func (o Observation) sortsBefore(p Observation) bool {
	if o.Kind != p.Kind {
		return o.Kind < p.Kind
	}
	if o.Service != p.Service {
		return o.Service < p.Service
	}
	return o.Address.Compare(p.Address) < 0
}
