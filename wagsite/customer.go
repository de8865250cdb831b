package wagsite

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/pkg/errors"
)

// KeyDigest is the digest of an API key. Keys are secrets, of which nothing else is kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Customer is a customer whose callers send requests with its API keys.
type Customer struct {
	Name string
	// Rank replaces the rank of the routes; nil to keep it.
	Rank *int
	// Rate is the number of requests a second that the customer may send over all hosts
	// together, and Burst how many it may send beyond that at once. A Rate of 0 means no
	// limit.
	Rate, Burst float64
	// Keys holds the digests of its keys.
	Keys []KeyDigest
}

// HasLimit reports whether the requests of the customer are limited.
func (c *Customer) HasLimit() bool { return c.Rate > 0 }

// ConfigOption sets a part of a configuration that only some sites have.
type ConfigOption func(*Config)

// WithCustomers sets the customers. Requests then need a key, unless their route is public.
// A key that two customers hold belongs to the first one, and Warnings names both.
func WithCustomers(customers []Customer) ConfigOption {
	return func(c *Config) {
		for i := range customers {
			c.addCustomer(customers[i])
		}
		slices.SortFunc(c.customers, func(a, b *Customer) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func (c *Config) addCustomer(customer Customer) {
	c.customers = append(c.customers, &customer)
	for _, key := range customer.Keys {
		if other, ok := c.customerByKey[key]; ok {
			c.Warnings = append(c.Warnings, errors.Errorf("customers %q and %q have the same key, which belongs to the first", other.Name, customer.Name).Error())
			continue
		}
		c.customerByKey[key] = &customer
	}
}

// HasCustomers reports whether requests need a key, unless their route is public.
func (c *Config) HasCustomers() bool { return len(c.customers) > 0 }

// CustomerOf returns the customer that holds a key.
func (c *Config) CustomerOf(key KeyDigest) (*Customer, bool) {
	customer, ok := c.customerByKey[key]
	return customer, ok
}

// Customers returns all customers, ordered by name.
func (c *Config) Customers() []*Customer { return c.customers }

// Evacuation asks that nothing is sent to the servers of a data centre.
type Evacuation struct{ DataCentre string }
