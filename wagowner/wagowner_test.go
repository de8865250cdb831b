package wagowner

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// prober replies to probes after a delay.
type prober struct {
	mu sync.Mutex
	// delays holds the delay for each server; the others reply at once.
	delays map[string]time.Duration
	probes int
}

// Probe reports a server without load.
func (p *prober) Probe(ctx context.Context, server wagserver.Instance) wagplacement.Result {
	p.mu.Lock()
	delay := p.delays[server.ID]
	p.probes++
	p.mu.Unlock()
	select {
	case <-time.After(delay):
		return wagplacement.Result{HasReport: true, Report: wagplacement.Report{Slots: server.Slots, Slowness: 1}}
	case <-ctx.Done():
		return wagplacement.Result{Fault: wagplacement.FaultTimeout}
	}
}

func servers(dataCentres map[string]int) (list []wagserver.Instance) {
	for dataCentre, n := range dataCentres {
		for i := range n {
			list = append(list, wagserver.Instance{
				ID: fmt.Sprint(dataCentre, i), Service: "lots", DataCentre: dataCentre, Slots: 6, State: wagserver.Live,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, dataCentre[0], 0, byte(i)}), 80),
			})
		}
	}
	return list
}

// runOwner runs f with a running owner in a synctest bubble.
func runOwner(t *testing.T, p Prober, f func(is *is.I, o *Owner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := New("a", p)
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error { return o.Run(ctx) })
		defer func() {
			cancel()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		}()
		f(is.New(t), o)
	})
}

func request() wagplacement.Request {
	now := time.Now()
	return wagplacement.Request{Route: "status", Goal: now.Add(250 * time.Millisecond), Deadline: now.Add(time.Second)}
}

// Guards against a request that waits on after its server was probed, and against a
// slot that is not released.
func TestPlaceAndFinish(t *testing.T) {
	runOwner(t, &prober{}, func(is *is.I, o *Owner) {
		o.SetServers(servers(map[string]int{"a": 1}))
		var granted []Granted
		for range 4 {
			x, ok := o.Place(context.Background(), "lots", request()).(Granted)
			is.True(ok)
			is.Equal(x.Server.ID, "a0")
			granted = append(granted, x)
		}
		done := make(chan Outcome, 1)
		var g errgroup.Group
		g.Go(func() error {
			done <- o.Place(context.Background(), "lots", request())
			return nil
		})
		synctest.Wait()
		is.Equal(len(done), 0)
		granted[0].Finish(wagplacement.Result{})
		_, ok := (<-done).(Granted)
		is.True(ok)
		is.NoErr(g.Wait())
	})
}

// Guards against requests that wait for a server which does not reply to probes.
func TestSilentServer(t *testing.T) {
	runOwner(t, &prober{delays: map[string]time.Duration{"a0": time.Hour, "a1": time.Hour}}, func(is *is.I, o *Owner) {
		o.SetServers(servers(map[string]int{"a": 3}))
		began := time.Now()
		x, ok := o.Place(context.Background(), "lots", request()).(Granted)
		is.True(ok)
		is.Equal(x.Server.ID, "a2")
		is.True(time.Since(began) < 20*time.Millisecond)
	})
}

// Guards against a request that keeps its place in the queue, or a slot, after its
// caller has gone.
func TestCallerLeaves(t *testing.T) {
	runOwner(t, &prober{delays: map[string]time.Duration{"a0": 5 * time.Millisecond}}, func(is *is.I, o *Owner) {
		o.SetServers(servers(map[string]int{"a": 1}))
		for range 20 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			if x, ok := o.Place(ctx, "lots", request()).(Granted); ok {
				x.Finish(wagplacement.Result{Fault: wagplacement.FaultCanceled})
			}
			cancel()
		}
		x, ok := o.Place(context.Background(), "lots", request()).(Granted)
		is.True(ok)
		x.Finish(wagplacement.Result{})
	})
}

// Guards against a refused request that is granted by another data centre as well,
// against a slot of another data centre that is not released, and against a request
// that gets no outcome when the other data centre does not reply.
func TestSpill(t *testing.T) {
	for _, name := range []string{"granted", "refused", "silent", "late"} {
		t.Run(name, func(t *testing.T) {
			runOwner(t, &prober{}, func(is *is.I, o *Owner) {
				finished := make(chan wagplacement.Result, 1)
				o.SetRemotePlaceFunc(func(_ context.Context, dataCentre, service string, r wagplacement.Request) Outcome {
					is.Equal(dataCentre, "b")
					is.Equal(service, "lots")
					is.True(r.Foreign)
					switch name {
					case "granted":
						return Granted{Server: wagserver.Instance{ID: "b0"}, Finish: func(r wagplacement.Result) { finished <- r }}
					case "refused":
						return Refused{Reason: wagplacement.ReasonOverload, RetryAt: time.Now().Add(time.Second)}
					case "late":
						time.Sleep(2 * time.Second) //nolint:forbidigo // The time of a bubble passes at once.
						return Granted{Server: wagserver.Instance{ID: "b0"}, Finish: func(r wagplacement.Result) { finished <- r }}
					default:
						return nil
					}
				})
				o.SetServers(servers(map[string]int{"b": 1})) // none in the own data centre
				x := o.Place(context.Background(), "lots", request())
				granted, ok := x.(Granted)
				is.Equal(ok, name == "granted")
				if ok {
					is.Equal(granted.Server.ID, "b0")
					granted.Finish(wagplacement.Result{})
				}
				if name == "late" {
					is.Equal((<-finished).Fault, wagplacement.FaultCanceled)
				}
			})
		})
	}
}

// Guards against requests that wait until their deadline for a service without servers.
func TestNoServer(t *testing.T) {
	runOwner(t, &prober{}, func(is *is.I, o *Owner) {
		o.SetServers(servers(map[string]int{"a": 1}))
		began := time.Now()
		_, refused := o.Place(context.Background(), "none", request()).(Refused)
		is.True(refused)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// Guards against requests that are refused in the few tenths of a second before a host
// has the list of servers: after the start of one host, or of all hosts after a power
// failure.
func TestRequestsBeforeServersAreKnown(t *testing.T) {
	place := func(o *Owner, ctx context.Context, r wagplacement.Request) chan Outcome {
		done := make(chan Outcome, 1)
		o.tasks.Go(func() error {
			done <- o.Place(ctx, "lots", r)
			return nil
		})
		synctest.Wait()
		return done
	}
	runOwner(t, &prober{}, func(is *is.I, o *Owner) {
		left, leave := context.WithCancel(context.Background())
		first, second := place(o, context.Background(), request()), place(o, left, request())
		foreign := request()
		foreign.Foreign = true
		_, refused := (<-place(o, context.Background(), foreign)).(Refused)
		is.True(refused) // another data centre is not kept waiting
		leave()
		_, refused = (<-second).(Refused)
		is.True(refused)
		time.Sleep(200 * time.Millisecond) //nolint:forbidigo // The time of a bubble passes at once.
		is.Equal(len(first), 0)
		o.SetServers(servers(map[string]int{"a": 1}))
		_, granted := (<-first).(Granted)
		is.True(granted)
	})
	// A refusal leaves a caller time for another host.
	for timeout, wait := range map[time.Duration]time.Duration{time.Second: time.Second / 2, 5 * time.Second: serversWaitTimeout} {
		runOwner(t, &prober{}, func(is *is.I, o *Owner) {
			began := time.Now()
			r := request()
			r.Deadline = began.Add(timeout)
			_, refused := (<-place(o, context.Background(), r)).(Refused)
			is.True(refused)
			is.Equal(time.Since(began), wait)
		})
	}
}

// Guards against a host that stood still and grants servers by its list from before, and
// against requests that wait for a newer list without a bound (review/13).
func TestRequestsAreHeldWhileListIsOld(t *testing.T) {
	for name, end := range map[string]func(o *Owner){
		"confirmed": func(o *Owner) {
			o.SetServers(servers(map[string]int{"a": 2})[1:])
			o.EndHold()
		},
		"time passes": func(*Owner) {},
	} {
		t.Run(name, func(t *testing.T) {
			runOwner(t, &prober{}, func(is *is.I, o *Owner) {
				o.SetServers(servers(map[string]int{"a": 1}))
				o.EndHold() // without Hold, nothing happens
				began := time.Now()
				o.Hold(began.Add(300 * time.Millisecond))
				done := make(chan Outcome, 1)
				o.tasks.Go(func() error {
					done <- o.Place(context.Background(), "lots", request())
					return nil
				})
				time.Sleep(100 * time.Millisecond) //nolint:forbidigo // The time of a bubble passes at once.
				is.Equal(len(done), 0)
				end(o)
				granted, ok := (<-done).(Granted)
				is.True(ok)
				if name == "confirmed" {
					is.Equal(granted.Server.ID, "a1")
					is.Equal(time.Since(began), 100*time.Millisecond)
				} else {
					is.Equal(granted.Server.ID, "a0")
					is.Equal(time.Since(began), 300*time.Millisecond)
				}
			})
		})
	}
}
