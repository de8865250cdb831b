// Package wagkeyed claims keyed work for an entry host: it drives the partitions
// of wagclaim and their leases with the store.
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
	// PartitionCount is the number of partitions of the keys of every service. One
	// lease serves a partition of all services, so that the leases of a site
	// cost about 16 writes in half a term, however many services there are.
	PartitionCount = 16
	// LeaseKeyPrefix is the beginning of the names of the partitions' leases in the store.
	LeaseKeyPrefix = "leases/claims/"
	// leaseTerm bounds how long the keys of a lost owner have no owner. A keyed
	// call has to end inside the lease, of which at least half a term less
	// wagclock.Bound is left: 4.75 s.
	leaseTerm = 10 * time.Second
	// tickTime is how often the cores are asked whether something is due.
	tickTime = 25 * time.Millisecond
	// acquireTime is how long an attempt waits for a partition that this host
	// has not taken over yet.
	acquireTime = 2 * time.Second
	// outcomeWait lets outcomes be written with the next claims. At a few claims
	// a second a partition, 50 ms cost a write for nearly every outcome.
	outcomeWait = 500 * time.Millisecond
	// settleTime lets the last outcomes reach the store before a planned
	// release. An outcome that does not is unknown at the next owner.
	settleTime = time.Second
	// releaseTime bounds how long a planned release waits for calls in flight.
	releaseTime = 2 * time.Second
	// maxPrepared bounds the services whose partitions are taken over before the
	// first call; each costs a read and a write per partition.
	maxPrepared = 64
	// maxTasks bounds the calls to the store that are under way.
	maxTasks = 256
	// keyLifetime is how long an issued key may be used.
	keyLifetime = time.Hour
	// maxIssued bounds the used issued keys that are remembered.
	maxIssued = 1 << 16
)

var _ wagentry.Claims = (*Claims)(nil)

// Claims claims the keyed work of one entry host.
type Claims struct {
	self    wagmember.Member
	members wagentry.Membership
	store   wagstore.Store
	clock   wagclock.Clock
	// secrets is empty when no keys are issued; issuer is nil then.
	secrets wagclaim.Secrets
	issuer  *wagclaim.Issuer
	events  wagevent.Recorder
	term    time.Duration
	tasks   errgroup.Group

	// mu guards the cores and what follows.
	mu    sync.Mutex
	ctx   context.Context
	slots [PartitionCount]*slot
	// attempts holds those without a decision.
	attempts map[uint64]*attempt
	last     uint64
	// made counts the cores, so that each has a writer of its own.
	made uint64
	// known is the membership that owned was computed from.
	known []wagmember.Member
	owned [PartitionCount]bool
	// services have their partitions taken over with the lease, before the first
	// call; the others on demand.
	services []string
	// past holds the counters of cores that are gone.
	past wagclaim.Stats
}

// slot is one partition of the keys of all services with its lease.
type slot struct {
	number int
	key    string
	holder *waglease.Holder
	wanted bool
	// deadline is that of the lease as the cores know it, zero without one.
	deadline time.Time
	// releaseBy and settled bound a planned release; see releaseDue.
	releaseBy, settled time.Time
	cores              map[string]*core
}

// core is the partition of one service.
type core struct {
	slot      *slot
	partition *wagclaim.Partition
	// running counts the dispatches that have not ended.
	running int
	// pending holds attempts that wait until the partition is taken over.
	pending []*attempt
}

// attempt is one attempt at a keyed call that waits for its decision.
type attempt struct {
	submit wagclaim.Submit
	core   *core
	// patience is when the attempt stops waiting for a take-over.
	patience time.Time
	// moved is what it is told then.
	moved wagclaim.Response
	// decided has room for one Dispatch or Answer.
	decided chan wagclaim.Command
}

// Option sets a property of Claims.
type Option func(*Claims)

// WithClock replaces the clock of the system.
func WithClock(k wagclock.Clock) Option { return func(c *Claims) { c.clock = k } }

// WithSecrets sets the keys that sign issued keys. Without them none are issued.
func WithSecrets(secrets []string) Option {
	return func(c *Claims) {
		for _, s := range secrets {
			c.secrets = append(c.secrets, []byte(s))
		}
	}
}

// WithEvents sets who takes the events of the time line.
func WithEvents(r wagevent.Recorder) Option { return func(c *Claims) { c.events = r } }

// WithLeaseTerm sets the term of the leases of partitions.
func WithLeaseTerm(d time.Duration) Option { return func(c *Claims) { c.term = d } }

// New returns the claims of one start of a host.
func New(self wagmember.Member, members wagentry.Membership, store wagstore.Store, opts ...Option) *Claims {
	c := &Claims{
		self: self, members: members, store: store, clock: wagclock.System{}, term: leaseTerm, events: wagevent.Discard{},
		ctx: context.Background(), attempts: make(map[uint64]*attempt),
	}
	for _, o := range opts {
		o(c)
	}
	c.tasks.SetLimit(maxTasks)
	for n := range c.slots {
		c.slots[n] = &slot{
			number: n, key: LeaseKeyPrefix + strconv.Itoa(n), cores: make(map[string]*core),
			holder: waglease.NewHolder(self.Name, self.Incarnation, c.term, waglease.WithJitter(rand.Float64)),
		}
	}
	if len(c.secrets) > 0 {
		c.issuer = wagclaim.NewIssuer(c.incarnation(), c.secrets, keyLifetime, maxIssued)
	}
	return c
}

// incarnation names this start of the host in issued keys.
func (c *Claims) incarnation() string {
	return strconv.FormatUint(c.self.Incarnation, 10)
}

// SetServices names the services with keyed work. Their partitions are taken
// over together with the leases, so that in an outage of the store a new key is
// told as not run, and the first call after a take-over does not wait.
func (c *Claims) SetServices(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = names[:min(len(names), maxPrepared)]
	for _, s := range c.slots {
		c.prepare(s)
	}
}

// prepare makes the cores of a slot whose lease is held; c.mu is held.
func (c *Claims) prepare(s *slot) {
	if s.deadline.IsZero() {
		return
	}
	for _, name := range c.services {
		c.core(name, s.number)
	}
}

// Run drives leases and partitions until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	for ctx.Err() == nil {
		c.tick()
		wagclock.Wait(ctx, c.clock, c.clock.Now().Add(tickTime))
	}
	return c.tasks.Wait()
}

func (c *Claims) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	members := c.members.Members(now)
	if !same(members, c.known) {
		// To choose the owners costs 16 hashes a member.
		c.known = members
		for n := range c.owned {
			c.owned[n] = c.owns(members, n)
		}
	}
	for n, s := range c.slots {
		c.tickLease(now, s, c.owned[n])
		for name, k := range s.cores {
			c.tickCore(now, k)
			if !s.wanted && s.deadline.IsZero() && k.running == 0 && len(k.pending) == 0 {
				delete(s.cores, name)
				c.past = added(c.past, k.partition.Stats())
				c.past.Remembered = 0
			}
		}
	}
}

// same tells whether two slices are one, which members do not change.
func same(a, b []wagmember.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func (c *Claims) tickCore(now time.Time, k *core) {
	if at := k.partition.NextWake(); !at.IsZero() && !now.Before(at) {
		c.step(k, wagclaim.Tick{})
	}
	rest := k.pending[:0]
	for _, a := range k.pending {
		if now.Before(a.patience) {
			rest = append(rest, a)
			continue
		}
		c.decide(a, a.moved)
	}
	k.pending = rest
}

// Stats adds the counters of all partitions of this host.
func (c *Claims) Stats() wagclaim.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.past
	for _, s := range c.slots {
		for _, k := range s.cores {
			sum = added(sum, k.partition.Stats())
		}
	}
	return sum
}

func added(a, b wagclaim.Stats) wagclaim.Stats {
	a.Claims += b.Claims
	a.Writes += b.Writes
	a.Loads += b.Loads
	a.Dispatches += b.Dispatches
	a.Refused += b.Refused
	a.MalformedObjects += b.MalformedObjects
	a.Remembered += b.Remembered
	return a
}
