package wagreplay

import (
	"net/netip"

	"github.com/wagtailspar/wagtailspar/wagrouting"
)

// slotBroker arranges the borrowing of slots between the hosts of a data centre.
type slotBroker struct {
	// lenderIndex is the index of the host that was asked last for a free slot.
	lenderIndex int
}

// leaseSlots distributes the slots of each data centre over its hosts.
func (f *fleet) leaseSlots() {
	for _, name := range f.Trace.Header.DataCentres {
		hosts, n := f.hosts[name], 0
		for _, v := range f.servers {
			if v.DataCentre != name {
				continue
			}
			for range v.Slots {
				hosts[n%len(hosts)].scheduler.AddLeasedSlots(f.Now(), v.address, 1, nil)
				n++
			}
		}
	}
	f.brokers = make(map[string]*slotBroker)
	for name := range f.hosts {
		f.brokers[name] = &slotBroker{}
	}
}

// requestSlot asks for a free slot of another host while requests wait here. The
// question and the reply of the host that has the slot take one HostDelay each.
func (h *host) requestSlot() {
	f := h.fleet
	if _, ok := f.policy.(wagrouting.SlotShares); !ok || h.slotRequested || h.scheduler.QueueLength() == 0 {
		return
	}
	h.slotRequested = true
	f.ScheduleAfter(f.Trace.Header.HostDelay, func() { h.borrowSlot() })
}

// borrowSlot takes a free slot of the next host that has one.
func (h *host) borrowSlot() {
	f := h.fleet
	b, hosts := f.brokers[h.dataCentre], f.hosts[h.dataCentre]
	for range hosts {
		b.lenderIndex = (b.lenderIndex + 1) % len(hosts)
		lender := hosts[b.lenderIndex]
		if lender == h || lender.scheduler.QueueLength() > 0 {
			continue
		}
		h.controlBytes += messageBytes
		lender.controlBytes += messageBytes
		slot, ok := lender.scheduler.ReleaseLeasedSlot()
		if !ok {
			continue
		}
		f.ScheduleAfter(f.Trace.Header.HostDelay, func() { h.receiveSlot(slot) })
		return
	}
	// No host has a free slot; the next question waits until one may be free.
	f.ScheduleAfter(slotRetryInterval, func() { h.receiveSlot(netip.AddrPort{}) })
}

// receiveSlot adds a borrowed slot. Without one, the host may ask again.
func (h *host) receiveSlot(slot netip.AddrPort) {
	f := h.fleet
	h.slotRequested = false
	if slot.IsValid() {
		h.carryOutAll(h.scheduler.AddLeasedSlots(f.Now(), slot, 1, h.decisions[:0]))
		return
	}
	h.scheduleWake()
}
