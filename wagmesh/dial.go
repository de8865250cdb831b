package wagmesh

import (
	"context"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/wagtailspar/wagtailspar/wagroster"
)

// maxSeedIndex bounds the first value of nextSeedIndex.
const maxSeedIndex = 1 << 16

// dialState is the state of dialling one address.
type dialState struct {
	inProgress bool
	// nextAttempt is when the address may be dialled again.
	nextAttempt time.Time
	// failures counts the failed attempts in a row.
	failures int
}

// dialNextSeed dials the seeds in turn while this host has no link. The leader continues
// at a longer interval, because it might be the leader of only a part of the site: hosts
// that start together find each other through different seeds. Seeds may be out of date,
// and most are in other data centres; m.mu is held.
func (m *Mesh) dialNextSeed(now time.Time, isLeader bool) {
	if now.Before(m.nextSeedDial) || len(m.links) > 0 && (!isLeader || now.Before(m.nextSeedDial.Add(m.leaderDialInterval(now)))) {
		return
	}
	seeds := m.seeds()
	for range seeds {
		seed := seeds[m.nextSeedIndex%len(seeds)]
		m.nextSeedIndex++
		if seed != m.self.Address && !m.hasLinkTo(seed) {
			m.nextSeedDial = now.Add(seedDialInterval)
			m.startDial(now, seed)
			return
		}
	}
}

// leaderDialInterval returns the interval at which the leader dials seeds.
func (m *Mesh) leaderDialInterval(now time.Time) time.Duration {
	if now.Before(m.startedAt.Add(startupDialDuration)) {
		return seedDialInterval
	}
	return leaderSeedDialInterval
}

// hasLinkTo reports whether a link to an address is open; m.mu is held.
func (m *Mesh) hasLinkTo(address netip.AddrPort) bool {
	for _, list := range m.links {
		if len(list) > 0 && list[0].peer.Address == address {
			return true
		}
	}
	return false
}

// ensureLink starts to open a link to a member unless there is one; m.mu is held.
func (m *Mesh) ensureLink(now time.Time, to wagroster.Member) {
	if m.linkTo(to.Name) == nil {
		m.startDial(now, to.Address)
	}
}

// startDial starts to open a link unless that is in progress or not yet due; m.mu is
// held.
func (m *Mesh) startDial(now time.Time, to netip.AddrPort) {
	d, ok := m.dialStates[to]
	if !ok {
		d = &dialState{}
		m.dialStates[to] = d
	}
	if d.inProgress || now.Before(d.nextAttempt) {
		return
	}
	d.inProgress = true
	d.nextAttempt = now.Add(dialRetryDelay)
	m.group.Go(func() error {
		m.runOutbound(to, d)
		return nil
	})
}

// runOutbound opens a link and runs it until it ends. When the dial fails, it delays
// the next one and marks the host as unreachable.
func (m *Mesh) runOutbound(to netip.AddrPort, d *dialState) {
	err := m.dialAndRun(to, d)
	m.mu.Lock()
	defer m.mu.Unlock()
	d.inProgress = false
	if m.ctx.Err() != nil {
		return
	}
	m.log.WithError(err).WithField("address", to).Debug("link to another host ended")
	if d.failures == 0 {
		return
	}
	d.nextAttempt = m.clock.Now().Add(min(dialRetryDelay*time.Duration(d.failures), maxDialRetryDelay))
	for _, member := range m.roster.Members() {
		if member.Address == to {
			m.roster.MarkUnreachable(m.clock.Now(), member.Name)
		}
	}
}

// dialTCP opens a TCP connection to another host.
func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", to.String())
}

// dialAndRun dials a host and runs the link until it ends. A host that accepts the
// connection and says no hello is as unreachable as one that does not accept it.
func (m *Mesh) dialAndRun(to netip.AddrPort, d *dialState) error {
	netConn, err := m.dial(m.ctx, to)
	if err != nil {
		m.recordDial(d, false)
		return err
	}
	conn := drpcconn.NewWithOptions(netConn, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(m.ctx)
	defer cancel(nil)
	s, err := NewDRPCMeshClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	l := m.newLink(cancel)
	defer func() { m.recordDial(d, l.hasGreeted()) }()
	return m.runLink(ctx, l, s)
}

// recordDial records whether an attempt to open a link has succeeded.
func (m *Mesh) recordDial(d *dialState, succeeded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if succeeded {
		d.failures = 0
	} else {
		d.failures++
	}
}
