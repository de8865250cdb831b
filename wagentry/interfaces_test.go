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

// fixedDecisions returns the same results for all claims and all callers.
type fixedDecisions struct {
	claim     ClaimResult
	admission Admission
}

var (
	_ Claims      = fixedDecisions{}
	_ CallerTerms = fixedDecisions{}
)

func (f fixedDecisions) KeyOwner(time.Time, KeyedRequest) KeyOwner { return LocalOwner{} }

func (f fixedDecisions) IssueKey(time.Time) (string, bool) { return "", false }

func (f fixedDecisions) Claim(context.Context, KeyedRequest) ClaimResult { return f.claim }

func (f fixedDecisions) Admit(time.Time, *wagdocument.Document, string, string) Admission {
	return f.admission
}

// Guards against requests with a key that run without a claim or whose outcome is not
// reported to the claim, and against requests that run although the terms refuse them.
func TestClaimsAndTerms(t *testing.T) {
	finished := 0
	dispatch := func(startBy time.Time) ClaimResult {
		return Dispatch{StartBy: startBy, Finish: func(DispatchResult) { finished++ }}
	}
	tests := []struct {
		name                       string
		decisions                  fixedDecisions
		status                     int
		outcome                    string
		wantRequests, wantFinished int
	}{
		{"dispatch", fixedDecisions{claim: dispatch(time.Now().Add(time.Minute))}, 200, "done", 1, 1},
		{"dispatch too late", fixedDecisions{claim: dispatch(time.Now())}, 503, "not-run", 0, 1},
		{"recorded", fixedDecisions{claim: RecordedResponse{Status: 201}}, 201, "done", 0, 0},
		{"denied", fixedDecisions{claim: Denied{Outcome: wagoutcome.Unknown, Reason: wagoutcome.ReasonForgotten}}, 502, "unknown", 0, 0},
		{"no decision", fixedDecisions{}, 503, "not-run", 0, 0},
		{"not admitted", fixedDecisions{admission: Admission{RefusedReason: wagoutcome.ReasonRateLimit, RenewedToken: "t", RetryAt: time.Now().Add(time.Hour)}}, 429, "not-run", 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			finished = 0
			s := newRawServer(t, respondWith(okResponse))
			h := newTestHost(t, "a", "", liveServers(s.address), WithClaims(tt.decisions), WithCallerTerms(tt.decisions))
			resp, _, err := doRequest(t, http.MethodPost, h.caller, "/lots/x", "body", wagoutcome.IdempotencyKeyHeader, "k")
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), tt.outcome)
			is.Equal(resp.Header.Get(wagoutcome.TermsHeader), tt.decisions.admission.RenewedToken)
			is.Equal(resp.Header.Get("Retry-After") != "", tt.status == http.StatusTooManyRequests)
			is.Equal(s.requests(), tt.wantRequests)
			is.Equal(finished, tt.wantFinished)
		})
	}
}

// Guards against a request with a key that is written after its claim has expired, at
// this host or at the owner of the group. That happens when the host is paused after
// the request got its slot.
func TestFirstWriteWithinTheClaim(t *testing.T) {
	owner, other := ownerAndOther(t)
	for _, receiving := range []string{owner, other} {
		t.Run("received by "+receiving, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, respondWith(okResponse))
			now := time.Now()
			var results []DispatchResult
			claims := fixedDecisions{claim: Dispatch{StartBy: now.Add(10 * time.Second), Finish: func(result DispatchResult) { results = append(results, result) }}}
			clock := wagclock.NewManual(now)
			ownerHost := newTestHost(t, owner, "", liveServers(s.address), WithClock(clock), WithClaims(claims))
			ownerHost.serverPool.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				clock.Advance(11 * time.Second)
				return dialTCP(ctx, to)
			}
			caller := ownerHost.caller
			if receiving == other {
				members := staticMembership{member(owner, "dc1", ownerHost.forward), member(other, "dc1", "127.0.0.1:1")}
				caller = newTestHost(t, other, "", liveServers(s.address), WithMembers(members), WithClaims(claims)).caller
			}
			resp, _, err := doRequest(t, http.MethodPost, caller, "/lots/x", "body", wagoutcome.IdempotencyKeyHeader, "k")
			is.NoErr(err)
			is.Equal(resp.Header.Get(wagoutcome.OutcomeHeader), "not-run")
			is.Equal(results, []DispatchResult{{Outcome: wagoutcome.NotRun}})
			is.Equal(s.requests(), 0)
		})
	}
}
