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
	// pullTimeout bounds an exchange with a peer.
	pullTimeout = 2 * time.Second
	// maxPulls bounds the concurrent exchanges, because all peers send a new digest
	// at about the same time.
	maxPulls = 2
	// repairInterval is the time between two attempts to repair an object, and the
	// delay before the first one for a document that came from a peer.
	repairInterval = 5 * time.Second
	// peerWaitTimeout bounds how long a new host waits for the first exchange with a
	// peer after it has read the store.
	peerWaitTimeout = 5 * time.Second
	// maxPeers bounds the peers in checkedDigests.
	maxPeers = 4096
)

// Catalog holds the documents in force. Only Snapshot may be called while another
// goroutine calls Handle.
type Catalog struct {
	snapshot atomic.Pointer[Snapshot]
	// entries identifies the documents in force. No entry is ever replaced by a lower
	// one.
	entries map[string]Entry
	digests Digests
	// confirmedAt is the latest time for which the store confirmed the documents in
	// force, by the clock of the host that read it.
	confirmedAt time.Time
	// storeReadAt is the time of the latest read of the store by this host. It counts
	// as a confirmation once storeTrusted is set: after an exchange with a peer or,
	// without one, at storeTrustedAt. Until then, peers may have newer documents in
	// force that the store has lost.
	storeReadAt    time.Time
	storeTrusted   bool
	storeTrustedAt time.Time
	isDelegate     bool
	// rejections holds the latest rejected document of each service.
	rejections map[string]Rejection
	// outdated holds the store objects that are older than the documents in force or
	// missing.
	outdated map[string]outdatedObject
	// storeVersions holds the latest known versions of the store objects. It covers
	// all services once storeListed is set.
	storeVersions map[string]Version
	storeListed   bool
	pulls         map[string]pull
	// checkedDigests holds the digest of each peer whose index had nothing newer.
	checkedDigests map[string]uint64
	counts         Counts
}

// outdatedObject is a store object to repair.
type outdatedObject struct {
	// version is its version, or empty if the object is missing.
	version Version
	// repairAt is when the next attempt to repair it is due.
	repairAt time.Time
}

// pull is an exchange with a peer that is in progress.
type pull struct {
	// expiresAt is when the exchange is given up.
	expiresAt time.Time
	// remaining is how many requested documents have not arrived yet.
	remaining int
}

// Counts holds counters of rare events.
type Counts struct {
	// Violations counts attempts to put a lower revision in force, which are refused.
	// The revisions are compared before, so it stays 0 unless there is a bug.
	Violations uint64
	// Conflicts counts different texts with the same revision number. The text with
	// the higher digest is used.
	Conflicts uint64
	// Rejected counts documents that are not valid.
	Rejected uint64
	// LowerRevisions counts documents that are older than the one in force.
	LowerRevisions uint64
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{
		entries:        make(map[string]Entry),
		rejections:     make(map[string]Rejection),
		outdated:       make(map[string]outdatedObject),
		storeVersions:  make(map[string]Version),
		pulls:          make(map[string]pull),
		checkedDigests: make(map[string]uint64),
	}
	c.snapshot.Store(&Snapshot{})
	return c
}

// Snapshot returns the documents in force.
func (c *Catalog) Snapshot() *Snapshot {
	return c.snapshot.Load()
}

// ConfirmedAt returns the latest time for which the store confirmed the
// documents in force. Heartbeats carry it (PeerState.ConfirmedAt).
func (c *Catalog) ConfirmedAt() time.Time {
	return c.confirmedAt
}

// IsStale reports whether the store has not confirmed the documents in force for
// MaxConfirmationAge, neither to this host nor to a peer with the same documents.
func (c *Catalog) IsStale(now time.Time) bool {
	return !c.confirmedAt.Add(MaxConfirmationAge).After(now)
}

// Counts returns the counters.
func (c *Catalog) Counts() Counts {
	return c.counts
}

// Handle handles an event and returns the commands to execute.
func (c *Catalog) Handle(now time.Time, event Event) []Command {
	var commands []Command
	switch e := event.(type) {
	case StoreRead:
		commands = c.handleStoreRead(now, e)
	case PeerState:
		commands = c.handlePeerState(now, e)
	case PeerIndex:
		commands = c.handlePeerIndex(now, e)
	case PeerDocument:
		commands = c.handlePeerDocument(now, e)
	case Delegate:
		c.isDelegate = e.IsDelegate
	case StoreRepaired:
		delete(c.outdated, e.Service)
		c.storeVersions[e.Service] = e.Version
	}
	if !c.storeTrustedAt.IsZero() && !c.storeTrustedAt.After(now) {
		c.storeTrusted = true
	}
	if c.storeTrusted {
		c.confirmedAt = wagclock.Later(c.confirmedAt, c.storeReadAt)
	}
	return append(commands, c.repairs(now)...)
}

// handlePeerDocument handles a document of a peer. If it came into force, the store
// object may be older; it is repaired unless the store returns the newer one soon.
func (c *Catalog) handlePeerDocument(now time.Time, e PeerDocument) []Command {
	commands, order := c.applyCandidate(now, e.Peer, e.Service, e.Text)
	if order > 0 && c.storeListed {
		c.outdated[e.Service] = outdatedObject{version: c.storeVersions[e.Service], repairAt: now.Add(repairInterval)}
	}
	return append(commands, c.continuePull(now, e.Peer)...)
}

// handleStoreRead handles a response of the store.
func (c *Catalog) handleStoreRead(now time.Time, e StoreRead) []Command {
	var commands []Command
	listed := make(map[string]bool, len(e.Objects))
	for _, o := range e.Objects {
		listed[o.Service] = true
		commands = append(commands, c.handleObject(now, o)...)
	}
	if e.Full {
		c.storeListed = true
		for service := range c.entries {
			if !listed[service] {
				c.markOutdated(service, "")
			}
		}
	}
	if c.storeReadAt.IsZero() {
		c.storeTrustedAt = now.Add(peerWaitTimeout)
	}
	if !e.Started.After(now.Add(wagclock.MaxSkew)) {
		c.storeReadAt = wagclock.Later(c.storeReadAt, wagclock.Earlier(e.Started, now))
	}
	return commands
}

// handleObject compares a store object with the document in force.
func (c *Catalog) handleObject(now time.Time, o Object) []Command {
	if o.Text == nil {
		// Deleting a document writes a tombstone, so a missing object was lost.
		if _, ok := c.entries[o.Service]; ok {
			c.markOutdated(o.Service, "")
		}
		return nil
	}
	commands, order := c.applyCandidate(now, "store", o.Service, o.Text)
	if order < 0 {
		c.markOutdated(o.Service, o.Version)
		return commands
	}
	delete(c.outdated, o.Service)
	if _, ok := c.entries[o.Service]; ok {
		c.storeVersions[o.Service] = o.Version
	}
	return commands
}

// markOutdated records that the store object of a service is older than the
// document in force. The version is empty if the object is missing.
func (c *Catalog) markOutdated(service string, version Version) {
	c.storeVersions[service] = version
	o := c.outdated[service]
	o.version = version
	c.outdated[service] = o
}

// applyCandidate puts a document in force if it is valid and newer than the current
// one. The order is 1 if it is newer, -1 if it is older, and 0 if it is the same or
// not valid.
func (c *Catalog) applyCandidate(now time.Time, source, service string, text []byte) (commands []Command, order int) {
	digest := xxhash.Sum64(text)
	current, exists := c.entries[service]
	if exists && current.Digest == digest {
		delete(c.rejections, service)
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
	if exists && !next.supersedes(current) {
		c.counts.LowerRevisions++
		return nil, -1
	}
	c.putInForce(d, next)
	return []Command{DocumentInForce{Document: d}}, 1
}

// parse parses and validates a document of a service.
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

// reject records a rejection for Status and reports it once for each text.
func (c *Catalog) reject(now time.Time, source, service string, digest uint64, err error) []Command {
	c.counts.Rejected++
	old, known := c.rejections[service]
	if known && old.Digest == digest || !known && len(c.rejections) >= MaxServices {
		return nil
	}
	rejection := Rejection{Source: source, Reason: err.Error(), SeenAt: now, Digest: digest}
	var iniErr *wagini.Error
	if errors.As(err, &iniErr) {
		rejection.Line = iniErr.Line
	}
	c.rejections[service] = rejection
	return []Command{DocumentRejected{Service: service, Rejection: rejection}}
}

// putInForce puts a document in force. Nothing else changes the documents in force.
func (c *Catalog) putInForce(d *wagdocument.Document, next Entry) {
	current, exists := c.entries[next.Service]
	if exists && !next.supersedes(current) {
		c.counts.Violations++
		return
	}
	bucket := bucketOf(next.Service)
	if exists {
		c.digests[bucket] ^= current.hash()
	}
	c.digests[bucket] ^= next.hash()
	c.entries[next.Service] = next
	delete(c.rejections, next.Service)
	old := c.snapshot.Load()
	documents := make(map[string]*wagdocument.Document, len(old.Documents)+1)
	for name, o := range old.Documents {
		documents[name] = o
	}
	documents[next.Service] = d
	c.snapshot.Store(&Snapshot{Documents: documents, Digest: c.digests.combine()})
}

// confirm takes over the confirmation time of a peer that has the same documents
// or nothing newer. It never takes over a time after now, so a clock that is
// ahead adds at most wagclock.MaxSkew, no matter how many hosts pass the time
// on.
func (c *Catalog) confirm(now, at time.Time) {
	if at.After(now.Add(wagclock.MaxSkew)) {
		return
	}
	c.confirmedAt = wagclock.Later(c.confirmedAt, wagclock.Earlier(at, now))
	if at.Add(MaxConfirmationAge).After(now) {
		c.storeTrusted = true
	}
}

// repairs returns the repairs of outdated store objects that are due, if this
// host is a delegate.
func (c *Catalog) repairs(now time.Time) []Command {
	if !c.isDelegate {
		return nil
	}
	var commands []Command
	for _, service := range sortedKeys(c.outdated) {
		o := c.outdated[service]
		if o.repairAt.After(now) {
			continue
		}
		o.repairAt = now.Add(repairInterval)
		c.outdated[service] = o
		text := c.Snapshot().Documents[service].Text
		commands = append(commands, RepairStore{Service: service, Text: text, Expected: o.version})
	}
	return commands
}
