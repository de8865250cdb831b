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
	watchTime      = 500 * time.Millisecond
	// forceTime is within what time a document is in force everywhere (I7).
	forceTime = 11 * time.Second
	// keptTime is how long a host was up to count as one that kept a document.
	keptTime = 5 * time.Second
)

// documentsModule holds the operators and what they wrote.
type documentsModule struct {
	f *fleet
	// revisions holds the revision of every text that an operator made; other
	// texts are invalid.
	revisions map[string]int64
	// texts holds the texts of a service that took effect, the oldest first.
	texts [serviceCount][]string
	// highest is the highest accepted revision of a service, and at when the
	// store took it.
	highest [serviceCount]int64
	at      [serviceCount]time.Duration
	// spoiled is when an object was last written or removed past the operators'
	// tool.
	spoiled [serviceCount]time.Duration
	// best holds the highest revision that was in force in a place.
	best     [peerCount][serviceCount]int64
	sequence int64
	offsets  [2]time.Duration
}

func newDocumentsModule(f *fleet) *documentsModule {
	return &documentsModule{f: f, revisions: make(map[string]int64), offsets: [2]time.Duration{f.w.offset(), f.w.offset()}}
}

func serviceName(n int) string {
	return fmt.Sprint("s", n)
}

func serviceNumber(name string) int {
	for n := range serviceCount {
		if serviceName(n) == name {
			return n
		}
	}
	return -1
}

// document gives one event to the catalog and carries out its commands.
func (p *peer) document(e wagrollout.Event) {
	for _, command := range p.catalog.Handle(p.now(), e) {
		switch c := command.(type) {
		case wagrollout.PullIndex:
			p.pullIndex(c)
		case wagrollout.PullDocuments:
			p.pullDocuments(c.Peer, c.Services)
		case wagrollout.RepairStore:
			p.f.w.store.put(documentPrefix+c.Service, c.Text, wagstore.Version(c.Expected), func(r storeResult) {
				if r.err == nil {
					p.after(0, func() {
						p.document(wagrollout.StoreRepaired{Service: c.Service, Version: wagrollout.Version(r.version)})
					})
				}
			})
		case wagrollout.DocumentInForce:
			p.f.documents.inForce(p, c.Document)
		}
	}
}

func (f *fleet) place(name string) int {
	for n, p := range f.peers {
		if p.self.Name == name {
			return n
		}
	}
	return 0
}

func (p *peer) pullIndex(c wagrollout.PullIndex) {
	p.call(p.f.place(c.Peer), func(o *peer) func() {
		e := wagrollout.PeerIndex{Peer: c.Peer, Digest: o.catalog.Snapshot().Digest, ConfirmedAt: o.catalog.ConfirmedAt(), Entries: o.catalog.Index(c.Digests)}
		return func() {
			p.document(e)
			if p.f.w.config.sabotage == lowerRevision {
				p.pullAll(e)
			}
		}
	})
}

// pullAll asks for all documents of an index, whether they are newer or not.
func (p *peer) pullAll(e wagrollout.PeerIndex) {
	for _, entry := range e.Entries {
		p.pullDocuments(e.Peer, []string{entry.Service})
	}
}

func (p *peer) pullDocuments(from string, services []string) {
	p.call(p.f.place(from), func(o *peer) func() {
		documents := o.catalog.Snapshot().Documents
		return func() {
			for _, name := range services {
				if d := documents[name]; d != nil {
					p.pulled(wagrollout.PeerDocument{Peer: from, Service: name, Text: d.Text})
				}
			}
		}
	})
}

func (p *peer) pulled(e wagrollout.PeerDocument) {
	if p.f.w.config.sabotage == lowerRevision {
		p.catalog = wagrollout.New()
	}
	p.document(e)
}

// delegate starts or ends the watch of the store.
func (p *peer) delegate() {
	is := p.table.IsDelegate()
	if is == (p.following%2 == 1) {
		return
	}
	p.following++
	p.cursor = 0
	p.document(wagrollout.Delegate{IsDelegate: is})
	p.serverList(wagserver.Delegate{IsDelegate: is})
	if is {
		p.follow(p.following)
	}
}

// follow reads what changed, all of it at first and after a gap.
func (p *peer) follow(number int) {
	if p.following != number {
		return
	}
	w := p.f.w
	if gap := p.f.until[WatchGap][p.number]; w.now < gap {
		p.cursor = 0
		p.after(gap-w.now, func() { p.follow(number) })
		return
	}
	started, since := p.now(), p.cursor
	w.store.changes(documentPrefix, since, func(r listResult) {
		p.after(0, func() {
			if p.following == number {
				p.followed(started, since, r)
				p.after(watchTime, func() { p.follow(number) })
			}
		})
	})
}

func (p *peer) followed(started time.Time, since uint64, r listResult) {
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
	p.document(e)
}

// recipients returns the places to which this host speaks.
func (p *peer) recipients() []int {
	delegate := p.table.IsDelegate()
	var list []int
	for _, m := range p.table.Members() {
		far := m.DataCentre != p.self.DataCentre
		speaks := m.State != wagmember.Dead && m.State != wagmember.Unreachable
		if speaks && (!far || delegate && contains(p.table.DelegatesOf(m.DataCentre), m.Name)) {
			list = append(list, placeOf(m))
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

// inForce checks one document that comes into force.
func (m *documentsModule) inForce(p *peer, d *wagdocument.Document) {
	w, n, r := m.f.w, serviceNumber(d.Service.Name), d.Revision.Number
	w.record(wagevent.KindDocument, p.number, uint64(n), uint64(r))
	w.note(wagevent.KindDocument, p.number, "revision %d of %s is in force", r, d.Service.Name)
	if n < 0 || m.revisions[string(d.Text)] != r {
		w.violate("host %s: an invalid text of %s is in force", p.self.Name, d.Service.Name)
		return
	}
	w.counts.Fleet.InForce++
	if r < p.inForce[n] {
		w.violate("host %s: revision %d of %s replaces %d", p.self.Name, r, d.Service.Name, p.inForce[n])
	}
	p.inForce[n], p.forced[n] = r, w.now
	m.best[p.number][n] = max(m.best[p.number][n], r)
}

// check looks for documents that are late or older than before a restart.
func (m *documentsModule) check(p *peer) {
	for n := range serviceCount {
		since := m.f.w.now - forceTime
		due := m.at[n] < since && (m.reached(p, since) && m.available(p, n, since) || m.spread(n, since))
		if due {
			m.f.w.counts.Fleet.RevisionChecks++
		}
		if due && p.inForce[n] < m.highest[n] {
			m.f.w.violate("host %s: revision %d of %s is in force, and %d was accepted at %s", p.self.Name, p.inForce[n], serviceName(n), m.highest[n], m.at[n])
		}
		if best := m.best[p.number][n]; p.inForce[n] < best && !p.catalog.IsStale(p.now()) && m.kept(p, n, best) {
			m.f.w.violate("host %s: revision %d of %s is in force after a restart, and %d was before", p.self.Name, p.inForce[n], serviceName(n), best)
		}
	}
}

// reached tells whether a path led from the store to a host since a time: of its
// data centre at most one other host was away.
func (m *documentsModule) reached(p *peer, since time.Duration) bool {
	for _, f := range []Fault{StoreDown, StoreSlow, StaleRead} {
		if m.f.w.faults[f].until[0] > since {
			return false
		}
	}
	away := 0
	for _, o := range m.f.peers[p.centre()*centreHosts : (p.centre()+1)*centreHosts] {
		if max(m.f.until[MessageLoss][o.number], m.f.until[MessageDelay][o.number], m.f.until[WatchGap][o.number]) > since {
			return false
		}
		if !o.steady(since) {
			away++
		}
	}
	return p.steady(since) && away <= 1
}

// available tells whether the latest revision could be had: from the store unless
// it was spoiled, or from a host of the data centre. A text that is overwritten
// before any host has read it is gone.
func (m *documentsModule) available(p *peer, n int, since time.Duration) bool {
	if m.spoiled[n] < m.at[n] {
		return true
	}
	for _, o := range m.f.peers[p.centre()*centreHosts : (p.centre()+1)*centreHosts] {
		if o.steady(since) && o.inForce[n] >= m.highest[n] && o.forced[n] <= since {
			return true
		}
	}
	return false
}

// spread tells whether a host had the latest revision and all hosts heard each
// other since a time. Then the store is not needed.
func (m *documentsModule) spread(n int, since time.Duration) bool {
	had := false
	for _, o := range m.f.peers {
		if !o.calm(since) {
			return false
		}
		had = had || o.inForce[n] >= m.highest[n] && o.forced[n] <= since
	}
	return had && m.f.whole(since)
}

// kept tells whether another host of the data centre that this one hears has a
// revision.
func (m *documentsModule) kept(p *peer, n int, revision int64) bool {
	since := m.f.w.now - keptTime
	for _, o := range m.f.peers[p.centre()*centreHosts : (p.centre()+1)*centreHosts] {
		if o != p && o.calm(since) && p.calm(min(since, p.booted)) && o.inForce[n] >= revision {
			return true
		}
	}
	return false
}

// operate carries out one planned action of an operator.
func (m *documentsModule) operate(a *action) {
	n, operator := a.target%serviceCount, a.target/serviceCount%2
	key := documentPrefix + serviceName(n)
	if a.edit != editDocument && a.edit != deleteDocument {
		m.spoiled[n] = m.f.w.now
	}
	switch a.edit {
	case editDocument, deleteDocument:
		m.f.w.store.get(key, func(r storeResult) {
			if r.err == nil {
				m.write(n, operator, a.edit == deleteDocument, r.object)
			}
		})
	case restoreDocument:
		if len(m.texts[n]) > 0 {
			m.f.w.store.replace(key, []byte(m.texts[n][m.f.w.random.IntN(len(m.texts[n]))]))
		}
	case breakDocument:
		m.f.w.store.replace(key, []byte("[service]\nname = "+serviceName(n)+"\nslots = none\n[revision]\nnumber = "+fmt.Sprint(m.highest[n]+1)+"\n"))
	case loseDocument:
		m.f.w.store.lost(key)
	}
}

// write publishes a document over the object that was read.
func (m *documentsModule) write(n, operator int, deleted bool, current wagstore.Object) {
	m.sequence++
	base := wagdocument.ReadRevision(current.Value)
	next := base.Next(m.f.w.time().Add(m.offsets[operator]), fmt.Sprint("operator", operator), m.sequence)
	if m.f.w.config.sabotage == plainCounter {
		next.Number = base.Number + 1
	}
	text := fmt.Sprintf("[service]\nname = %s\ndeleted = %t\n[revision]\nnumber = %d\nwriter = %s\nsequence = %d\n",
		serviceName(n), deleted, next.Number, next.Writer, next.Sequence)
	m.revisions[text] = next.Number
	m.f.w.store.put(documentPrefix+serviceName(n), []byte(text), current.Version, func(storeResult) {})
}

// wrote follows what the store took.
func (m *documentsModule) wrote(key string, value []byte) {
	n := serviceNumber(strings.TrimPrefix(key, documentPrefix))
	text := string(value)
	revision, valid := m.revisions[text]
	if !strings.HasPrefix(key, documentPrefix) || n < 0 || !valid {
		return
	}
	for _, known := range m.texts[n] {
		if known == text {
			return
		}
	}
	m.texts[n] = append(m.texts[n], text)
	// Two operators' clocks may differ by the bound.
	if revision <= m.highest[n] && m.f.w.now-m.at[n] > wagclock.MaxSkew {
		m.f.w.violate("an operator writes revision %d of %s after %d", revision, serviceName(n), m.highest[n])
	}
	if revision > m.highest[n] {
		m.f.w.counts.Fleet.Revisions++
		m.highest[n], m.at[n] = revision, m.f.w.now
	}
}
