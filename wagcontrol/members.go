package wagcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagpeer"
	"github.com/wagtailspar/wagtailspar/wagpublish"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// joinRetryInterval is the time between two attempts to record this host in the
// store.
const joinRetryInterval = time.Second

// hostRecord is the object that a host writes to the store when it joins.
type hostRecord struct {
	Name        string         `json:"name"`
	DataCentre  string         `json:"dataCentre"`
	Region      string         `json:"region"`
	Incarnation uint64         `json:"incarnation"`
	Forward     netip.AddrPort `json:"forward"`
	Peer        netip.AddrPort `json:"peer"`
	Operator    netip.AddrPort `json:"operator"`
}

func (r hostRecord) key() string {
	return wagpublish.HostPrefix + r.DataCentre + "/" + r.Name
}

func (r hostRecord) member() wagmember.Member {
	return wagmember.Member{
		Name: r.Name, DataCentre: r.DataCentre, Region: r.Region, Incarnation: r.Incarnation, Forward: r.Forward, Peer: r.Peer,
	}
}

func (c *Control) ownRecord() hostRecord {
	return hostRecord{
		Name: c.self.Name, DataCentre: c.self.DataCentre, Region: c.self.Region, Incarnation: c.self.Incarnation,
		Forward: c.self.Forward, Peer: c.self.Peer, Operator: c.operator,
	}
}

// join contacts the seeds, reads the documents of the store and records this host
// there. It retries until it succeeds or ctx is canceled.
func (c *Control) join(ctx context.Context) error {
	for _, seed := range c.settings.Peers.Seeds {
		c.spawn(func() { c.contactSeed(ctx, seed) })
	}
	for ctx.Err() == nil {
		// The documents are read first, because later calls share the rate limit
		// of the store with the leases of this host.
		err := c.readDocuments(ctx)
		if err == nil {
			err = c.register(ctx)
		}
		if err == nil {
			return nil
		}
		c.log.WithError(err).Debug("joining through the store failed; retrying")
		wagclock.Wait(ctx, c.clock, c.clock.Now().Add(joinRetryInterval))
		c.contactSeedsIfAlone(ctx)
	}
	return nil
}

// contactSeedsIfAlone contacts the seeds again if no other host is known.
func (c *Control) contactSeedsIfAlone(ctx context.Context) {
	if len(c.Members(c.clock.Now())) > 1 {
		return
	}
	for _, seed := range c.settings.Peers.Seeds {
		c.spawn(func() { c.contactSeed(ctx, seed) })
	}
}

// contactSeed sends a heartbeat to an address and adds the host that replies to
// the membership.
func (c *Control) contactSeed(ctx context.Context, seed netip.AddrPort) {
	c.mu.Lock()
	m := c.ownHeartbeat(c.clock.Now())
	c.mu.Unlock()
	reply, err := c.peers.Heartbeat(ctx, seed, m)
	if err != nil || reply.From.Member.Name == c.self.Name {
		return
	}
	c.addMembers(ctx, []wagmember.Member{reply.From.Member})
}

// register writes the record of this host and reads those of all others.
func (c *Control) register(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "record host in the store") }()
	own := c.ownRecord()
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	current, err := c.store.Get(ctx, own.key())
	if err != nil && !errors.Is(err, wagstore.ErrNotFound) {
		return err
	}
	var stored hostRecord
	if json.Unmarshal(current.Value, &stored) == nil && stored.Incarnation > own.Incarnation {
		c.stopReplaced()
		return ErrReplaced
	}
	if string(current.Value) != string(value) {
		if _, err := c.store.Put(ctx, own.key(), value, current.Version); err != nil {
			return err
		}
	}
	objects, _, err := c.store.List(ctx, wagpublish.HostPrefix)
	if err != nil {
		return err
	}
	var members []wagmember.Member
	for _, o := range objects {
		var r hostRecord
		if json.Unmarshal(o.Value, &r) == nil && r.key() == o.Key && r.Name != c.self.Name {
			members = append(members, r.member())
		}
	}
	c.addMembers(ctx, members)
	return nil
}

// addMembers passes known hosts to the membership table.
func (c *Control) addMembers(ctx context.Context, members []wagmember.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runMembershipCommands(ctx, c.table.Handle(c.clock.Now(), wagmember.StoreRecords{Members: members}))
}

// Leave announces to the peers that this host is leaving, gives up its leases and
// removes its record from the store.
func (c *Control) Leave(ctx context.Context) {
	c.mu.Lock()
	c.reportViolations()
	c.releaseLeases(ctx)
	c.runMembershipCommands(ctx, c.table.Handle(c.clock.Now(), wagmember.Leave{}))
	c.publishMembers()
	c.mu.Unlock()
	// A store that does not respond must not delay the shutdown.
	ctx, cancel := context.WithTimeout(ctx, c.settings.Store.Timeout)
	defer cancel()
	c.unregister(ctx, c.ownRecord())
}

// unregister removes the record of a host unless a newer incarnation wrote it.
func (c *Control) unregister(ctx context.Context, r hostRecord) {
	o, err := c.store.Get(ctx, r.key())
	if err != nil {
		return
	}
	var stored hostRecord
	if json.Unmarshal(o.Value, &stored) == nil && stored.Incarnation == r.Incarnation {
		// A record that stays does no harm: hosts that read it drop the host again
		// when nothing is heard of it.
		_ = c.store.Delete(ctx, r.key(), o.Version)
	}
}

// runMembershipCommands executes the commands of the membership table. c.mu must
// be held.
func (c *Control) runMembershipCommands(ctx context.Context, commands []wagmember.Command) {
	changed := false
	for _, command := range commands {
		switch x := command.(type) {
		case wagmember.SendHeartbeat:
			c.recordInterval(x.Heartbeat)
			m := c.completeHeartbeat(x.Heartbeat)
			if !c.heartbeatsInFlight[x.To.Name] && c.spawn(func() { c.sendHeartbeat(ctx, x.To, m) }) {
				c.heartbeatsInFlight[x.To.Name] = true
			}
		case wagmember.AskThirdHost:
			c.spawn(func() { c.askThirdHost(ctx, x) })
		case wagmember.MemberChanged:
			changed = true
			c.handleMemberChange(ctx, x)
		case wagmember.Replaced:
			c.stopReplaced()
		}
	}
	// Copying all members takes 0.5 ms with 1,500 hosts, so it is not done for
	// every heartbeat.
	if changed {
		c.publishMembers()
	}
	c.updateStoreWatch(ctx)
}

// stopReplaced ends Run, because a newer process of this host has joined.
func (c *Control) stopReplaced() {
	select {
	case c.runErr <- ErrReplaced:
	default:
	}
}

// handleMemberChange records a change of a member. A delegate also removes the
// record of a dead host of its data centre from the store.
func (c *Control) handleMemberChange(ctx context.Context, x wagmember.MemberChanged) {
	detail := fmt.Sprintf("%s is %s", x.Member.Name, x.State)
	c.events.Record(wagevent.Event{Kind: wagevent.KindMember, Detail: detail})
	c.log.WithField("member", x.Member.Name).WithField("state", x.State.String()).Info("member changed")
	if x.State != wagmember.Dead {
		return
	}
	c.peers.Forget(x.Member.Peer)
	if c.table.IsDelegate() && x.Member.DataCentre == c.self.DataCentre {
		r := hostRecord{Name: x.Member.Name, DataCentre: x.Member.DataCentre, Incarnation: x.Member.Incarnation}
		c.spawn(func() { c.unregister(ctx, r) })
	}
}

// sendHeartbeat sends a heartbeat to a peer and handles the reply.
func (c *Control) sendHeartbeat(ctx context.Context, to wagmember.Member, m wagpeer.Heartbeat) {
	reply, err := c.peers.Heartbeat(ctx, to.Peer, m)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.heartbeatsInFlight, to.Name)
	if err == nil {
		c.handlePeerState(ctx, to.Name, reply)
	}
}

// handlePeerState takes the state of documents and the loads from a heartbeat or
// its reply. c.mu must be held.
func (c *Control) handlePeerState(ctx context.Context, peer string, m wagpeer.Heartbeat) {
	now := c.clock.Now()
	c.lastHeard = now
	c.runDocumentCommands(ctx, c.catalog.Handle(now, wagrollout.PeerState{Peer: peer, Digest: m.Digest, ConfirmedAt: m.Confirmed}))
	c.mergeLoads(now, m.Loads)
}

// askThirdHost asks another host whether it hears a suspect.
func (c *Control) askThirdHost(ctx context.Context, x wagmember.AskThirdHost) {
	hears, err := c.peers.Confirm(ctx, x.Third.Peer, wagpeer.ConfirmRequest{Name: x.Suspect.Name, Incarnation: x.Suspect.Incarnation})
	if err != nil {
		return
	}
	var event wagmember.Event = wagmember.SuspicionConfirmed{By: x.Third.Name, Name: x.Suspect.Name, Incarnation: x.Suspect.Incarnation}
	if hears {
		event = wagmember.SuspicionNotConfirmed{By: x.Third.Name, Name: x.Suspect.Name, Incarnation: x.Suspect.Incarnation}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runMembershipCommands(ctx, c.table.Handle(c.clock.Now(), event))
}

// updateQuorum records the time if this host has a quorum. c.mu must be held.
func (c *Control) updateQuorum(now time.Time) {
	if hasQuorum(c.table.Members(), c.self.DataCentre, now.Sub(c.lastHeard) < wagrollout.MaxConfirmationAge) {
		c.quorumAt.Store(now.UnixNano())
	}
}

// hasQuorum reports whether a host hears at least half of the other hosts of its
// data centre that are not known to be dead or, if it is the only one there, any
// host at all. With a quorum, a store that the host cannot reach counts as down for
// all hosts, so there is no accepted change that the host could miss. A host that
// was cut off, alone or with a minority, has no quorum. The argument heard is set
// if a heartbeat or reply arrived lately.
func hasQuorum(others []wagmember.Member, dataCentre string, heard bool) bool {
	alive, suspect := 0, 0
	for _, m := range others {
		if m.DataCentre != dataCentre {
			continue
		}
		switch m.State {
		case wagmember.Alive, wagmember.Leaving:
			alive++
		case wagmember.Suspect:
			suspect++
		}
	}
	if alive+suspect == 0 {
		return heard
	}
	return heard && alive >= suspect
}

// publishMembers updates the copy of the membership that Members returns. c.mu
// must be held unless Run has not been called yet.
func (c *Control) publishMembers() {
	members := append([]wagmember.Member{c.table.Self()}, c.table.Members()...)
	c.members.Store(&members)
	c.localMembers = c.localMembers[:0]
	for _, m := range members {
		if m.DataCentre == c.self.DataCentre {
			c.localMembers = append(c.localMembers, m)
		}
	}
	c.ownersChanged = true
	if c.onLiveHosts == nil {
		return
	}
	live := 0
	for _, m := range members {
		if m.State == wagmember.Alive || m.State == wagmember.Suspect {
			live++
		}
	}
	c.onLiveHosts(max(live, 1))
}

// updateStoreWatch starts or stops the watch of the store when this host became a
// delegate or is no longer one. c.mu must be held.
func (c *Control) updateStoreWatch(ctx context.Context) {
	isDelegate := c.table.IsDelegate()
	if isDelegate == (c.stopFollowing != nil) || c.dataPlane == nil {
		return
	}
	now := c.clock.Now()
	c.runDocumentCommands(ctx, c.catalog.Handle(now, wagrollout.Delegate{IsDelegate: isDelegate}))
	c.runServerCommands(ctx, c.servers.Handle(now, wagserver.Delegate{IsDelegate: isDelegate}))
	if !isDelegate {
		c.stopFollowing()
		c.stopFollowing = nil
		return
	}
	followCtx, cancel := context.WithCancel(ctx)
	started := c.spawn(func() {
		_ = wagstore.Follow(followCtx, c.store, wagpublish.DocumentPrefix, &documentHandler{control: c, ctx: followCtx}, wagstore.WithFollowClock(c.clock))
	})
	if !started {
		cancel()
		return
	}
	c.stopFollowing = cancel
}

// recipients returns the hosts that this one sends its observations and notices
// to: all of its data centre and, if it is a delegate, the delegates of the other
// data centres. c.mu must be held.
func (c *Control) recipients() []wagmember.Member {
	delegate := c.table.IsDelegate()
	var list []wagmember.Member
	for _, m := range c.table.Members() {
		if m.State == wagmember.Dead || m.State == wagmember.Unreachable {
			continue
		}
		isLocal := m.DataCentre == c.self.DataCentre
		if isLocal || delegate && slices.Contains(c.table.DelegatesOf(m.DataCentre), m.Name) {
			list = append(list, m)
		}
	}
	return list
}
