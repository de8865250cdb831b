package wagretry

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// Guards against more extra attempts than the share of first attempts allows.
func TestBudgetShare(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	extra := 0
	for range 1000 {
		key := BudgetKey{Service: "lots", Caller: "a"}
		b.AddFirstAttempt(key, 0.125)
		if b.TakeToken(key) {
			extra++
		}
	}
	is.Equal(extra, 125+initialTokens)
}

// Guards against memory that grows with the number of callers, and against a
// caller that evades the budget of the service by changing its name.
func TestBudgetManyCallers(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	extra := 0
	for i := range 5 * maxCallersPerGeneration {
		key := BudgetKey{Service: "lots", Caller: strconv.Itoa(i)}
		b.AddFirstAttempt(key, 0)
		if b.TakeToken(key) {
			extra++
		}
	}
	is.Equal(extra, initialTokens)
	is.True(len(b.current)+len(b.previous) <= 2*maxCallersPerGeneration)
	b.RetainServices(func(string) bool { return false })
	is.Equal(len(b.services), 0)
}

// Guards against retries of requests that must not run twice, and against
// attempts that multiply when several hosts along a path retry.
func TestMayRetry(t *testing.T) {
	first, retried := Attempts{Count: 1}, Attempts{Count: 2, Retried: true}
	tests := []struct {
		name    string
		attempt LastAttempt
		want    bool
	}{
		{"not run", LastAttempt{Outcome: wagoutcome.NotRun, Sent: first, MaxAttempts: 3}, true},
		{"unknown", LastAttempt{Outcome: wagoutcome.Unknown, Sent: first, MaxAttempts: 3}, false},
		{"unknown, repeatable", LastAttempt{Outcome: wagoutcome.Unknown, Repeatable: true, Sent: first, MaxAttempts: 3}, true},
		{"bad status", LastAttempt{Outcome: wagoutcome.Done, BadStatus: true, Sent: first, MaxAttempts: 3}, false},
		{"bad status, repeatable", LastAttempt{Outcome: wagoutcome.Done, BadStatus: true, Repeatable: true, Sent: first, MaxAttempts: 3}, true},
		{"good status, repeatable", LastAttempt{Outcome: wagoutcome.Done, Repeatable: true, Sent: first, MaxAttempts: 3}, false},
		{"no attempts left after sending", LastAttempt{Outcome: wagoutcome.NotRun, Sent: Attempts{Count: 3}, MaxAttempts: 3}, false},
		{"no attempts left according to the response", LastAttempt{Outcome: wagoutcome.NotRun, Sent: first, Reported: Attempts{Count: 3}, MaxAttempts: 3}, false},
		{"retried further along the path", LastAttempt{Outcome: wagoutcome.NotRun, Repeatable: true, Sent: first, Reported: retried, MaxAttempts: 3}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(tt.attempt.MayRetry(), tt.want) })
	}
}

// Guards against attempt headers from outside that parse to counts out of range
// or that change when they are passed on.
func FuzzParseAttempts(f *testing.F) {
	for _, s := range []string{"", "1", "2; retried", "-1", "99999", "1;x", "retried"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		attempts := ParseAttempts(text)
		is.True(attempts.Count >= 1 && attempts.Count <= maxAttempts)
		is.Equal(ParseAttempts(attempts.String()), attempts)
	})
}

// Guards against hedges before a window of service times is full, and against
// hedges at another time than the quantile.
func TestHedgeTime(t *testing.T) {
	is := is.New(t)
	times, sentAt := NewServiceTimes(), time.Unix(1000, 0)
	_, ok := times.HedgeTime(sentAt, 0.9)
	is.True(!ok)
	for i := range windowSize {
		times.Observe(time.Duration(i+1) * time.Millisecond)
	}
	at, ok := times.HedgeTime(sentAt, 0.9)
	is.True(ok)
	is.True(at.Sub(sentAt) > 880*time.Millisecond && at.Sub(sentAt) < 920*time.Millisecond)
}
