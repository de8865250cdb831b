// Package wagretry decides whether an extra attempt of a call, a retry or a
// hedge, may be made. It does no input or output.
package wagretry

import (
	"sync"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

const (
	// maxCallers bounds the tracked callers of each of two generations.
	maxCallers = 4096
	// A bucket starts with one token, so that the first failure after a start
	// can be retried.
	startTokens = 1
	// The caps bound how many extra attempts follow a long time without any.
	maxCallerTokens  = 10
	maxServiceTokens = 100
)

// BudgetKey is the service and the caller that pay for an extra attempt.
type BudgetKey struct{ Service, Caller string }

// Budgets holds the token buckets of a host. Every first attempt adds the
// document's share of a token to the bucket of the service and to that of the
// caller; an extra attempt takes one token from both.
type Budgets struct {
	mu       sync.Mutex
	services map[string]float64
	// young and old hold the buckets of callers; old is dropped when young is
	// full, so that there are never more than twice maxCallers.
	young, old map[BudgetKey]float64
}

// NewBudgets returns budgets without history.
func NewBudgets() *Budgets {
	return &Budgets{services: make(map[string]float64), young: make(map[BudgetKey]float64)}
}

// AddFirstAttempt counts a first attempt.
func (b *Budgets) AddFirstAttempt(p BudgetKey, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services[p.Service] = min(b.service(p.Service)+share, maxServiceTokens)
	b.store(p, min(b.caller(p)+share, maxCallerTokens))
}

// TakeToken takes the token of one extra attempt and tells whether there was one.
func (b *Budgets) TakeToken(p BudgetKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	service, caller := b.service(p.Service), b.caller(p)
	if service < 1 || caller < 1 {
		return false
	}
	b.services[p.Service] = service - 1
	b.store(p, caller-1)
	return true
}

// RetainServices drops the buckets of services that keep does not select.
func (b *Budgets) RetainServices(keep func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.services {
		if !keep(name) {
			delete(b.services, name)
		}
	}
}

func (b *Budgets) service(name string) float64 {
	if tokens, ok := b.services[name]; ok {
		return tokens
	}
	return startTokens
}

func (b *Budgets) caller(p BudgetKey) float64 {
	if tokens, ok := b.young[p]; ok {
		return tokens
	}
	if tokens, ok := b.old[p]; ok {
		return tokens
	}
	return startTokens
}

func (b *Budgets) store(p BudgetKey, tokens float64) {
	if _, ok := b.young[p]; !ok && len(b.young) >= maxCallers {
		b.old, b.young = b.young, make(map[BudgetKey]float64)
	}
	b.young[p] = tokens
}

// LastAttempt describes a call after an attempt.
type LastAttempt struct {
	Repeatable bool
	Outcome    wagoutcome.Outcome
	// BadStatus tells that the answer has a status that counts against the server.
	BadStatus bool
	// Sent is the marker that the attempt carried down, Reported that of its answer.
	Sent, Reported Attempts
	// MaxAttempts is the document's greatest number of attempts.
	MaxAttempts int
}

// MayRetry tells whether another attempt is permitted apart from the budget. Work
// that may have run is repeated only if it is repeatable, and never when a host
// deeper in the path has repeated it.
func (t LastAttempt) MayRetry() bool {
	if t.Reported.Count > t.Sent.Count || t.Reported.Retried && !t.Sent.Retried {
		return false
	}
	if max(t.Sent.Count, t.Reported.Count) >= t.MaxAttempts {
		return false
	}
	switch t.Outcome {
	case wagoutcome.NotRun:
		return true
	case wagoutcome.Done:
		return t.BadStatus && t.Repeatable
	default:
		return t.Repeatable
	}
}
