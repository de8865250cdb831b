package wagmesh

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagroster"
)

// upstreamLink returns the link on which a host receives changes.
func (h *host) upstreamLink() *link {
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	return h.mesh.upstream
}

// Guards against a heartbeat that waited in a socket, while its host stood still or on its
// way, and is taken for one that was sent a moment ago: the host acted on an old copy of the
// store as if it were fresh (review/13).
func TestHeartbeatThatWaited(t *testing.T) {
	runSite(t, 3, []string{"a", "b"}, func(s *site) {
		is := is.New(t)
		sleep(3 * time.Second)
		h := s.ranked("a")[1]
		l := h.upstreamLink()
		is.True(l != nil)
		stamp := h.mesh.stamp(time.Now())
		b := &Beat{ConfirmedAge: new(uint32), Complete: h.mesh.completeMessages(), Echo: stamp}
		s.setSilent(h, true)
		s.store.setSilent(h.member.Name, true)
		sleep(4 * time.Second)
		l.handleHeartbeat(time.Now(), b)
		is.True(time.Since(h.sync.ConfirmedAt()) >= 2900*time.Millisecond) // sent up to maxEchoAge after its echo
		b.Echo = 0
		l.handleHeartbeat(time.Now(), b)
		is.True(time.Since(h.sync.ConfirmedAt()) >= 2900*time.Millisecond) // may be as old as the link
		b.Echo = h.mesh.stamp(time.Now())
		l.handleHeartbeat(time.Now(), b)
		is.Equal(time.Since(h.sync.ConfirmedAt()), time.Duration(0))
	})
}

// suspension is how long the machines of the hosts of a site were suspended.
type suspension struct {
	mu    sync.Mutex
	times map[string]time.Duration
}

func (x *suspension) of(name string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.times[name]
}

func (x *suspension) add(name string, d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.times[name] += d
}

// gaps returns what notices the suspensions of a host. Its steady clock does not count them.
func (x *suspension) gaps(m wagroster.Member) *wagclock.Gaps {
	return wagclock.NewGaps(wagclock.System{}, 500*time.Millisecond,
		wagclock.WithTimeOfDay(func() time.Time { return time.Now().Add(x.of(m.Name)) }),
		wagclock.WithSuspendedTime(func() (time.Duration, bool) { return x.of(m.Name), true }))
}

// Guards against what a host knew before its machine was suspended: confirmations stay fresh
// by a clock that did not run, heartbeats from before confirm the copy, and the owner of a
// group grants by its old list (review/13). Requests wait until the copy is confirmed again,
// but not for long.
func TestKnowledgeFromBeforeGap(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		t.Run(fmt.Sprint("isolated ", isolated), func(t *testing.T) {
			x := &suspension{times: make(map[string]time.Duration)}
			runSite(t, 3, []string{"a", "b"}, func(s *site) {
				is := is.New(t)
				sleep(3 * time.Second)
				h := s.owner("a")
				before := &Beat{ConfirmedAge: new(uint32), Complete: h.mesh.completeMessages(), Echo: h.mesh.stamp(time.Now())}
				if isolated {
					s.setSilent(h, true)
					s.store.setSilent(h.member.Name, true)
				}
				sleep(time.Millisecond)
				x.add(h.member.Name, 6*time.Second)
				h.mesh.gaps.Observe()
				is.True(time.Since(h.sync.ConfirmedAt()) >= 6*time.Second)
				_, ok := h.mesh.latestSendTime(time.Now(), before)
				is.True(!ok)
				began := time.Now()
				_, granted := h.placeRequest().(wagowner.Granted)
				is.True(granted)
				held := time.Since(began)
				if isolated {
					is.Equal(held, gapHoldTimeout) // and then served by what is known
					is.True(time.Since(h.sync.ConfirmedAt()) >= 6*time.Second)
					return
				}
				is.True(held < gapHoldTimeout)
				is.True(time.Since(h.sync.ConfirmedAt()) <= time.Second)
			}, func(s *site) { s.gaps = x.gaps })
		})
	}
}
