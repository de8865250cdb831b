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

// joinPause is the time between two attempts to record this host in the store.
const joinPause = time.Second

// record is what a host writes to the store when it joins.
type record struct {
	Name        string         `json:"name"`
	DataCentre  string         `json:"dataCentre"`
	Region      string         `json:"region"`
	Incarnation uint64         `json:"incarnation"`
	Forward     netip.AddrPort `json:"forward"`
	Peer        netip.AddrPort `json:"peer"`
	Operator    netip.AddrPort `json:"operator"`
}

func (r record) key() string {
	return wagpublish.HostPrefix + r.DataCentre + "/" + r.Name
}

func (r record) member() wagmember.Member {
	return wagmember.Member{
		Name: r.Name, DataCentre: r.DataCentre, Region: r.Region, Incarnation: r.Incarnation, Forward: r.Forward, Peer: r.Peer,
	}
}

func (c *Control) ownRecord() record {
	return record{
		Name: c.self.Name, DataCentre: c.self.DataCentre, Region: c.self.Region, Incarnation: c.self.Incarnation,
		Forward: c.self.Forward, Peer: c.self.Peer, Operator: c.operator,
	}
}

// join makes this host known to the seeds and records it in the store.
func (c *Control) join(ctx context.Context) error {
	for _, seed := range c.settings.Peers.Seeds {
		c.spawn(func() { c.greet(ctx, seed) })
	}
	for ctx.Err() == nil {
		// Documents come first: later calls of a start have to share the rate of
		// the store with its leases.
		err := c.readDocuments(ctx)
		if err == nil {
			err = c.register(ctx)
		}
		if err == nil {
			return nil
		}
		c.log.WithError(err).Debug("the host is not yet recorded in the store")
		wagclock.Wait(ctx, c.clock, c.clock.Now().Add(joinPause))
		c.greetSeeds(ctx)
	}
	return nil
}

func (c *Control) greetSeeds(ctx context.Context) {
	if len(c.Members(c.clock.Now())) > 1 {
		return
	}
	for _, seed := range c.settings.Peers.Seeds {
		c.spawn(func() { c.greet(ctx, seed) })
	}
}

// greet sends a heartbeat to an address whose host is not known by name.
func (c *Control) greet(ctx context.Context, seed netip.AddrPort) {
	c.mu.Lock()
	m := c.ownHeartbeat(c.clock.Now())
	c.mu.Unlock()
	answer, err := c.peers.Heartbeat(ctx, seed, m)
	if err != nil || answer.From.Member.Name == c.self.Name {
		return
	}
	c.learn(ctx, []wagmember.Member{answer.From.Member})
}

// register writes this host's record and reads those of all others.
func (c *Control) register(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "record the host") }()
	own := c.ownRecord()
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	current, err := c.store.Get(ctx, own.key())
	if err != nil && !errors.Is(err, wagstore.ErrNotFound) {
		return err
	}
	var stored record
	if json.Unmarshal(current.Value, &stored) == nil && stored.Incarnation > own.Incarnation {
		c.replaced()
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
		var r record
		if json.Unmarshal(o.Value, &r) == nil && r.key() == o.Key && r.Name != c.self.Name {
			members = append(members, r.member())
		}
	}
	c.learn(ctx, members)
	return nil
}

func (c *Control) learn(ctx context.Context, members []wagmember.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.membership(ctx, c.table.Handle(c.clock.Now(), wagmember.StoreRecords{Members: members}))
}

// Leave announces that this host is leaving and removes its record.
func (c *Control) Leave(ctx context.Context) {
	c.mu.Lock()
	c.reportViolations()
	c.releaseLeases(ctx)
	c.membership(ctx, c.table.Handle(c.clock.Now(), wagmember.Leave{}))
	c.publishMembers()
	c.mu.Unlock()
	// A store that does not answer must not hold up the stop.
	ctx, cancel := context.WithTimeout(ctx, c.settings.Store.Timeout)
	defer cancel()
	c.unregister(ctx, c.ownRecord())
}

// unregister removes a host's record unless a newer incarnation wrote it.
func (c *Control) unregister(ctx context.Context, r record) {
	o, err := c.store.Get(ctx, r.key())
	if err != nil {
		return
	}
	var stored record
	if json.Unmarshal(o.Value, &stored) == nil && stored.Incarnation == r.Incarnation {
		// A record that stays is refuted by silence.
		_ = c.store.Delete(ctx, r.key(), o.Version)
	}
}

// membership carries out commands of the table; c.mu is held.
func (c *Control) membership(ctx context.Context, commands []wagmember.Command) {
	changed := false
	for _, command := range commands {
		switch x := command.(type) {
		case wagmember.SendHeartbeat:
			c.sending(x.Heartbeat)
			m := c.complete(x.Heartbeat)
			if !c.beating[x.To.Name] && c.spawn(func() { c.beat(ctx, x.To, m) }) {
				c.beating[x.To.Name] = true
			}
		case wagmember.AskThirdHost:
			c.spawn(func() { c.ask(ctx, x) })
		case wagmember.MemberChanged:
			changed = true
			c.memberChanged(ctx, x)
		case wagmember.Replaced:
			c.replaced()
		}
	}
	// Copying all members for each heartbeat took 0.5 ms with 1,500 hosts.
	if changed {
		c.publishMembers()
	}
	c.delegate(ctx)
}

// replaced ends Run, because a newer start of this host has joined.
func (c *Control) replaced() {
	select {
	case c.stopped <- ErrReplaced:
	default:
	}
}

func (c *Control) memberChanged(ctx context.Context, x wagmember.MemberChanged) {
	detail := fmt.Sprintf("%s is %s", x.Member.Name, x.State)
	c.events.Record(wagevent.Event{Kind: wagevent.KindMember, Detail: detail})
	c.log.WithField("member", x.Member.Name).WithField("state", x.State.String()).Info("member changed")
	if x.State != wagmember.Dead {
		return
	}
	c.peers.Forget(x.Member.Peer)
	if c.table.IsDelegate() && x.Member.DataCentre == c.self.DataCentre {
		r := record{Name: x.Member.Name, DataCentre: x.Member.DataCentre, Incarnation: x.Member.Incarnation}
		c.spawn(func() { c.unregister(ctx, r) })
	}
}

// beat sends a heartbeat and takes what the answer tells of documents.
func (c *Control) beat(ctx context.Context, to wagmember.Member, m wagpeer.Heartbeat) {
	answer, err := c.peers.Heartbeat(ctx, to.Peer, m)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.beating, to.Name)
	if err == nil {
		c.peerState(ctx, to.Name, answer)
	}
}

// peerState passes on what a heartbeat tells of documents and load; c.mu is
// held.
func (c *Control) peerState(ctx context.Context, peer string, m wagpeer.Heartbeat) {
	now := c.clock.Now()
	c.lastHeard = now
	c.documents(ctx, c.catalog.Handle(now, wagrollout.PeerState{Peer: peer, Digest: m.Digest, ConfirmedAt: m.Confirmed}))
	c.takeLoads(now, m.Loads)
}

func (c *Control) ask(ctx context.Context, x wagmember.AskThirdHost) {
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
	c.membership(ctx, c.table.Handle(c.clock.Now(), event))
}

// accompany notes when this host last was in company; c.mu is held.
func (c *Control) accompany(now time.Time) {
	if inCompany(c.table.Members(), c.self.DataCentre, now.Sub(c.lastHeard) < wagrollout.MaxConfirmationAge) {
		c.company.Store(now.UnixNano())
	}
}

// inCompany tells whether a host hears at least half of the other hosts of its
// data centre that are not known to be dead, or, when it is alone there, any
// host. Then a store that it cannot reach is taken to be down for all, so that
// no change is accepted that it could miss. A host that was cut off, alone or
// with a few others, is not in company.
func inCompany(others []wagmember.Member, dataCentre string, heard bool) bool {
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

// publishMembers makes the membership known to calls; c.mu is held or the
// control is not running.
func (c *Control) publishMembers() {
	members := append([]wagmember.Member{c.table.Self()}, c.table.Members()...)
	c.members.Store(&members)
	c.local = c.local[:0]
	for _, m := range members {
		if m.DataCentre == c.self.DataCentre {
			c.local = append(c.local, m)
		}
	}
	c.ownersChanged = true
	if c.share == nil {
		return
	}
	live := 0
	for _, m := range members {
		if m.State == wagmember.Alive || m.State == wagmember.Suspect {
			live++
		}
	}
	c.share(max(live, 1))
}

// delegate starts or ends the watch of the store; c.mu is held.
func (c *Control) delegate(ctx context.Context) {
	is := c.table.IsDelegate()
	if is == (c.follow != nil) || c.view == nil {
		return
	}
	now := c.clock.Now()
	c.documents(ctx, c.catalog.Handle(now, wagrollout.Delegate{IsDelegate: is}))
	c.serverList(ctx, c.list.Handle(now, wagserver.Delegate{IsDelegate: is}))
	if !is {
		c.follow()
		c.follow = nil
		return
	}
	fctx, cancel := context.WithCancel(ctx)
	started := c.spawn(func() {
		_ = wagstore.Follow(fctx, c.store, wagpublish.DocumentPrefix, &documentHandler{control: c, ctx: fctx}, wagstore.WithFollowClock(c.clock))
	})
	if !started {
		cancel()
		return
	}
	c.follow = cancel
}

// recipients returns the hosts to which this one speaks: all of its data centre
// and, as a delegate, the delegates of the others; c.mu is held.
func (c *Control) recipients() []wagmember.Member {
	delegate := c.table.IsDelegate()
	var list []wagmember.Member
	for _, m := range c.table.Members() {
		if m.State == wagmember.Dead || m.State == wagmember.Unreachable {
			continue
		}
		near := m.DataCentre == c.self.DataCentre
		if near || delegate && slices.Contains(c.table.DelegatesOf(m.DataCentre), m.Name) {
			list = append(list, m)
		}
	}
	return list
}
