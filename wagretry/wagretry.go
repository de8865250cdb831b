// Package wagretry decides whether an extra attempt of a request, a retry or a
// hedge, is permitted. It performs no I/O.
package wagretry

import (
	"sync"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

const (
	// maxCallersPerGeneration bounds the callers in each of two generations of
	// buckets.
	maxCallersPerGeneration = 4096
	// initialTokens is the content of a new bucket. With one token the first
	// failure after a start can be retried.
	initialTokens = 1
	// The capacities of the buckets bound the burst of extra attempts after a long
	// time without any.
	maxCallerTokens  = 10
	maxServiceTokens = 100
)

// BudgetKey names the service and the caller whose buckets pay for an extra
// attempt.
type BudgetKey struct{ Service, Caller string }

// Budgets holds the token buckets of the retry budgets of a host. Every first
// attempt adds a share of a token, which the document sets, to the bucket of the
// service and to that of the caller. An extra attempt takes one token from both.
type Budgets struct {
	mu       sync.Mutex
	services map[string]float64
	// current and previous hold the buckets of callers. When current is full it
	// replaces previous, so that there are at most 2*maxCallersPerGeneration.
	current, previous map[BudgetKey]float64
}

// NewBudgets returns budgets that have counted no attempts.
func NewBudgets() *Budgets {
	return &Budgets{services: make(map[string]float64), current: make(map[BudgetKey]float64)}
}

// AddFirstAttempt adds share of a token to both buckets for a first attempt.
func (b *Budgets) AddFirstAttempt(key BudgetKey, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services[key.Service] = min(b.serviceTokens(key.Service)+share, maxServiceTokens)
	b.setCallerTokens(key, min(b.callerTokens(key)+share, maxCallerTokens))
}

// TakeToken takes one token from both buckets for an extra attempt. It returns
// false and takes none when one of the buckets has less.
func (b *Budgets) TakeToken(key BudgetKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	service, caller := b.serviceTokens(key.Service), b.callerTokens(key)
	if service < 1 || caller < 1 {
		return false
	}
	b.services[key.Service] = service - 1
	b.setCallerTokens(key, caller-1)
	return true
}

// RetainServices drops the buckets of services for which keep returns false.
func (b *Budgets) RetainServices(keep func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.services {
		if !keep(name) {
			delete(b.services, name)
		}
	}
}

func (b *Budgets) serviceTokens(name string) float64 {
	if tokens, ok := b.services[name]; ok {
		return tokens
	}
	return initialTokens
}

func (b *Budgets) callerTokens(key BudgetKey) float64 {
	if tokens, ok := b.current[key]; ok {
		return tokens
	}
	if tokens, ok := b.previous[key]; ok {
		return tokens
	}
	return initialTokens
}

// setCallerTokens stores the tokens of a caller in the current generation, and starts
// a new generation if it is full.
func (b *Budgets) setCallerTokens(key BudgetKey, tokens float64) {
	if _, ok := b.current[key]; !ok && len(b.current) >= maxCallersPerGeneration {
		b.previous, b.current = b.current, make(map[BudgetKey]float64)
	}
	b.current[key] = tokens
}

// LastAttempt describes the last attempt of a request and its outcome.
type LastAttempt struct {
	Repeatable bool
	Outcome    wagoutcome.Outcome
	// BadStatus is set when the status of the response counts against the server.
	BadStatus bool
	// Sent is the attempt header of the request, Reported that of the response.
	Sent, Reported Attempts
	// MaxAttempts is the maximum number of attempts that the document sets.
	MaxAttempts int
}

// MayRetry reports whether another attempt is permitted, apart from the budget.
// A request that may have run is retried only if it is repeatable. No request is
// retried after a host further along the path has retried it, because attempts
// would multiply along the path.
func (a LastAttempt) MayRetry() bool {
	if a.Reported.Count > a.Sent.Count || a.Reported.Retried && !a.Sent.Retried {
		return false
	}
	if max(a.Sent.Count, a.Reported.Count) >= a.MaxAttempts {
		return false
	}
	switch a.Outcome {
	case wagoutcome.NotRun:
		return true
	case wagoutcome.Done:
		return a.BadStatus && a.Repeatable
	default:
		return a.Repeatable
	}
}
