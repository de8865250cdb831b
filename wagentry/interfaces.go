package wagentry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/netip"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagserver"
)

// Membership is the source of the hosts that belong to the site.
type Membership interface {
	Members(now time.Time) []wagmember.Member
}

// KeyedRequest is a request with an idempotency key, which has to be claimed before
// the request may run.
type KeyedRequest struct {
	Service  string
	Key      string
	Caller   string
	Deadline time.Time
	Document *wagdocument.Document
	// Request is the HTTP request. Only its header and URL may be read.
	Request *http.Request
	// BodySum is the SHA-256 sum of the body. It is set for Claim only.
	BodySum [sha256.Size]byte
}

// KeyOwner is the host that decides whether a request with a key may run: LocalOwner,
// RemoteOwner, or Denied if there is none.
type KeyOwner interface{ isKeyOwner() }

// LocalOwner means that this host owns the key.
type LocalOwner struct{}

// RemoteOwner means that another host owns the key. The request is forwarded to the
// address Forward.
type RemoteOwner struct{ Forward netip.AddrPort }

func (LocalOwner) isKeyOwner()  {}
func (RemoteOwner) isKeyOwner() {}
func (Denied) isKeyOwner()      {}

// ClaimResult is the decision on a request with a key: Dispatch, RecordedResponse or
// Denied.
type ClaimResult interface{ isClaimResult() }

// Dispatch permits the request to run once.
type Dispatch struct {
	// StartBy is the latest time for the first byte of the attempt.
	StartBy time.Time
	// Finish is called once with the result.
	Finish func(DispatchResult)
}

// DispatchResult is the result of a request that was permitted to run. Status and
// Body are set for the outcome Done. Body is empty if the response is too long to be
// kept.
type DispatchResult struct {
	Outcome wagoutcome.Outcome
	Status  int
	Body    []byte
}

// RecordedResponse is the response to an earlier request with the same key. Status
// and Body are those of its DispatchResult.
type RecordedResponse struct {
	Status int
	Body   []byte
}

// Denied ends the request without running it.
type Denied struct {
	Outcome wagoutcome.Outcome
	Reason  wagoutcome.Reason
}

func (Dispatch) isClaimResult()         {}
func (RecordedResponse) isClaimResult() {}
func (Denied) isClaimResult()           {}

// Claims decides whether requests with an idempotency key may run. Without it, the
// key is passed on to the server and the request is sent at most once.
type Claims interface {
	// KeyOwner returns the host that decides on the key.
	KeyOwner(now time.Time, k KeyedRequest) KeyOwner
	// Claim decides on the key. It is called at its owner.
	Claim(ctx context.Context, k KeyedRequest) ClaimResult
	// IssueKey returns a new key, or false if the host issues none.
	IssueKey(now time.Time) (string, bool)
}

// Admission is the decision of CallerTerms on a request.
type Admission struct {
	// Priority moves the request forward in the queue.
	Priority int
	// RenewedToken is the new token to return to the caller, or empty.
	RenewedToken string
	// RefusedReason is the reason why the request is refused, or empty.
	RefusedReason wagoutcome.Reason
	// RetryAt is when a request that was refused for its rate may be repeated.
	RetryAt time.Time
}

// CallerTerms decides whether to admit a request, based on the caller's token.
type CallerTerms interface {
	Admit(now time.Time, d *wagdocument.Document, caller, token string) Admission
}

// Observer receives observations of servers, which are made during attempts.
type Observer interface {
	Observe(service string, server netip.AddrPort, kind wagserver.ObservationKind)
}

type discardObservations struct{}

// Observe discards the observation.
func (discardObservations) Observe(string, netip.AddrPort, wagserver.ObservationKind) {}
