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

// Membership tells which entry hosts there are.
type Membership interface {
	Members(now time.Time) []wagmember.Member
}

// KeyedRequest is a call whose key is claimed before it may run.
type KeyedRequest struct {
	Service  string
	Key      string
	Caller   string
	Deadline time.Time
	Document *wagdocument.Document
	// Request is the call; only its header and URL may be read.
	Request *http.Request
	// BodySum is the SHA-256 sum of the body. Only Claim needs it.
	BodySum [sha256.Size]byte
}

// KeyOwner tells which host decides on a key: DecidedHere, DecidedAt or Denied.
type KeyOwner interface{ isDecider() }

// LocalOwner tells that this host decides.
type LocalOwner struct{}

// RemoteOwner tells that another host decides, to which the call is forwarded.
type RemoteOwner struct{ Forward netip.AddrPort }

func (LocalOwner) isDecider()  {}
func (RemoteOwner) isDecider() {}
func (Denied) isDecider()      {}

// ClaimResult is the decision on a keyed call: Dispatch, Recorded or Denied.
type ClaimResult interface{ isClaim() }

// Dispatch permits one attempt until a deadline. Finished is called once.
type Dispatch struct {
	// StartBy is the latest time for the first byte of the attempt.
	StartBy time.Time
	Finish  func(DispatchResult)
}

// DispatchResult is the end of a call that was dispatched. Status and Body are set
// when it is done; Body is empty for answers that are too long to be kept.
type DispatchResult struct {
	Outcome wagoutcome.Outcome
	Status  int
	Body    []byte
}

// RecordedResponse is the answer of an earlier run with the same key. Body is what
// Finished was given.
type RecordedResponse struct {
	Status int
	Body   []byte
}

// Denied ends the call without running it now.
type Denied struct {
	Outcome wagoutcome.Outcome
	Reason  wagoutcome.Reason
}

func (Dispatch) isClaim()         {}
func (RecordedResponse) isClaim() {}
func (Denied) isClaim()           {}

// Claims decides whether a call with a key may run. Without an implementation
// a key is passed on and the call is tried at most once.
type Claims interface {
	// KeyOwner chooses the host that decides.
	KeyOwner(now time.Time, k KeyedRequest) KeyOwner
	// Claim decides at that host.
	Claim(ctx context.Context, k KeyedRequest) ClaimResult
	// IssueKey returns a new key, or false when the host issues none.
	IssueKey(now time.Time) (string, bool)
}

// Admission is what a caller's terms grant to one call.
type Admission struct {
	// Priority is the position bonus in the queue.
	Priority int
	// RenewedToken is the renewed token for the answer, or empty.
	RenewedToken string
	// RefusedReason is the reason why the call is not admitted, or empty.
	RefusedReason wagoutcome.Reason
	// RetryAt is when a call that was refused for its rate may come again.
	RetryAt time.Time
}

// CallerTerms admits a call by the caller's token.
type CallerTerms interface {
	Admit(now time.Time, d *wagdocument.Document, caller, token string) Admission
}

// Observer takes what attempts show of servers.
type Observer interface {
	Observe(service string, server netip.AddrPort, kind wagserver.ObservationKind)
}

type discardObservations struct{}

// Observe drops the observation.
func (discardObservations) Observe(string, netip.AddrPort, wagserver.ObservationKind) {}
