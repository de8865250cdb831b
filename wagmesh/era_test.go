package wagmesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagmirror"
)

// write changes the body of the object.
func (s *store) write(body string) {
	s.mu.Lock()
	s.body = body
	s.mu.Unlock()
	s.put()
}

// comeBack restores a former revision and body, and begins the next era.
func (s *store) comeBack(revision wagmirror.Revision, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.body = revision, body
	close(s.changed)
	s.changed = make(chan struct{})
}

func (h *host) knownBody() string {
	for _, r := range h.sync.LiveRecords(testKind) {
		return string(r.Body)
	}
	return ""
}

// Guards against hosts that miss what is written after the store has come back from a copy
// (review/11), whichever of them hear of it first, while others are suspended, refused by
// the store or started, and when it comes back again soon.
func TestStoreComesBackWhileHostsAreDisturbed(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 11))
			runSite(t, 3, []string{"a", "b", "c"}, func(s *site) {
				is := is.New(t)
				s.store.comeBack(10, "first")
				sleep(3 * time.Second)
				started := 0
				for step := range 12 {
					h := s.hosts[random.IntN(len(s.hosts))]
					switch random.IntN(6) {
					case 0, 1:
						s.store.mu.Lock()
						revision, body := s.store.revision, s.store.body
						s.store.mu.Unlock()
						for n := range 1 + random.IntN(4) {
							s.store.write(fmt.Sprintf("lost %d.%d", step, n))
							sleep(time.Duration(random.IntN(500)) * time.Millisecond)
						}
						s.store.comeBack(revision, body)
					case 2:
						s.setSuspended(h, true)
						sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
						s.setSuspended(h, false)
					case 3:
						s.store.setRefused(h.member.Name, true)
						sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
						s.store.setRefused(h.member.Name, false)
					case 4:
						started++
						s.startHost(testMember("a", 0, 2+started))
					default:
						s.store.write(fmt.Sprint("written ", step))
					}
					sleep(time.Duration(random.IntN(800)) * time.Millisecond)
				}
				sleep(3 * time.Second)
				body := fmt.Sprint("last ", seed)
				s.store.write(body)
				sleep(2 * time.Second)
				for _, h := range s.hosts {
					is.Equal(h.knownBody(), body) // a host has missed the change
				}
			})
		})
	}
}
