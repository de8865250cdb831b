package wagserver

import (
	"sort"
	"time"
)

// expire drops observations and servers whose time has passed.
func (l *List) expire(now time.Time, touched map[*service]struct{}) {
	for en := range l.active {
		touched[en.service] = struct{}{}
		if en.drain.expired(now, drainTime) {
			en.drain = seen{}
		}
		if en.refused.expired(now, doubtTime) {
			en.refused = seen{}
		}
		if en.unwell.expired(now, doubtTime) {
			en.unwell = seen{}
		}
		observed := !en.drain.first.IsZero() || !en.refused.first.IsZero() || !en.unwell.first.IsZero()
		switch {
		case en.listed && !observed:
			delete(l.active, en)
		case !en.listed && !observed && !en.absent.Add(forgetTime).After(now):
			l.remove(en)
		}
	}
}

func (l *List) remove(en *entry) {
	if en.absent.IsZero() {
		l.unlisted--
	}
	delete(l.active, en)
	delete(en.service.servers, en.server.Address)
	en.service.merged = nil
	if len(en.service.servers) == 0 {
		delete(l.services, en.service.name)
	}
}

// changes works out the states of the touched services.
func (l *List) changes(now time.Time, touched map[*service]struct{}) []Command {
	var names []string
	for s := range touched {
		if s.update(now) || s.merged == nil {
			s.merged = nil
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

// update sets which servers are leaving and tells whether that changed.
func (s *service) update(now time.Time) bool {
	changed := false
	var refused []*entry
	listed := 0
	for _, en := range s.servers {
		if en.listed {
			listed++
		}
		leaving := en.left(now)
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
		leaving := i < listed/boundShare
		changed = changed || leaving != en.leaving
		en.leaving = leaving
	}
	return changed
}

// left tells whether a server is leaving by its own word or by the host list. An
// unhealthy endpoint only shortens the wait for a server that is missing.
func (en *entry) left(now time.Time) bool {
	switch {
	case !en.drain.first.IsZero() || en.server.State == Leaving:
		return true
	case en.listed || en.absent.IsZero():
		return false
	case !en.unwell.first.IsZero() || !en.refused.first.IsZero():
		return true
	default:
		return !en.absent.Add(absenceTime).After(now)
	}
}

// share repeats the observations that this host has to pass on.
func (l *List) share(now time.Time) []Command {
	if l.next.After(now) && !l.fresh() && len(l.returns) == 0 {
		return nil
	}
	var list []Observation
	for en := range l.active {
		for _, kind := range []ObservationKind{Draining, ConnectionRefused, Unhealthy} {
			if s := en.seen(kind); s.shares > 0 {
				list = append(list, Observation{Service: en.service.name, Address: en.server.Address, Kind: kind, FirstSeen: s.first, Observer: s.observer})
			}
		}
	}
	l.next = now.Add(shareTime)
	// Draining comes first: it is the observation that is never bounded.
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	list = list[:min(len(list), MaxSharedObservations-len(l.returns))]
	for _, o := range list {
		l.services[o.Service].servers[o.Address].seen(o.Kind).shares--
	}
	list = append(list, l.returns...)
	l.returns = nil
	if len(list) == 0 {
		return nil
	}
	return []Command{ShareObservations{Observations: list}}
}

// fresh tells whether an observation has not been shared at all.
func (l *List) fresh() bool {
	for en := range l.active {
		if en.drain.shares == shareCount || en.refused.shares == shareCount {
			return true
		}
	}
	return false
}

func (o Observation) before(p Observation) bool {
	if o.Kind != p.Kind {
		return o.Kind < p.Kind
	}
	if o.Service != p.Service {
		return o.Service < p.Service
	}
	return o.Address.Compare(p.Address) < 0
}
