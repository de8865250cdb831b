package wagpeer

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// GroupLoad sums up a server group.
type GroupLoad struct {
	Service    string
	DataCentre string
	Summary    wagrouting.Summary
	// At is when the group's owner made the summary.
	At time.Time
}

// Heartbeat is sent to a peer, and is also the answer. Times have milliseconds.
type Heartbeat struct {
	wagmember.Heartbeat
	// Digest covers the revisions of all documents in force.
	Digest uint64
	// Confirmed is when the store last confirmed them.
	Confirmed time.Time
	Loads     []GroupLoad
}

// ConfirmRequest asks whether the receiver hears an incarnation of a host.
type ConfirmRequest struct {
	Name        string
	Incarnation uint64
}

// Index is what a host has in force in the buckets that were asked for.
type Index struct {
	Confirmed time.Time
	// Digest covers all documents in force at the same moment.
	Digest  uint64
	Entries []wagrollout.Entry
}

// Document is the text of a document.
type Document struct {
	Service string
	Text    []byte
}
