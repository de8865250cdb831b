package waghost

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagentry"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
	"github.com/wagtailspar/wagtailspar/wagterms"
)

const (
	// maxTrackedCallers bounds the callers whose rates are tracked, over all services.
	maxTrackedCallers = 1 << 16
	// maxRetryDelay bounds the delay that Retry-After asks for.
	maxRetryDelay = time.Hour
	// keyIDBytes is the length of the IDs of signing keys.
	keyIDBytes = 4
)

var _ wagentry.CallerTerms = (*callerTerms)(nil)

// callerTerms limits the request rate of each caller by the terms that its token carries.
type callerTerms struct {
	// keys sign the tokens. It is empty if no tokens are issued.
	keys    wagterms.Keys
	members wagentry.Membership

	mu      sync.Mutex
	limiter *wagterms.Limiter
}

func newCallerTerms(secrets []string, members wagentry.Membership) *callerTerms {
	t := &callerTerms{members: members, limiter: wagterms.NewLimiter(maxTrackedCallers)}
	for _, secret := range secrets {
		// The ID depends on the secret alone, so it stays when the order of the keys changes.
		sum := sha256.Sum256([]byte("identifier of " + secret))
		t.keys = append(t.keys, wagterms.Key{ID: hex.EncodeToString(sum[:keyIDBytes]), Secret: []byte(secret)})
	}
	return t
}

// Admit counts a request against the rate of its caller, and refuses it if the rate is
// used up. It returns the caller's priority, and the new token if the caller gets one.
func (t *callerTerms) Admit(now time.Time, d *wagdocument.Document, caller, token string) wagentry.Admission {
	serviceTerms := wagterms.Terms{Terms: d.Terms, Service: d.Service.Name, Epoch: d.Revision.Epoch}
	grant, renewed := serviceTerms.Grant(0), ""
	if len(t.keys) > 0 {
		// A token that is not valid grants the terms of a new caller.
		grant, renewed, _ = serviceTerms.EvaluateToken(now, t.keys, caller, token)
	}
	admission := wagentry.Admission{Priority: grant.Place, RenewedToken: renewed}
	hostCount := t.countHosts(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.limiter.Allow(now, d.Service.Name+" "+caller, grant, hostCount) {
		admission.RefusedReason, admission.RetryAt = wagoutcome.ReasonRateLimit, retryAt(now, grant.Rate/float64(hostCount))
	}
	return admission
}

// countHosts returns the number of hosts among which a rate is divided.
func (t *callerTerms) countHosts(now time.Time) int {
	n := 0
	for _, m := range t.members.Members(now) {
		if m.State == wagmember.Alive || m.State == wagmember.Suspect {
			n++
		}
	}
	return max(n, 1)
}

// retryAt returns when a rate, in requests per second, permits one more request. It is at
// most maxRetryDelay from now.
func retryAt(now time.Time, rate float64) time.Time {
	if rate <= 1/maxRetryDelay.Seconds() {
		return now.Add(maxRetryDelay)
	}
	return now.Add(time.Duration(float64(time.Second) / rate))
}
