package wagexplore

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/waglease"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	leaseTime = 10 * time.Second
	// lookTime is how often a host reads who owns a partition.
	lookTime = 2 * time.Second
	// leasePause is the least time between two ticks of a holder.
	leasePause = time.Millisecond
	// overstay is added to the deadlines of a holder that does not stop.
	overstay = 10 * time.Minute
)

func headKey(p int) string {
	return fmt.Sprintf("claims/orders/%d/head", p)
}

// claimsModule starts nothing of its own: hosts plan their lease checks at boot.
type claimsModule struct{}

func (*claimsModule) start(*world) {}

// lease drives the holder of one partition's lease at one host. Every host wants
// every lease.
type lease struct {
	h         *host
	partition int
	holder    *waglease.Holder
	// owner is the host that the latest read names, -1 when there is none.
	owner int
	// fence is the version with which the partition knows of the lease, empty
	// when it does not hold it.
	fence waglease.Version
	// looking is set while a read of the owner is in flight.
	looking bool
	// wake is when the next tick is planned, 0 for never.
	wake time.Duration
}

func newLease(h *host, partition int) *lease {
	l := &lease{h: h, partition: partition, owner: -1}
	l.holder = waglease.NewHolder(h.name(), uint64(h.incarnation), leaseTime, waglease.WithJitter(h.w.random.Float64))
	delay := h.w.between(0, 300*time.Millisecond)
	h.after(delay, func() { l.handle(waglease.Acquire{}) })
	l.plan(delay)
	return l
}

func (l *lease) key() string {
	return fmt.Sprintf("leases/claims/orders/%d", l.partition)
}

func (l *lease) plan(delay time.Duration) {
	l.h.after(delay, func() {
		l.ask()
		l.plan(lookTime + l.h.w.between(0, 100*time.Millisecond))
	})
}

// ask reads who owns the partition.
func (l *lease) ask() {
	if l.looking {
		return
	}
	l.looking = true
	l.h.w.store.get(l.key(), func(r storeResult) {
		l.h.after(0, func() {
			l.looking = false
			if r.err == nil {
				l.owner = ownerOf(r.object, l.h.now())
			}
		})
	})
}

// ownerOf returns the place of the host whose lease has not ended, -1 for none.
func ownerOf(o wagstore.Object, now time.Time) int {
	r, err := waglease.Decode(o.Value)
	if err != nil || r.Released || !now.Before(r.Deadline) {
		return -1
	}
	return hostOf(r.Holder)
}

// handle gives one event to the holder, carries out its commands, and tells the
// partition what changed.
func (l *lease) handle(e waglease.Event) {
	for _, command := range l.holder.Handle(l.h.now(), e) {
		switch c := command.(type) {
		case waglease.Load:
			l.h.w.store.get(l.key(), func(r storeResult) {
				l.h.after(0, func() { l.handle(l.h.w.leaseLoaded(l.h.name(), c, r)) })
			})
		case waglease.Write:
			l.h.w.store.put(l.key(), c.Value, wagstore.Version(c.Expected), func(r storeResult) {
				l.h.after(0, func() { l.handle(leaseWritten(c, r)) })
			})
		}
	}
	l.tell()
	l.tick()
}

// tell passes the state of the holder on to the partition.
func (l *lease) tell() {
	fence, held := l.holder.FencingVersion(l.h.now())
	deadline := l.holder.Record().Deadline
	if l.h.w.config.sabotage == noStop {
		held, deadline = held || l.fence != "" && fence == "", deadline.Add(overstay)
	}
	switch {
	case !held && l.fence != "":
		l.fence = ""
		l.h.step(l.partition, wagclaim.LeaseLost{})
	case held && l.fence == "":
		l.fence, l.owner = fence, l.h.number
		l.h.w.record(wagevent.KindLease, l.h.number, uint64(l.partition))
		l.h.step(l.partition, wagclaim.LeaseAcquired{Deadline: deadline})
	case held && fence != "" && fence != l.fence:
		l.fence = fence
		l.h.step(l.partition, wagclaim.LeaseRenewed{Deadline: deadline})
	}
}

// tick plans the next wake of the holder.
func (l *lease) tick() {
	next := l.holder.NextWake()
	if next.IsZero() {
		return
	}
	at := max(next.Add(-l.h.offset).Sub(start), l.h.w.now+leasePause)
	if l.wake > l.h.w.now && l.wake <= at {
		return
	}
	l.wake = at
	l.h.after(at-l.h.w.now, func() {
		if l.wake == at {
			l.wake = 0
			l.handle(waglease.Tick{})
		}
	})
}

// leaseLoaded turns the answer to a read into an event of a holder.
func (w *world) leaseLoaded(name string, c waglease.Load, r storeResult) waglease.Event {
	if r.err != nil {
		return waglease.StoreUnavailable(c)
	}
	value := r.object.Value
	if w.config.sabotage == earlyTakeOver {
		value = released(name, value)
	}
	return waglease.Loaded{ID: c.ID, Value: value, Version: waglease.Version(r.object.Version)}
}

// released makes the lease of another host look given up.
func released(name string, value []byte) []byte {
	r, err := waglease.Decode(value)
	if err != nil || r.Holder == name {
		return value
	}
	r.Released = true
	value, err = waglease.Encode(r)
	if err != nil {
		return nil
	}
	return value
}

// leaseWritten turns the answer to a write into an event of a holder.
func leaseWritten(c waglease.Write, r storeResult) waglease.Event {
	switch {
	case r.err == nil:
		return waglease.Written{ID: c.ID, Version: waglease.Version(r.version)}
	case errors.Is(r.err, wagstore.ErrConflict):
		return waglease.WriteConflict{ID: c.ID}
	case errors.Is(r.err, wagstore.ErrUnavailable):
		return waglease.StoreUnavailable{ID: c.ID}
	default:
		return waglease.WriteUnknown{ID: c.ID}
	}
}
