package wagpeer

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// GroupLoad is the load of a server group, as its owner reports it.
type GroupLoad struct {
	Service    string
	DataCentre string
	Summary    wagrouting.Summary
	// At is when the owner of the group computed the summary.
	At time.Time
}

// Heartbeat is sent to a peer, which replies with its own. Its times have a
// precision of one millisecond.
type Heartbeat struct {
	wagmember.Heartbeat
	// Digest covers the revisions of all documents in force.
	Digest uint64
	// Confirmed is when the store last confirmed that they are current.
	Confirmed time.Time
	Loads     []GroupLoad
}

// ConfirmRequest asks whether the receiver gets heartbeats from this incarnation
// of a host.
type ConfirmRequest struct {
	Name        string
	Incarnation uint64
}

// Index lists the revisions that a host has in force in the buckets whose digests
// differ from those of the request.
type Index struct {
	Confirmed time.Time
	// Digest covers all documents that were in force when Entries was read.
	Digest  uint64
	Entries []wagrollout.Entry
}

// Document is the text of the document of a service.
type Document struct {
	Service string
	Text    []byte
}
