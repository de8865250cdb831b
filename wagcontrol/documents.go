package wagcontrol

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagpublish"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// documentHandler passes the documents of the store to the catalog.
type documentHandler struct {
	control *Control
	ctx     context.Context
	// pending holds the objects since the latest OnCaughtUp.
	pending []wagrollout.Object
	// fullReadDone is set once the full read at the start of the watch was passed
	// on.
	fullReadDone bool
}

var _ wagstore.FollowHandler = (*documentHandler)(nil)

// OnChange takes a document that was written or deleted.
func (h *documentHandler) OnChange(o wagstore.Object) {
	h.pending = append(h.pending, rolloutObject(o))
}

// rolloutObject returns a store object as the catalog takes it.
func rolloutObject(o wagstore.Object) wagrollout.Object {
	object := wagrollout.Object{Service: strings.TrimPrefix(o.Key, wagpublish.DocumentPrefix), Version: wagrollout.Version(o.Version)}
	if !o.Deleted {
		object.Text = o.Value
	}
	return object
}

// OnCaughtUp passes the pending objects to the catalog.
func (h *documentHandler) OnCaughtUp(at time.Time) {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runDocumentCommands(h.ctx, c.catalog.Handle(c.clock.Now(), wagrollout.StoreRead{Started: at, Objects: h.pending, Full: !h.fullReadDone}))
	h.pending, h.fullReadDone = nil, true
}

// OnError records that the watch of the store failed.
func (h *documentHandler) OnError(err error) {
	h.control.events.Record(wagevent.Event{Kind: wagevent.KindStore, Detail: err.Error()})
}

// runDocumentCommands executes the commands of the catalog. c.mu must be held.
func (c *Control) runDocumentCommands(ctx context.Context, commands []wagrollout.Command) {
	changed := false
	for _, command := range commands {
		switch x := command.(type) {
		case wagrollout.PullIndex:
			c.spawn(func() { c.pullIndex(ctx, x) })
		case wagrollout.PullDocuments:
			c.spawn(func() { c.pullDocuments(ctx, x) })
		case wagrollout.RepairStore:
			c.spawn(func() { c.repairStore(ctx, x) })
		case wagrollout.DocumentInForce:
			changed = true
			if c.documentsEnabled {
				c.recordInForce(x.Document)
			}
		case wagrollout.DocumentRejected:
			c.events.Record(wagevent.Event{Kind: wagevent.KindDocument, Service: x.Service, Detail: "rejected: " + x.Rejection.Reason})
			c.log.WithField("service", x.Service).WithField("reason", x.Rejection.Reason).Warning("document is not valid; the last good one stays in force")
		}
	}
	c.confirmedAt.Store(c.catalog.ConfirmedAt().UnixNano())
	if changed && c.documentsEnabled && c.dataPlane != nil {
		c.dataPlane.SetDocuments(c.catalog.Snapshot().Documents)
		c.updateLeases(ctx)
	}
	if changed {
		c.noticePending = true
		c.notify(ctx, c.clock.Now())
	}
}

// recordInForce records that a document came into force. c.mu must be held.
func (c *Control) recordInForce(d *wagdocument.Document) {
	c.inForceSince[d.Service.Name] = c.clock.Now()
	c.events.Record(wagevent.Event{Kind: wagevent.KindDocument, Service: d.Service.Name, Detail: fmt.Sprintf("revision %d in force", d.Revision.Number)})
}

// enableDocuments starts to pass the documents in force to the data plane. c.mu
// must be held.
func (c *Control) enableDocuments(ctx context.Context) {
	if c.documentsEnabled {
		return
	}
	c.documentsEnabled = true
	documents := c.catalog.Snapshot().Documents
	if len(documents) == 0 || c.dataPlane == nil {
		return
	}
	for _, d := range documents {
		c.recordInForce(d)
	}
	c.dataPlane.SetDocuments(documents)
	c.updateLeases(ctx)
}

// readDocuments reads all documents of the store once, when the host starts.
func (c *Control) readDocuments(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "read documents at startup") }()
	started := c.clock.Now()
	objects, _, err := c.store.List(ctx, wagpublish.DocumentPrefix)
	if err != nil {
		return err
	}
	read := wagrollout.StoreRead{Started: started, Full: true}
	for _, o := range objects {
		read.Objects = append(read.Objects, rolloutObject(o))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runDocumentCommands(ctx, c.catalog.Handle(c.clock.Now(), read))
	c.enableDocuments(ctx)
	return nil
}

// memberByName returns a member by its name. c.mu need not be held.
func (c *Control) memberByName(name string) (wagmember.Member, bool) {
	for _, m := range c.Members(c.clock.Now()) {
		if m.Name == name {
			return m, true
		}
	}
	return wagmember.Member{}, false
}

// pullIndex fetches the index of a peer for the catalog.
func (c *Control) pullIndex(ctx context.Context, x wagrollout.PullIndex) {
	m, ok := c.memberByName(x.Peer)
	if !ok {
		return
	}
	reply, err := c.peers.Index(ctx, m.Peer, x.Digests)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runDocumentCommands(ctx, c.catalog.Handle(c.clock.Now(), wagrollout.PeerIndex{Peer: x.Peer, ConfirmedAt: reply.Confirmed, Digest: reply.Digest, Entries: reply.Entries}))
}

// pullDocuments fetches documents of a peer for the catalog.
func (c *Control) pullDocuments(ctx context.Context, x wagrollout.PullDocuments) {
	m, ok := c.memberByName(x.Peer)
	if !ok {
		return
	}
	documents, err := c.peers.Pull(ctx, m.Peer, x.Services)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range documents {
		c.runDocumentCommands(ctx, c.catalog.Handle(c.clock.Now(), wagrollout.PeerDocument{Peer: x.Peer, Service: d.Service, Text: d.Text}))
	}
}

// repairStore replaces an older copy of a document in the store.
func (c *Control) repairStore(ctx context.Context, x wagrollout.RepairStore) {
	v, err := c.store.Put(ctx, wagpublish.DocumentPrefix+x.Service, x.Text, wagstore.Version(x.Expected))
	detail := "older copy in the store was replaced"
	if err != nil {
		detail = "older copy in the store stays: " + err.Error()
	}
	c.events.Record(wagevent.Event{Kind: wagevent.KindDocument, Service: x.Service, Detail: detail})
	if err != nil {
		// The catalog repeats a repair that is not confirmed.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runDocumentCommands(ctx, c.catalog.Handle(c.clock.Now(), wagrollout.StoreRepaired{Service: x.Service, Version: wagrollout.Version(v)}))
}

// Status returns the documents in force at this host, for operators.
func (c *Control) Status() wagpublish.HostStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := wagpublish.HostStatus{Host: c.self.Name, DataCentre: c.self.DataCentre, Documents: []wagpublish.DocumentStatus{}}
	documents := c.catalog.Snapshot().Documents
	if !c.documentsEnabled {
		return s
	}
	for _, e := range c.catalog.Status() {
		d := wagpublish.DocumentStatus{Service: e.Service, Revision: e.Revision, Since: c.inForceSince[e.Service], Problem: e.Rejection.Reason}
		if inForce := documents[e.Service]; inForce != nil {
			d.Writer = inForce.Revision.Writer
		}
		if e.StoreOlder && d.Problem == "" {
			d.Problem = "the store holds an older copy"
		}
		s.Documents = append(s.Documents, d)
	}
	return s
}
