// Package wagquota keeps customers within their quotas over all hosts of a site. A Part
// admits the requests of one service in one data centre, and a Coordinator holds the token
// buckets of a shard of the customers. Neither does I/O or reads a clock.
package wagquota

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// CreditLifetime is how long after a report the credit that it brings may be spent.
	CreditLifetime = 400 * time.Millisecond
	// LeaseTime is how long after a reply the coordinator counts the part that received it,
	// and the part does not spend its share of the rate by itself.
	LeaseTime = time.Second
	// BatchInterval is the shortest time between two reports of a part.
	BatchInterval = 10 * time.Millisecond
	// AnnounceInterval is the longest time between two reports of the owner of a part.
	AnnounceInterval = 250 * time.Millisecond
	// WaitTimeout bounds how long a request waits for a reply of the coordinator.
	WaitTimeout = 40 * time.Millisecond
	// debtShare is the share of the permitted slack that all parts together may owe.
	debtShare = 0.8
	// customersPerShard and maxShards determine the number of shards.
	customersPerShard = 1000
	maxShards         = 64
)

// Limit is the quota of a customer.
type Limit struct{ Rate, Burst float64 }

// Limits holds the quotas of the customers that have one, by name.
type Limits map[string]Limit

// Shards returns the number of shards of a number of customers.
func Shards(customers int) int {
	return min(max((customers+customersPerShard-1)/customersPerShard, 1), maxShards)
}

// ShardOf returns the shard of a customer.
func ShardOf(customer string, shards int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(customer)) // never fails
	return int(h.Sum32() % uint32(max(shards, 1)))
}

// DebtLimit returns how many requests of a customer a part may admit without credit before
// they are acknowledged.
func DebtLimit(slack float64, parts int) int {
	return max(1, int(math.Floor(debtShare*slack/float64(max(parts, 1)))))
}

// minorityShare is the share of its part of the rate that a part spends by itself, or gets
// from a coordinator that counts at most half of the parts. The coordinator that counts most
// parts grants the rest: most callers are with it, and the others may be lost.
const minorityShare = 2.0 / 3

// extraBurstShare is the share of the slack beyond the debt of all parts by which the burst
// of each customer is raised. The rest is for buckets that hold a whole token although their
// share of the burst is less.
const extraBurstShare = 0.5

// ExtraBurst returns by how much the burst of each customer may be raised within the
// permitted slack. Requests of small customers come in clusters that exceed their burst for
// a moment, while they stay within the limit of a window.
func ExtraBurst(slack float64, parts int) float64 {
	debt := float64(max(parts, 1) * DebtLimit(slack, parts))
	return max(extraBurstShare*(slack-debt), 0)
}

// Report is what a part reports to its coordinator.
type Report struct {
	// Part and Sender identify the part and the host that acts for it.
	Part, Sender string
	// Number increases with each report of the sender.
	Number uint64
	// IsOwner means that the sender is the owner of the part, by which the part is counted.
	IsOwner bool
	// Echo is the stamp of the latest reply of this coordinator; 0 before the first one,
	// and while another coordinator may still count the part.
	Echo    uint64
	Charges []Charge
}

// Charge is what a part reports of a customer.
type Charge struct {
	Customer string
	// Total counts the requests that were admitted without credit, and Acknowledged those
	// of them that a coordinator has acknowledged.
	Total, Acknowledged uint64
	// Demand counts the requests since the latest report.
	Demand int
	// Left is the credit that is left, and Waiting counts the requests that wait for some.
	Left, Waiting int
}

// Reply is the reply of a coordinator to a report.
type Reply struct {
	// Number is the number of the report.
	Number uint64
	// Stamp is the time at the coordinator since it began, in microseconds.
	Stamp uint64
	Acks  []Ack
}

// Ack acknowledges the charges of a customer.
type Ack struct {
	Customer string
	Total    uint64
	// Credit is the number of requests that may be admitted in advance.
	Credit int
	// OutFor is how long the customer is out of credit; 0 when it is not.
	OutFor time.Duration
}

// Decision is Admit, Wait or Refuse.
type Decision interface{ isDecision() }

// Admit admits a request. It may be given back until ReturnUntil.
type Admit struct{ ReturnUntil time.Time }

// Wait lets a request wait for a reply of the coordinator, for WaitTimeout at most.
type Wait struct{}

// Refuse refuses a request. The customer may have credit at Until.
type Refuse struct{ Until time.Time }

func (Admit) isDecision()  {}
func (Wait) isDecision()   {}
func (Refuse) isDecision() {}
