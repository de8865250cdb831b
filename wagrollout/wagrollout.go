// Package wagrollout keeps the revisions of documents in force. It does no
// input or output and is driven event by event with the time passed in.
package wagrollout

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

const (
	// MaxConfirmationAge is how old the latest confirmation by the store may be.
	MaxConfirmationAge = 10 * time.Second
	// MaxServices bounds the services of a catalog.
	MaxServices = 4096
	// MaxPulledDocuments bounds the documents that are asked for at once.
	MaxPulledDocuments = 64
	// MaxRevisionAhead bounds how far a revision number may lie after the clock. A
	// revision in the far future would block all later ones.
	MaxRevisionAhead = 24 * time.Hour
	// BucketCount is the number of parts into which services are hashed, so that a
	// difference is found by exchanging one part instead of the whole index.
	BucketCount = 64
)

// Version is the version of a store object; it is compared for equality only.
type Version string

// Digests holds one digest per bucket over (service, revision, text digest).
type Digests [BucketCount]uint64

// Entry names what is in force for a service.
type Entry struct {
	Service  string
	Revision int64
	// Digest is the xxhash of the text.
	Digest uint64
}

// Snapshot is what a request sees from start to end. It is never changed.
type Snapshot struct {
	// Documents is keyed by service and contains tombstones (Service.Deleted).
	Documents map[string]*wagdocument.Document
	// Digest covers all buckets; heartbeats carry it.
	Digest uint64
}

// Object is a document in the store. Without an object Text is nil.
type Object struct {
	Service string
	Text    []byte
	Version Version
}

// Event is one of StoreRead, PeerState, Index, PeerDocument, Delegate, Healed
// and Tick.
type Event interface{ isEvent() }

// StoreRead brings an answer of the store: a full list or changes of a watch
// that continues one.
type StoreRead struct {
	// Started is when the call was sent or, for a watch without changes, when
	// the store was last known to be connected. The answer is as fresh as this.
	Started time.Time
	Objects []Object
	// Full tells that all documents were read, so that absence is known.
	Full bool
}

// PeerState brings what a heartbeat tells of a peer's catalog.
type PeerState struct {
	Peer   string
	Digest uint64
	// ConfirmedAt is the peer's Catalog.ConfirmedAt.
	ConfirmedAt time.Time
}

// PeerIndex answers PullIndex. Confirmed and Digest are those of the peer's catalog at
// the time it read the entries.
type PeerIndex struct {
	Peer        string
	Digest      uint64
	ConfirmedAt time.Time
	Entries     []Entry
}

// PeerDocument answers PullDocuments, once per document.
type PeerDocument struct {
	Peer    string
	Service string
	Text    []byte
}

// Delegate tells whether this host is a delegate of its data centre.
type Delegate struct{ IsDelegate bool }

// StoreRepaired tells that a Heal took effect. A Heal that did not is repeated later
// unless the store shows a newer object by then.
type StoreRepaired struct {
	Service string
	Version Version
}

// Tick tells that time has passed.
type Tick struct{}

func (StoreRead) isEvent()     {}
func (PeerState) isEvent()     {}
func (PeerIndex) isEvent()     {}
func (PeerDocument) isEvent()  {}
func (Delegate) isEvent()      {}
func (StoreRepaired) isEvent() {}
func (Tick) isEvent()          {}

// Command is one of PullIndex, PullDocuments, Heal, InForce and Rejected.
type Command interface{ isCommand() }

// PullIndex asks a peer for Catalog.Index(Digests).
type PullIndex struct {
	Peer    string
	Digests Digests
}

// PullDocuments asks a peer for the texts of at most MaxPull services.
type PullDocuments struct {
	Peer     string
	Services []string
}

// RepairStore asks for a conditional write of the text in force over an older object.
// With an empty expected version it only creates.
type RepairStore struct {
	Service  string
	Text     []byte
	Expected Version
}

// DocumentInForce tells that a document came into force.
type DocumentInForce struct{ Document *wagdocument.Document }

// DocumentRejected tells that a candidate was not valid; the last good one stays.
type DocumentRejected struct {
	Service   string
	Rejection Rejection
}

func (PullIndex) isCommand()        {}
func (PullDocuments) isCommand()    {}
func (RepairStore) isCommand()      {}
func (DocumentInForce) isCommand()  {}
func (DocumentRejected) isCommand() {}

// Rejection tells why a candidate did not come into force.
type Rejection struct {
	// Source is "store" or the name of the peer.
	Source string
	Reason string
	// Line is the line of the text, 0 when the fault has no line.
	Line   int
	SeenAt time.Time
	Digest uint64
}
