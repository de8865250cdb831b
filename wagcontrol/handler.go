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

// maxPullBytes bounds the documents of one reply. A document has at most 1 MB, so
// at least one fits.
const maxPullBytes = 1 << 20

// errNoHeartbeats is returned for a host that this one exchanges no heartbeats
// with, so that it cannot tell whether that host is alive.
var errNoHeartbeats = errors.New("this host exchanges no heartbeats with the other one")

// EventSource provides the events of this host.
type EventSource interface {
	// Since returns the events with a sequence number above after, and how many
	// of them are no longer kept.
	Since(after uint64) (events []wagevent.Event, lost uint64)
}

// Handler handles the messages of peers.
type Handler struct {
	control *Control
	source  EventSource
	// ctx is canceled when the host ends. Tasks that a message starts use it
	// because they outlive the message.
	ctx context.Context
}

var _ wagpeer.Handler = (*Handler)(nil)

// NewHandler returns the handler of a host that runs until ctx is canceled.
func NewHandler(ctx context.Context, c *Control, source EventSource) *Handler {
	return &Handler{control: c, source: source, ctx: ctx}
}

// Heartbeat handles a peer's heartbeat and replies with that of this host.
func (h *Handler) Heartbeat(_ context.Context, m wagpeer.Heartbeat) (wagpeer.Heartbeat, error) {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.runMembershipCommands(h.ctx, c.table.Handle(now, wagmember.HeartbeatReceived{Heartbeat: m.Heartbeat}))
	c.handlePeerState(h.ctx, m.From.Member.Name, m)
	return c.ownHeartbeat(now), nil
}

// Confirm reports whether this host hears another one.
func (h *Handler) Confirm(_ context.Context, m wagpeer.ConfirmRequest) (bool, error) {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	silent, ok := c.table.IsSilent(c.clock.Now(), m.Name, m.Incarnation)
	if !ok {
		return false, errNoHeartbeats
	}
	return !silent, nil
}

// Index returns the documents in force in the buckets that differ from the
// peer's.
func (h *Handler) Index(_ context.Context, d wagrollout.Digests) (wagpeer.Index, error) {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	return wagpeer.Index{Confirmed: c.catalog.ConfirmedAt(), Digest: c.catalog.Snapshot().Digest, Entries: c.catalog.Index(d)}, nil
}

// Pull returns the documents in force of the given services, as many as fit into
// a reply.
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

// Share handles a peer's observations of servers.
func (h *Handler) Share(_ context.Context, observations []wagserver.Observation) error {
	c := h.control
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runServerCommands(h.ctx, c.servers.Handle(c.clock.Now(), wagserver.PeerObservations{Observations: observations}))
	return nil
}

// Events returns the events of this host with a sequence number above after.
func (h *Handler) Events(_ context.Context, after uint64) ([]wagevent.Event, error) {
	events, _ := h.source.Since(after)
	return events, nil
}
