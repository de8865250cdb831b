package wagmesh

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagroster"
)

// applyTimeout is the time within which a change has to be in force (configApplyMs).
const applyTimeout = wagroster.DefaultApplyTimeout

// changeOffsets are the times of a change, from the beginning of a disruption.
var changeOffsets = []time.Duration{0, 260 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 2100 * time.Millisecond}

// Guards against a data centre that keeps an old configuration while its relay is cut off
// from the store and from the other data centres: the relay took a request to the store
// that was in flight for a confirmation of its copy and passed that on (review/3).
func TestRelayIsCutOffFromStoreAndOtherDataCentres(t *testing.T) {
	for _, offset := range changeOffsets {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			runSite(t, 6, threeDataCentres, func(s *site) {
				is := is.New(t)
				sleep(5 * time.Second)
				for _, dataCentre := range threeDataCentres {
					relay := s.ranked(dataCentre)[0]
					s.setIsolated(relay, true)
					sleep(offset)
					at := s.store.put()
					is.True(s.reachesAll(at, relay, applyTimeout))
					s.setIsolated(relay, false)
					sleep(10 * time.Second)
					is.Equal(len(s.followers()), 1)
				}
			})
		})
	}
}

// Guards against hosts that wait without a limit for a suspended host, whose kernel
// accepts connections, when it is the next relay (review/4).
func TestNextRelayIsSuspendedDuringPlannedStop(t *testing.T) {
	for _, offset := range changeOffsets {
		for _, dataCentre := range threeDataCentres {
			t.Run(fmt.Sprint(dataCentre, offset), func(t *testing.T) {
				runSite(t, 6, threeDataCentres, func(s *site) {
					is := is.New(t)
					sleep(15 * time.Second)
					ranked := s.ranked(dataCentre)
					relay, next := ranked[0], ranked[1]
					s.setSuspended(next, true)
					sleep(300 * time.Millisecond)
					relay.mesh.Leave()
					sleep(100 * time.Millisecond)
					relay.stop()
					s.remove(relay)
					sleep(offset)
					at := s.store.put()
					is.True(s.reachesAll(at, next, applyTimeout))
				})
			})
		}
	}
}

// Guards against a link to a host that takes connections and says nothing, and one of a
// host that opens connections and says nothing, which last for good: the one is never
// given up, and many of the other leave no room for further hosts.
func TestLinksWithoutHelloEnd(t *testing.T) {
	runSite(t, 3, threeDataCentres, func(s *site) {
		is := is.New(t)
		sleep(5 * time.Second)
		h, mute := s.ranked("a")[0], s.ranked("b")[2]
		s.setSuspended(mute, true)
		sleep(10 * time.Second)
		h.mesh.mu.Lock()
		h.mesh.startDial(time.Now(), mute.member.Address)
		failures := h.mesh.dialStates[mute.member.Address].failures
		h.mesh.mu.Unlock()
		for range 50 {
			_, err := s.network.dial(t.Context(), netip.MustParseAddr("10.9.9.9"), h.member.Address)
			is.NoErr(err)
		}
		sleep(2 * silenceTimeout)
		h.mesh.mu.Lock()
		defer h.mesh.mu.Unlock()
		is.True(h.mesh.dialStates[mute.member.Address].failures > failures)
		is.True(h.mesh.inboundLinks < 50)
	})
}

// Guards against links that do not end while a frame for a suspended host, which reads
// nothing, cannot be sent.
func TestLinksToSuspendedHostEndDuringSend(t *testing.T) {
	runSite(t, 3, threeDataCentres, func(s *site) {
		is := is.New(t)
		sleep(5 * time.Second)
		relay := s.ranked("a")[0]
		for _, mute := range s.ranked("a")[1:] {
			relay.mesh.mu.Lock()
			l, inbound := relay.mesh.linkTo(mute.member.Name), relay.mesh.inboundLinks
			relay.mesh.mu.Unlock()
			is.True(l != nil)
			s.setSuspended(mute, true)
			l.enqueue(func(f *Frame) {
				f.Updates = append(f.Updates, &Update{Kind: testKind, Compressed: make([]byte, 4*windowBytes)})
			})
			sleep(2 * silenceTimeout)
			relay.mesh.mu.Lock()
			is.True(relay.mesh.linkTo(mute.member.Name) == nil)
			is.True(!l.inbound || relay.mesh.inboundLinks < inbound)
			relay.mesh.mu.Unlock()
		}
	})
}

// Guards against hosts that learn of a change late because the leader, relays and those
// that follow them lose power together, so that one wait follows another (review/5).
func TestManyHostsLosePowerTogether(t *testing.T) {
	for _, offset := range changeOffsets {
		for seed := range 6 {
			t.Run(fmt.Sprint(offset, seed), func(t *testing.T) {
				runSite(t, 5, threeDataCentres, func(s *site) {
					is := is.New(t)
					sleep(5 * time.Second)
					lost := []*host{s.findHost(s.followers()[0])}
					for i, dataCentre := range threeDataCentres {
						// The relay and the next hosts in rank, or hosts further down.
						lost = append(lost, s.ranked(dataCentre)[(seed+i)%3:(seed+i)%3+2+seed%2]...)
					}
					isLost := make(map[*host]bool)
					for _, h := range lost {
						isLost[h] = true
						s.setSilent(h, true)
						s.store.setSilent(h.member.Name, true)
					}
					sleep(offset)
					at := s.store.put()
					sleep(applyTimeout)
					for _, h := range s.hosts {
						is.True(isLost[h] || h.knownRevision() == at)
					}
				})
			})
		}
	}
}
