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
	// maxCallers bounds the callers whose rates are tracked, of all services.
	maxCallers = 1 << 16
	// longestRetry bounds what Retry-After tells.
	longestRetry = time.Hour
	// keyIDBytes is the length of the identifiers of signing keys.
	keyIDBytes = 4
)

var _ wagentry.CallerTerms = (*terms)(nil)

// terms admits calls by the tokens of their callers.
type terms struct {
	// keys is empty when no tokens are issued.
	keys    wagterms.Keys
	members wagentry.Membership

	mu      sync.Mutex
	limiter *wagterms.Limiter
}

func newTerms(secrets []string, members wagentry.Membership) *terms {
	t := &terms{members: members, limiter: wagterms.NewLimiter(maxCallers)}
	for _, s := range secrets {
		// The identifier stays when the key moves in the list.
		sum := sha256.Sum256([]byte("identifier of " + s))
		t.keys = append(t.keys, wagterms.Key{ID: hex.EncodeToString(sum[:keyIDBytes]), Secret: []byte(s)})
	}
	return t
}

// Admit grants the terms of a caller and takes one call of its rate.
func (t *terms) Admit(now time.Time, d *wagdocument.Document, caller, token string) wagentry.Admission {
	x := wagterms.Terms{Terms: d.Terms, Service: d.Service.Name, Epoch: d.Revision.Epoch}
	grant, next := x.Grant(0), ""
	if len(t.keys) > 0 {
		// A token that does not count gives the terms of a new caller.
		grant, next, _ = x.EvaluateToken(now, t.keys, caller, token)
	}
	g := wagentry.Admission{Priority: grant.Place, RenewedToken: next}
	hosts := t.hosts(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.limiter.Allow(now, d.Service.Name+" "+caller, grant, hosts) {
		g.RefusedReason, g.RetryAt = wagoutcome.ReasonRateLimit, retryAt(now, grant.Rate/float64(hosts))
	}
	return g
}

// hosts counts the hosts among which a rate is divided.
func (t *terms) hosts(now time.Time) int {
	n := 0
	for _, m := range t.members.Members(now) {
		if m.State == wagmember.Alive || m.State == wagmember.Suspect {
			n++
		}
	}
	return max(n, 1)
}

// retryAt is when a rate in calls a second allows one more call.
func retryAt(now time.Time, rate float64) time.Time {
	if rate <= 1/longestRetry.Seconds() {
		return now.Add(longestRetry)
	}
	return now.Add(time.Duration(float64(time.Second) / rate))
}
