package wagretry

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// Guards against extra attempts above the share of first attempts.
func TestBudgetShare(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	extra := 0
	for range 1000 {
		p := BudgetKey{Service: "lots", Caller: "a"}
		b.AddFirstAttempt(p, 0.125)
		if b.TakeToken(p) {
			extra++
		}
	}
	is.Equal(extra, 125+startTokens)
}

// Guards against callers filling the memory, and against one that avoids the
// budget of the service by changing its name.
func TestBudgetManyCallers(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	extra := 0
	for i := range 5 * maxCallers {
		p := BudgetKey{Service: "lots", Caller: strconv.Itoa(i)}
		b.AddFirstAttempt(p, 0)
		if b.TakeToken(p) {
			extra++
		}
	}
	is.Equal(extra, startTokens)
	is.True(len(b.young)+len(b.old) <= 2*maxCallers)
	b.RetainServices(func(string) bool { return false })
	is.Equal(len(b.services), 0)
}

// Guards against work that must not be repeated being repeated, and against
// attempts that multiply along a path.
func TestWorth(t *testing.T) {
	one, two := Attempts{Count: 1}, Attempts{Count: 2, Retried: true}
	tests := []struct {
		name string
		try  LastAttempt
		want bool
	}{
		{"not run", LastAttempt{Outcome: wagoutcome.NotRun, Sent: one, MaxAttempts: 3}, true},
		{"unknown", LastAttempt{Outcome: wagoutcome.Unknown, Sent: one, MaxAttempts: 3}, false},
		{"unknown, repeatable", LastAttempt{Outcome: wagoutcome.Unknown, Repeatable: true, Sent: one, MaxAttempts: 3}, true},
		{"bad answer", LastAttempt{Outcome: wagoutcome.Done, BadStatus: true, Sent: one, MaxAttempts: 3}, false},
		{"bad answer, repeatable", LastAttempt{Outcome: wagoutcome.Done, BadStatus: true, Repeatable: true, Sent: one, MaxAttempts: 3}, true},
		{"good answer, repeatable", LastAttempt{Outcome: wagoutcome.Done, Repeatable: true, Sent: one, MaxAttempts: 3}, false},
		{"most attempts made above", LastAttempt{Outcome: wagoutcome.NotRun, Sent: Attempts{Count: 3}, MaxAttempts: 3}, false},
		{"most attempts made below", LastAttempt{Outcome: wagoutcome.NotRun, Sent: one, Reported: Attempts{Count: 3}, MaxAttempts: 3}, false},
		{"retried below", LastAttempt{Outcome: wagoutcome.NotRun, Repeatable: true, Sent: one, Reported: two, MaxAttempts: 3}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(tt.try.MayRetry(), tt.want) })
	}
}

// Guards against markers from outside that are taken for more than they say.
func FuzzParseMarker(f *testing.F) {
	for _, s := range []string{"", "1", "2; retried", "-1", "99999", "1;x", "retried"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		m := ParseAttempts(text)
		is.True(m.Count >= 1 && m.Count <= maxAttempts)
		is.Equal(ParseAttempts(m.String()), m)
	})
}

// Guards against hedges before there are observations, or at a wrong time.
func TestHedgeAt(t *testing.T) {
	is := is.New(t)
	times, sent := NewServiceTimes(), time.Unix(1000, 0)
	_, ok := times.HedgeTime(sent, 0.9)
	is.True(!ok)
	for i := range windowSize {
		times.Observe(time.Duration(i+1) * time.Millisecond)
	}
	at, ok := times.HedgeTime(sent, 0.9)
	is.True(ok)
	is.True(at.Sub(sent) > 880*time.Millisecond && at.Sub(sent) < 920*time.Millisecond)
}
