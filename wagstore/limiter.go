package wagstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// breakerFailures is the number of failures in a row that open the circuit breaker.
	breakerFailures = 5
	// minOpenDelay is the least time for which an open circuit breaker rejects all
	// requests.
	minOpenDelay = time.Second
	// maxOpenDelay bounds the part of that time that grows by exponential backoff, so
	// that a host notices the end of a long outage within about ten seconds plus the
	// random part.
	maxOpenDelay = 8 * time.Second
	// burstSeconds is the share of a second whose requests may be sent at once after
	// an idle period, so that all hosts together exceed the rate by at most this
	// share.
	burstSeconds = 0.25
	// leaseSlots bounds the lease requests in flight. They share no slots with other
	// requests, so that slow reads cannot delay a renewal.
	leaseSlots = 4
	// watchSlots bounds the watches in flight, which occupy a slot for long.
	watchSlots = 16
)

// errHeldBack means that a request was not sent because of the limits of this host.
var errHeldBack = errors.New("call held back")

// requestClass selects the limits that apply to a request.
type requestClass int

const (
	classNormal requestClass = iota
	classLease
	classWatch
)

// requestLimiter applies the rate limit, the concurrency limits and the circuit breaker
// of one host.
type requestLimiter struct {
	clock       wagclock.Clock
	totalRate   float64
	rateLimiter *rate.Limiter
	breaker     *gobreaker.CircuitBreaker[*response]
	slots       map[requestClass]chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	hosts  int
	// openUntil is when an open circuit breaker may let the next request through.
	openUntil  time.Time
	openDelays *backoff.ExponentialBackOff
	// spreadReconnects adds a random part to the time that the circuit breaker is
	// open. Only the test that shows the need for it turns it off.
	spreadReconnects bool
}

func newRequestLimiter(clock wagclock.Clock, total float64, concurrency int, random *rand.Rand) *requestLimiter {
	l := &requestLimiter{clock: clock, totalRate: total, random: random, hosts: 1, spreadReconnects: true}
	l.rateLimiter = rate.NewLimiter(0, 1)
	l.slots = map[requestClass]chan struct{}{
		classNormal: make(chan struct{}, concurrency),
		classLease:  make(chan struct{}, leaseSlots),
		classWatch:  make(chan struct{}, watchSlots),
	}
	l.openDelays = newBackOff(minOpenDelay, maxOpenDelay)
	l.breaker = gobreaker.NewCircuitBreaker[*response](gobreaker.Settings{
		MaxRequests:   1,
		Timeout:       minOpenDelay,
		ReadyToTrip:   func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailures },
		IsExcluded:    func(err error) bool { return errors.Is(err, context.Canceled) },
		OnStateChange: l.onStateChange,
	})
	l.setLiveHosts(1)
	return l
}

// newBackOff returns an exponential backoff without jitter. Callers add jitter from
// a source that can be seeded.
func newBackOff(minDelay, maxDelay time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier, b.RandomizationFactor = minDelay, maxDelay, 2, 0
	return b
}

// setLiveHosts sets this host's share of the rate: the total divided by the number of
// live hosts.
func (l *requestLimiter) setLiveHosts(hosts int) {
	hosts = max(hosts, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
	share := l.totalRate / float64(hosts)
	now := l.clock.Now()
	l.rateLimiter.SetLimitAt(now, rate.Limit(share))
	l.rateLimiter.SetBurstAt(now, max(1, int(share*burstSeconds)))
}

// onStateChange sets how long a circuit breaker that opens stays open. All hosts see
// the end of an outage at the same time. The random part of the delay is up to the
// time that the rate needs for one request of every host, so that their first
// requests together do not exceed the rate.
func (l *requestLimiter) onStateChange(_ string, _, to gobreaker.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch to {
	case gobreaker.StateOpen:
		delay := l.openDelays.NextBackOff()
		if l.spreadReconnects {
			spread := time.Duration(float64(l.hosts) / l.totalRate * float64(time.Second))
			delay += time.Duration(l.random.Float64() * float64(max(spread, minOpenDelay)))
		}
		l.openUntil = l.clock.Now().Add(delay)
	case gobreaker.StateClosed:
		l.openDelays.Reset()
	case gobreaker.StateHalfOpen:
	}
}

// jitter returns a random duration between half of d and d.
func (l *requestLimiter) jitter(d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return d/2 + time.Duration(l.random.Float64()*float64(d/2))
}

// do sends a request within the limits. It returns errHeldBack when nothing was sent.
func (l *requestLimiter) do(ctx context.Context, class requestClass, send func() (*response, error)) (*response, error) {
	if err := l.checkOpen(); err != nil {
		return nil, err
	}
	slots := l.slots[class]
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.WithMessage(errHeldBack, "all calls in flight: "+ctx.Err().Error())
	}
	defer func() { <-slots }()
	if err := l.waitForRate(ctx, class); err != nil {
		return nil, err
	}
	if err := l.checkOpen(); err != nil {
		return nil, err
	}
	resp, err := l.breaker.Execute(send)
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return nil, errors.WithMessage(errHeldBack, err.Error())
	}
	return resp, err
}

// checkOpen returns an error while the circuit breaker has to stay open.
func (l *requestLimiter) checkOpen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock.Now().Before(l.openUntil) {
		return errors.WithMessage(errHeldBack, "circuit breaker is open")
	}
	return nil
}

// waitForRate waits until the rate limit permits a request. Lease requests reserve
// the next token; others only take a token that is available and so come after all
// lease requests.
func (l *requestLimiter) waitForRate(ctx context.Context, class requestClass) error {
	now := l.clock.Now()
	if class == classLease {
		return waitUntil(ctx, l.clock, now.Add(l.rateLimiter.ReserveN(now, 1).DelayFrom(now)))
	}
	for !l.rateLimiter.AllowN(now, 1) {
		missing := 1 - l.rateLimiter.TokensAt(now)
		delay := time.Duration(missing / float64(l.rateLimiter.Limit()) * float64(time.Second))
		if err := waitUntil(ctx, l.clock, now.Add(max(delay, time.Millisecond))); err != nil {
			return err
		}
		now = l.clock.Now()
	}
	return nil
}

// waitUntil waits for a point in time. It returns errHeldBack when ctx ends before.
func waitUntil(ctx context.Context, clock wagclock.Clock, deadline time.Time) error {
	if !wagclock.Wait(ctx, clock, deadline) {
		return errors.WithMessage(errHeldBack, "rate of this host: "+ctx.Err().Error())
	}
	return nil
}
