package wagkeyed

import (
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// stepAll passes an event to all cores of a slot; c.mu is held.
func (c *Claims) stepAll(s *slot, event wagclaim.Event) {
	for _, k := range s.cores {
		c.step(k, event)
	}
}

// step passes an event to a core and carries out its commands; c.mu is held.
func (c *Claims) step(k *core, event wagclaim.Event) {
	events := []wagclaim.Event{event}
	for len(events) > 0 {
		now := c.clock.Now()
		commands := k.partition.Step(now, events[0], nil)
		events = events[1:]
		for _, command := range commands {
			if next := c.carryOut(k, command); next != nil {
				events = append(events, next)
			}
		}
		if len(events) == 0 && len(k.pending) > 0 && k.partition.IsReady(now) {
			for _, a := range k.pending {
				events = append(events, a.submit)
			}
			k.pending = nil
		}
	}
}

// carryOut starts a command; it returns an event that follows at once, or nil.
func (c *Claims) carryOut(k *core, command wagclaim.Command) wagclaim.Event {
	switch x := command.(type) {
	case wagclaim.Write:
		if !c.spawn(k, func() wagclaim.Event { return c.write(x) }) {
			return wagclaim.WriteFailed{Sequence: x.Sequence}
		}
	case wagclaim.Load:
		if !c.spawn(k, func() wagclaim.Event { return c.load(x) }) {
			return wagclaim.LoadFailed(x)
		}
	case wagclaim.Delete:
		c.spawn(k, func() wagclaim.Event { return c.remove(x) })
	case wagclaim.Dispatch:
		a := c.attempts[x.AttemptID]
		if a == nil {
			// The caller has left.
			return wagclaim.DispatchNotSent{Key: x.Key}
		}
		k.running++
		c.decide(a, x)
	case wagclaim.Response:
		c.answer(k, x)
	}
	return nil
}

// spawn runs a call of the store beside and passes its result to the core.
func (c *Claims) spawn(k *core, call func() wagclaim.Event) bool {
	return c.tasks.TryGo(func() error {
		event := call()
		c.mu.Lock()
		defer c.mu.Unlock()
		if event != nil {
			c.step(k, event)
		}
		return nil
	})
}

func (c *Claims) write(x wagclaim.Write) wagclaim.Event {
	v, err := c.store.Put(c.context(), x.Name, x.Value, x.Expected)
	switch {
	case err == nil:
		return wagclaim.Written{Sequence: x.Sequence, Version: v}
	case errors.Is(err, wagstore.ErrConflict):
		return wagclaim.WriteConflict{Sequence: x.Sequence}
	case errors.Is(err, wagstore.ErrUnavailable), errors.Is(err, wagstore.ErrValueTooLong):
		return wagclaim.WriteFailed{Sequence: x.Sequence}
	default:
		return wagclaim.WriteUnknown{Sequence: x.Sequence}
	}
}

func (c *Claims) load(x wagclaim.Load) wagclaim.Event {
	o, err := c.store.Get(c.context(), x.Name)
	if err != nil && !errors.Is(err, wagstore.ErrNotFound) {
		return wagclaim.LoadFailed(x)
	}
	return wagclaim.Loaded{Name: x.Name, Value: o.Value, Version: o.Version}
}

// remove deletes an archive; nothing depends on its success.
func (c *Claims) remove(x wagclaim.Delete) wagclaim.Event {
	ctx := c.context()
	if o, err := c.store.Get(ctx, x.Name); err == nil {
		_ = c.store.Delete(ctx, x.Name, o.Version)
	}
	return nil
}

// answer ends an attempt, or keeps it until the partition is taken over when
// this host never sends it.
func (c *Claims) answer(k *core, x wagclaim.Response) {
	a := c.attempts[x.AttemptID]
	switch {
	case a == nil:
	case x.MayResubmit && c.clock.Now().Before(a.patience):
		a.moved = x
		k.pending = append(k.pending, a)
	default:
		c.decide(a, x)
	}
}

// decide ends the wait of an attempt.
func (c *Claims) decide(a *attempt, command wagclaim.Command) {
	if c.attempts[a.submit.AttemptID] != a {
		return
	}
	delete(c.attempts, a.submit.AttemptID)
	a.decided <- command
}
