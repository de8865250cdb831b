package wagmesh

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagroster"
)

// forwardInterval is the least time between two times at which changed members are
// forwarded. When all hosts of a site start within 0.2 s, a host that forwards each of
// them in a frame of its own is busy with that while its callers wait.
const forwardInterval = 10 * time.Millisecond

// sendMembers sends those of the members that the peer needs; m.mu is held.
func (m *Mesh) sendMembers(l *link, members []wagroster.Member) {
	var list []*Member
	for _, member := range members {
		if m.needsMember(l, member) {
			list = append(list, memberMessage(member))
		}
	}
	if len(list) > 0 {
		l.enqueue(func(f *Frame) { f.Members = append(f.Members, list...) })
	}
}

// needsMember reports whether the peer of a link needs to know a member; m.mu is held.
func (m *Mesh) needsMember(l *link, member wagroster.Member) bool {
	relay, _ := m.roster.Relay(member.DataCentre)
	return l.needsMember(member, relay.Name == member.Name)
}

// forwardMember forwards a changed member to the hosts that receive members from this
// one, except to the sender: at once, or together with others when changes were
// forwarded a moment ago; m.mu is held.
func (m *Mesh) forwardMember(from *link, name string) {
	if other, ok := m.changedMembers[name]; ok && other != from {
		from = nil
	}
	m.changedMembers[name] = from
	if len(m.changedMembers) > 1 || m.ctx.Err() != nil {
		return // the first of them has started the goroutine below
	}
	forwardAt := m.nextForward
	m.group.Go(func() error {
		if wagclock.Wait(m.ctx, m.clock, forwardAt) {
			m.forwardChangedMembers()
		}
		return nil
	})
}

// forwardChangedMembers forwards the changed members to the upstream host, to the hosts
// that opened links to this one, and to those that are subscribed.
func (m *Mesh) forwardChangedMembers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.changedMembers
	m.changedMembers, m.nextForward = make(map[string]*link), m.clock.Now().Add(forwardInterval)
	members, messages := make([]wagroster.Member, 0, len(changed)), make([]*Member, 0, len(changed))
	for name := range changed {
		if member, ok := m.roster.Find(name); ok {
			members, messages = append(members, member), append(messages, memberMessage(member))
		}
	}
	for _, l := range m.allLinks() {
		if !l.inbound && l != m.upstream && !l.isPeerSubscribed() {
			continue
		}
		var list []*Member
		for i, member := range members {
			if changed[member.Name] != l && m.needsMember(l, member) {
				list = append(list, messages[i])
			}
		}
		if len(list) > 0 {
			l.enqueue(func(f *Frame) { f.Members = append(f.Members, list...) })
		}
	}
}

// receiveMembers applies what a peer reports of members and forwards the changes.
func (m *Mesh) receiveMembers(from *link, list []*Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, message := range list {
		member, ok := memberFromMessage(message)
		if !ok {
			continue
		}
		if member.Name == from.peer.Name && m.roster.UpdateFromMember(member) || member.Name != from.peer.Name && m.roster.UpdateFromOthers([]wagroster.Member{member}) {
			m.forwardMember(from, member.Name)
		}
	}
	if m.upstream == nil && m.ctx.Err() == nil && m.sync.HasUnreadKinds() {
		now := m.clock.Now()
		upstream, ok := m.roster.Upstream(now)
		m.updateUpstream(now, upstream, ok)
	}
}
