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

// documentHandler passes on what the store holds.
type documentHandler struct {
	control *Control
	ctx     context.Context
	// pending holds the objects since the latest Fresh.
	pending []wagrollout.Object
	// listed tells that the full read with which following begins was passed on.
	listed bool
}

var _ wagstore.FollowHandler = (*documentHandler)(nil)

// OnChange takes a new state of a document.
func (h *documentHandler) OnChange(o wagstore.Object) {
	h.pending = append(h.pending, objectOf(o))
}

func objectOf(o wagstore.Object) wagrollout.Object {
	object := wagrollout.Object{Service: strings.TrimPrefix(o.Key, wagpublish.DocumentPrefix), Version: wagrollout.Version(o.Version)}
	if !o.Deleted {
		object.Text = o.Value
	}
	return object
}

// OnCaughtUp puts in force what was read.
func (h *documentHandler) OnCaughtUp(at time.Time) {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents(h.ctx, c.catalog.Handle(c.clock.Now(), wagrollout.StoreRead{Started: at, Objects: h.pending, Full: !h.listed}))
	h.pending, h.listed = nil, true
}

// OnError records that the store cannot be followed.
func (h *documentHandler) OnError(err error) {
	h.control.events.Record(wagevent.Event{Kind: wagevent.KindStore, Detail: err.Error()})
}

// documents carries out commands of the catalog; c.mu is held.
func (c *Control) documents(ctx context.Context, commands []wagrollout.Command) {
	changed := false
	for _, command := range commands {
		switch x := command.(type) {
		case wagrollout.PullIndex:
			c.spawn(func() { c.pullIndex(ctx, x) })
		case wagrollout.PullDocuments:
			c.spawn(func() { c.pullDocuments(ctx, x) })
		case wagrollout.RepairStore:
			c.spawn(func() { c.heal(ctx, x) })
		case wagrollout.DocumentInForce:
			changed = true
			if c.admitted {
				c.entered(x.Document)
			}
		case wagrollout.DocumentRejected:
			c.events.Record(wagevent.Event{Kind: wagevent.KindDocument, Service: x.Service, Detail: "rejected: " + x.Rejection.Reason})
			c.log.WithField("service", x.Service).WithField("reason", x.Rejection.Reason).Warning("document is not valid; the last good one stays in force")
		}
	}
	c.confirmed.Store(c.catalog.ConfirmedAt().UnixNano())
	if changed && c.admitted && c.view != nil {
		c.view.SetDocuments(c.catalog.Snapshot().Documents)
		c.updateLeases(ctx)
	}
	if changed {
		c.news = true
		c.notify(ctx, c.clock.Now())
	}
}

// entered records that a document came into force; c.mu is held.
func (c *Control) entered(d *wagdocument.Document) {
	c.inForce[d.Service.Name] = c.clock.Now()
	c.events.Record(wagevent.Event{Kind: wagevent.KindDocument, Service: d.Service.Name, Detail: fmt.Sprintf("revision %d in force", d.Revision.Number)})
}

// admit passes the documents to calls from now on; c.mu is held.
func (c *Control) admit(ctx context.Context) {
	if c.admitted {
		return
	}
	c.admitted = true
	documents := c.catalog.Snapshot().Documents
	if len(documents) == 0 || c.view == nil {
		return
	}
	for _, d := range documents {
		c.entered(d)
	}
	c.view.SetDocuments(documents)
	c.updateLeases(ctx)
}

// readDocuments reads all documents of the store once, at the start.
func (c *Control) readDocuments(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "read documents at the start") }()
	started := c.clock.Now()
	objects, _, err := c.store.List(ctx, wagpublish.DocumentPrefix)
	if err != nil {
		return err
	}
	read := wagrollout.StoreRead{Started: started, Full: true}
	for _, o := range objects {
		read.Objects = append(read.Objects, objectOf(o))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents(ctx, c.catalog.Handle(c.clock.Now(), read))
	c.admit(ctx)
	return nil
}

// peer returns a member by name; c.mu is not held.
func (c *Control) peer(name string) (wagmember.Member, bool) {
	for _, m := range c.Members(c.clock.Now()) {
		if m.Name == name {
			return m, true
		}
	}
	return wagmember.Member{}, false
}

func (c *Control) pullIndex(ctx context.Context, x wagrollout.PullIndex) {
	m, ok := c.peer(x.Peer)
	if !ok {
		return
	}
	answer, err := c.peers.Index(ctx, m.Peer, x.Digests)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents(ctx, c.catalog.Handle(c.clock.Now(), wagrollout.PeerIndex{Peer: x.Peer, ConfirmedAt: answer.Confirmed, Digest: answer.Digest, Entries: answer.Entries}))
}

func (c *Control) pullDocuments(ctx context.Context, x wagrollout.PullDocuments) {
	m, ok := c.peer(x.Peer)
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
		c.documents(ctx, c.catalog.Handle(c.clock.Now(), wagrollout.PeerDocument{Peer: x.Peer, Service: d.Service, Text: d.Text}))
	}
}

func (c *Control) heal(ctx context.Context, x wagrollout.RepairStore) {
	v, err := c.store.Put(ctx, wagpublish.DocumentPrefix+x.Service, x.Text, wagstore.Version(x.Expected))
	detail := "older copy in the store was replaced"
	if err != nil {
		detail = "older copy in the store stays: " + err.Error()
	}
	c.events.Record(wagevent.Event{Kind: wagevent.KindDocument, Service: x.Service, Detail: detail})
	if err != nil {
		// The catalog repeats a heal that is not confirmed.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents(ctx, c.catalog.Handle(c.clock.Now(), wagrollout.StoreRepaired{Service: x.Service, Version: wagrollout.Version(v)}))
}

// Status tells operators what is in force at this host.
func (c *Control) Status() wagpublish.HostStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := wagpublish.HostStatus{Host: c.self.Name, DataCentre: c.self.DataCentre, Documents: []wagpublish.DocumentStatus{}}
	documents := c.catalog.Snapshot().Documents
	if !c.admitted {
		return s
	}
	for _, e := range c.catalog.Status() {
		d := wagpublish.DocumentStatus{Service: e.Service, Revision: e.Revision, Since: c.inForce[e.Service], Problem: e.Rejection.Reason}
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
