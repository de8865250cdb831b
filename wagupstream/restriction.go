package wagupstream

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrRestricted means that the server asked this host not to send requests, so that
// none was sent. It matches ErrNotSent, too.
var ErrRestricted = errors.WithMessage(ErrNotSent, "the server asked for no requests")

const (
	// maxRestriction bounds how long a busy server can turn this host away.
	maxRestriction = time.Minute
	// restrictionTTL is how long a server that is leaving is remembered after its entry
	// has gone. A request that was placed before may arrive until then.
	restrictionTTL = time.Minute
	// maxRestrictions bounds the restrictions that are remembered.
	maxRestrictions = 8192
)

// Restriction says that a server gets no requests and probes from this host. It does
// not bind other hosts.
type Restriction struct {
	// Leaving is set when the server is leaving. It lasts until the server starts again.
	Leaving bool
	// Until is the end of the restriction of a server that is not leaving.
	Until time.Time
}

// restrictions holds the restrictions of servers. It is safe for concurrent use.
type restrictions struct {
	mu sync.Mutex
	// byServer holds the restrictions in force, and those that have expired until the
	// next prune.
	byServer map[Server]storedRestriction
}

type storedRestriction struct {
	Restriction
	service string
	// forgetAt is when the restriction of a leaving server that is no longer registered
	// is dropped.
	forgetAt time.Time
}

func (r *storedRestriction) isInForce(now time.Time) bool { return r.Leaving || now.Before(r.Until) }

// Restrict adds a restriction of a server, which does not shorten the one in force.
func (p *Pool) Restrict(service string, s Server, added Restriction) {
	r := &p.restrictions
	now := p.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.byServer[s]
	if !known && len(r.byServer) >= maxRestrictions {
		return
	}
	until := added.Until
	if limit := now.Add(maxRestriction); until.After(limit) {
		until = limit
	}
	if old.Until.After(until) {
		until = old.Until
	}
	r.byServer[s] = storedRestriction{
		Restriction: Restriction{Leaving: old.Leaving || added.Leaving, Until: until}, service: service, forgetAt: now.Add(restrictionTTL),
	}
}

// LiftRestriction removes the restriction of a server that has started again.
func (p *Pool) LiftRestriction(s Server) {
	p.restrictions.mu.Lock()
	defer p.restrictions.mu.Unlock()
	delete(p.restrictions.byServer, s)
}

// RestrictionOf returns the restriction of a server that is in force.
func (p *Pool) RestrictionOf(s Server) (Restriction, bool) {
	r := &p.restrictions
	r.mu.Lock()
	defer r.mu.Unlock()
	stored, ok := r.byServer[s]
	return stored.Restriction, ok && stored.isInForce(p.now())
}

// RestrictedServers returns the IDs of the servers of a service with a restriction in
// force.
func (p *Pool) RestrictedServers(service string) (ids []string) {
	r := &p.restrictions
	r.mu.Lock()
	defer r.mu.Unlock()
	now := p.now()
	for s, stored := range r.byServer {
		if stored.service == service && stored.isInForce(now) {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// prune removes the restrictions that have expired, and those of servers that have not
// been registered for restrictionTTL.
func (r *restrictions) prune(now time.Time, isRegistered func(Server) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, stored := range r.byServer {
		switch {
		case !stored.isInForce(now):
			delete(r.byServer, s)
		case isRegistered(s):
			stored.forgetAt = now.Add(restrictionTTL)
			r.byServer[s] = stored
		case !now.Before(stored.forgetAt):
			delete(r.byServer, s)
		}
	}
}
