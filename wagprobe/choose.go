package wagprobe

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// probeTimes holds when each server was last probed.
type probeTimes map[netip.AddrPort]time.Time

// TakeProbe spends and returns the probe to send now, if there is one. It goes to
// the server without a response or a probe for the longest time, at least for the
// silence. Servers whose exclusion has ended come last.
func (b *Budget) TakeProbe(now time.Time, silence time.Duration, candidates []Candidate) (Probe, bool) {
	b.applyPendingRate(now)
	if b.rate <= 0 || b.remaining == 0 || now.Before(b.nextProbe) || !b.holder.IsHeld(now) {
		return Probe{}, false
	}
	interval := spacingWithSlack(b.rate)
	if now.Add(interval).After(b.allowanceEnd) {
		return Probe{}, false
	}
	server, ok := b.lastProbes.choose(now, silence, candidates)
	if !ok {
		return Probe{}, false
	}
	if b.spent >= b.granted {
		b.violations++
		return Probe{}, false
	}
	b.remaining--
	b.spent++
	b.nextProbe = now.Add(interval)
	b.lastProbes.record(now, server, candidates)
	return Probe{Server: server, Deadline: now.Add(interval - probeSpacing(b.rate))}, true
}

// choose returns the server to probe, if one has been silent for long enough and
// is not excluded.
func (p probeTimes) choose(now time.Time, silence time.Duration, candidates []Candidate) (netip.AddrPort, bool) {
	var best Candidate
	var bestContact time.Time
	for _, c := range candidates {
		contact := wagclock.Later(c.LastResponse, p[c.Address])
		if contact.Add(silence).After(now) || c.ExcludedUntil.After(now) {
			continue
		}
		if !best.Address.IsValid() || comesBefore(c, contact, best, bestContact) {
			best, bestContact = c, contact
		}
	}
	return best.Address, best.Address.IsValid()
}

// comesBefore orders candidates by whether they were excluded, then by the time
// of their latest response or probe.
func comesBefore(a Candidate, contactA time.Time, b Candidate, contactB time.Time) bool {
	if a.ExcludedUntil.IsZero() != b.ExcludedUntil.IsZero() {
		return a.ExcludedUntil.IsZero()
	}
	if !contactA.Equal(contactB) {
		return contactA.Before(contactB)
	}
	return a.Address.Compare(b.Address) < 0
}

// record stores the time of a probe and removes servers that are no longer
// candidates.
func (p probeTimes) record(now time.Time, server netip.AddrPort, candidates []Candidate) {
	p[server] = now
	if len(p) <= 2*len(candidates) {
		return
	}
	kept := make(map[netip.AddrPort]bool, len(candidates))
	for _, c := range candidates {
		kept[c.Address] = true
	}
	for a := range p {
		if !kept[a] {
			delete(p, a)
		}
	}
}
