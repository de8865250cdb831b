// Package wagrollout decides which revisions of the documents are in force at a
// host. It does no input or output: its user passes in each event together with
// the current time.
package wagrollout

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

const (
	// MaxConfirmationAge is the age of the latest confirmation by the store above
	// which the documents are stale.
	MaxConfirmationAge = 10 * time.Second
	// MaxServices bounds the number of services in a catalog.
	MaxServices = 4096
	// MaxPulledDocuments bounds the number of documents in one PullDocuments.
	MaxPulledDocuments = 64
	// MaxRevisionAhead bounds how far the time of a revision number may be in the
	// future. A revision of the far future would block all later ones.
	MaxRevisionAhead = 24 * time.Hour
	// BucketCount is the number of buckets into which services are hashed. Hosts
	// exchange only the buckets that differ instead of the whole index.
	BucketCount = 64
)

// Version is the version of a store object. It is compared for equality only.
type Version string

// Digests holds one digest per bucket, over the service, revision and text digest
// of its entries.
type Digests [BucketCount]uint64

// Entry identifies the document in force of a service.
type Entry struct {
	Service  string
	Revision int64
	// Digest is the xxhash of the text.
	Digest uint64
}

// Snapshot holds the documents that a request uses from start to end. It is never
// changed.
type Snapshot struct {
	// Documents holds the documents by service, including tombstones
	// (Service.Deleted).
	Documents map[string]*wagdocument.Document
	// Digest is the digest of all buckets. Heartbeats carry it.
	Digest uint64
}

// Object is a document in the store. Text is nil if the object does not exist.
type Object struct {
	Service string
	Text    []byte
	Version Version
}

// Event is one of StoreRead, PeerState, PeerIndex, PeerDocument, Delegate,
// StoreRepaired and Tick.
type Event interface{ isEvent() }

// StoreRead passes in a response of the store: a full list, or the changes that a
// watch returned since then.
type StoreRead struct {
	// Started is when the call was sent or, for a watch without changes, when the
	// store was last known to be connected. The response shows the state at or
	// after this time.
	Started time.Time
	Objects []Object
	// Full is set if all documents were read. Documents that are not among Objects
	// are then missing in the store.
	Full bool
}

// PeerState passes in the state of a peer's catalog from its heartbeat.
type PeerState struct {
	Peer   string
	Digest uint64
	// ConfirmedAt is the peer's Catalog.ConfirmedAt.
	ConfirmedAt time.Time
}

// PeerIndex passes in the reply to PullIndex. Digest and ConfirmedAt are those
// of the peer's catalog when it read the entries.
type PeerIndex struct {
	Peer        string
	Digest      uint64
	ConfirmedAt time.Time
	Entries     []Entry
}

// PeerDocument passes in one document of the reply to PullDocuments.
type PeerDocument struct {
	Peer    string
	Service string
	Text    []byte
}

// Delegate sets whether this host is a delegate of its data centre. Only delegates
// repair the store.
type Delegate struct{ IsDelegate bool }

// StoreRepaired reports that a RepairStore took effect. One that did not is
// repeated later unless the store returns a newer object before.
type StoreRepaired struct {
	Service string
	Version Version
}

// Tick lets the catalog do what is due.
type Tick struct{}

func (StoreRead) isEvent()     {}
func (PeerState) isEvent()     {}
func (PeerIndex) isEvent()     {}
func (PeerDocument) isEvent()  {}
func (Delegate) isEvent()      {}
func (StoreRepaired) isEvent() {}
func (Tick) isEvent()          {}

// Command is one of PullIndex, PullDocuments, RepairStore, DocumentInForce and
// DocumentRejected.
type Command interface{ isCommand() }

// PullIndex requests the result of Catalog.Index(Digests) from a peer.
type PullIndex struct {
	Peer    string
	Digests Digests
}

// PullDocuments requests the texts of at most MaxPulledDocuments services from a
// peer.
type PullDocuments struct {
	Peer     string
	Services []string
}

// RepairStore writes the document in force to the store if the object there has the
// expected version, or does not exist if that is empty.
type RepairStore struct {
	Service  string
	Text     []byte
	Expected Version
}

// DocumentInForce reports that a document came into force.
type DocumentInForce struct{ Document *wagdocument.Document }

// DocumentRejected reports that a document is not valid. The last good one stays in
// force.
type DocumentRejected struct {
	Service   string
	Rejection Rejection
}

func (PullIndex) isCommand()        {}
func (PullDocuments) isCommand()    {}
func (RepairStore) isCommand()      {}
func (DocumentInForce) isCommand()  {}
func (DocumentRejected) isCommand() {}

// Rejection describes why a document did not come into force.
type Rejection struct {
	// Source is "store" or the name of the peer that sent the document.
	Source string
	Reason string
	// Line is the line of the error in the text, or 0 if it has none.
	Line int
	// SeenAt is when the document was rejected.
	SeenAt time.Time
	// Digest is the digest of the rejected text.
	Digest uint64
}
