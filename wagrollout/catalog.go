package wagrollout

import (
	"bytes"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagini"
)

const (
	// pullTime is how long an exchange with a peer may stay open.
	pullTime = 2 * time.Second
	// maxPulls bounds the exchanges that are open at once, because all peers
	// show a new digest at about the same time.
	maxPulls = 2
	// healTime is how long a Heal may stay open.
	healTime = 5 * time.Second
	// joinTime is how long a new host waits for a first exchange with a peer.
	joinTime = 5 * time.Second
	// maxPeers bounds the peers that are remembered.
	maxPeers = 4096
)

// Catalog holds the documents in force. Snapshot, and nothing else, may be called
// while another goroutine handles an event.
type Catalog struct {
	snapshot atomic.Pointer[Snapshot]
	// entries names what is in force; no entry is ever replaced by a lower one.
	entries map[string]Entry
	digests Digests
	// confirmed is the latest time at which the store confirmed what is in
	// force, by the clock of the host that read it.
	confirmed time.Time
	// read is the latest confirmation by the store to this host. It counts once
	// joined is set: after an exchange with a peer or, without one, at joinBy.
	// Until then peers may hold last good documents that the store lacks.
	read     time.Time
	joined   bool
	joinBy   time.Time
	delegate bool
	// faults holds the latest invalid candidate of a service.
	faults map[string]Rejection
	// older holds the versions of store objects that are older than what is in
	// force, and when a Heal that is open for them is given up.
	older map[string]older
	// stored holds the latest known versions of store objects; it is complete
	// for all services once listed is set.
	stored map[string]Version
	listed bool
	pulls  map[string]pull
	// settled holds the digests of peers that had nothing newer.
	settled map[string]uint64
	counts  Counts
}

type older struct {
	version Version
	until   time.Time
}

// pull is an open exchange with a peer. It is given up at until; left documents
// have not arrived.
type pull struct {
	until time.Time
	left  int
}

// Counts counts what should be rare.
type Counts struct {
	// Violations counts refused attempts to put a lower revision in force by a
	// path that should have compared before. It stays 0.
	Violations uint64
	// Conflicts counts different texts with the same revision number. The one
	// with the higher digest is used.
	Conflicts      uint64
	Rejected       uint64
	LowerRevisions uint64
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{
		entries: make(map[string]Entry),
		faults:  make(map[string]Rejection),
		older:   make(map[string]older),
		stored:  make(map[string]Version),
		pulls:   make(map[string]pull),
		settled: make(map[string]uint64),
	}
	c.snapshot.Store(&Snapshot{})
	return c
}

// Snapshot returns the documents in force.
func (c *Catalog) Snapshot() *Snapshot {
	return c.snapshot.Load()
}

// ConfirmedAt returns the time that heartbeats carry as PeerState.ConfirmedAt.
func (c *Catalog) ConfirmedAt() time.Time {
	return c.confirmed
}

// IsStale tells that the store has not confirmed what is in force for FreshTime,
// neither to this host nor to a peer with the same documents.
func (c *Catalog) IsStale(now time.Time) bool {
	return !c.confirmed.Add(MaxConfirmationAge).After(now)
}

// Counts returns the counters.
func (c *Catalog) Counts() Counts {
	return c.counts
}

// Handle takes one event.
func (c *Catalog) Handle(now time.Time, event Event) []Command {
	var commands []Command
	switch e := event.(type) {
	case StoreRead:
		commands = c.storeRead(now, e)
	case PeerState:
		commands = c.peerState(now, e)
	case PeerIndex:
		commands = c.index(now, e)
	case PeerDocument:
		commands = c.peerDocument(now, e)
	case Delegate:
		c.delegate = e.IsDelegate
	case StoreRepaired:
		delete(c.older, e.Service)
		c.stored[e.Service] = e.Version
	}
	if !c.joinBy.IsZero() && !c.joinBy.After(now) {
		c.joined = true
	}
	if c.joined {
		c.confirmed = wagclock.Later(c.confirmed, c.read)
	}
	return append(commands, c.heal(now)...)
}

// peerDocument also notes that the store object may be older. It is healed only
// when the store does not show the newer one soon.
func (c *Catalog) peerDocument(now time.Time, e PeerDocument) []Command {
	commands, order := c.candidate(now, e.Peer, e.Service, e.Text)
	if order > 0 && c.listed {
		c.older[e.Service] = older{version: c.stored[e.Service], until: now.Add(healTime)}
	}
	return append(commands, c.pulled(now, e.Peer)...)
}

func (c *Catalog) storeRead(now time.Time, e StoreRead) []Command {
	var commands []Command
	listed := make(map[string]bool, len(e.Objects))
	for _, o := range e.Objects {
		listed[o.Service] = true
		commands = append(commands, c.object(now, o)...)
	}
	if e.Full {
		c.listed = true
		for service := range c.entries {
			if !listed[service] {
				c.noteOlder(service, "")
			}
		}
	}
	if c.read.IsZero() {
		c.joinBy = now.Add(joinTime)
	}
	if !e.Started.After(now.Add(wagclock.MaxSkew)) {
		c.read = wagclock.Later(c.read, wagclock.Earlier(e.Started, now))
	}
	return commands
}

// object compares one store object with what is in force.
func (c *Catalog) object(now time.Time, o Object) []Command {
	if o.Text == nil {
		// Deletion writes a tombstone; an object that is gone was lost.
		if _, ok := c.entries[o.Service]; ok {
			c.noteOlder(o.Service, "")
		}
		return nil
	}
	commands, order := c.candidate(now, "store", o.Service, o.Text)
	if order < 0 {
		c.noteOlder(o.Service, o.Version)
		return commands
	}
	delete(c.older, o.Service)
	if _, ok := c.entries[o.Service]; ok {
		c.stored[o.Service] = o.Version
	}
	return commands
}

func (c *Catalog) noteOlder(service string, version Version) {
	c.stored[service] = version
	o := c.older[service]
	o.version = version
	c.older[service] = o
}

// candidate puts a text in force if it is valid and newer. The order is that of
// the text against what is in force; it is 0 when the text is not valid.
func (c *Catalog) candidate(now time.Time, source, service string, text []byte) (commands []Command, order int) {
	digest := xxhash.Sum64(text)
	current, exists := c.entries[service]
	if exists && current.Digest == digest {
		delete(c.faults, service)
		return nil, 0
	}
	d, err := c.parse(now, service, text)
	if err != nil {
		return c.reject(now, source, service, digest, err), 0
	}
	next := Entry{Service: service, Revision: d.Revision.Number, Digest: digest}
	if exists && current.Revision == next.Revision {
		c.counts.Conflicts++
	}
	if exists && !next.after(current) {
		c.counts.LowerRevisions++
		return nil, -1
	}
	c.put(d, next)
	return []Command{DocumentInForce{Document: d}}, 1
}

func (c *Catalog) parse(now time.Time, service string, text []byte) (d *wagdocument.Document, err error) {
	if len(text) > wagini.MaxBytes {
		return nil, errors.Errorf("the document has %d bytes (allowed: %d)", len(text), wagini.MaxBytes)
	}
	d, err = wagdocument.Parse("documents/"+service, bytes.Clone(text))
	if err != nil {
		return nil, err
	}
	if d.Service.Name != service {
		return nil, errors.Errorf("the document names the service %q (allowed: %q)", d.Service.Name, service)
	}
	if latest := now.Add(MaxRevisionAhead).UnixMilli(); d.Revision.Number > latest {
		return nil, errors.Errorf("revision %d is too far after the clock (allowed: %d)", d.Revision.Number, latest)
	}
	if _, ok := c.entries[service]; !ok && len(c.entries) >= MaxServices {
		return nil, errors.Errorf("there are too many services (allowed: %d)", MaxServices)
	}
	return d, nil
}

// reject keeps the fault for the status and reports each fault once.
func (c *Catalog) reject(now time.Time, source, service string, digest uint64, err error) []Command {
	c.counts.Rejected++
	old, known := c.faults[service]
	if known && old.Digest == digest || !known && len(c.faults) >= MaxServices {
		return nil
	}
	f := Rejection{Source: source, Reason: err.Error(), SeenAt: now, Digest: digest}
	var place *wagini.Error
	if errors.As(err, &place) {
		f.Line = place.Line
	}
	c.faults[service] = f
	return []Command{DocumentRejected{Service: service, Rejection: f}}
}

// put is the only place that changes what is in force.
func (c *Catalog) put(d *wagdocument.Document, next Entry) {
	current, exists := c.entries[next.Service]
	if exists && !next.after(current) {
		c.counts.Violations++
		return
	}
	bucket := bucketOf(next.Service)
	if exists {
		c.digests[bucket] ^= current.hash()
	}
	c.digests[bucket] ^= next.hash()
	c.entries[next.Service] = next
	delete(c.faults, next.Service)
	old := c.snapshot.Load()
	documents := make(map[string]*wagdocument.Document, len(old.Documents)+1)
	for name, o := range old.Documents {
		documents[name] = o
	}
	documents[next.Service] = d
	c.snapshot.Store(&Snapshot{Documents: documents, Digest: c.digests.total()})
}

// confirm takes the time of a peer with the same documents or nothing newer. It
// never takes a time after now, so that a clock that runs ahead adds at most
// wagclock.Bound, however many hosts pass the time on.
func (c *Catalog) confirm(now, at time.Time) {
	if at.After(now.Add(wagclock.MaxSkew)) {
		return
	}
	c.confirmed = wagclock.Later(c.confirmed, wagclock.Earlier(at, now))
	if at.Add(MaxConfirmationAge).After(now) {
		c.joined = true
	}
}

// heal returns the writes that bring older store objects up to date.
func (c *Catalog) heal(now time.Time) []Command {
	if !c.delegate {
		return nil
	}
	var commands []Command
	for _, service := range sortedKeys(c.older) {
		o := c.older[service]
		if o.until.After(now) {
			continue
		}
		o.until = now.Add(healTime)
		c.older[service] = o
		text := c.Snapshot().Documents[service].Text
		commands = append(commands, RepairStore{Service: service, Text: text, Expected: o.version})
	}
	return commands
}
