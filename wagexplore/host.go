package wagexplore

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	// retention is short, so that claims are forgotten within a run.
	retention = 45 * time.Second
	// resubmits is how often an attempt is given to another owner.
	resubmits = 4
	resubmit  = 200 * time.Millisecond
)

// host is one entry host: the real cores with a shell on virtual time.
type host struct {
	w      *world
	number int
	// incarnation counts the starts in this place.
	incarnation int
	alive       bool
	// paused is until when nothing happens at the host.
	paused time.Duration
	offset time.Duration
	leases [partitionCount]*lease
	parts  [partitionCount]*wagclaim.Partition
	// wakes holds when the next Tick of a partition is planned; 0 is never.
	wakes  [partitionCount]time.Duration
	issuer *wagclaim.Issuer
	epoch  int64
	buffer []wagclaim.Command
}

var secrets = wagclaim.Secrets{[]byte("secret of the hosts")}

func newHost(w *world, number int) *host {
	h := &host{w: w, number: number}
	h.boot()
	return h
}

// boot starts a host without any memory.
func (h *host) boot() {
	h.count()
	h.incarnation++
	h.alive, h.paused = true, 0
	h.offset = h.w.offset()
	h.epoch = h.w.docEpoch()
	name := h.name()
	options := []wagclaim.Option{wagclaim.WithRetention(retention), wagclaim.WithArchiveThreshold(512)}
	if h.w.config.sabotage == opaqueKeys {
		options = append(options, wagclaim.WithOpaqueKeys())
	}
	for p := range h.parts {
		h.parts[p] = wagclaim.New("orders", p, name, options...)
		h.wakes[p] = 0
		h.leases[p] = newLease(h, p)
	}
	h.issuer = wagclaim.NewIssuer(name, secrets, 40*time.Second, 64)
}

func (h *host) name() string {
	return fmt.Sprintf("h%d-%d", h.number, h.incarnation)
}

// count adds up the partitions of an incarnation that ends.
func (h *host) count() {
	for _, p := range h.parts {
		if p != nil {
			h.w.counts.Claims += p.Stats().Claims
			h.w.counts.ClaimWrites += p.Stats().Writes
		}
	}
	h.parts = [partitionCount]*wagclaim.Partition{}
}

func (h *host) now() time.Time {
	return h.w.time().Add(h.offset)
}

// after plans an event at this incarnation. A pause delays it.
func (h *host) after(delay time.Duration, do func()) {
	incarnation := h.incarnation
	var guarded func()
	guarded = func() {
		switch {
		case h.incarnation != incarnation || !h.alive:
		case h.w.now < h.paused:
			h.w.after(h.paused-h.w.now, guarded)
		default:
			do()
		}
	}
	h.w.after(delay, guarded)
}

func (h *host) crash(length time.Duration) {
	if !h.alive {
		return
	}
	h.alive = false
	h.w.after(length, h.boot)
}

func (h *host) pause(length time.Duration) {
	h.paused = max(h.paused, h.w.now+length)
}

// linked tells whether two hosts reach each other: the first half of the hosts
// is one data centre, the second half the other.
func (h *host) linked(other *host) bool {
	const half = hostCount / 2
	return !h.w.active(Partition, 0) || h.number/half == other.number/half
}

func (h *host) latency(other *host) time.Duration {
	if h == other {
		return 0
	}
	const half = hostCount / 2
	if h.number/half == other.number/half {
		return h.w.between(200*time.Microsecond, 400*time.Microsecond)
	}
	return h.w.between(3*time.Millisecond, 4*time.Millisecond)
}

// receive takes a keyed attempt at the entry host and passes it to the owner.
func (h *host) receive(a *attempt) {
	owner := h.leases[a.call.partition].owner
	if owner < 0 {
		h.moved(a)
		return
	}
	o := h.w.hosts[owner]
	if !h.linked(o) {
		// The attempt is lost; the caller's deadline ends it.
		return
	}
	if !o.alive {
		// The connection is refused: nothing was sent.
		h.after(h.latency(o), func() { h.moved(a) })
		return
	}
	o.after(h.latency(o), func() {
		a.owner, a.entry = o, h
		o.step(a.call.partition, wagclaim.Submit{AttemptID: uint64(a.id), Key: a.call.key, Fingerprint: a.request, Deadline: a.deadline})
	})
}

// moved tries the present owner later.
func (h *host) moved(a *attempt) {
	a.tries++
	if a.tries > resubmits {
		h.w.callers.tell(a, wagoutcome.Unknown, "")
		return
	}
	h.leases[a.call.partition].ask()
	h.after(resubmit, func() { h.receive(a) })
}

// step gives one event to a partition and carries out its commands.
func (h *host) step(p int, e wagclaim.Event) {
	h.buffer = h.parts[p].Step(h.now(), e, h.buffer[:0])
	for _, c := range h.buffer {
		h.do(p, c)
	}
	h.wake(p)
}

func (h *host) wake(p int) {
	next := h.parts[p].NextWake()
	if next.IsZero() {
		return
	}
	at := max(next.Add(-h.offset).Sub(start), h.w.now+time.Millisecond)
	if h.wakes[p] != 0 && h.wakes[p] <= at {
		return
	}
	h.wakes[p] = at
	h.after(at-h.w.now, func() {
		if h.wakes[p] == at {
			h.wakes[p] = 0
			h.step(p, wagclaim.Tick{})
		}
	})
}

func (h *host) do(p int, command wagclaim.Command) {
	switch c := command.(type) {
	case wagclaim.Write:
		h.w.note(wagevent.KindClaim, h.number, "%s writes %s sequence %d on %s", h.name(), c.Name, c.Sequence, c.Expected)
		h.w.store.put(c.Name, c.Value, c.Expected, func(r storeResult) {
			h.after(0, func() { h.step(p, h.result(c.Sequence, r)) })
		})
	case wagclaim.Load:
		h.w.store.get(c.Name, func(r storeResult) {
			h.after(0, func() { h.step(p, h.read(c.Name, r)) })
		})
	case wagclaim.Delete:
		h.w.store.remove(c.Name)
	case wagclaim.Dispatch:
		h.dispatch(p, c)
	case wagclaim.Response:
		h.answer(c)
	}
}

func (h *host) result(sequence uint64, r storeResult) wagclaim.Event {
	switch {
	case r.err == nil:
		return wagclaim.Written{Sequence: sequence, Version: r.version}
	case errors.Is(r.err, wagstore.ErrConflict):
		return wagclaim.WriteConflict{Sequence: sequence}
	case errors.Is(r.err, wagstore.ErrUnavailable):
		return wagclaim.WriteFailed{Sequence: sequence}
	case h.w.config.sabotage == skipReadBack:
		return wagclaim.Written{Sequence: sequence, Version: "assumed"}
	}
	return wagclaim.WriteUnknown{Sequence: sequence}
}

func (h *host) read(name string, r storeResult) wagclaim.Event {
	if r.err != nil {
		return wagclaim.LoadFailed{Name: name}
	}
	if h.w.config.sabotage == openAsNew && r.object.Version != "" {
		r.object.Value = withoutOpen(r.object.Value)
	}
	return wagclaim.Loaded{Name: name, Value: r.object.Value, Version: r.object.Version}
}

// hostOf returns the place of an incarnation, -1 for none.
func hostOf(name string) int {
	place, _, _ := strings.Cut(strings.TrimPrefix(name, "h"), "-")
	if n, err := strconv.Atoi(place); err == nil && n < hostCount {
		return n
	}
	return -1
}

// withoutOpen drops the claims without an outcome.
func withoutOpen(value []byte) []byte {
	o, err := wagclaim.Decode(value)
	if err != nil {
		return value
	}
	kept := o.Records[:0]
	for _, r := range o.Records {
		if r.State == wagclaim.Settled {
			kept = append(kept, r)
		}
	}
	o.Records = kept
	return o.AppendTo(nil)
}

// dispatch sends a call. A pause may fall before the check, never after it.
func (h *host) dispatch(p int, d wagclaim.Dispatch) {
	h.pauseMaybe()
	h.after(50*time.Microsecond, func() {
		if h.w.config.sabotage != noLeaseCheck && !d.CanSend(h.now()) {
			h.step(p, wagclaim.DispatchNotSent{Key: d.Key})
			return
		}
		h.send(d, func(f wagclaim.DispatchFinished) { h.step(p, f) })
	})
}

func (h *host) pauseMaybe() {
	quiet := h.w.config.quiet > 0 && h.w.now >= h.w.config.quiet
	if h.w.enabled[Pause] && !quiet && h.w.random.IntN(500) == 0 {
		h.pause(h.w.between(time.Second, time.Minute))
	}
}

// send gives a call to a server and reports its end once.
func (h *host) send(d wagclaim.Dispatch, then func(wagclaim.DispatchFinished)) {
	a := h.w.callers.attempts[d.AttemptID]
	finished := false
	finish := func(r reply) {
		if !finished {
			finished = true
			then(wagclaim.DispatchFinished{Key: d.Key, Outcome: r.outcome, Status: 201, Body: []byte(r.body)})
		}
	}
	s := h.w.servers[h.w.random.IntN(serverCount)]
	name := h.name()
	s.serve(a, name, d.StartBy, func(r reply) {
		if r.outcome == wagoutcome.Unknown && h.w.config.sabotage == retryAfterUnknown {
			s.serve(a, name, d.StartBy, func(again reply) { h.after(0, func() { finish(again) }) })
			return
		}
		h.after(0, func() { finish(r) })
	})
	wait := d.StartBy.Sub(h.now()) + time.Second
	h.after(wait, func() { finish(reply{outcome: wagoutcome.Unknown}) })
}

// answer returns an outcome of a core to the entry host of the attempt.
func (h *host) answer(c wagclaim.Response) {
	a := h.w.callers.attempts[c.AttemptID]
	h.w.record(wagevent.KindOutcome, h.number, c.AttemptID, uint64(c.Outcome))
	h.w.note(wagevent.KindOutcome, h.number, "attempt %d of call %d: %s %s moved %t", a.id, a.call.id, c.Outcome, c.Reason, c.MayResubmit)
	h.w.runs.decided(a, c.Outcome)
	if !h.linked(a.entry) {
		return
	}
	body := string(c.Body)
	a.entry.after(h.latency(a.entry), func() {
		if c.MayResubmit {
			a.entry.moved(a)
			return
		}
		h.w.callers.tell(a, c.Outcome, body)
	})
}
