package wagterms

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

var testTime = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

var keys = Keys{{ID: "k2", Secret: []byte("two")}, {ID: "k1", Secret: []byte("one")}}

func testTerms() Terms {
	return Terms{Service: "orders", Epoch: 5, Terms: wagdocument.Terms{
		Rate: 100, Burst: 10, Growth: 2, MaxRate: 300, MaxBurst: 30,
		Lifetime: time.Hour, MaxLifetime: 3 * time.Hour, MaxPlace: 2,
	}}
}

// Guards against terms that differ between hosts or grow beyond the limits of the
// document.
func TestRenewalIsDeterministicAndBounded(t *testing.T) {
	is := is.New(t)
	d := testTerms()
	_, text, err := d.EvaluateToken(testTime, keys, "c", "")
	is.NoErr(err)
	now := testTime
	for generation := range 6 {
		g, next, err := d.EvaluateToken(now, keys, "c", text)
		is.NoErr(err)
		is.Equal(next, "")
		is.Equal(g, d.Grant(generation))
		token, err := keys.Parse(text)
		is.NoErr(err)
		_, early, _ := d.EvaluateToken(time.UnixMilli(token.Renewable), keys, "c", text)
		_, late, _ := d.EvaluateToken(time.UnixMilli(token.Expires-1), keys, "c", text)
		is.Equal(early, late)
		is.True(early != "")
		now, text = time.UnixMilli(token.Expires-1), early
	}
	is.Equal(d.Grant(50), Grant{Rate: 300, Burst: 30, Place: 2})
	token, _ := keys.Parse(text)
	is.Equal(token.Expires, testTime.Add((1+2+3+3+3+3+3)*time.Hour).UnixMilli())
}

// Guards against tokens that are still valid after a reset, a deletion of the
// document or their expiry.
func TestTokensAreRefused(t *testing.T) {
	is := is.New(t)
	d := testTerms()
	token := d.FirstToken(testTime, "c")
	check := func(now time.Time, change func(*Terms)) error {
		changed := testTerms()
		change(&changed)
		return changed.CheckToken(now, "c", token)
	}
	is.NoErr(check(testTime, func(*Terms) {}))
	is.True(errors.Is(check(testTime, func(d *Terms) { d.Epoch++ }), ErrReset))
	is.NoErr(check(testTime, func(d *Terms) { d.ResetBefore = testTime.Add(-time.Second) }))
	is.True(errors.Is(check(testTime, func(d *Terms) { d.ResetBefore = testTime.Add(time.Second) }), ErrReset))
	is.NoErr(check(testTime, func(d *Terms) { d.ResetBefore, d.ResetCallers = testTime.Add(time.Second), []string{"x"} }))
	is.True(errors.Is(check(testTime.Add(time.Hour), func(*Terms) {}), ErrExpired))
	is.True(errors.Is(check(testTime.Add(-time.Second), func(*Terms) {}), ErrInFuture))
	is.True(errors.Is(d.CheckToken(testTime, "x", token), ErrMismatch))
}

// Guards against a key rotation that invalidates the tokens of the old key.
func TestOldKeyVerifies(t *testing.T) {
	is := is.New(t)
	token := testTerms().FirstToken(testTime, "c")
	got, err := keys.Parse(keys[1:].Sign(token))
	is.NoErr(err)
	is.Equal(got, token)
	_, err = keys[:1].Parse(keys[1:].Sign(token))
	is.True(errors.Is(err, ErrSignature))
}

// Guards against a caller that may send more requests because of new tokens,
// better terms or the eviction of its bucket.
func TestLimiterIsNotRefilledByTokens(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(8)
	g := Grant{Rate: 2, Burst: 8}
	allowed := func(now time.Time, caller string, g Grant) (n int) {
		for l.Allow(now, caller, g, 2) {
			n++
		}
		return n
	}
	is.Equal(allowed(testTime, "c", g), 4)
	is.Equal(allowed(testTime, "c", Grant{Rate: 20, Burst: 80}), 0)
	for n := range 100 {
		l.Allow(testTime, fmt.Sprint(n), g, 2)
	}
	is.Equal(l.TrackedCallers(), 8)
	is.Equal(allowed(testTime, "c", g), 0)
	is.Equal(allowed(testTime.Add(time.Hour), "c", g), 4)
}

// Guards against texts that are accepted although no key signed them.
func FuzzParse(f *testing.F) {
	f.Add(keys.Sign(testTerms().FirstToken(testTime, "c")))
	f.Add("t1.k1.e30.x")
	f.Add("t1...")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := keys.Parse(text)
		if err == nil && keys.Sign(token) != text && keys[1:].Sign(token) != text {
			t.Fatalf("%q was accepted but not signed", text)
		}
	})
}

func BenchmarkPresent(b *testing.B) {
	d := testTerms()
	text := keys.Sign(d.FirstToken(testTime, "c"))
	b.ReportAllocs()
	for range b.N {
		if _, _, err := d.EvaluateToken(testTime, keys, "c", text); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(text)), "B/token")
}

func BenchmarkAllow(b *testing.B) {
	l := NewLimiter(1000)
	g := Grant{Rate: 1e9, Burst: 1e9}
	b.ReportAllocs()
	for n := range b.N {
		l.Allow(testTime.Add(time.Duration(n)), "c", g, 16)
	}
}
