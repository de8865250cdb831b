package wagreplay

import (
	"net/netip"

	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// bank arranges the borrowing of slots in a data centre.
type bank struct {
	// next is the host that is asked first for an idle slot.
	next int
}

// lease deals the slots of each data centre to its hosts.
func (f *fleet) lease() {
	for _, name := range f.Trace.Header.DataCentres {
		hosts, n := f.hosts[name], 0
		for _, v := range f.servers {
			if v.DataCentre != name {
				continue
			}
			for range v.Slots {
				hosts[n%len(hosts)].core.AddLeasedSlots(f.Now(), v.address, 1, nil)
				n++
			}
		}
	}
	f.bank = make(map[string]*bank)
	for name := range f.hosts {
		f.bank[name] = &bank{}
	}
}

// ask borrows an idle slot of another host while calls wait here. The question
// and the answer take one delay each, by way of the host that has the slot.
func (h *host) ask() {
	f := h.fleet
	if _, ok := f.policy.(wagrouting.SlotShares); !ok || h.asking || h.core.QueueLength() == 0 {
		return
	}
	h.asking = true
	f.After(f.Trace.Header.HostDelay, func() { h.borrow() })
}

func (h *host) borrow() {
	f := h.fleet
	b, hosts := f.bank[h.dataCentre], f.hosts[h.dataCentre]
	for range hosts {
		b.next = (b.next + 1) % len(hosts)
		lender := hosts[b.next]
		if lender == h || lender.core.QueueLength() > 0 {
			continue
		}
		h.controlBytes += messageBytes
		lender.controlBytes += messageBytes
		slot, ok := lender.core.ReleaseLeasedSlot()
		if !ok {
			continue
		}
		f.After(f.Trace.Header.HostDelay, func() { h.granted(slot) })
		return
	}
	// Nobody has an idle slot; the next question waits until one may be free.
	f.After(askAgain, func() { h.granted(netip.AddrPort{}) })
}

func (h *host) granted(slot netip.AddrPort) {
	f := h.fleet
	h.asking = false
	if slot.IsValid() {
		h.startAll(h.core.AddLeasedSlots(f.Now(), slot, 1, h.starts[:0]))
		return
	}
	h.plan()
}
