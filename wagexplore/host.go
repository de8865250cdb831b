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
	// claimRetention is short, so that claims expire within a run.
	claimRetention = 45 * time.Second
	// maxResubmits bounds how often an attempt is submitted again to the current owner.
	maxResubmits = 4
	// resubmitDelay is the time before an attempt is submitted again.
	resubmitDelay = 200 * time.Millisecond
)

// host is one entry host. It runs the cores of a real host and carries out their
// commands on virtual time.
type host struct {
	world *world
	index int
	// incarnation counts the starts of this host.
	incarnation int
	alive       bool
	// pausedUntil is when a pause ends, during which nothing happens at the host.
	pausedUntil time.Duration
	clockOffset time.Duration
	leases      [partitionCount]*lease
	partitions  [partitionCount]*wagclaim.Partition
	// nextTicks holds the time for which the next Tick of a partition is scheduled, 0
	// for none.
	nextTicks [partitionCount]time.Duration
	issuer    *wagclaim.Issuer
	// documentEpoch is the epoch of the document that this host has.
	documentEpoch int64
	commands      []wagclaim.Command
}

var secrets = wagclaim.Secrets{[]byte("secret of the hosts")}

func newHost(w *world, index int) *host {
	h := &host{world: w, index: index}
	h.boot()
	return h
}

// boot starts a new incarnation of the host without the state of the former one.
func (h *host) boot() {
	h.addClaimCounts()
	h.incarnation++
	h.alive, h.pausedUntil = true, 0
	h.clockOffset = h.world.randomClockOffset()
	h.documentEpoch = h.world.documentEpoch()
	name := h.name()
	options := []wagclaim.Option{wagclaim.WithRetention(claimRetention), wagclaim.WithArchiveThreshold(512)}
	if h.world.config.defect == opaqueKeys {
		options = append(options, wagclaim.WithOpaqueKeys())
	}
	for p := range h.partitions {
		h.partitions[p] = wagclaim.New("orders", p, name, options...)
		h.nextTicks[p] = 0
		h.leases[p] = newLease(h, p)
	}
	h.issuer = wagclaim.NewIssuer(name, secrets, 40*time.Second, 64)
}

func (h *host) name() string {
	return fmt.Sprintf("h%d-%d", h.index, h.incarnation)
}

// addClaimCounts adds the counters of an incarnation that ends to those of the run.
func (h *host) addClaimCounts() {
	for _, p := range h.partitions {
		if p != nil {
			h.world.counts.Claims += p.Stats().Claims
			h.world.counts.ClaimWrites += p.Stats().Writes
		}
	}
	h.partitions = [partitionCount]*wagclaim.Partition{}
}

func (h *host) now() time.Time {
	return h.world.trueTime().Add(h.clockOffset)
}

// schedule schedules an event at this incarnation of the host. A pause delays it to its
// end.
func (h *host) schedule(delay time.Duration, run func()) {
	incarnation := h.incarnation
	var runUnlessStopped func()
	runUnlessStopped = func() {
		switch {
		case h.incarnation != incarnation || !h.alive:
		case h.world.now < h.pausedUntil:
			h.world.schedule(h.pausedUntil-h.world.now, runUnlessStopped)
		default:
			run()
		}
	}
	h.world.schedule(delay, runUnlessStopped)
}

func (h *host) crash(downtime time.Duration) {
	if !h.alive {
		return
	}
	h.alive = false
	h.world.schedule(downtime, h.boot)
}

func (h *host) pause(duration time.Duration) {
	h.pausedUntil = max(h.pausedUntil, h.world.now+duration)
}

// linked reports whether no network partition separates two hosts. The first half of the
// hosts is in one data centre, the second half in the other.
func (h *host) linked(other *host) bool {
	const half = hostCount / 2
	return !h.world.faultActive(Partition, 0) || h.index/half == other.index/half
}

// latency returns a random time that a message to another host takes.
func (h *host) latency(other *host) time.Duration {
	if h == other {
		return 0
	}
	const half = hostCount / 2
	if h.index/half == other.index/half {
		return h.world.randomDuration(200*time.Microsecond, 400*time.Microsecond)
	}
	return h.world.randomDuration(3*time.Millisecond, 4*time.Millisecond)
}

// receiveKeyed handles an attempt with a key of the caller at the entry host. It submits
// the attempt to the owner of the key's partition.
func (h *host) receiveKeyed(a *attempt) {
	owner := h.leases[a.request.partition].ownerIndex
	if owner < 0 {
		h.resubmitLater(a)
		return
	}
	o := h.world.hosts[owner]
	if !h.linked(o) {
		// The attempt is lost and ends by the caller's timeout.
		return
	}
	if !o.alive {
		// The connection is refused, so that nothing was sent.
		h.schedule(h.latency(o), func() { h.resubmitLater(a) })
		return
	}
	o.schedule(h.latency(o), func() {
		a.owner, a.entry = o, h
		o.step(a.request.partition, wagclaim.Submit{AttemptID: uint64(a.id), Key: a.request.key, Fingerprint: a.fingerprint, Deadline: a.deadline})
	})
}

// resubmitLater submits an attempt to the current owner after resubmitDelay. The attempt
// ends as unknown after maxResubmits.
func (h *host) resubmitLater(a *attempt) {
	a.submissions++
	if a.submissions > maxResubmits {
		h.world.callers.endAttempt(a, wagoutcome.Unknown, "")
		return
	}
	h.leases[a.request.partition].readOwner()
	h.schedule(resubmitDelay, func() { h.receiveKeyed(a) })
}

// step passes an event to a partition and carries out its commands.
func (h *host) step(p int, e wagclaim.Event) {
	h.commands = h.partitions[p].Step(h.now(), e, h.commands[:0])
	for _, c := range h.commands {
		h.execute(p, c)
	}
	h.scheduleTick(p)
}

// scheduleTick schedules the next Tick of a partition, unless an earlier one is
// scheduled.
func (h *host) scheduleTick(p int) {
	next := h.partitions[p].NextWake()
	if next.IsZero() {
		return
	}
	at := max(next.Add(-h.clockOffset).Sub(simulationStart), h.world.now+time.Millisecond)
	if h.nextTicks[p] != 0 && h.nextTicks[p] <= at {
		return
	}
	h.nextTicks[p] = at
	h.schedule(at-h.world.now, func() {
		if h.nextTicks[p] == at {
			h.nextTicks[p] = 0
			h.step(p, wagclaim.Tick{})
		}
	})
}

func (h *host) execute(p int, command wagclaim.Command) {
	switch c := command.(type) {
	case wagclaim.Write:
		h.world.traceEvent(wagevent.KindClaim, h.index, "%s writes %s sequence %d on %s", h.name(), c.Name, c.Sequence, c.Expected)
		h.world.store.put(c.Name, c.Value, c.Expected, func(r storeResult) {
			h.schedule(0, func() { h.step(p, h.writeEvent(c.Sequence, r)) })
		})
	case wagclaim.Load:
		h.world.store.get(c.Name, func(r storeResult) {
			h.schedule(0, func() { h.step(p, h.loadEvent(c.Name, r)) })
		})
	case wagclaim.Delete:
		h.world.store.remove(c.Name)
	case wagclaim.Dispatch:
		h.dispatch(p, c)
	case wagclaim.Response:
		h.returnOutcome(c)
	}
}

// writeEvent converts the result of a write to an event of a partition.
func (h *host) writeEvent(sequence uint64, r storeResult) wagclaim.Event {
	switch {
	case r.err == nil:
		return wagclaim.Written{Sequence: sequence, Version: r.version}
	case errors.Is(r.err, wagstore.ErrConflict):
		return wagclaim.WriteConflict{Sequence: sequence}
	case errors.Is(r.err, wagstore.ErrUnavailable):
		return wagclaim.WriteFailed{Sequence: sequence}
	case h.world.config.defect == skipReadBack:
		return wagclaim.Written{Sequence: sequence, Version: "assumed"}
	}
	return wagclaim.WriteUnknown{Sequence: sequence}
}

// loadEvent converts the result of a read to an event of a partition.
func (h *host) loadEvent(name string, r storeResult) wagclaim.Event {
	if r.err != nil {
		return wagclaim.LoadFailed{Name: name}
	}
	if h.world.config.defect == openAsNew && r.object.Version != "" {
		r.object.Value = dropOpenClaims(r.object.Value)
	}
	return wagclaim.Loaded{Name: name, Value: r.object.Value, Version: r.object.Version}
}

// hostIndex returns the index of the host with this name, or -1.
func hostIndex(name string) int {
	index, _, _ := strings.Cut(strings.TrimPrefix(name, "h"), "-")
	if n, err := strconv.Atoi(index); err == nil && n < hostCount {
		return n
	}
	return -1
}

// dropOpenClaims removes the claims without an outcome from the value of an object.
func dropOpenClaims(value []byte) []byte {
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

// dispatch sends a request to a server unless it is too late for that. A random pause
// may begin before this check, but not between the check and the sending.
func (h *host) dispatch(p int, d wagclaim.Dispatch) {
	h.pauseRandomly()
	h.schedule(50*time.Microsecond, func() {
		if h.world.config.defect != noLeaseCheck && !d.CanSend(h.now()) {
			h.step(p, wagclaim.DispatchNotSent{Key: d.Key})
			return
		}
		h.send(d, func(f wagclaim.DispatchFinished) { h.step(p, f) })
	})
}

// pauseRandomly pauses the host with a probability of 1/500 when Pause is enabled.
func (h *host) pauseRandomly() {
	faultsEnded := h.world.config.faultsEnd > 0 && h.world.now >= h.world.config.faultsEnd
	if h.world.enabledFaults[Pause] && !faultsEnded && h.world.random.IntN(500) == 0 {
		h.pause(h.world.randomDuration(time.Second, time.Minute))
	}
}

// send sends a request to a random server and calls done once. Without a response until
// 1 s after StartBy the outcome is unknown.
func (h *host) send(d wagclaim.Dispatch, done func(wagclaim.DispatchFinished)) {
	a := h.world.callers.attempts[d.AttemptID]
	finished := false
	finish := func(r serverResponse) {
		if !finished {
			finished = true
			done(wagclaim.DispatchFinished{Key: d.Key, Outcome: r.outcome, Status: 201, Body: []byte(r.body)})
		}
	}
	s := h.world.servers[h.world.random.IntN(serverCount)]
	name := h.name()
	s.serve(a, name, d.StartBy, func(r serverResponse) {
		if r.outcome == wagoutcome.Unknown && h.world.config.defect == retryAfterUnknown {
			s.serve(a, name, d.StartBy, func(again serverResponse) { h.schedule(0, func() { finish(again) }) })
			return
		}
		h.schedule(0, func() { finish(r) })
	})
	wait := d.StartBy.Sub(h.now()) + time.Second
	h.schedule(wait, func() { finish(serverResponse{outcome: wagoutcome.Unknown}) })
}

// returnOutcome sends the outcome that a core decided to the entry host of the attempt,
// which ends the attempt or submits it again.
func (h *host) returnOutcome(response wagclaim.Response) {
	a := h.world.callers.attempts[response.AttemptID]
	h.world.record(wagevent.KindOutcome, h.index, response.AttemptID, uint64(response.Outcome))
	h.world.traceEvent(wagevent.KindOutcome, h.index, "attempt %d of call %d: %s %s moved %t", a.id, a.request.id, response.Outcome, response.Reason, response.MayResubmit)
	h.world.executions.checkDecision(a, response.Outcome)
	if !h.linked(a.entry) {
		return
	}
	body := string(response.Body)
	a.entry.schedule(h.latency(a.entry), func() {
		if response.MayResubmit {
			a.entry.resubmitLater(a)
			return
		}
		h.world.callers.endAttempt(a, response.Outcome, body)
	})
}
