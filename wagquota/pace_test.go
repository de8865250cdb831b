package wagquota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load: a customer that sends ten times its limit. Guards against refused requests that are
// all told to return with the next token, where they take the tokens of new requests and
// are refused again.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p pace
	for range 100 {
		p.recordAdmission(now)
		now = now.Add(50 * time.Millisecond) // 20 a second
	}
	from := now.Add(10 * time.Millisecond)
	first := p.next(now, from, 1)
	is.True(first.Equal(from)) // credit is expected then
	last := first
	for range 19 {
		at := p.next(now, from, 1)
		is.True(at.After(last))
		last = at
	}
	spread := last.Sub(first)
	is.True(spread > 800*time.Millisecond && spread < 1200*time.Millisecond) // 19 returns at 20 a second
	for range 1000 {
		last = p.next(now, from, 1)
	}
	is.Equal(last.Sub(now), maxReturnTime)
}

// Guards against returns that are spread by what was refused before credit was there again.
func TestReturnsBeginAnew(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p pace
	p.next(now, now.Add(time.Second), 10)
	later := now.Add(time.Minute)
	is.True(p.next(later, later.Add(time.Millisecond), 10).Equal(later.Add(time.Millisecond)))
}
