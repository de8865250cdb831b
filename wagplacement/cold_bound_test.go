package wagplacement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestColdServerIsNotFlooded(t *testing.T) {
	t.Parallel()
	// Guards against the crash of a server that gets more requests while cold than it
	// tolerates, whatever the load: here 200 requests a second for 4.3.
	g := newColdGroup(1, 8)
	times := g.drive(5*time.Second, 5*time.Millisecond, nil)
	require.LessOrEqual(t, inWindow(times["s0"]), testColdPerSecond)
	require.InDelta(t, 5*testColdRate, len(times["s0"]), 2, "the rate is used up")
}

func TestColdBoundCoversHedgesAndRepeats(t *testing.T) {
	t.Parallel()
	// Guards against second attempts that pass the bound of the first ones.
	for name, change := range map[string]func(*Request){
		"hedges":  func(r *Request) { r.Hedge, r.Repeat = true, true },
		"repeats": func(r *Request) { r.Repeat, r.Avoid = true, []string{"s9"} },
		"foreign": func(r *Request) { r.Foreign = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newColdGroup(1, 8)
			g.scheduler.budget = newRetryBudget(1000, 100000, 10*time.Second)
			times := g.drive(3*time.Second, 5*time.Millisecond, change)
			require.LessOrEqual(t, inWindow(times["s0"]), testColdPerSecond)
			require.NotEmpty(t, times["s0"])
		})
	}
}

func TestColdBoundHoldsForAnySequence(t *testing.T) {
	t.Parallel()
	// Guards against a path to a cold server that passes the bucket, by random events.
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 0))
		g := newColdGroup(3, 4)
		times := make(map[string][]time.Time)
		var running []RequestID
		for range 1500 {
			switch random.IntN(6) {
			case 0, 1, 2:
				id := g.submit(func(r *Request) {
					r.Rank, r.Foreign, r.Hedge = random.IntN(3), random.IntN(4) == 0, random.IntN(8) == 0
					r.Goal = g.now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
					r.Repeat = r.Hedge
				})
				running = append(running, id)
			case 3:
				g.advance(time.Duration(random.IntN(60)) * time.Millisecond)
			case 4:
				if random.IntN(10) == 0 {
					g.scheduler.SetServers(g.now, coldInstances(3, 4, g.now.Add(time.Minute)))
				}
			default:
				running = slices.DeleteFunc(running, func(id RequestID) bool {
					x, granted := g.scheduler.grants[id]
					if !granted || random.IntN(2) == 0 {
						return false
					}
					times[x.server.ID] = append(times[x.server.ID], x.grantedAt)
					g.finish(id, []Fault{FaultNone, FaultRejected, FaultCanceled, FaultOvertaken}[random.IntN(4)])
					return true
				})
			}
		}
		for _, x := range g.scheduler.grants {
			times[x.server.ID] = append(times[x.server.ID], x.grantedAt)
		}
		require.NotEmpty(t, times, "seed %d", seed)
		for id, list := range times {
			require.LessOrEqual(t, inWindow(list), testColdPerSecond, "server %s, seed %d", id, seed)
		}
	}
}

func TestColdBoundAcrossHosts(t *testing.T) {
	t.Parallel()
	// Guards against the crash of a cold server while two hosts take themselves for the
	// owner and 40 others decide alone, all with a queue. The bound is the one that the
	// platform states; the slack of each scheduler is what wagowner gives it.
	const alone, overage, platformSlack = 40, 1.5, 8.0
	for _, rate := range []float64{4.3, 5.8} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			var times []time.Time
			limit, slack := ShareColdBound(rate, overage, platformSlack)
			require.InDelta(t, rate, limit, 1e-9)
			// The owner changes at 2 s, and both hosts act as the owner until 3 s. The buckets of
			// both are full when they get a queue.
			for n := range alone + 2 {
				g := newColdGroup(1, 8)
				g.scheduler.SetColdRate(limit, slack)
				record := func(x map[string][]time.Time) { times = append(times, x["s0"]...) }
				switch n {
				case 0:
					record(g.drive(2*time.Second, 900*time.Millisecond, nil))
					record(g.drive(time.Second, 3*time.Millisecond, nil))
				case 1:
					g.advance(time.Second)
					record(g.drive(time.Second, 400*time.Millisecond, nil))
					record(g.drive(3*time.Second, 3*time.Millisecond, nil))
				default:
					share := AloneShare{Index: uint16(n - 2), Hosts: alone}
					times = append(times, g.drive(5*time.Second, 20*time.Millisecond, func(r *Request) { r.OwnerUnreachable, r.Alone = true, share })["s0"]...)
				}
			}
			require.LessOrEqual(t, float64(inWindow(times)), rate*overage+platformSlack)
			t.Logf("%d in a second, %.2f permitted", inWindow(times), rate*overage+platformSlack)
			require.Greater(t, float64(len(times)), 3*rate)
		})
	}
}

func TestColdDataCentreIsFilledAtTheBound(t *testing.T) {
	t.Parallel()
	// Guards against a data centre that is filled more slowly than its cold servers
	// tolerate after a power failure, and against a queue of requests that cannot start.
	const servers, seconds = 100, 3
	g := newColdGroup(servers, 6)
	// 800 requests a second arrive; the servers tolerate 430.
	times := g.drive(seconds*time.Second, 1250*time.Microsecond, nil)
	total := 0
	for id, list := range times {
		total += len(list)
		require.LessOrEqual(t, inWindow(list), testColdPerSecond, id)
	}
	t.Logf("%d grants with %d probes in %d s, %.0f permitted; %d refused, %d waiting", total, g.probes, seconds, servers*testColdRate*seconds, len(g.refused), len(g.scheduler.queue.list))
	require.Greater(t, float64(total), 0.9*servers*testColdRate*seconds)
	require.Less(t, g.probes, 2*total, "servers without a token are not probed")
	require.NotEmpty(t, g.refused, "requests beyond the bound are refused")
	for _, x := range g.refused {
		require.NotEqual(t, ReasonDeadline, x.Reason)
	}
}
