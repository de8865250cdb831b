package wagexplore

import (
	"encoding/json"
	"time"

	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagrollout"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	hostPrefix   = "hosts/"
	joinInterval = time.Second
	// nextHeartbeatDelay is the time to the next heartbeat that a joining host
	// announces in its first one.
	nextHeartbeatDelay = time.Second
	// noFaultPeriod is how long a data centre must have been without faults for it to
	// be a violation that a live host of it is declared dead.
	noFaultPeriod = 15 * time.Second
	// agreementTimeout bounds the time from the end of all faults until every host
	// knows all others: wagmember.UnreachableTimeout, then the rounds in which the
	// delegates of the other data centre send the nine members in turn, one every four
	// rounds, and as many again for the delegates of the own data centre, with rounds
	// less than 0.5 s apart.
	agreementTimeout = 45 * time.Second
)

// membersModule checks the membership of the fleet.
type membersModule struct {
	fleet *fleet
	// declaredDead holds the incarnations that a host of their own data centre
	// declared dead.
	declaredDead map[uint64]bool
}

// join sends a heartbeat to one host of each data centre and writes the record of this
// host to the store. It repeats that every joinInterval until the host has read the
// records of the others.
func (p *peer) join() {
	if p.registered && len(p.members.Members()) > 0 {
		return
	}
	p.schedule(joinInterval, p.join)
	for c := range dataCentreCount {
		if seedIndex := c*hostsPerDataCentre + p.startCount%hostsPerDataCentre; seedIndex != p.index {
			p.greetSeed(seedIndex)
		}
	}
	key := hostPrefix + p.self.DataCentre + "/" + p.self.Name
	p.fleet.world.store.get(key, func(r storeResult) {
		p.schedule(0, func() {
			if r.err == nil && !p.registered {
				p.register(key, r.object.Version)
			}
		})
	})
}

// greetSeed sends a heartbeat to another host and adds that host to the member table.
func (p *peer) greetSeed(seedIndex int) {
	h := wagmember.Heartbeat{From: wagmember.Entry{Member: p.members.Self()}, SentAt: p.now(), NextAt: p.now().Add(nextHeartbeatDelay)}
	p.call(seedIndex, func(o *peer) func() {
		o.handleMemberEvent(wagmember.HeartbeatReceived{Heartbeat: h})
		m := o.members.Self()
		return func() { p.handleMemberEvent(wagmember.StoreRecords{Members: []wagmember.Member{m}}) }
	})
}

// register writes the record of this host and reads those of all hosts.
func (p *peer) register(key string, expected wagstore.Version) {
	value, err := json.Marshal(p.self)
	if err != nil {
		return
	}
	p.fleet.world.store.put(key, value, expected, func(r storeResult) {
		if r.err != nil {
			return
		}
		p.fleet.world.store.readChanges(hostPrefix, 0, func(r listResult) { p.schedule(0, func() { p.handleRecords(r) }) })
	})
}

func (p *peer) handleRecords(r listResult) {
	if r.err != nil {
		return
	}
	p.registered = true
	var members []wagmember.Member
	for _, o := range r.objects {
		var m wagmember.Member
		if json.Unmarshal(o.Value, &m) == nil && m.Name != p.self.Name {
			members = append(members, m)
		}
	}
	p.handleMemberEvent(wagmember.StoreRecords{Members: members})
}

// handleMemberEvent passes an event to the member table and carries out its commands.
func (p *peer) handleMemberEvent(e wagmember.Event) {
	for _, command := range p.members.Handle(p.now(), e) {
		switch c := command.(type) {
		case wagmember.SendHeartbeat:
			p.sendHeartbeat(c)
		case wagmember.AskThirdHost:
			p.askThirdHost(c)
		case wagmember.MemberChanged:
			p.fleet.members.checkChange(p, c)
		case wagmember.Replaced:
			p.crash(restartDelay)
			return
		}
	}
	p.updateDelegate()
}

// sendHeartbeat sends a heartbeat, and with it and its reply the digests of the two
// hosts' documents.
func (p *peer) sendHeartbeat(c wagmember.SendHeartbeat) {
	digest, confirmed := p.catalog.Snapshot().Digest, p.catalog.ConfirmedAt()
	p.call(peerIndex(c.To), func(o *peer) func() {
		o.receiveHeartbeat(c.Heartbeat)
		o.handleDocumentEvent(wagrollout.PeerState{Peer: p.self.Name, Digest: digest, ConfirmedAt: confirmed})
		s := wagrollout.PeerState{Peer: o.self.Name, Digest: o.catalog.Snapshot().Digest, ConfirmedAt: o.catalog.ConfirmedAt()}
		return func() { p.handleDocumentEvent(s) }
	})
}

// receiveHeartbeat passes a heartbeat to the member table. With the defect
// olderIncarnation the table is replaced first and so has lost the newer incarnation.
func (p *peer) receiveHeartbeat(h wagmember.Heartbeat) {
	from := h.From.Member
	if p.fleet.world.config.defect == olderIncarnation && from.Incarnation < p.highestIncarnation[from.Name] {
		p.members = wagmember.NewTable(p.now(), p.self)
	}
	p.handleMemberEvent(wagmember.HeartbeatReceived{Heartbeat: h})
}

// askThirdHost asks another host whether it gets no heartbeats from a suspected one
// either.
func (p *peer) askThirdHost(c wagmember.AskThirdHost) {
	name, incarnation, by := c.Suspect.Name, c.Suspect.Incarnation, c.Third.Name
	p.call(peerIndex(c.Third), func(o *peer) func() {
		silent, ok := o.members.IsSilent(o.now(), name, incarnation)
		switch {
		case !ok:
			return nil
		case silent:
			return func() {
				p.handleMemberEvent(wagmember.SuspicionConfirmed{By: by, Name: name, Incarnation: incarnation})
			}
		}
		return func() {
			p.handleMemberEvent(wagmember.SuspicionNotConfirmed{By: by, Name: name, Incarnation: incarnation})
		}
	})
}

// checkChange checks the change of a member at one host: incarnations don't decrease, a
// live host isn't declared dead without faults, and a member of another data centre is
// declared dead only after a host of its own has done so.
func (m *membersModule) checkChange(p *peer, c wagmember.MemberChanged) {
	w, state, incarnation := m.fleet.world, c.State, c.Member.Incarnation
	w.record(wagevent.KindMember, p.index, incarnation, uint64(state))
	w.traceEvent(wagevent.KindMember, p.index, "%s %d is %s", c.Member.Name, incarnation, state)
	if incarnation < p.highestIncarnation[c.Member.Name] {
		w.reportViolation("host %s takes incarnation %d of %s after %d", p.self.Name, incarnation, c.Member.Name, p.highestIncarnation[c.Member.Name])
	}
	p.highestIncarnation[c.Member.Name] = max(p.highestIncarnation[c.Member.Name], incarnation)
	if w.config.defect == unreachableDead && state == wagmember.Unreachable {
		state = wagmember.Dead
	}
	if state == wagmember.Unreachable {
		w.counts.Fleet.Unreachable++
	}
	if state != wagmember.Dead {
		return
	}
	w.counts.Fleet.Deaths++
	target := m.fleet.peers[peerIndex(c.Member)]
	switch {
	case target.dataCentre() == p.dataCentre():
		m.declaredDead[incarnation] = true
		if target.alive && target.self.Incarnation == incarnation && m.fleet.dataCentreFaultFreeSince(p.dataCentre(), w.now-noFaultPeriod) {
			w.reportViolation("host %s takes %s for dead, which lives", p.self.Name, c.Member.Name)
		}
	case !m.declaredDead[incarnation]:
		w.reportViolation("host %s takes %s of another data centre for dead, which its own does not", p.self.Name, c.Member.Name)
	}
}

// dataCentreFaultFreeSince reports whether no host of a data centre was paused, and no
// fault affected their messages, since a time.
func (f *fleet) dataCentreFaultFreeSince(dataCentre int, since time.Duration) bool {
	for n := dataCentre * hostsPerDataCentre; n < (dataCentre+1)*hostsPerDataCentre; n++ {
		if max(f.faultUntil[Pause][n], f.faultUntil[MessageLoss][n], f.faultUntil[MessageDelay][n]) > since {
			return false
		}
	}
	return true
}

// check checks, once agreementTimeout has passed since the end of all faults, that a
// host has all other hosts in its member table as alive with their incarnations.
func (m *membersModule) check(p *peer) {
	faultsEnd := m.fleet.world.config.faultsEnd
	if faultsEnd == 0 || m.fleet.world.now < faultsEnd+agreementTimeout {
		return
	}
	known := make(map[string]wagmember.Member)
	for _, o := range p.members.Members() {
		known[o.Name] = o
	}
	for _, o := range m.fleet.peers {
		member := known[o.self.Name]
		if o != p && (member.Incarnation != o.self.Incarnation || member.State != wagmember.Alive) {
			m.fleet.world.reportViolation("host %s: %s is %s as %d and runs as %d", p.self.Name, o.self.Name, member.State, member.Incarnation, o.self.Incarnation)
		}
	}
}
