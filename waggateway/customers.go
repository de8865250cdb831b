package waggateway

import (
	"net/http"
	"time"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// ReasonUnknownKey is the reason of requests without a key of a customer on routes that
// are not public.
const ReasonUnknownKey = "unknownKey"

// quotaRetryDelay is the Retry-After of a request over the quota when the owner states no
// time.
const quotaRetryDelay = time.Second

// access is what a configuration says about the key of a request.
type access struct {
	// version is that of the configuration.
	version wagsite.Version
	// hasCustomers reports whether the configuration has customers. Without any, requests
	// pass unchanged.
	hasCustomers bool
	// isPublic reports whether the route needs no key.
	isPublic bool
	// customer holds the key; nil when none does.
	customer *wagsite.Customer
}

// accessOf returns what a configuration says about a key; nil for none.
func accessOf(config *wagsite.Config, route *wagsite.Route, key *wagsite.KeyDigest) access {
	a := access{version: config.Version, hasCustomers: config.HasCustomers(), isPublic: route.Public}
	if a.hasCustomers && key != nil {
		a.customer, _ = config.CustomerOf(*key)
	}
	return a
}

// isDenied reports whether the request needs a key and has none that is known.
func (a access) isDenied() bool { return a.hasCustomers && !a.isPublic && a.customer == nil }

// customerName returns the name of the customer, or an empty string.
func (a access) customerName() string {
	if a.customer == nil {
		return ""
	}
	return a.customer.Name
}

// CustomerCounts returns the numbers of customers and of their keys in the configuration in
// force.
func (g *Gateway) CustomerCounts() (customers, keys int) {
	config := g.config.Load()
	if config == nil {
		return 0, 0
	}
	return len(config.Customers()), config.KeyCount()
}

// keyOf returns the digest of the key of a request, or nil.
func (g *Gateway) keyOf(h http.Header) *wagsite.KeyDigest {
	key, ok := g.protocol.APIKey(h)
	if !ok {
		return nil
	}
	digest := wagsite.DigestKey(key)
	return &digest
}

// hasSameKey reports whether two requests carry the same key, or both none.
func hasSameKey(p Protocol, a, b http.Header) bool {
	key, hasKey := p.APIKey(a)
	other, hasOther := p.APIKey(b)
	return hasKey == hasOther && key == other
}

// updateAccess compares the key with the configuration in force, and reports whether the
// request may be sent. A route that the configuration no longer has keeps its settings.
func (q *request) updateAccess() (allowed bool) {
	config := q.gateway.config.Load()
	if config == nil || config.Version == q.access.version {
		return !q.access.isDenied()
	}
	route := config.Match(q.incoming.Host, routePath(q.incoming))
	if route == nil {
		route = q.route
	}
	q.access = accessOf(config, route, q.key)
	if q.access.isDenied() {
		q.configVersion = config.Version
		return false
	}
	return true
}

// rank returns the rank of the request. That of the customer replaces that of the route.
func (q *request) rank() int {
	if c := q.access.customer; c != nil && c.Rank != nil {
		return *c.Rank
	}
	return q.route.Rank
}

// unknownKeyResponse refuses a request without a known key.
func unknownKeyResponse() response {
	return response{status: http.StatusUnauthorized, outcome: OutcomeRejected, reason: ReasonUnknownKey}
}

// deniedResponse returns the response to a request whose key is no longer known.
func (q *request) deniedResponse() response {
	switch {
	case q.fallback != nil:
		return *q.fallback
	case q.mayHaveRun:
		return response{status: http.StatusBadGateway, outcome: OutcomeFailed, reason: ReasonUnknownKey}
	default:
		return unknownKeyResponse()
	}
}

// quotaResponse refuses a request over the quota of its customer.
func (q *request) quotaResponse(refused wagowner.Refused) response {
	retryAt := refused.RetryAt
	if retryAt.IsZero() {
		retryAt = q.gateway.clock.Now().Add(quotaRetryDelay)
	}
	return response{status: http.StatusTooManyRequests, outcome: OutcomeRefused, reason: string(refused.Reason), retryAt: retryAt}
}
