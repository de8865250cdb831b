// Package wagkeyed claims keys of requests for an entry host. It runs the
// partitions of wagclaim and their leases, and executes their commands in the
// store.
package wagkeyed

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagclaim"
	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagentry"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/waglease"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

const (
	// PartitionCount is the number of partitions of the keys of every service. A
	// partition has one lease for all services, so the leases of a site cost
	// about 16 writes in half a term, however many services there are.
	PartitionCount = 16
	// LeaseKeyPrefix is the prefix of the store keys of the leases.
	LeaseKeyPrefix = "leases/claims/"
	// leaseTerm is the term of a lease. It bounds how long the keys of a lost
	// owner have no owner. A keyed request has to start before the use of the
	// lease ends. A lease is renewed at half its term, so at least half a term
	// less wagclock.MaxSkew is left for that: 4.75 s.
	leaseTerm = 10 * time.Second
	// tickInterval is how often leases and partitions are checked for work that
	// is due.
	tickInterval = 25 * time.Millisecond
	// takeoverTimeout bounds how long an attempt waits for a partition that this
	// host has not taken over yet.
	takeoverTimeout = 2 * time.Second
	// outcomeDelay is how long an outcome waits to be written together with the
	// next claims. At a few claims per second and partition, a delay of 50 ms
	// cost a write for nearly every outcome.
	outcomeDelay = 500 * time.Millisecond
	// outcomeFlushDelay gives the latest outcomes time to reach the store before
	// a planned release. An outcome that does not reach it is unknown to the next
	// owner.
	outcomeFlushDelay = time.Second
	// releaseTimeout bounds how long a planned release waits for requests in
	// flight.
	releaseTimeout = 2 * time.Second
	// maxPreparedServices limits the services whose partitions are taken over
	// before the first request. Each of them costs a read and a write per
	// partition.
	maxPreparedServices = 64
	// maxStoreTasks limits the requests to the store in flight.
	maxStoreTasks = 256
	// issuedKeyLifetime is how long an issued key may be used.
	issuedKeyLifetime = time.Hour
	// maxUsedKeys limits the used issued keys that are remembered.
	maxUsedKeys = 1 << 16
)

var _ wagentry.Claims = (*Claims)(nil)

// Claims decides on the keyed requests of one entry host.
type Claims struct {
	self    wagmember.Member
	members wagentry.Membership
	store   wagstore.Store
	clock   wagclock.Clock
	// secrets is empty if this host issues no keys; issuer is nil then.
	secrets wagclaim.Secrets
	issuer  *wagclaim.Issuer
	events  wagevent.Recorder
	term    time.Duration
	tasks   errgroup.Group

	// mu guards the partitions and the fields below.
	mu         sync.Mutex
	ctx        context.Context
	partitions [PartitionCount]*leasedPartition
	// attempts holds the attempts without a decision by their ID.
	attempts      map[uint64]*attempt
	lastAttemptID uint64
	// partitionsCreated counts the service partitions, so that each has a unique
	// writer.
	partitionsCreated uint64
	// knownMembers is the membership that owned was computed from.
	knownMembers []wagmember.Member
	owned        [PartitionCount]bool
	// preparedServices are the services whose partitions are taken over together
	// with the lease, before the first request. Those of other services are taken
	// over on demand.
	preparedServices []string
	// removedStats holds the counters of removed service partitions.
	removedStats wagclaim.Stats
}

// leasedPartition is one partition of the keys of all services, and its lease.
type leasedPartition struct {
	number   int
	leaseKey string
	holder   *waglease.Holder
	wanted   bool
	// leaseDeadline is the deadline of the lease that the service partitions
	// know, zero if they have none.
	leaseDeadline time.Time
	// releaseBy is the latest time of a planned release, zero if none is planned.
	// flushedAt is when the latest outcomes should be in the store.
	releaseBy, flushedAt time.Time
	servicePartitions    map[string]*servicePartition
}

// servicePartition is the partition of one service.
type servicePartition struct {
	leased    *leasedPartition
	partition *wagclaim.Partition
	// inFlight counts the dispatched requests that have not ended.
	inFlight int
	// waiting holds the attempts that wait until the partition is taken over.
	waiting []*attempt
}

// attempt is an attempt at a keyed request that waits for a decision.
type attempt struct {
	submit    wagclaim.Submit
	partition *servicePartition
	// takeoverDeadline is when the attempt stops waiting for the partition to be
	// taken over.
	takeoverDeadline time.Time
	// timeoutResponse is the response to the attempt at that time.
	timeoutResponse wagclaim.Response
	// decision is buffered for one Dispatch or Response.
	decision chan wagclaim.Command
}

// Option configures a new Claims.
type Option func(*Claims)

// WithClock replaces the system clock.
func WithClock(k wagclock.Clock) Option { return func(c *Claims) { c.clock = k } }

// WithSecrets sets the secrets that sign issued keys. Without secrets, no keys
// are issued.
func WithSecrets(secrets []string) Option {
	return func(c *Claims) {
		for _, s := range secrets {
			c.secrets = append(c.secrets, []byte(s))
		}
	}
}

// WithEvents sets the recorder of events.
func WithEvents(r wagevent.Recorder) Option { return func(c *Claims) { c.events = r } }

// WithLeaseTerm sets the term of the leases of the partitions.
func WithLeaseTerm(d time.Duration) Option { return func(c *Claims) { c.term = d } }

// New returns the Claims of one start of a host.
func New(self wagmember.Member, members wagentry.Membership, store wagstore.Store, opts ...Option) *Claims {
	c := &Claims{
		self: self, members: members, store: store, clock: wagclock.System{}, term: leaseTerm, events: wagevent.Discard{},
		ctx: context.Background(), attempts: make(map[uint64]*attempt),
	}
	for _, o := range opts {
		o(c)
	}
	c.tasks.SetLimit(maxStoreTasks)
	for n := range c.partitions {
		c.partitions[n] = &leasedPartition{
			number: n, leaseKey: LeaseKeyPrefix + strconv.Itoa(n), servicePartitions: make(map[string]*servicePartition),
			holder: waglease.NewHolder(self.Name, self.Incarnation, c.term, waglease.WithJitter(rand.Float64)),
		}
	}
	if len(c.secrets) > 0 {
		c.issuer = wagclaim.NewIssuer(c.incarnation(), c.secrets, issuedKeyLifetime, maxUsedKeys)
	}
	return c
}

// incarnation returns the text that identifies this start of the host in issued
// keys.
func (c *Claims) incarnation() string {
	return strconv.FormatUint(c.self.Incarnation, 10)
}

// SetServices sets the services with keyed routes. Their partitions are taken
// over together with the leases. That way a new key is refused as not run during
// a store outage, and the first request after a takeover does not wait.
func (c *Claims) SetServices(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preparedServices = names[:min(len(names), maxPreparedServices)]
	for _, lp := range c.partitions {
		c.createPartitions(lp)
	}
}

// createPartitions creates the partitions of the prepared services if the lease
// is held; c.mu is held.
func (c *Claims) createPartitions(lp *leasedPartition) {
	if lp.leaseDeadline.IsZero() {
		return
	}
	for _, name := range c.preparedServices {
		c.servicePartition(name, lp.number)
	}
}

// Run runs the leases and partitions until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	for ctx.Err() == nil {
		c.tick()
		wagclock.Wait(ctx, c.clock, c.clock.Now().Add(tickInterval))
	}
	return c.tasks.Wait()
}

// tick updates the owners of the partitions, and does what is due for leases and
// partitions.
func (c *Claims) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	members := c.members.Members(now)
	if !isSameSlice(members, c.knownMembers) {
		// Choosing the owners costs 16 hashes per member.
		c.knownMembers = members
		for n := range c.owned {
			c.owned[n] = c.owns(members, n)
		}
	}
	for n, lp := range c.partitions {
		c.tickLease(now, lp, c.owned[n])
		for name, sp := range lp.servicePartitions {
			c.tickPartition(now, sp)
			if !lp.wanted && lp.leaseDeadline.IsZero() && sp.inFlight == 0 && len(sp.waiting) == 0 {
				delete(lp.servicePartitions, name)
				c.removedStats = addStats(c.removedStats, sp.partition.Stats())
				c.removedStats.Remembered = 0
			}
		}
	}
}

// isSameSlice reports whether a and b are the same slice, whose elements do not
// change.
func isSameSlice(a, b []wagmember.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// tickPartition passes a tick that is due to a partition, and ends the attempts
// that have waited too long for its takeover.
func (c *Claims) tickPartition(now time.Time, sp *servicePartition) {
	if at := sp.partition.NextWake(); !at.IsZero() && !now.Before(at) {
		c.step(sp, wagclaim.Tick{})
	}
	rest := sp.waiting[:0]
	for _, a := range sp.waiting {
		if now.Before(a.takeoverDeadline) {
			rest = append(rest, a)
			continue
		}
		c.decide(a, a.timeoutResponse)
	}
	sp.waiting = rest
}

// Stats returns the sum of the counters of all partitions of this host.
func (c *Claims) Stats() wagclaim.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.removedStats
	for _, lp := range c.partitions {
		for _, sp := range lp.servicePartitions {
			sum = addStats(sum, sp.partition.Stats())
		}
	}
	return sum
}

// addStats returns the sum of two sets of counters.
func addStats(a, b wagclaim.Stats) wagclaim.Stats {
	a.Claims += b.Claims
	a.Writes += b.Writes
	a.Loads += b.Loads
	a.Dispatches += b.Dispatches
	a.Refused += b.Refused
	a.MalformedObjects += b.MalformedObjects
	a.Remembered += b.Remembered
	return a
}
