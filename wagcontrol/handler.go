package wagcontrol

import (
	"context"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagpeer"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// maxPullBytes bounds the texts of one answer; a document has at most 1 MB.
const maxPullBytes = 1 << 20

// errNotHeard tells that this host cannot say whether it hears another.
var errNotHeard = errors.New("this host exchanges no heartbeats with the other one")

// EventSource gives the events of this host.
type EventSource interface {
	Since(after uint64) (events []wagevent.Event, lost uint64)
}

// Handler answers the messages of peers.
type Handler struct {
	control *Control
	source  EventSource
	// ctx ends with the host; work that an answer starts outlives the message.
	ctx context.Context
}

var _ wagpeer.Handler = (*Handler)(nil)

// NewHandler returns the answers of a host that runs until ctx ends.
func NewHandler(ctx context.Context, c *Control, source EventSource) *Handler {
	return &Handler{control: c, source: source, ctx: ctx}
}

// Heartbeat takes a peer's heartbeat and answers what is in force here.
func (h *Handler) Heartbeat(_ context.Context, m wagpeer.Heartbeat) (wagpeer.Heartbeat, error) {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.membership(h.ctx, c.table.Handle(now, wagmember.HeartbeatReceived{Heartbeat: m.Heartbeat}))
	c.peerState(h.ctx, m.From.Member.Name, m)
	return c.ownHeartbeat(now), nil
}

// Confirm tells whether this host hears another.
func (h *Handler) Confirm(_ context.Context, m wagpeer.ConfirmRequest) (bool, error) {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	silent, ok := c.table.IsSilent(c.clock.Now(), m.Name, m.Incarnation)
	if !ok {
		return false, errNotHeard
	}
	return !silent, nil
}

// Index tells what is in force in the buckets that differ.
func (h *Handler) Index(_ context.Context, d wagrollout.Digests) (wagpeer.Index, error) {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	return wagpeer.Index{Confirmed: c.catalog.ConfirmedAt(), Digest: c.catalog.Snapshot().Digest, Entries: c.catalog.Index(d)}, nil
}

// Pull returns documents in force.
func (h *Handler) Pull(_ context.Context, services []string) ([]wagpeer.Document, error) {
	inForce := h.control.catalog.Snapshot().Documents
	var documents []wagpeer.Document
	size := 0
	for _, name := range services {
		d := inForce[name]
		if d == nil {
			continue
		}
		size += len(d.Text)
		if size > maxPullBytes && len(documents) > 0 {
			break
		}
		documents = append(documents, wagpeer.Document{Service: name, Text: d.Text})
	}
	return documents, nil
}

// Share takes what a peer saw of servers.
func (h *Handler) Share(_ context.Context, observations []wagserver.Observation) error {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverList(h.ctx, c.list.Handle(c.clock.Now(), wagserver.PeerObservations{Observations: observations}))
	return nil
}

// Events returns the events of this host.
func (h *Handler) Events(_ context.Context, after uint64) ([]wagevent.Event, error) {
	events, _ := h.source.Since(after)
	return events, nil
}
