package wagprobe

import (
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// probes holds when servers were last probed.
type probes map[netip.AddrPort]time.Time

// TakeProbe returns the probe to send now, if there is one. Servers without an answer
// or a probe for the silence come first, then excluded ones that are due.
func (b *Budget) TakeProbe(now time.Time, silence time.Duration, candidates []Candidate) (Probe, bool) {
	b.raise(now)
	if b.rate <= 0 || b.left == 0 || now.Before(b.next) || !b.holder.Held(now) {
		return Probe{}, false
	}
	width := pitch(b.rate)
	if now.Add(width).After(b.through) {
		return Probe{}, false
	}
	server, ok := b.probed.choose(now, silence, candidates)
	if !ok {
		return Probe{}, false
	}
	if b.spent >= b.granted {
		b.violations++
		return Probe{}, false
	}
	b.left--
	b.spent++
	b.next = now.Add(width)
	b.probed.note(now, server, candidates)
	return Probe{Server: server, Deadline: now.Add(width - spacing(b.rate))}, true
}

func (p probes) choose(now time.Time, silence time.Duration, candidates []Candidate) (netip.AddrPort, bool) {
	var best Candidate
	var since time.Time
	for _, c := range candidates {
		touched := wagclock.Later(c.LastResponse, p[c.Address])
		if touched.Add(silence).After(now) || c.ExcludedUntil.After(now) {
			continue
		}
		if !best.Address.IsValid() || before(c, touched, best, since) {
			best, since = c, touched
		}
	}
	return best.Address, best.Address.IsValid()
}

// before orders by exclusion, then by the time of the latest answer.
func before(a Candidate, touched time.Time, b Candidate, since time.Time) bool {
	if a.ExcludedUntil.IsZero() != b.ExcludedUntil.IsZero() {
		return a.ExcludedUntil.IsZero()
	}
	if !touched.Equal(since) {
		return touched.Before(since)
	}
	return a.Address.Compare(b.Address) < 0
}

// note records a probe and forgets servers that are no longer candidates.
func (p probes) note(now time.Time, server netip.AddrPort, candidates []Candidate) {
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
