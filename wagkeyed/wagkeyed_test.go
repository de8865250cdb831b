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

// doneResponse returns the response to a request that ran.
func doneResponse(key string) callerResponse {
	return callerResponse{status: 200, outcome: "done", body: `{"order":"` + key + `"}`, contentType: "application/json"}
}

// Guards against a repeat that runs the request again, through any host and also
// while the first one is in flight, and against a repeat that does not get the
// recorded response.
func TestRepeatsGetTheRecordedResponse(t *testing.T) {
	s := newSite(t, 3)
	is := is.New(t)
	for n := range 20 {
		key := "order-" + strconv.Itoa(n)
		responses := make([]callerResponse, 9)
		var g errgroup.Group
		for i := range responses {
			g.Go(func() error {
				responses[i] = s.post(t, i%3, "/ordering/orders", key, "lot 7")
				return nil
			})
		}
		is.NoErr(g.Wait())
		for _, r := range append(responses, s.post(t, n%3, "/ordering/orders", key, "lot 7")) {
			is.Equal(r, doneResponse(key))
		}
		is.Equal(s.runs(key), 1)
	}
}

// Guards against another request that runs, or gets a response, under a used key,
// against keyed routes that run without a key, and against claims for repeatable
// requests.
func TestRulesOnKeys(t *testing.T) {
	s := newSite(t, 2)
	is := is.New(t)
	is.Equal(s.post(t, 0, "/ordering/orders", "k", "lot 7"), doneResponse("k"))
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
		is.Equal(s.post(t, 0, "/ordering/stock", "stock", ""), doneResponse("stock"))
		is.Equal(s.post(t, 0, "/ordering/other", "unrouted", ""), doneResponse("unrouted"))
	}
	is.Equal(s.runs("stock"), 2)
	is.Equal(s.runs("unrouted"), 1)
}

// Guards against a write of a claim that counts as done, or as not done, although
// the reply of the store was lost.
func TestLostAnswersOfTheStore(t *testing.T) {
	s := newSite(t, 2)
	is := is.New(t)
	for n := range 4 {
		s.store.lost.Store(int64(n))
		key := "order-" + strconv.Itoa(n)
		for host := range 2 {
			is.Equal(s.post(t, host, "/ordering/orders", key, ""), doneResponse(key))
		}
		is.Equal(s.runs(key), 1)
	}
}

// Guards against a new request that runs without a claim during a store outage,
// and against repeats and issued keys that are refused meanwhile.
func TestStoreOutage(t *testing.T) {
	s := newSite(t, 2)
	is := is.New(t)
	is.Equal(s.post(t, 0, "/ordering/orders", "before", ""), doneResponse("before"))
	issued := s.post(t, 0, wagentry.KeysPath, "", "")
	is.Equal(issued.status, http.StatusCreated)
	key := strings.TrimSpace(issued.body)
	s.store.down.Store(true)
	for host := range 2 {
		is.Equal(s.post(t, host, "/ordering/orders", "before", ""), doneResponse("before"))
		is.Equal(s.post(t, host, "/ordering/orders", key, ""), doneResponse(key))
	}
	// A partition that no host has taken over yet proves nothing, but the
	// partition of the first key has an owner, which refuses new keys.
	k, err := wagclaim.ParseKey("funeral-home", "before")
	is.NoErr(err)
	for n := 0; ; n++ {
		text := "new-" + strconv.Itoa(n)
		other, err := wagclaim.ParseKey("funeral-home", text)
		is.NoErr(err)
		if wagclaim.PartitionOf(other.Digest, PartitionCount) != wagclaim.PartitionOf(k.Digest, PartitionCount) {
			continue
		}
		r := s.post(t, 0, "/ordering/orders", text, "")
		is.Equal([]any{r.status, r.outcome, r.reason}, []any{503, "not-run", "store-unavailable"})
		is.Equal(s.runs(text), 0)
		break
	}
	is.Equal(s.runs("before"), 1)
	is.Equal(s.runs(key), 1)
	s.members.set(s.members.Members(time.Time{})[1])
	gone := s.post(t, 1, "/ordering/orders", key, "")
	is.Equal([]any{gone.outcome, gone.reason}, []any{"unknown", "forgotten"})
}

// Guards against a keyed request that runs at another host because its owner is
// unreachable.
func TestUnreachableOwner(t *testing.T) {
	s := newSite(t, 1)
	is := is.New(t)
	s.members.set(wagmember.Member{Name: "z", DataCentre: "dc1", Incarnation: 9, Forward: netip.MustParseAddrPort("127.0.0.1:1")})
	r := s.post(t, 0, "/ordering/orders", "k", "")
	is.Equal([]any{r.status, r.outcome, r.reason}, []any{503, "not-run", "connection"})
	is.Equal(s.runs("k"), 0)
}

// Guards against a request that is cancelled when its caller disconnects, so that
// no repeat ever gets its outcome.
func TestCallerLeaves(t *testing.T) {
	s := newSite(t, 2)
	is := is.New(t)
	s.hold = make(chan struct{})
	ctx, leave := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		_, err := s.postWithContext(ctx, 0, "/ordering/orders", "k", "")
		return err
	})
	<-s.entered
	leave()
	is.True(g.Wait() != nil)
	close(s.hold)
	is.Equal(s.post(t, 1, "/ordering/orders", "k", ""), doneResponse("k"))
	is.Equal(s.runs("k"), 1)
}

// Guards against a request that runs again after its owner was lost while it was
// in flight, and against a repeat that gets the outcome not-run.
func TestOwnerLostInTheMiddle(t *testing.T) {
	s := newSite(t, 2, WithLeaseTerm(time.Second))
	is := is.New(t)
	k, err := wagclaim.ParseKey("funeral-home", "k")
	is.NoErr(err)
	members := s.members.Members(time.Time{})
	m, _ := partitionOwner(members, LeaseKeyPrefix+strconv.Itoa(wagclaim.PartitionOf(k.Digest, PartitionCount)))
	lost := int(m.Incarnation) - 1
	s.hold = make(chan struct{})
	var g errgroup.Group
	var first callerResponse
	g.Go(func() (err error) {
		first, err = s.postWithContext(context.Background(), 1-lost, "/ordering/orders", "k", "")
		return err
	})
	<-s.entered
	s.stop[lost]()
	s.members.set(members[1-lost])
	is.Equal(s.post(t, 1-lost, "/ordering/orders", "k", "").outcome, "unknown")
	close(s.hold)
	is.NoErr(g.Wait())
	// The request started within the lease. It may run on, and its response is
	// complete. Only the record of it is lost with the owner.
	is.Equal(first, doneResponse("k"))
	is.Equal(s.post(t, 1-lost, "/ordering/orders", "k", "").outcome, "unknown")
	is.Equal(s.runs("k"), 1)
}

// ownerPair is two hosts that can own all partitions, with a clock that the test
// advances.
type ownerPair struct {
	clock   *wagclock.Manual
	members *testMembership
	store   *faultyStore
	a, b    *Claims
}

func newOwnerPair() *ownerPair {
	p := &ownerPair{clock: wagclock.NewManual(time.Unix(1e9, 0)), members: &testMembership{}, store: &faultyStore{Memory: wagstore.NewMemory()}}
	a, b := wagmember.Member{Name: "a", Incarnation: 1}, wagmember.Member{Name: "b", Incarnation: 2}
	p.members.set(a)
	p.a, p.b = New(a, p.members, p.store, WithClock(p.clock)), New(b, p.members, p.store, WithClock(p.clock))
	return p
}

// tickAndWait ticks a host and waits for its requests to the store.
func tickAndWait(c *Claims) {
	c.tick()
	_ = c.tasks.Wait()
}

// claim submits a request with a key to a host.
func (p *ownerPair) claim(c *Claims, key string) wagentry.ClaimResult {
	u := &url.URL{Path: "/orders"}
	return c.Claim(context.Background(), wagentry.KeyedRequest{
		Service: "ordering", Key: key, Caller: "c", Deadline: p.clock.Now().Add(time.Minute),
		Request: &http.Request{Method: http.MethodPost, URL: u},
	})
}

// moveToB moves all partitions to b after the leases of a have expired.
func (p *ownerPair) moveToB() {
	p.members.set(wagmember.Member{Name: "b", Incarnation: 2})
	tickAndWait(p.b)
	p.clock.Advance(leaseTerm + time.Second)
	tickAndWait(p.b)
	tickAndWait(p.b)
}

// Guards against a request that runs again after the owner of its claim was
// stopped or paused, against a paused owner that still sends it, and against a
// late outcome of that owner.
func TestTakeoverFromPausedOwner(t *testing.T) {
	p, is := newOwnerPair(), is.New(t)
	tickAndWait(p.a)
	first, ok := p.claim(p.a, "k").(wagentry.Dispatch)
	is.True(ok)
	is.True(p.clock.Now().Before(first.StartBy))
	p.moveToB()
	unknown := wagentry.Denied{Outcome: wagoutcome.Unknown, Reason: wagoutcome.ReasonForgotten}
	is.Equal(p.claim(p.b, "k"), unknown)
	is.True(!p.clock.Now().Before(first.StartBy))
	first.Finish(wagentry.DispatchResult{Outcome: wagoutcome.Done, Status: 200})
	tickAndWait(p.a)
	is.Equal(p.claim(p.b, "k"), unknown)
	second, ok := p.claim(p.b, "new").(wagentry.Dispatch)
	is.True(ok)
	second.Finish(wagentry.DispatchResult{Outcome: wagoutcome.Done, Status: 201, Body: []byte("\nx")})
	is.Equal(p.claim(p.b, "new"), wagentry.RecordedResponse{Status: 201, Body: []byte("\nx")})
}

// Guards against a paused owner that claims a key after its partition has moved.
func TestPausedOwnerClaimsNothing(t *testing.T) {
	p, is := newOwnerPair(), is.New(t)
	tickAndWait(p.a)
	_, ok := p.claim(p.a, "k").(wagentry.Dispatch)
	is.True(ok)
	p.moveToB()
	_, ok = p.claim(p.b, "new").(wagentry.Dispatch)
	is.True(ok)
	waiting := make(chan wagentry.ClaimResult, 1)
	var g errgroup.Group
	g.Go(func() error {
		waiting <- p.claim(p.a, "new")
		return nil
	})
	// The attempt waits for a lease that this host does not acquire.
	for len(waiting) == 0 {
		p.clock.Advance(time.Second)
		p.a.tick()
	}
	is.NoErr(g.Wait())
	got, ok := (<-waiting).(wagentry.Denied)
	is.True(ok)
	is.Equal(got.Outcome, wagoutcome.Unknown)
}

// Guards against recorded responses that are dropped when the lease expires
// during a store outage.
func TestRecordedResponsesOutliveTheLease(t *testing.T) {
	p, is := newOwnerPair(), is.New(t)
	tickAndWait(p.a)
	x, ok := p.claim(p.a, "k").(wagentry.Dispatch)
	is.True(ok)
	x.Finish(wagentry.DispatchResult{Outcome: wagoutcome.Done, Status: 200, Body: []byte("\nx")})
	p.store.down.Store(true)
	for range 3 {
		p.clock.Advance(leaseTerm)
		tickAndWait(p.a)
	}
	is.Equal(p.claim(p.a, "k"), wagentry.RecordedResponse{Status: 200, Body: []byte("\nx")})
}

// Guards against outcomes that are lost when a partition moves as planned.
func TestPlannedMoveKeepsOutcomes(t *testing.T) {
	p, is := newOwnerPair(), is.New(t)
	tickAndWait(p.a)
	x, ok := p.claim(p.a, "k").(wagentry.Dispatch)
	is.True(ok)
	x.Finish(wagentry.DispatchResult{Outcome: wagoutcome.Done, Status: 200, Body: []byte("\nx")})
	p.members.set(wagmember.Member{Name: "b", Incarnation: 2})
	for range 3 {
		p.clock.Advance(outcomeFlushDelay)
		tickAndWait(p.a)
	}
	for range 3 {
		p.clock.Advance(time.Second)
		tickAndWait(p.b)
	}
	is.Equal(p.claim(p.b, "k"), wagentry.RecordedResponse{Status: 200, Body: []byte("\nx")})
}
