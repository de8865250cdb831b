package wagplacement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtailspar/wagtailspar/wagserver"
)

const (
	testColdRate  = 4.3
	testColdSlack = 4.0
	// testColdPerSecond is the rate plus the burst, half of the slack.
	testColdPerSecond = 6
)

func coldInstances(servers, slots int, until time.Time) []wagserver.Instance {
	list := instances(servers, slots)
	for n := range list {
		list[n].ColdUntil = until
	}
	return list
}

// newColdGroup returns a group whose servers stay cold for a minute.
func newColdGroup(servers, slots int) *group {
	g := newGroup(0, slots)
	g.scheduler.SetColdRate(testColdRate, testColdSlack)
	g.scheduler.SetServers(g.now, coldInstances(servers, slots, g.now.Add(time.Minute)))
	return g
}

// inWindow returns the largest number of times within a second.
func inWindow(times []time.Time) (most int) {
	slices.SortFunc(times, time.Time.Compare)
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// drive submits requests at an interval for a time and finishes each grant at once. It
// returns the times of the grants by server.
func (g *group) drive(d, interval time.Duration, change func(*Request)) map[string][]time.Time {
	times := make(map[string][]time.Time)
	var pending []RequestID
	for end := g.now.Add(d); g.now.Before(end); {
		pending = append(pending, g.submit(change))
		g.advance(interval)
		pending = slices.DeleteFunc(pending, func(id RequestID) bool {
			x, running := g.scheduler.grants[id]
			if running {
				times[x.server.ID] = append(times[x.server.ID], x.grantedAt)
				g.finish(id, FaultNone)
			}
			_, refused := g.refused[id]
			return running || refused
		})
	}
	return times
}

func TestNewOwnerBeginsWithEmptyBuckets(t *testing.T) {
	t.Parallel()
	// Guards against a second burst after a change of owner: this host has known the cold
	// server for 10 s when it becomes the owner.
	g := newColdGroup(1, 8)
	g.advance(10 * time.Second)
	g.submit(nil)
	require.Empty(t, g.granted)
	g.advance(240 * time.Millisecond)
	require.Len(t, g.granted, 1)
}

func TestWarmServerTurnsCold(t *testing.T) {
	t.Parallel()
	// Guards against a full bucket of a server that becomes cold again without a restart,
	// and against a server that stays bounded after it has become warm early.
	g := newGroup(1, 8)
	g.scheduler.SetColdRate(testColdRate, testColdSlack)
	g.submit(nil)
	require.Len(t, g.granted, 1)
	report := Report{Slots: 8, Slowness: 1}
	g.scheduler.HandleProbeResult(g.now, "s0", Result{HasReport: true, Report: report, ColdUntil: g.now.Add(3 * time.Second)})
	require.Equal(t, 1, g.scheduler.CountCold(g.now))
	g.submit(nil)
	require.Len(t, g.granted, 1)
	g.scheduler.SetServers(g.now, instances(1, 8))
	require.Equal(t, 1, g.scheduler.CountCold(g.now), "the entry is older than the probe")
	g.scheduler.HandleProbeResult(g.now, "s0", Result{HasReport: true, Report: report, ColdUntil: g.now})
	g.executeCommands()
	require.Zero(t, g.scheduler.CountCold(g.now))
	require.Len(t, g.granted, 2)
}

func TestLateEntryIsCorrectedByProbe(t *testing.T) {
	t.Parallel()
	// Guards against a new host that takes all servers for cold, because the entries were
	// written when they started, and waits for tokens before it probes them.
	g := newColdGroup(1, 8)
	g.silent["s0"] = true
	g.submit(nil)
	require.Equal(t, 1, g.probes)
	g.scheduler.HandleProbeResult(g.now, "s0", Result{HasReport: true, Report: Report{Slots: 8}, ColdUntil: g.now})
	g.executeCommands()
	require.Len(t, g.granted, 1)
}

func TestReturningServerIsProbedFirst(t *testing.T) {
	t.Parallel()
	// Guards against late requests, which do not wait for reports, to a server that became
	// cold while its data centre was evacuated.
	g := newGroup(1, 8)
	g.scheduler.SetColdRate(testColdRate, testColdSlack)
	g.silent["s0"] = true
	for range 5 {
		g.submit(func(r *Request) { r.Goal = g.now })
	}
	require.Empty(t, g.granted)
	g.scheduler.HandleProbeResult(g.now, "s0", Result{HasReport: true, Report: Report{Slots: 8}, ColdUntil: g.now.Add(3 * time.Second)})
	g.executeCommands()
	require.Empty(t, g.granted)
	g.advance(500 * time.Millisecond)
	require.Len(t, g.granted, 2)
}

func TestReturningServerWithRequestsIsProbedFirst(t *testing.T) {
	t.Parallel()
	// Guards against the same for a server that still finishes a request when it returns.
	g := newGroup(1, 8)
	g.scheduler.SetColdRate(testColdRate, testColdSlack)
	g.submit(nil)
	require.Len(t, g.granted, 1)
	g.scheduler.SetServers(g.now, nil)
	g.advance(time.Second)
	g.scheduler.SetServers(g.now, instances(1, 8))
	g.silent["s0"] = true
	g.submit(func(r *Request) { r.Goal = g.now })
	require.Len(t, g.granted, 1)
}

func TestHostAloneSparesColdServers(t *testing.T) {
	t.Parallel()
	alone := func(r *Request) { r.OwnerUnreachable = true }
	t.Run("one request a second", func(t *testing.T) {
		t.Parallel()
		g := newColdGroup(1, 8)
		times := g.drive(5*time.Second, 5*time.Millisecond, alone)
		require.Equal(t, 1, inWindow(times["s0"]))
		require.GreaterOrEqual(t, len(times["s0"]), 4)
	})
	t.Run("warm servers first", func(t *testing.T) {
		t.Parallel()
		// The warm server is the busier one from the second request on.
		g := newGroup(0, 8)
		g.scheduler.SetColdRate(testColdRate, testColdSlack)
		list := instances(2, 8)
		list[1].ColdUntil = g.now.Add(time.Minute)
		g.scheduler.SetServers(g.now, list)
		g.advance(2 * time.Second)
		for range 5 {
			g.submit(alone)
		}
		require.Len(t, g.granted, 5)
		for _, server := range g.granted {
			require.Equal(t, "s0", server)
		}
	})
	t.Run("each server belongs to one host", func(t *testing.T) {
		t.Parallel()
		const hosts = 41
		for n := range 100 {
			count := 0
			for i := range uint16(hosts) {
				if (AloneShare{Index: i, Hosts: hosts}).includes(fmt.Sprint("s", n)) {
					count++
				}
			}
			require.Equal(t, 1, count)
		}
	})
}

func TestRequestsThatCannotStartAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	// Guards against requests that wait for tokens of cold servers until their deadline:
	// one server gives 4 slots a second, and requests wait for 1 s at most.
	g := newColdGroup(1, 8)
	for range 20 {
		g.submit(nil)
	}
	require.GreaterOrEqual(t, len(g.refused), 15)
	require.NotEmpty(t, g.scheduler.queue.list)
}

func TestWithoutColdRateNothingIsBounded(t *testing.T) {
	t.Parallel()
	// Guards deployments that state no rate: a cold server takes as many requests as a
	// warm one.
	g := newGroup(0, 8)
	g.scheduler.SetServers(g.now, coldInstances(1, 8, g.now.Add(time.Minute)))
	warm := newGroup(1, 8)
	for range 8 {
		g.submit(nil)
		warm.submit(nil)
	}
	require.Equal(t, warm.granted, g.granted)
}
