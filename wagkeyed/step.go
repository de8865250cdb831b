package wagkeyed

import (
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// stepAll passes an event to all service partitions of a leased partition; c.mu
// is held.
func (c *Claims) stepAll(lp *leasedPartition, event wagclaim.Event) {
	for _, sp := range lp.servicePartitions {
		c.step(sp, event)
	}
}

// step passes an event to a partition and executes its commands; c.mu is held.
func (c *Claims) step(sp *servicePartition, event wagclaim.Event) {
	events := []wagclaim.Event{event}
	for len(events) > 0 {
		now := c.clock.Now()
		commands := sp.partition.Step(now, events[0], nil)
		events = events[1:]
		for _, command := range commands {
			if next := c.execute(sp, command); next != nil {
				events = append(events, next)
			}
		}
		if len(events) == 0 && len(sp.waiting) > 0 && sp.partition.IsReady(now) {
			for _, a := range sp.waiting {
				events = append(events, a.submit)
			}
			sp.waiting = nil
		}
	}
}

// execute executes a command. It returns an event that follows immediately, or
// nil.
func (c *Claims) execute(sp *servicePartition, command wagclaim.Command) wagclaim.Event {
	switch x := command.(type) {
	case wagclaim.Write:
		if !c.startStoreTask(sp, func() wagclaim.Event { return c.writeObject(x) }) {
			return wagclaim.WriteFailed{Sequence: x.Sequence}
		}
	case wagclaim.Load:
		if !c.startStoreTask(sp, func() wagclaim.Event { return c.loadObject(x) }) {
			return wagclaim.LoadFailed(x)
		}
	case wagclaim.Delete:
		c.startStoreTask(sp, func() wagclaim.Event { return c.deleteObject(x) })
	case wagclaim.Dispatch:
		a := c.attempts[x.AttemptID]
		if a == nil {
			// The attempt was cancelled, so its request is not sent.
			return wagclaim.DispatchNotSent{Key: x.Key}
		}
		sp.inFlight++
		c.decide(a, x)
	case wagclaim.Response:
		c.respond(sp, x)
	}
	return nil
}

// startStoreTask runs a request to the store in the background and passes its
// result to the partition. It returns false if too many are in flight.
func (c *Claims) startStoreTask(sp *servicePartition, storeRequest func() wagclaim.Event) bool {
	return c.tasks.TryGo(func() error {
		event := storeRequest()
		c.mu.Lock()
		defer c.mu.Unlock()
		if event != nil {
			c.step(sp, event)
		}
		return nil
	})
}

// writeObject executes a write and returns the resulting event.
func (c *Claims) writeObject(w wagclaim.Write) wagclaim.Event {
	v, err := c.store.Put(c.storeContext(), w.Name, w.Value, w.Expected)
	switch {
	case err == nil:
		return wagclaim.Written{Sequence: w.Sequence, Version: v}
	case errors.Is(err, wagstore.ErrConflict):
		return wagclaim.WriteConflict{Sequence: w.Sequence}
	case errors.Is(err, wagstore.ErrUnavailable), errors.Is(err, wagstore.ErrValueTooLong):
		return wagclaim.WriteFailed{Sequence: w.Sequence}
	default:
		return wagclaim.WriteUnknown{Sequence: w.Sequence}
	}
}

// loadObject executes a read and returns the resulting event.
func (c *Claims) loadObject(l wagclaim.Load) wagclaim.Event {
	o, err := c.store.Get(c.storeContext(), l.Name)
	if err != nil && !errors.Is(err, wagstore.ErrNotFound) {
		return wagclaim.LoadFailed(l)
	}
	return wagclaim.Loaded{Name: l.Name, Value: o.Value, Version: o.Version}
}

// deleteObject deletes an archive. Nothing depends on its success.
func (c *Claims) deleteObject(d wagclaim.Delete) wagclaim.Event {
	ctx := c.storeContext()
	if o, err := c.store.Get(ctx, d.Name); err == nil {
		_ = c.store.Delete(ctx, d.Name, o.Version)
	}
	return nil
}

// respond ends an attempt. An attempt that this host will never send may be
// submitted again, so it first waits until the partition is taken over.
func (c *Claims) respond(sp *servicePartition, r wagclaim.Response) {
	a := c.attempts[r.AttemptID]
	switch {
	case a == nil:
	case r.MayResubmit && c.clock.Now().Before(a.takeoverDeadline):
		a.timeoutResponse = r
		sp.waiting = append(sp.waiting, a)
	default:
		c.decide(a, r)
	}
}

// decide ends the wait of an attempt.
func (c *Claims) decide(a *attempt, command wagclaim.Command) {
	if c.attempts[a.submit.AttemptID] != a {
		return
	}
	delete(c.attempts, a.submit.AttemptID)
	a.decision <- command
}
