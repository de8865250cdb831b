package wagterms

import (
	"container/list"
	"math"
	"time"
)

// evictLook is how many of the callers that were idle longest are looked at to
// make room for a new one.
const evictLook = 4

// Limiter bounds the rate of each caller at one host. Buckets belong to callers
// and not to tokens: a new token changes rate and burst but adds no calls.
type Limiter struct {
	// size bounds the callers that are tracked.
	size    int
	buckets map[string]*list.Element
	// idle orders the buckets, the longest idle one first.
	idle *list.List
	// rest is shared by all callers for which there is no room.
	rest bucket
}

type bucket struct {
	caller string
	// level is at most burst.
	level, rate, burst float64
	// at is when level was computed.
	at time.Time
}

// NewLimiter returns a limiter that tracks up to size callers.
func NewLimiter(size int) *Limiter {
	return &Limiter{size: size, buckets: make(map[string]*list.Element), idle: list.New()}
}

// Allow takes one call of a caller if its share of the terms at this host, one
// part in liveHosts, allows it. The share is at least one call at once.
func (l *Limiter) Allow(now time.Time, caller string, g Grant, liveHosts int) bool {
	hosts := float64(max(liveHosts, 1))
	rate, burst := g.Rate/hosts, math.Max(g.Burst/hosts, 1)
	return l.bucket(now, caller, burst).take(now, rate, burst)
}

// TrackedCallers returns the number of callers that are tracked.
func (l *Limiter) TrackedCallers() int {
	return len(l.buckets)
}

func (l *Limiter) bucket(now time.Time, caller string, burst float64) *bucket {
	if e, ok := l.buckets[caller]; ok {
		l.idle.MoveToBack(e)
		return e.Value.(*bucket)
	}
	if len(l.buckets) >= l.size && !l.evict(now) {
		return &l.rest
	}
	b := &bucket{caller: caller, level: burst, burst: burst, at: now}
	l.buckets[caller] = l.idle.PushBack(b)
	return b
}

// evict removes a caller whose bucket is full: it comes back with the same
// level, so that being forgotten gains nothing.
func (l *Limiter) evict(now time.Time) bool {
	e := l.idle.Front()
	for n := 0; n < evictLook && e != nil; n++ {
		b := e.Value.(*bucket)
		b.refill(now)
		if b.level >= b.burst {
			l.idle.Remove(e)
			delete(l.buckets, b.caller)
			return true
		}
		e = e.Next()
	}
	return false
}

func (b *bucket) refill(now time.Time) {
	if b.at.IsZero() {
		b.level = b.burst
		b.at = now
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = math.Min(b.level+elapsed.Seconds()*b.rate, b.burst)
		b.at = now
	}
}

func (b *bucket) take(now time.Time, rate, burst float64) bool {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = math.Min(b.level, burst)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
