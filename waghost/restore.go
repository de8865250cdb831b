package waghost

import (
	"context"
	"time"

	"github.com/wagtailspar/wagtailspar/waglog"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
	"github.com/wagtailspar/wagtailspar/wagsync"
)

const (
	// missingServerTimeout is how long after the store has come back from a copy a server
	// stays in use that the copy lacks. Servers register again within about 2 s.
	missingServerTimeout = 2500 * time.Millisecond
	// restoredEvacuationTimeout bounds how long this host goes by what it knew of an
	// evacuation against the copy. The operator writes again what the copy lacks.
	restoredEvacuationTimeout = 30 * time.Second
	// defaultRegistrationTimeout is the time without a report after which the store removes
	// the entry of a server, unless the settings state it.
	defaultRegistrationTimeout = 4500 * time.Millisecond
	// departureMemory is how long the removal of an entry is remembered at least, which has
	// to be longer than copies of the store are old.
	departureMemory = 2 * time.Minute
	// minDepartures and maxDepartures bound the removed entries that are remembered. Below
	// the first, they are remembered for longer than departureMemory.
	minDepartures, maxDepartures = 64, 4096
)

// restoration holds what a host knows beside a store that has come back from a copy of
// itself. The copy shows a former state until the operator and the servers have written
// again; a host that knew more goes by that meanwhile.
type restoration struct {
	// eras holds the latest era of each kind whose objects were listed.
	eras map[string]wagmirror.Era
	// departures holds the servers whose entries were removed, by the names of the entries.
	departures map[string]departure
	// missingServers holds until when servers stay in use that the copy lacks.
	missingServers map[string]time.Time
	// withheldServers holds the entries that the copy has restored although their servers
	// have left or are leaving. They are used once the server has reported again.
	withheldServers map[string]withheldServer
	// endedEvacuations holds the last records of evacuations that have ended.
	endedEvacuations map[objectKey]endedEvacuation
	// missingEvacuations holds until when evacuations stay in force that the copy lacks.
	missingEvacuations map[objectKey]time.Time
	// withheldEvacuations holds the evacuations that the copy has restored although they
	// have ended.
	withheldEvacuations map[objectKey]withheldEvacuation
	// changed is signalled when a deadline may have become earlier.
	changed chan struct{}
}

// departure is a server whose entry was removed.
type departure struct {
	instance wagserver.Instance
	at       time.Time
}

// withheldServer is an entry that is not used before a deadline.
type withheldServer struct {
	instance wagserver.Instance
	until    time.Time
}

// endedEvacuation is an evacuation that has ended, and the revision of its last record.
type endedEvacuation struct {
	revision wagmirror.Revision
	at       time.Time
}

// withheldEvacuation is an evacuation that is not in force before a deadline.
type withheldEvacuation struct {
	record     wagmirror.Record
	evacuation wagsite.Evacuation
	until      time.Time
}

func newRestoration() restoration {
	return restoration{
		eras: make(map[string]wagmirror.Era), departures: make(map[string]departure), missingServers: make(map[string]time.Time),
		withheldServers: make(map[string]withheldServer), endedEvacuations: make(map[objectKey]endedEvacuation),
		missingEvacuations: make(map[objectKey]time.Time), withheldEvacuations: make(map[objectKey]withheldEvacuation),
		changed: make(chan struct{}, 1),
	}
}

// recordEra records the era of a change and reports whether the change is the first one
// after the store has come back from a copy.
func (x *restoration) recordEra(c wagsync.Change) (isRestored bool) {
	known, isListed := x.eras[c.Kind]
	x.eras[c.Kind] = max(known, c.Era)
	return isListed && c.Era > known
}

// recordDeparture records that the entry of a server was removed.
func (x *restoration) recordDeparture(name string, instance wagserver.Instance, now time.Time) {
	if len(x.departures) >= minDepartures {
		for known, d := range x.departures {
			if now.Sub(d.at) > departureMemory || len(x.departures) >= maxDepartures {
				delete(x.departures, known)
			}
		}
	}
	x.departures[name] = departure{instance: instance, at: now}
}

// nextDeadline returns the earliest deadline, or the zero time if there is none.
func (x *restoration) nextDeadline() (next time.Time) {
	add := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, t := range x.missingServers {
		add(t)
	}
	for _, w := range x.withheldServers {
		add(w.until)
	}
	for _, t := range x.missingEvacuations {
		add(t)
	}
	for _, w := range x.withheldEvacuations {
		add(w.until)
	}
	return next
}

// signal makes awaitRestoration look at the deadlines again.
func (x *restoration) signal() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// removeServer removes the entry of a server, at once unless it is only missing in the copy
// from which the store came back. It reports whether that changes the servers; s.mu must be
// held.
func (s *SiteHost) removeServer(c wagsync.Change, r wagmirror.Record, isRestored bool, now time.Time) (changed bool) {
	x := &s.restoration
	instance, known := s.servers[r.Name]
	if known && isRestored {
		x.missingServers[r.Name] = now.Add(missingServerTimeout)
		x.signal()
		return false
	}
	delete(x.missingServers, r.Name)
	delete(x.withheldServers, r.Name)
	delete(s.servers, r.Name)
	if known {
		x.recordDeparture(r.Name, instance, now)
	}
	s.log.Info(waglog.KindServer, s.withOrigin(c, waglog.Fields{"server": r.Name, "event": "gone", "revision": r.Revision}))
	return known
}

// withholdServer reports whether an entry must not be used because this host knows that the
// server has left or is leaving, and the entry is older: the copy has restored it. A later
// report of the server ends that; s.mu must be held.
func (s *SiteHost) withholdServer(c wagsync.Change, r wagmirror.Record, instance wagserver.Instance, isRestored bool, now time.Time) bool {
	x := &s.restoration
	delete(x.missingServers, r.Name)
	known, isKnown := s.servers[r.Name]
	d, hasLeft := x.departures[r.Name]
	if !isKnown && hasLeft {
		known = d.instance
	}
	isOlder := (isKnown && known.State == wagserver.Leaving || hasLeft) && instance.State == wagserver.Live &&
		instance.Started.Equal(known.Started) && instance.Sequence <= known.Sequence
	if !isRestored || !isOlder {
		if _, isWithheld := x.withheldServers[r.Name]; !isWithheld || instance.Sequence >= known.Sequence || !instance.Started.Equal(known.Started) {
			delete(x.withheldServers, r.Name)
			delete(x.departures, r.Name)
			return false
		}
		return true
	}
	x.withheldServers[r.Name] = withheldServer{instance: instance, until: now.Add(2 * s.registrationTimeout())}
	x.signal()
	s.log.Info(waglog.KindServer, s.withOrigin(c, waglog.Fields{
		"server": instance.ID, "event": "withheld", "revision": r.Revision, "sequence": instance.Sequence, "knownSequence": known.Sequence,
	}))
	return true
}

// registrationTimeout returns the time without a report after which the store removes the
// entry of a server.
func (s *SiteHost) registrationTimeout() time.Duration {
	if s.settings.RegistrationTimeout > 0 {
		return s.settings.RegistrationTimeout
	}
	return defaultRegistrationTimeout
}

// endEvacuation ends the evacuation of a removed object, at once unless it is only missing
// in the copy from which the store came back. It returns false if the object is none; s.mu
// must be held.
func (s *SiteHost) endEvacuation(r wagmirror.Record, isRestored bool, now time.Time) (changed, isEvacuation bool) {
	x, key := &s.restoration, objectKey{r.Kind, r.Name}
	if _, known := s.evacuations.dataCentres[key]; known && isRestored {
		x.missingEvacuations[key] = now.Add(restoredEvacuationTimeout)
		x.signal()
		return false, true
	}
	_, isWithheld := x.withheldEvacuations[key]
	delete(x.missingEvacuations, key)
	delete(x.withheldEvacuations, key)
	dataCentre, revision, ok := s.evacuations.remove(r)
	if !ok {
		return false, isWithheld
	}
	for known, ended := range x.endedEvacuations {
		if now.Sub(ended.at) > departureMemory {
			delete(x.endedEvacuations, known)
		}
	}
	x.endedEvacuations[key] = endedEvacuation{revision: revision, at: now}
	s.logEvacuation("takenBack", dataCentre, r)
	return true, true
}

// addEvacuation puts an evacuation in force, unless the copy from which the store came back
// has only restored it. It reports whether anything changed; s.mu must be held.
func (s *SiteHost) addEvacuation(r wagmirror.Record, e wagsite.Evacuation, isRestored bool, now time.Time) (changed bool) {
	x, key := &s.restoration, objectKey{r.Kind, r.Name}
	delete(x.missingEvacuations, key)
	if ended, ok := x.endedEvacuations[key]; ok && isRestored && ended.revision == r.Revision {
		x.withheldEvacuations[key] = withheldEvacuation{record: r, evacuation: e, until: now.Add(restoredEvacuationTimeout)}
		x.signal()
		return false
	}
	delete(x.withheldEvacuations, key)
	delete(x.endedEvacuations, key)
	if !s.evacuations.add(r, e) {
		return false
	}
	s.logEvacuation("evacuated", e.DataCentre, r)
	return true
}

// awaitRestoration ends at their deadlines what this host keeps against the copy from which
// the store came back, until ctx ends.
func (s *SiteHost) awaitRestoration(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		next := s.restoration.nextDeadline()
		s.mu.Unlock()
		var due <-chan time.Time
		release := func() {}
		if !next.IsZero() {
			due, release = s.clock.TimerAt(next)
		}
		select {
		case <-ctx.Done():
		case <-s.restoration.changed:
		case <-due:
			s.endRestoration(s.clock.Now())
		}
		release()
	}
	return nil
}

// endRestoration goes by the store again where a deadline has passed.
func (s *SiteHost) endRestoration(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &s.restoration
	changed := false
	for name, until := range x.missingServers {
		if now.Before(until) {
			continue
		}
		delete(x.missingServers, name)
		instance := s.servers[name]
		delete(s.servers, name)
		x.recordDeparture(name, instance, now)
		changed = true
		s.log.Info(waglog.KindServer, waglog.Fields{"server": instance.ID, "event": "gone", "reason": "missing after the store came back from a copy"})
	}
	for name, w := range x.withheldServers {
		if now.Before(w.until) {
			continue
		}
		delete(x.withheldServers, name)
		delete(x.departures, name)
		s.servers[name] = w.instance
		changed = true
		s.log.Info(waglog.KindServer, waglog.Fields{"server": w.instance.ID, "event": string(w.instance.State), "reason": "the store has kept the entry since it came back from a copy"})
	}
	for key, until := range x.missingEvacuations {
		if now.Before(until) {
			continue
		}
		delete(x.missingEvacuations, key)
		r := wagmirror.Record{Kind: key.kind, Name: key.name, Deleted: true}
		if dataCentre, _, ok := s.evacuations.remove(r); ok {
			s.logEvacuation("takenBack", dataCentre, r)
			changed = true
		}
	}
	for key, w := range x.withheldEvacuations {
		if now.Before(w.until) {
			continue
		}
		delete(x.withheldEvacuations, key)
		delete(x.endedEvacuations, key)
		if s.evacuations.add(w.record, w.evacuation) {
			s.logEvacuation("evacuated", w.evacuation.DataCentre, w.record)
			changed = true
		}
	}
	if changed {
		s.setOwnerServers(true)
	}
}
