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
	leaseDuration = 10 * time.Second
	// ownerReadInterval is the time between two reads of the owner of a partition, to
	// which up to 0.1 s of jitter is added.
	ownerReadInterval = 2 * time.Second
	// minTickInterval is the minimum time between two ticks of a lease holder.
	minTickInterval = time.Millisecond
	// deadlineExtension is added to the deadline of a lease by the defect noStop.
	deadlineExtension = 10 * time.Minute
)

// headKey returns the key of the head of a partition, the object that each of its owners
// rewrites.
func headKey(p int) string {
	return fmt.Sprintf("claims/orders/%d/head", p)
}

// claimsModule schedules nothing, because hosts schedule the events of leases when they
// boot.
type claimsModule struct{}

func (*claimsModule) start(*world) {}

// lease runs the lease holder of one host for one partition. Every host tries to acquire
// the leases of all partitions.
type lease struct {
	host      *host
	partition int
	holder    *waglease.Holder
	// ownerIndex is the index of the owner by the latest read, -1 when there is none.
	ownerIndex int
	// fencingVersion is the version of the lease of which the partition was last
	// notified, empty when this host doesn't hold the lease.
	fencingVersion waglease.Version
	// readingOwner is set while a read of the owner is in flight.
	readingOwner bool
	// nextTick is the time for which the next tick is scheduled, 0 for none.
	nextTick time.Duration
}

func newLease(h *host, partition int) *lease {
	l := &lease{host: h, partition: partition, ownerIndex: -1}
	l.holder = waglease.NewHolder(h.name(), uint64(h.incarnation), leaseDuration, waglease.WithJitter(h.world.random.Float64))
	delay := h.world.randomDuration(0, 300*time.Millisecond)
	h.schedule(delay, func() { l.handle(waglease.Acquire{}) })
	l.scheduleOwnerRead(delay)
	return l
}

func (l *lease) key() string {
	return fmt.Sprintf("leases/claims/orders/%d", l.partition)
}

// scheduleOwnerRead schedules the next read of the owner, which schedules the one after
// it.
func (l *lease) scheduleOwnerRead(delay time.Duration) {
	l.host.schedule(delay, func() {
		l.readOwner()
		l.scheduleOwnerRead(ownerReadInterval + l.host.world.randomDuration(0, 100*time.Millisecond))
	})
}

// readOwner reads the owner of the partition from the store.
func (l *lease) readOwner() {
	if l.readingOwner {
		return
	}
	l.readingOwner = true
	l.host.world.store.get(l.key(), func(r storeResult) {
		l.host.schedule(0, func() {
			l.readingOwner = false
			if r.err == nil {
				l.ownerIndex = ownerIndex(r.object, l.host.now())
			}
		})
	})
}

// ownerIndex returns the index of the host that holds the lease, -1 when the lease is
// released or has expired.
func ownerIndex(o wagstore.Object, now time.Time) int {
	r, err := waglease.Decode(o.Value)
	if err != nil || r.Released || !now.Before(r.Deadline) {
		return -1
	}
	return hostIndex(r.Holder)
}

// handle passes an event to the lease holder, carries out its commands and notifies the
// partition of changes.
func (l *lease) handle(e waglease.Event) {
	for _, command := range l.holder.Handle(l.host.now(), e) {
		switch c := command.(type) {
		case waglease.Load:
			l.host.world.store.get(l.key(), func(r storeResult) {
				l.host.schedule(0, func() { l.handle(l.host.world.leaseLoaded(l.host.name(), c, r)) })
			})
		case waglease.Write:
			l.host.world.store.put(l.key(), c.Value, wagstore.Version(c.Expected), func(r storeResult) {
				l.host.schedule(0, func() { l.handle(leaseWritten(c, r)) })
			})
		}
	}
	l.notifyPartition()
	l.scheduleTick()
}

// notifyPartition notifies the partition when the lease was acquired, renewed or lost.
func (l *lease) notifyPartition() {
	version, held := l.holder.FencingVersion(l.host.now())
	deadline := l.holder.Record().Deadline
	if l.host.world.config.defect == noStop {
		held, deadline = held || l.fencingVersion != "" && version == "", deadline.Add(deadlineExtension)
	}
	switch {
	case !held && l.fencingVersion != "":
		l.fencingVersion = ""
		l.host.step(l.partition, wagclaim.LeaseLost{})
	case held && l.fencingVersion == "":
		l.fencingVersion, l.ownerIndex = version, l.host.index
		l.host.world.record(wagevent.KindLease, l.host.index, uint64(l.partition))
		l.host.step(l.partition, wagclaim.LeaseAcquired{Deadline: deadline})
	case held && version != "" && version != l.fencingVersion:
		l.fencingVersion = version
		l.host.step(l.partition, wagclaim.LeaseRenewed{Deadline: deadline})
	}
}

// scheduleTick schedules the next Tick of the lease holder, unless an earlier one is
// scheduled.
func (l *lease) scheduleTick() {
	next := l.holder.NextWake()
	if next.IsZero() {
		return
	}
	at := max(next.Add(-l.host.clockOffset).Sub(simulationStart), l.host.world.now+minTickInterval)
	if l.nextTick > l.host.world.now && l.nextTick <= at {
		return
	}
	l.nextTick = at
	l.host.schedule(at-l.host.world.now, func() {
		if l.nextTick == at {
			l.nextTick = 0
			l.handle(waglease.Tick{})
		}
	})
}

// leaseLoaded converts the result of a read to an event of a lease holder.
func (w *world) leaseLoaded(name string, c waglease.Load, r storeResult) waglease.Event {
	if r.err != nil {
		return waglease.StoreUnavailable(c)
	}
	value := r.object.Value
	if w.config.defect == earlyTakeOver {
		value = markReleased(name, value)
	}
	return waglease.Loaded{ID: c.ID, Value: value, Version: waglease.Version(r.object.Version)}
}

// markReleased marks the lease of another host as released.
func markReleased(name string, value []byte) []byte {
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

// leaseWritten converts the result of a write to an event of a lease holder.
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
