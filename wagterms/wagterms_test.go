package wagterms

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
)

var epoch = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

var keys = Keys{{ID: "k2", Secret: []byte("two")}, {ID: "k1", Secret: []byte("one")}}

func terms() Terms {
	return Terms{Service: "orders", Epoch: 5, Terms: wagdocument.Terms{
		Rate: 100, Burst: 10, Growth: 2, MaxRate: 300, MaxBurst: 30,
		Lifetime: time.Hour, MaxLifetime: 3 * time.Hour, MaxPlace: 2,
	}}
}

// Guards against terms that differ between hosts or grow beyond the document.
func TestRenewalIsPureAndBounded(t *testing.T) {
	is := is.New(t)
	d := terms()
	_, text, err := d.EvaluateToken(epoch, keys, "c", "")
	is.NoErr(err)
	now := epoch
	for generation := range 6 {
		g, next, err := d.EvaluateToken(now, keys, "c", text)
		is.NoErr(err)
		is.Equal(next, "")
		is.Equal(g, d.Grant(generation))
		k, err := keys.Parse(text)
		is.NoErr(err)
		_, early, _ := d.EvaluateToken(time.UnixMilli(k.Renewable), keys, "c", text)
		_, late, _ := d.EvaluateToken(time.UnixMilli(k.Expires-1), keys, "c", text)
		is.Equal(early, late)
		is.True(early != "")
		now, text = time.UnixMilli(k.Expires-1), early
	}
	is.Equal(d.Grant(50), Grant{Rate: 300, Burst: 30, Place: 2})
	k, _ := keys.Parse(text)
	is.Equal(k.Expires, epoch.Add((1+2+3+3+3+3+3)*time.Hour).UnixMilli())
}

// Guards against tokens that survive a reset, a deletion or their expiry.
func TestTokensAreRefused(t *testing.T) {
	is := is.New(t)
	d := terms()
	k := d.FirstToken(epoch, "c")
	check := func(now time.Time, change func(*Terms)) error {
		changed := terms()
		change(&changed)
		return changed.CheckToken(now, "c", k)
	}
	is.NoErr(check(epoch, func(*Terms) {}))
	is.True(errors.Is(check(epoch, func(d *Terms) { d.Epoch++ }), ErrReset))
	is.NoErr(check(epoch, func(d *Terms) { d.ResetBefore = epoch.Add(-time.Second) }))
	is.True(errors.Is(check(epoch, func(d *Terms) { d.ResetBefore = epoch.Add(time.Second) }), ErrReset))
	is.NoErr(check(epoch, func(d *Terms) { d.ResetBefore, d.ResetCallers = epoch.Add(time.Second), []string{"x"} }))
	is.True(errors.Is(check(epoch.Add(time.Hour), func(*Terms) {}), ErrExpired))
	is.True(errors.Is(check(epoch.Add(-time.Second), func(*Terms) {}), ErrInFuture))
	is.True(errors.Is(d.CheckToken(epoch, "x", k), ErrMismatch))
}

// Guards against a rotation that drops the tokens of the old key.
func TestOldKeyVerifies(t *testing.T) {
	is := is.New(t)
	k := terms().FirstToken(epoch, "c")
	got, err := keys.Parse(keys[1:].Sign(k))
	is.NoErr(err)
	is.Equal(got, k)
	_, err = keys[:1].Parse(keys[1:].Sign(k))
	is.True(errors.Is(err, ErrSignature))
}

// Guards against a caller that gains calls from new tokens, better terms or by
// being forgotten.
func TestLimiterIsNotRefilled(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(8)
	g := Grant{Rate: 2, Burst: 8}
	allowed := func(now time.Time, caller string, g Grant) (n int) {
		for l.Allow(now, caller, g, 2) {
			n++
		}
		return n
	}
	is.Equal(allowed(epoch, "c", g), 4)
	is.Equal(allowed(epoch, "c", Grant{Rate: 20, Burst: 80}), 0)
	for n := range 100 {
		l.Allow(epoch, fmt.Sprint(n), g, 2)
	}
	is.Equal(l.TrackedCallers(), 8)
	is.Equal(allowed(epoch, "c", g), 0)
	is.Equal(allowed(epoch.Add(time.Hour), "c", g), 4)
}

func FuzzParse(f *testing.F) {
	f.Add(keys.Sign(terms().FirstToken(epoch, "c")))
	f.Add("t1.k1.e30.x")
	f.Add("t1...")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := keys.Parse(text)
		if err == nil && keys.Sign(k) != text && keys[1:].Sign(k) != text {
			t.Fatalf("%q was accepted but not signed", text)
		}
	})
}

func BenchmarkPresent(b *testing.B) {
	d := terms()
	text := keys.Sign(d.FirstToken(epoch, "c"))
	b.ReportAllocs()
	for range b.N {
		if _, _, err := d.EvaluateToken(epoch, keys, "c", text); err != nil {
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
		l.Allow(epoch.Add(time.Duration(n)), "c", g, 16)
	}
}
