package waghost

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/wagtailspar/wagtailspar/waglog"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// evacuationsWaitTimeout bounds how long after its start a host sends no requests because
// it has not read the evacuations. Other hosts or the store send them within a second.
const evacuationsWaitTimeout = 2 * time.Second

// objectKey identifies an object of the store.
type objectKey struct{ kind, name string }

// evacuated is an evacuated data centre, and the revision of the object that says so.
type evacuated struct {
	dataCentre string
	revision   wagmirror.Revision
}

// evacuations holds the evacuated data centres. Only maySend may be called concurrently.
type evacuations struct {
	// dataCentres holds the evacuated data centre of each object.
	dataCentres map[objectKey]evacuated
	// serverCount is the number of servers in evacuated data centres.
	serverCount int
	// sendable holds the IDs of the servers outside the evacuated data centres. It is nil
	// while no data centre is evacuated, which permits all servers.
	sendable atomic.Pointer[map[string]bool]
}

// add records an evacuation and reports whether it was not known.
func (e *evacuations) add(r wagmirror.Record, x wagsite.Evacuation) bool {
	key := objectKey{r.Kind, r.Name}
	known, ok := e.dataCentres[key]
	if e.dataCentres == nil {
		e.dataCentres = make(map[objectKey]evacuated)
	}
	e.dataCentres[key] = evacuated{dataCentre: x.DataCentre, revision: r.Revision}
	return !ok || known.dataCentre != x.DataCentre
}

// remove ends the evacuation of a deleted object and returns the revision of its last
// record. It returns false if the object was none.
func (e *evacuations) remove(r wagmirror.Record) (dataCentre string, revision wagmirror.Revision, ok bool) {
	key := objectKey{r.Kind, r.Name}
	known, ok := e.dataCentres[key]
	delete(e.dataCentres, key)
	return known.dataCentre, known.revision, ok
}

// isEvacuated reports whether a data centre is evacuated.
func (e *evacuations) isEvacuated(dataCentre string) bool {
	for _, x := range e.dataCentres {
		if x.dataCentre == dataCentre {
			return true
		}
	}
	return false
}

// apply puts the evacuations in force and returns the servers that may get requests.
func (e *evacuations) apply(list []wagserver.Instance) []wagserver.Instance {
	if len(e.dataCentres) == 0 {
		e.serverCount = 0
		e.sendable.Store(nil)
		return list
	}
	total := len(list)
	list = slices.DeleteFunc(list, func(i wagserver.Instance) bool { return e.isEvacuated(i.DataCentre) })
	e.serverCount = total - len(list)
	sendable := make(map[string]bool, len(list))
	for _, i := range list {
		sendable[i.ID] = true
	}
	e.sendable.Store(&sendable)
	return list
}

// maySend reports whether a request may be sent to a server. A server that this host does
// not know may be in an evacuated data centre.
func (e *evacuations) maySend(serverID string) bool {
	sendable := e.sendable.Load()
	return sendable == nil || (*sendable)[serverID]
}

// maySend reports whether a request may be sent to a server, as far as evacuations are
// concerned.
func (s *SiteHost) maySend(serverID string) bool {
	if s.knowsEvacuations() && s.evacuations.maySend(serverID) {
		return true
	}
	s.withheldAttempts.Add(1)
	return false
}

// knowsEvacuations reports whether this host has read the evacuations, or waits for them
// no longer.
func (s *SiteHost) knowsEvacuations() bool {
	if !s.settings.FollowEvacuations || s.evacuationsKnown.Load() {
		return true
	}
	isRead := s.sync.HasDeliveredAll()
	if !isRead && s.clock.Now().Before(s.evacuationsWaitUntil) {
		return false
	}
	if s.evacuationsKnown.CompareAndSwap(false, true) && !isRead {
		s.log.Warn(waglog.KindStore, waglog.Fields{"event": "evacuationsUnknown", "waitedMs": ms(evacuationsWaitTimeout)})
	}
	return true
}

// logEvacuation logs the beginning or the end of an evacuation. s.mu must be held.
func (s *SiteHost) logEvacuation(event, dataCentre string, r wagmirror.Record) {
	servers := 0
	for _, i := range s.servers {
		if i.DataCentre == dataCentre {
			servers++
		}
	}
	s.log.Info(waglog.KindServer, waglog.Fields{"event": event, "dataCentre": dataCentre, "servers": servers, "revision": r.Revision, "copyAgeMs": ms(s.copyAge())})
}

// registerEvacuationMetrics registers the metrics of evacuations.
func (s *SiteHost) registerEvacuationMetrics() {
	gauge := func(read func() int) func() float64 {
		return func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(read())
		}
	}
	s.metrics.RegisterGauge("site_evacuated_data_centres", "Evacuated data centres.", gauge(func() int { return len(s.evacuations.dataCentres) }))
	s.metrics.RegisterGauge("site_evacuated_servers", "Servers in evacuated data centres, which get no requests.", gauge(func() int { return s.evacuations.serverCount }))
	s.metrics.RegisterCounter("site_withheld_attempts_total", "Grants that were given back unsent because of an evacuation.", func() float64 { return float64(s.withheldAttempts.Load()) })
}
