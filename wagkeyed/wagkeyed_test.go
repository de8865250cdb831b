package wagkeyed

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagentry"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

func done(key string) told {
	return told{status: 200, outcome: "done", body: `{"order":"` + key + `"}`, contentType: "application/json"}
}

// Guards against a second run of a repeat through any host, also beside the
// first, and against a repeat that does not get the recorded answer.
func TestRepeatsGetTheRecordedAnswer(t *testing.T) {
	s := newSite(t, 3)
	is := is.New(t)
	for n := range 20 {
		key := "order-" + strconv.Itoa(n)
		answers := make([]told, 9)
		var g errgroup.Group
		for i := range answers {
			g.Go(func() error {
				answers[i] = s.post(t, i%3, "/ordering/orders", key, "lot 7")
				return nil
			})
		}
		is.NoErr(g.Wait())
		for _, a := range append(answers, s.post(t, n%3, "/ordering/orders", key, "lot 7")) {
			is.Equal(a, done(key))
		}
		is.Equal(s.runs(key), 1)
	}
}

// Guards against another request that runs, or is answered, under a used key,
// against keyed routes without a key, and against claims of repeatable calls.
func TestRulesOnKeys(t *testing.T) {
	s := newSite(t, 2)
	is := is.New(t)
	is.Equal(s.post(t, 0, "/ordering/orders", "k", "lot 7"), done("k"))
	for host := range 2 {
		other := s.post(t, host, "/ordering/orders", "k", "lot 8")
		is.Equal([]any{other.status, other.outcome, other.reason}, []any{422, "not-run", "key-reused"})
	}
	missing := s.post(t, 0, "/ordering/orders", "", "lot 7")
	is.Equal([]any{missing.status, missing.outcome, missing.reason}, []any{400, "not-run", "key-missing"})
	is.Equal(s.runs("k"), 1)
	long := s.post(t, 1, "/ordering/orders", "long", strings.Repeat("x", 300<<10))
	is.Equal([]any{long.status, long.outcome}, []any{413, "not-run"})
	for range 2 {
		is.Equal(s.post(t, 0, "/ordering/stock", "stock", ""), done("stock"))
		is.Equal(s.post(t, 0, "/ordering/other", "unrouted", ""), done("unrouted"))
	}
	is.Equal(s.runs("stock"), 2)
	is.Equal(s.runs("unrouted"), 1)
}

// Guards against a claim that is taken for written or not written when the
// store's answer was lost.
func TestLostAnswersOfTheStore(t *testing.T) {
	s := newSite(t, 2)
	is := is.New(t)
	for n := range 4 {
		s.store.lost.Store(int64(n))
		key := "order-" + strconv.Itoa(n)
		for host := range 2 {
			is.Equal(s.post(t, host, "/ordering/orders", key, ""), done(key))
		}
		is.Equal(s.runs(key), 1)
	}
}

// Guards against new work without its claim, and against refused repeats and
// issued keys, while the store is down.
func TestStoreOutage(t *testing.T) {
	s := newSite(t, 2)
	is := is.New(t)
	is.Equal(s.post(t, 0, "/ordering/orders", "before", ""), done("before"))
	issued := s.post(t, 0, wagentry.KeysPath, "", "")
	is.Equal(issued.status, http.StatusCreated)
	key := strings.TrimSpace(issued.body)
	s.store.down.Store(true)
	for host := range 2 {
		is.Equal(s.post(t, host, "/ordering/orders", "before", ""), done("before"))
		is.Equal(s.post(t, host, "/ordering/orders", key, ""), done(key))
	}
	// The partition of a key that has no owner yet proves nothing; that of the
	// first key refuses.
	k, err := wagclaim.ParseKey("funeral-home", "before")
	is.NoErr(err)
	for n := 0; ; n++ {
		text := "new-" + strconv.Itoa(n)
		other, err := wagclaim.ParseKey("funeral-home", text)
		is.NoErr(err)
		if wagclaim.PartitionOf(other.Digest, PartitionCount) != wagclaim.PartitionOf(k.Digest, PartitionCount) {
			continue
		}
		a := s.post(t, 0, "/ordering/orders", text, "")
		is.Equal([]any{a.status, a.outcome, a.reason}, []any{503, "not-run", "store-unavailable"})
		is.Equal(s.runs(text), 0)
		break
	}
	is.Equal(s.runs("before"), 1)
	is.Equal(s.runs(key), 1)
	s.members.set(s.members.Members(time.Time{})[1])
	gone := s.post(t, 1, "/ordering/orders", key, "")
	is.Equal([]any{gone.outcome, gone.reason}, []any{"unknown", "forgotten"})
}

// Guards against a keyed call that runs at another host when its owner cannot be
// reached.
func TestOwnerOutOfReach(t *testing.T) {
	s := newSite(t, 1)
	is := is.New(t)
	s.members.set(wagmember.Member{Name: "z", DataCentre: "dc1", Incarnation: 9, Forward: netip.MustParseAddrPort("127.0.0.1:1")})
	a := s.post(t, 0, "/ordering/orders", "k", "")
	is.Equal([]any{a.status, a.outcome, a.reason}, []any{503, "not-run", "connection"})
	is.Equal(s.runs("k"), 0)
}

// Guards against a call that is cut off when its caller leaves, so that a repeat
// never learns the outcome.
func TestCallerLeaves(t *testing.T) {
	s := newSite(t, 2)
	is := is.New(t)
	s.hold = make(chan struct{})
	ctx, leave := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		_, err := s.postUnder(ctx, 0, "/ordering/orders", "k", "")
		return err
	})
	<-s.entered
	leave()
	is.True(g.Wait() != nil)
	close(s.hold)
	is.Equal(s.post(t, 1, "/ordering/orders", "k", ""), done("k"))
	is.Equal(s.runs("k"), 1)
}

// Guards against a second run after the owner was lost in the middle of a call,
// and against a repeat that is told that the first did not run.
func TestOwnerLostInTheMiddle(t *testing.T) {
	s := newSite(t, 2, WithLeaseTerm(time.Second))
	is := is.New(t)
	k, err := wagclaim.ParseKey("funeral-home", "k")
	is.NoErr(err)
	members := s.members.Members(time.Time{})
	m, _ := owner(members, LeaseKeyPrefix+strconv.Itoa(wagclaim.PartitionOf(k.Digest, PartitionCount)))
	lost := int(m.Incarnation) - 1
	s.hold = make(chan struct{})
	var g errgroup.Group
	var first told
	g.Go(func() (err error) {
		first, err = s.postUnder(context.Background(), 1-lost, "/ordering/orders", "k", "")
		return err
	})
	<-s.entered
	s.stop[lost]()
	s.members.set(members[1-lost])
	is.Equal(s.post(t, 1-lost, "/ordering/orders", "k", "").outcome, "unknown")
	close(s.hold)
	is.NoErr(g.Wait())
	// Its time to start lay inside the lease; it may run on, and its answer is
	// whole. Only the record of it is lost with the owner.
	is.Equal(first, done("k"))
	is.Equal(s.post(t, 1-lost, "/ordering/orders", "k", "").outcome, "unknown")
	is.Equal(s.runs("k"), 1)
}

// pair is two hosts that may own all partitions, on a clock that the test moves.
type pair struct {
	clock   *wagclock.Manual
	members *table
	store   *faultyStore
	a, b    *Claims
}

func newPair() *pair {
	p := &pair{clock: wagclock.NewManual(time.Unix(1e9, 0)), members: &table{}, store: &faultyStore{Memory: wagstore.NewMemory()}}
	a, b := wagmember.Member{Name: "a", Incarnation: 1}, wagmember.Member{Name: "b", Incarnation: 2}
	p.members.set(a)
	p.a, p.b = New(a, p.members, p.store, WithClock(p.clock)), New(b, p.members, p.store, WithClock(p.clock))
	return p
}

// settle ticks a host and waits for its calls of the store.
func settle(c *Claims) {
	c.tick()
	_ = c.tasks.Wait()
}

func (p *pair) claim(c *Claims, key string) wagentry.ClaimResult {
	u := &url.URL{Path: "/orders"}
	return c.Claim(context.Background(), wagentry.KeyedRequest{
		Service: "ordering", Key: key, Caller: "c", Deadline: p.clock.Now().Add(time.Minute),
		Request: &http.Request{Method: http.MethodPost, URL: u},
	})
}

// takeOver moves all partitions to b after the leases of a have ended.
func (p *pair) takeOver() {
	p.members.set(wagmember.Member{Name: "b", Incarnation: 2})
	settle(p.b)
	p.clock.Advance(leaseTerm + time.Second)
	settle(p.b)
	settle(p.b)
}

// Guards against a second run after the owner of a claim was stopped or paused,
// against a paused owner that still sends, and against its late outcome.
func TestTakeOverOfAPausedOwner(t *testing.T) {
	p, is := newPair(), is.New(t)
	settle(p.a)
	first, ok := p.claim(p.a, "k").(wagentry.Dispatch)
	is.True(ok)
	is.True(p.clock.Now().Before(first.StartBy))
	p.takeOver()
	unknown := wagentry.Denied{Outcome: wagoutcome.Unknown, Reason: wagoutcome.ReasonForgotten}
	is.Equal(p.claim(p.b, "k"), unknown)
	is.True(!p.clock.Now().Before(first.StartBy))
	first.Finish(wagentry.DispatchResult{Outcome: wagoutcome.Done, Status: 200})
	settle(p.a)
	is.Equal(p.claim(p.b, "k"), unknown)
	second, ok := p.claim(p.b, "new").(wagentry.Dispatch)
	is.True(ok)
	second.Finish(wagentry.DispatchResult{Outcome: wagoutcome.Done, Status: 201, Body: []byte("\nx")})
	is.Equal(p.claim(p.b, "new"), wagentry.RecordedResponse{Status: 201, Body: []byte("\nx")})
}

// Guards against a paused owner that claims a key whose claim moved.
func TestPausedOwnerClaimsNothing(t *testing.T) {
	p, is := newPair(), is.New(t)
	settle(p.a)
	_, ok := p.claim(p.a, "k").(wagentry.Dispatch)
	is.True(ok)
	p.takeOver()
	_, ok = p.claim(p.b, "new").(wagentry.Dispatch)
	is.True(ok)
	waiting := make(chan wagentry.ClaimResult, 1)
	var g errgroup.Group
	g.Go(func() error {
		waiting <- p.claim(p.a, "new")
		return nil
	})
	// The attempt waits for a lease that this host does not get.
	for len(waiting) == 0 {
		p.clock.Advance(time.Second)
		p.a.tick()
	}
	is.NoErr(g.Wait())
	got, ok := (<-waiting).(wagentry.Denied)
	is.True(ok)
	is.Equal(got.Outcome, wagoutcome.Unknown)
}

// Guards against recorded answers that are forgotten when the lease ends in an
// outage of the store.
func TestRecordedAnswersOutliveTheLease(t *testing.T) {
	p, is := newPair(), is.New(t)
	settle(p.a)
	x, ok := p.claim(p.a, "k").(wagentry.Dispatch)
	is.True(ok)
	x.Finish(wagentry.DispatchResult{Outcome: wagoutcome.Done, Status: 200, Body: []byte("\nx")})
	p.store.down.Store(true)
	for range 3 {
		p.clock.Advance(leaseTerm)
		settle(p.a)
	}
	is.Equal(p.claim(p.a, "k"), wagentry.RecordedResponse{Status: 200, Body: []byte("\nx")})
}

// Guards against outcomes that are lost when a partition moves as planned.
func TestPlannedMoveKeepsOutcomes(t *testing.T) {
	p, is := newPair(), is.New(t)
	settle(p.a)
	x, ok := p.claim(p.a, "k").(wagentry.Dispatch)
	is.True(ok)
	x.Finish(wagentry.DispatchResult{Outcome: wagoutcome.Done, Status: 200, Body: []byte("\nx")})
	p.members.set(wagmember.Member{Name: "b", Incarnation: 2})
	for range 3 {
		p.clock.Advance(settleTime)
		settle(p.a)
	}
	for range 3 {
		p.clock.Advance(time.Second)
		settle(p.b)
	}
	is.Equal(p.claim(p.b, "k"), wagentry.RecordedResponse{Status: 200, Body: []byte("\nx")})
}
