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
	hostPrefix = "hosts/"
	joinPause  = time.Second
	// answerInterval is what answers to heartbeats give as the time to the next.
	answerInterval = time.Second
	// silenceTime is how long no fault may have touched a data centre so that
	// the death of one of its live hosts is wrong.
	silenceTime = 15 * time.Second
	// agreeTime is how long after the end of all faults every host knows of all
	// others: UnreachableTime, then a turn of nine members at four rounds each
	// by the delegates of the other data centre and one by those of the own, at
	// intervals below 0.5 s.
	agreeTime = 45 * time.Second
)

// membersModule checks the membership of the fleet.
type membersModule struct {
	f *fleet
	// declared holds the incarnations that a host of their own data centre took
	// for dead.
	declared map[uint64]bool
}

// join makes this host known to one host of each data centre and records it.
func (p *peer) join() {
	if p.registered && len(p.table.Members()) > 0 {
		return
	}
	p.after(joinPause, p.join)
	for c := range centreCount {
		if seed := c*centreHosts + p.starts%centreHosts; seed != p.number {
			p.greet(seed)
		}
	}
	key := hostPrefix + p.self.DataCentre + "/" + p.self.Name
	p.f.w.store.get(key, func(r storeResult) {
		p.after(0, func() {
			if r.err == nil && !p.registered {
				p.register(key, r.object.Version)
			}
		})
	})
}

func (p *peer) greet(seed int) {
	h := wagmember.Heartbeat{From: wagmember.Entry{Member: p.table.Self()}, SentAt: p.now(), NextAt: p.now().Add(answerInterval)}
	p.call(seed, func(o *peer) func() {
		o.member(wagmember.HeartbeatReceived{Heartbeat: h})
		m := o.table.Self()
		return func() { p.member(wagmember.StoreRecords{Members: []wagmember.Member{m}}) }
	})
}

func (p *peer) register(key string, expected wagstore.Version) {
	value, err := json.Marshal(p.self)
	if err != nil {
		return
	}
	p.f.w.store.put(key, value, expected, func(r storeResult) {
		if r.err != nil {
			return
		}
		p.f.w.store.changes(hostPrefix, 0, func(r listResult) { p.after(0, func() { p.records(r) }) })
	})
}

func (p *peer) records(r listResult) {
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
	p.member(wagmember.StoreRecords{Members: members})
}

// member gives one event to the table and carries out its commands.
func (p *peer) member(e wagmember.Event) {
	for _, command := range p.table.Handle(p.now(), e) {
		switch c := command.(type) {
		case wagmember.SendHeartbeat:
			p.beat(c)
		case wagmember.AskThirdHost:
			p.ask(c)
		case wagmember.MemberChanged:
			p.f.members.changed(p, c)
		case wagmember.Replaced:
			p.crash(replacedTime)
			return
		}
	}
	p.delegate()
}

func (p *peer) beat(c wagmember.SendHeartbeat) {
	digest, confirmed := p.catalog.Snapshot().Digest, p.catalog.ConfirmedAt()
	p.call(placeOf(c.To), func(o *peer) func() {
		o.receive(c.Heartbeat)
		o.document(wagrollout.PeerState{Peer: p.self.Name, Digest: digest, ConfirmedAt: confirmed})
		s := wagrollout.PeerState{Peer: o.self.Name, Digest: o.catalog.Snapshot().Digest, ConfirmedAt: o.catalog.ConfirmedAt()}
		return func() { p.document(s) }
	})
}

func (p *peer) receive(h wagmember.Heartbeat) {
	from := h.From.Member
	if p.f.w.config.sabotage == olderIncarnation && from.Incarnation < p.seen[from.Name] {
		p.table = wagmember.NewTable(p.now(), p.self)
	}
	p.member(wagmember.HeartbeatReceived{Heartbeat: h})
}

func (p *peer) ask(c wagmember.AskThirdHost) {
	name, incarnation, by := c.Suspect.Name, c.Suspect.Incarnation, c.Third.Name
	p.call(placeOf(c.Third), func(o *peer) func() {
		silent, ok := o.table.IsSilent(o.now(), name, incarnation)
		switch {
		case !ok:
			return nil
		case silent:
			return func() { p.member(wagmember.SuspicionConfirmed{By: by, Name: name, Incarnation: incarnation}) }
		}
		return func() { p.member(wagmember.SuspicionNotConfirmed{By: by, Name: name, Incarnation: incarnation}) }
	})
}

// changed checks one change of what a host believes.
func (m *membersModule) changed(p *peer, c wagmember.MemberChanged) {
	w, state, incarnation := m.f.w, c.State, c.Member.Incarnation
	w.record(wagevent.KindMember, p.number, incarnation, uint64(state))
	w.note(wagevent.KindMember, p.number, "%s %d is %s", c.Member.Name, incarnation, state)
	if incarnation < p.seen[c.Member.Name] {
		w.violate("host %s takes incarnation %d of %s after %d", p.self.Name, incarnation, c.Member.Name, p.seen[c.Member.Name])
	}
	p.seen[c.Member.Name] = max(p.seen[c.Member.Name], incarnation)
	if w.config.sabotage == unreachableDead && state == wagmember.Unreachable {
		state = wagmember.Dead
	}
	if state == wagmember.Unreachable {
		w.counts.Fleet.Unreachable++
	}
	if state != wagmember.Dead {
		return
	}
	w.counts.Fleet.Deaths++
	target := m.f.peers[placeOf(c.Member)]
	switch {
	case target.centre() == p.centre():
		m.declared[incarnation] = true
		if target.alive && target.self.Incarnation == incarnation && m.f.quietCentre(p.centre(), w.now-silenceTime) {
			w.violate("host %s takes %s for dead, which lives", p.self.Name, c.Member.Name)
		}
	case !m.declared[incarnation]:
		w.violate("host %s takes %s of another data centre for dead, which its own does not", p.self.Name, c.Member.Name)
	}
}

// quietCentre tells whether no pause and no harm to messages touched a data
// centre since a time.
func (f *fleet) quietCentre(centre int, since time.Duration) bool {
	for n := centre * centreHosts; n < (centre+1)*centreHosts; n++ {
		if max(f.until[Pause][n], f.until[MessageLoss][n], f.until[MessageDelay][n]) > since {
			return false
		}
	}
	return true
}

// check compares what a host believes with what runs once faults have ended.
func (m *membersModule) check(p *peer) {
	quiet := m.f.w.config.quiet
	if quiet == 0 || m.f.w.now < quiet+agreeTime {
		return
	}
	known := make(map[string]wagmember.Member)
	for _, o := range p.table.Members() {
		known[o.Name] = o
	}
	for _, o := range m.f.peers {
		k := known[o.self.Name]
		if o != p && (k.Incarnation != o.self.Incarnation || k.State != wagmember.Alive) {
			m.f.w.violate("host %s: %s is %s as %d and runs as %d", p.self.Name, o.self.Name, k.State, k.Incarnation, o.self.Incarnation)
		}
	}
}
