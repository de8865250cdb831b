package wagterms

import (
	"container/list"
	"math"
	"time"
)

// maxEvictionCandidates is how many of the least recently seen callers are
// examined to make room for a new one.
const maxEvictionCandidates = 4

// Limiter limits the rate of each caller at one host. Buckets belong to callers
// and not to tokens: a new token changes rate and burst, but does not refill the
// bucket.
type Limiter struct {
	// maxCallers limits the callers that are tracked.
	maxCallers int
	buckets    map[string]*list.Element
	// byLastUse orders the buckets by their last use, the oldest first.
	byLastUse *list.List
	// overflow is the shared bucket of all callers for which there is no room.
	overflow bucket
}

// bucket is the token bucket of a caller.
type bucket struct {
	caller string
	// level is how many requests are allowed now. It is at most burst.
	level, rate, burst float64
	// updatedAt is when level was computed.
	updatedAt time.Time
}

// NewLimiter returns a limiter that tracks up to size callers.
func NewLimiter(size int) *Limiter {
	return &Limiter{maxCallers: size, buckets: make(map[string]*list.Element), byLastUse: list.New()}
}

// Allow reports whether a caller may send one more request, and counts the
// request if so. The limit is the caller's rate and burst divided by the number
// of live hosts, with a burst of at least one.
func (l *Limiter) Allow(now time.Time, caller string, g Grant, liveHosts int) bool {
	hosts := float64(max(liveHosts, 1))
	rate, burst := g.Rate/hosts, math.Max(g.Burst/hosts, 1)
	return l.bucket(now, caller, burst).take(now, rate, burst)
}

// TrackedCallers returns the number of callers that are tracked.
func (l *Limiter) TrackedCallers() int {
	return len(l.buckets)
}

// bucket returns the bucket of a caller. It creates the bucket if there is room
// for it.
func (l *Limiter) bucket(now time.Time, caller string, burst float64) *bucket {
	if e, ok := l.buckets[caller]; ok {
		l.byLastUse.MoveToBack(e)
		return e.Value.(*bucket)
	}
	if len(l.buckets) >= l.maxCallers && !l.evict(now) {
		return &l.overflow
	}
	b := &bucket{caller: caller, level: burst, burst: burst, updatedAt: now}
	l.buckets[caller] = l.byLastUse.PushBack(b)
	return b
}

// evict removes a caller whose bucket is full. If that caller returns with the
// same terms, its new bucket is full as well, so it gains nothing. evict reports
// whether it found such a caller.
func (l *Limiter) evict(now time.Time) bool {
	e := l.byLastUse.Front()
	for n := 0; n < maxEvictionCandidates && e != nil; n++ {
		b := e.Value.(*bucket)
		b.refill(now)
		if b.level >= b.burst {
			l.byLastUse.Remove(e)
			delete(l.buckets, b.caller)
			return true
		}
		e = e.Next()
	}
	return false
}

// refill adds what has accrued since the last update.
func (b *bucket) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		b.level = b.burst
		b.updatedAt = now
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.level = math.Min(b.level+elapsed.Seconds()*b.rate, b.burst)
		b.updatedAt = now
	}
}

// take sets rate and burst, and takes one request from the bucket if its level
// allows it.
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
