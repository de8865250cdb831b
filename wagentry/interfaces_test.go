package wagentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// fixed decides all claims and terms alike.
type fixed struct {
	claim   ClaimResult
	granted Admission
}

var (
	_ Claims      = fixed{}
	_ CallerTerms = fixed{}
)

func (f fixed) KeyOwner(time.Time, KeyedRequest) KeyOwner { return LocalOwner{} }

func (f fixed) IssueKey(time.Time) (string, bool) { return "", false }

func (f fixed) Claim(context.Context, KeyedRequest) ClaimResult { return f.claim }

func (f fixed) Admit(time.Time, *wagdocument.Document, string, string) Admission { return f.granted }

// Guards against keyed work that runs without its claim, or whose outcome is
// not told to the claim, and against calls that the terms do not admit.
func TestClaimsAndTerms(t *testing.T) {
	finished := 0
	dispatch := func(until time.Time) ClaimResult {
		return Dispatch{StartBy: until, Finish: func(DispatchResult) { finished++ }}
	}
	tests := []struct {
		name            string
		f               fixed
		status          int
		outcome         string
		ran, finishedBy int
	}{
		{"dispatch", fixed{claim: dispatch(time.Now().Add(time.Minute))}, 200, "done", 1, 1},
		{"dispatch too late", fixed{claim: dispatch(time.Now())}, 503, "not-run", 0, 1},
		{"recorded", fixed{claim: RecordedResponse{Status: 201}}, 201, "done", 0, 0},
		{"denied", fixed{claim: Denied{Outcome: wagoutcome.Unknown, Reason: wagoutcome.ReasonForgotten}}, 502, "unknown", 0, 0},
		{"no decision", fixed{}, 503, "not-run", 0, 0},
		{"not admitted", fixed{granted: Admission{RefusedReason: wagoutcome.ReasonRateLimit, RenewedToken: "t", RetryAt: time.Now().Add(time.Hour)}}, 429, "not-run", 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			finished = 0
			s := newRawServer(t, write(ok))
			h := newHost(t, "a", "", servers(s.address), WithClaims(tt.f), WithCallerTerms(tt.f))
			resp, _, err := do(t, http.MethodPost, h.caller, "/lots/x", "body", wagoutcome.IdempotencyKeyHeader, "k")
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), tt.outcome)
			is.Equal(resp.Header.Get(wagoutcome.TermsHeader), tt.f.granted.RenewedToken)
			is.Equal(resp.Header.Get("Retry-After") != "", tt.status == http.StatusTooManyRequests)
			is.Equal(s.requests(), tt.ran)
			is.Equal(finished, tt.finishedBy)
		})
	}
}

// Guards against the first byte of keyed work that is written after its claim
// has ended, here or at the owner of the group, when the host was paused after
// the call got its slot.
func TestFirstWriteWithinTheClaim(t *testing.T) {
	owning, other := peers(t)
	for _, receiving := range []string{owning, other} {
		t.Run("received by "+receiving, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, write(ok))
			now := time.Now()
			var told []DispatchResult
			claims := fixed{claim: Dispatch{StartBy: now.Add(10 * time.Second), Finish: func(f DispatchResult) { told = append(told, f) }}}
			clock := wagclock.NewManual(now)
			own := newHost(t, owning, "", servers(s.address), WithClock(clock), WithClaims(claims))
			own.servers.open = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				clock.Advance(11 * time.Second)
				return dialTCP(ctx, to)
			}
			caller := own.caller
			if receiving == other {
				members := table{member(owning, "dc1", own.forward), member(other, "dc1", "127.0.0.1:1")}
				caller = newHost(t, other, "", servers(s.address), WithMembers(members), WithClaims(claims)).caller
			}
			resp, _, err := do(t, http.MethodPost, caller, "/lots/x", "body", wagoutcome.IdempotencyKeyHeader, "k")
			is.NoErr(err)
			is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "not-run")
			is.Equal(told, []DispatchResult{{Outcome: wagoutcome.NotRun}})
			is.Equal(s.requests(), 0)
		})
	}
}
