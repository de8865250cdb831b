package wagexplore

import (
	"fmt"
	"strings"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	serviceCount   = 2
	documentPrefix = "documents/"
	watchInterval  = 500 * time.Millisecond
	// maxRolloutDelay bounds the time from the acceptance of a document until it is in
	// force at every host (invariant I7).
	maxRolloutDelay = 11 * time.Second
	// minHolderUptime is how long a host must have been up, without faults, for a
	// restarted host to get a document from it.
	minHolderUptime = 5 * time.Second
)

// documentsModule simulates the operators and checks the documents that hosts put into
// force.
type documentsModule struct {
	fleet *fleet
	// revisions holds the revision by text for every text that an operator wrote; all
	// other texts are invalid.
	revisions map[string]int64
	// acceptedTexts holds the valid texts that the store accepted for each service, oldest
	// first.
	acceptedTexts [serviceCount][]string
	// highestRevision is the highest accepted revision of each service, and acceptedAt
	// when the store accepted it.
	highestRevision [serviceCount]int64
	acceptedAt      [serviceCount]time.Duration
	// bypassedAt is when the object of a service was last written or removed without
	// the operators' tool.
	bypassedAt [serviceCount]time.Duration
	// highestInForce holds the highest revision that was ever in force at a host, over
	// all its incarnations.
	highestInForce [peerCount][serviceCount]int64
	// sequence numbers the revisions of the operators.
	sequence int64
	// clockOffsets holds the clock offsets of the two operators.
	clockOffsets [2]time.Duration
}

func newDocumentsModule(f *fleet) *documentsModule {
	return &documentsModule{fleet: f, revisions: make(map[string]int64), clockOffsets: [2]time.Duration{f.world.randomClockOffset(), f.world.randomClockOffset()}}
}

func serviceName(n int) string {
	return fmt.Sprint("s", n)
}

func serviceIndex(name string) int {
	for n := range serviceCount {
		if serviceName(n) == name {
			return n
		}
	}
	return -1
}

// handleDocumentEvent passes an event to the catalog and carries out its commands.
func (p *peer) handleDocumentEvent(e wagrollout.Event) {
	for _, command := range p.catalog.Handle(p.now(), e) {
		switch c := command.(type) {
		case wagrollout.PullIndex:
			p.pullIndex(c)
		case wagrollout.PullDocuments:
			p.pullDocuments(c.Peer, c.Services)
		case wagrollout.RepairStore:
			p.fleet.world.store.put(documentPrefix+c.Service, c.Text, wagstore.Version(c.Expected), func(r storeResult) {
				if r.err == nil {
					p.schedule(0, func() {
						p.handleDocumentEvent(wagrollout.StoreRepaired{Service: c.Service, Version: wagrollout.Version(r.version)})
					})
				}
			})
		case wagrollout.DocumentInForce:
			p.fleet.documents.checkInForce(p, c.Document)
		}
	}
}

func (f *fleet) peerIndexByName(name string) int {
	for n, p := range f.peers {
		if p.self.Name == name {
			return n
		}
	}
	return 0
}

// pullIndex reads which revisions another host has.
func (p *peer) pullIndex(c wagrollout.PullIndex) {
	p.call(p.fleet.peerIndexByName(c.Peer), func(o *peer) func() {
		e := wagrollout.PeerIndex{Peer: c.Peer, Digest: o.catalog.Snapshot().Digest, ConfirmedAt: o.catalog.ConfirmedAt(), Entries: o.catalog.Index(c.Digests)}
		return func() {
			p.handleDocumentEvent(e)
			if p.fleet.world.config.defect == lowerRevision {
				p.pullAll(e)
			}
		}
	})
}

// pullAll pulls all documents of an index, also those that are not newer.
func (p *peer) pullAll(index wagrollout.PeerIndex) {
	for _, entry := range index.Entries {
		p.pullDocuments(index.Peer, []string{entry.Service})
	}
}

// pullDocuments reads documents from another host.
func (p *peer) pullDocuments(from string, services []string) {
	p.call(p.fleet.peerIndexByName(from), func(o *peer) func() {
		documents := o.catalog.Snapshot().Documents
		return func() {
			for _, name := range services {
				if d := documents[name]; d != nil {
					p.handlePulledDocument(wagrollout.PeerDocument{Peer: from, Service: name, Text: d.Text})
				}
			}
		}
	})
}

// handlePulledDocument passes a document to the catalog. With the defect lowerRevision
// the catalog is replaced first and so has lost the revision in force.
func (p *peer) handlePulledDocument(e wagrollout.PeerDocument) {
	if p.fleet.world.config.defect == lowerRevision {
		p.catalog = wagrollout.New()
	}
	p.handleDocumentEvent(e)
}

// updateDelegate starts or ends the watch of the store when this host has become a
// delegate of its data centre or no longer is one.
func (p *peer) updateDelegate() {
	isDelegate := p.members.IsDelegate()
	if isDelegate == (p.watchNumber%2 == 1) {
		return
	}
	p.watchNumber++
	p.cursor = 0
	p.handleDocumentEvent(wagrollout.Delegate{IsDelegate: isDelegate})
	p.handleServerEvent(wagserver.Delegate{IsDelegate: isDelegate})
	if isDelegate {
		p.watchStore(p.watchNumber)
	}
}

// watchStore reads the changed documents, or all of them at first and after WatchGap,
// until the watch with this number ends.
func (p *peer) watchStore(watch int) {
	if p.watchNumber != watch {
		return
	}
	w := p.fleet.world
	if gap := p.fleet.faultUntil[WatchGap][p.index]; w.now < gap {
		p.cursor = 0
		p.schedule(gap-w.now, func() { p.watchStore(watch) })
		return
	}
	started, since := p.now(), p.cursor
	w.store.readChanges(documentPrefix, since, func(r listResult) {
		p.schedule(0, func() {
			if p.watchNumber == watch {
				p.handleChanges(started, since, r)
				p.schedule(watchInterval, func() { p.watchStore(watch) })
			}
		})
	})
}

// handleChanges passes the documents that were read from the store to the catalog.
func (p *peer) handleChanges(started time.Time, since uint64, r listResult) {
	if r.err != nil {
		return
	}
	p.cursor = r.cursor
	e := wagrollout.StoreRead{Started: started, Full: since == 0}
	for _, o := range r.objects {
		object := wagrollout.Object{Service: strings.TrimPrefix(o.Key, documentPrefix), Version: wagrollout.Version(o.Version)}
		if o.Version != "" {
			object.Text = o.Value
		}
		e.Objects = append(e.Objects, object)
	}
	p.handleDocumentEvent(e)
}

// recipients returns the indices of the hosts to which this host sends observations: the
// reachable ones of its data centre and, from a delegate, the delegates of the others.
func (p *peer) recipients() []int {
	delegate := p.members.IsDelegate()
	var list []int
	for _, m := range p.members.Members() {
		remote := m.DataCentre != p.self.DataCentre
		reachable := m.State != wagmember.Dead && m.State != wagmember.Unreachable
		if reachable && (!remote || delegate && contains(p.members.DelegatesOf(m.DataCentre), m.Name)) {
			list = append(list, peerIndex(m))
		}
	}
	return list
}

func contains(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

// checkInForce checks a document that a host puts into force: an operator wrote its
// text, and its revision is not lower than the former one.
func (m *documentsModule) checkInForce(p *peer, d *wagdocument.Document) {
	w, n, r := m.fleet.world, serviceIndex(d.Service.Name), d.Revision.Number
	w.record(wagevent.KindDocument, p.index, uint64(n), uint64(r))
	w.traceEvent(wagevent.KindDocument, p.index, "revision %d of %s is in force", r, d.Service.Name)
	if n < 0 || m.revisions[string(d.Text)] != r {
		w.reportViolation("host %s: an invalid text of %s is in force", p.self.Name, d.Service.Name)
		return
	}
	w.counts.Fleet.InForce++
	if r < p.revisionInForce[n] {
		w.reportViolation("host %s: revision %d of %s replaces %d", p.self.Name, r, d.Service.Name, p.revisionInForce[n])
	}
	p.revisionInForce[n], p.inForceSince[n] = r, w.now
	m.highestInForce[p.index][n] = max(m.highestInForce[p.index][n], r)
}

// check checks that a host has the latest revisions in force in time, and none that are
// older than before its restart.
func (m *documentsModule) check(p *peer) {
	for n := range serviceCount {
		since := m.fleet.world.now - maxRolloutDelay
		due := m.acceptedAt[n] < since && (m.storeReachable(p, since) && m.latestAvailable(p, n, since) || m.latestSpread(n, since))
		if due {
			m.fleet.world.counts.Fleet.RevisionChecks++
		}
		if due && p.revisionInForce[n] < m.highestRevision[n] {
			m.fleet.world.reportViolation("host %s: revision %d of %s is in force, and %d was accepted at %s", p.self.Name, p.revisionInForce[n], serviceName(n), m.highestRevision[n], m.acceptedAt[n])
		}
		if highest := m.highestInForce[p.index][n]; p.revisionInForce[n] < highest && !p.catalog.IsStale(p.now()) && m.heldByNeighbour(p, n, highest) {
			m.fleet.world.reportViolation("host %s: revision %d of %s is in force after a restart, and %d was before", p.self.Name, p.revisionInForce[n], serviceName(n), highest)
		}
	}
}

// storeReachable reports whether a host could get documents from the store since a time:
// the store had no faults, messages and watches in the data centre had none, and at most
// one other host of it was down or paused.
func (m *documentsModule) storeReachable(p *peer, since time.Duration) bool {
	for _, f := range []Fault{StoreDown, StoreSlow, StaleRead} {
		if m.fleet.world.faults[f].until[0] > since {
			return false
		}
	}
	unavailable := 0
	for _, o := range m.fleet.peers[p.dataCentre()*hostsPerDataCentre : (p.dataCentre()+1)*hostsPerDataCentre] {
		if max(m.fleet.faultUntil[MessageLoss][o.index], m.fleet.faultUntil[MessageDelay][o.index], m.fleet.faultUntil[WatchGap][o.index]) > since {
			return false
		}
		if !o.upSince(since) {
			unavailable++
		}
	}
	return p.upSince(since) && unavailable <= 1
}

// latestAvailable reports whether a host could get the latest revision: from the store,
// unless its object was changed without the operators' tool, or from a host of the data
// centre. A text that is overwritten before any host has read it is lost.
func (m *documentsModule) latestAvailable(p *peer, n int, since time.Duration) bool {
	if m.bypassedAt[n] < m.acceptedAt[n] {
		return true
	}
	for _, o := range m.fleet.peers[p.dataCentre()*hostsPerDataCentre : (p.dataCentre()+1)*hostsPerDataCentre] {
		if o.upSince(since) && o.revisionInForce[n] >= m.highestRevision[n] && o.inForceSince[n] <= since {
			return true
		}
	}
	return false
}

// latestSpread reports whether, since a time, some host had the latest revision and all
// hosts could exchange messages. Then hosts get it without the store.
func (m *documentsModule) latestSpread(n int, since time.Duration) bool {
	held := false
	for _, o := range m.fleet.peers {
		if !o.faultFreeSince(since) {
			return false
		}
		held = held || o.revisionInForce[n] >= m.highestRevision[n] && o.inForceSince[n] <= since
	}
	return held && m.fleet.noPartitionSince(since)
}

// heldByNeighbour reports whether another host of the data centre, with which this one
// can exchange messages, has the revision or a later one in force.
func (m *documentsModule) heldByNeighbour(p *peer, n int, revision int64) bool {
	since := m.fleet.world.now - minHolderUptime
	for _, o := range m.fleet.peers[p.dataCentre()*hostsPerDataCentre : (p.dataCentre()+1)*hostsPerDataCentre] {
		if o != p && o.faultFreeSince(since) && p.faultFreeSince(min(since, p.bootedAt)) && o.revisionInForce[n] >= revision {
			return true
		}
	}
	return false
}

// performEdit performs a planned edit of an operator.
func (m *documentsModule) performEdit(a *action) {
	n, operator := a.target%serviceCount, a.target/serviceCount%2
	key := documentPrefix + serviceName(n)
	if a.edit != editDocument && a.edit != deleteDocument {
		m.bypassedAt[n] = m.fleet.world.now
	}
	switch a.edit {
	case editDocument, deleteDocument:
		m.fleet.world.store.get(key, func(r storeResult) {
			if r.err == nil {
				m.writeRevision(n, operator, a.edit == deleteDocument, r.object)
			}
		})
	case restoreDocument:
		if len(m.acceptedTexts[n]) > 0 {
			m.fleet.world.store.overwrite(key, []byte(m.acceptedTexts[n][m.fleet.world.random.IntN(len(m.acceptedTexts[n]))]))
		}
	case corruptDocument:
		m.fleet.world.store.overwrite(key, []byte("[service]\nname = "+serviceName(n)+"\nslots = none\n[revision]\nnumber = "+fmt.Sprint(m.highestRevision[n]+1)+"\n"))
	case removeObject:
		m.fleet.world.store.dropObject(key)
	}
}

// writeRevision writes the next revision of a document, on the condition that the object
// is still the one that was read.
func (m *documentsModule) writeRevision(n, operator int, deleted bool, current wagstore.Object) {
	m.sequence++
	base := wagdocument.ReadRevision(current.Value)
	next := base.Next(m.fleet.world.trueTime().Add(m.clockOffsets[operator]), fmt.Sprint("operator", operator), m.sequence)
	if m.fleet.world.config.defect == plainCounter {
		next.Number = base.Number + 1
	}
	text := fmt.Sprintf("[service]\nname = %s\ndeleted = %t\n[revision]\nnumber = %d\nwriter = %s\nsequence = %d\n",
		serviceName(n), deleted, next.Number, next.Writer, next.Sequence)
	m.revisions[text] = next.Number
	m.fleet.world.store.put(documentPrefix+serviceName(n), []byte(text), current.Version, func(storeResult) {})
}

// observeWrite records a write that the store accepted and checks that its revision is
// higher than those before.
func (m *documentsModule) observeWrite(key string, value []byte) {
	n := serviceIndex(strings.TrimPrefix(key, documentPrefix))
	text := string(value)
	revision, valid := m.revisions[text]
	if !strings.HasPrefix(key, documentPrefix) || n < 0 || !valid {
		return
	}
	for _, known := range m.acceptedTexts[n] {
		if known == text {
			return
		}
	}
	m.acceptedTexts[n] = append(m.acceptedTexts[n], text)
	// The number of a revision follows the clock of its operator, and the clocks of two
	// operators may differ by wagclock.MaxSkew.
	if revision <= m.highestRevision[n] && m.fleet.world.now-m.acceptedAt[n] > wagclock.MaxSkew {
		m.fleet.world.reportViolation("an operator writes revision %d of %s after %d", revision, serviceName(n), m.highestRevision[n])
	}
	if revision > m.highestRevision[n] {
		m.fleet.world.counts.Fleet.Revisions++
		m.highestRevision[n], m.acceptedAt[n] = revision, m.fleet.world.now
	}
}
