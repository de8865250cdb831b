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

// WithCustomers sets the customers. Requests then need a key, unless their route is public,
// also when the list is empty: no request has a valid key then. A key that two customers
// hold belongs to the first one, and Warnings names both. The keys of customers with the
// same name belong to the first of them, whose other fields hold.
func WithCustomers(customers []Customer) ConfigOption {
	return func(c *Config) {
		c.needsKeys = true
		keys := 0
		for i := range customers {
			keys += len(customers[i].Keys)
		}
		c.customerByKey = make(map[KeyDigest]*Customer, keys)
		byName := make(map[string]*Customer, len(customers))
		for i := range customers {
			c.addCustomer(customers[i], byName)
		}
		slices.SortFunc(c.customers, func(a, b *Customer) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func (c *Config) addCustomer(customer Customer, byName map[string]*Customer) {
	holder, isKnown := byName[customer.Name]
	if isKnown {
		c.Warnings = append(c.Warnings, errors.Errorf("customer %q occurs twice: the first entry holds, with the keys of both", customer.Name).Error())
	} else {
		holder = &customer
		byName[customer.Name] = holder
		c.customers = append(c.customers, holder)
	}
	keys := customer.Keys
	holder.Keys = slices.Clip(holder.Keys)
	for _, key := range keys {
		other, isHeld := c.customerByKey[key]
		if isHeld && other != holder {
			c.Warnings = append(c.Warnings, errors.Errorf("customers %q and %q have the same key, which belongs to the first", other.Name, customer.Name).Error())
		}
		if isHeld {
			continue
		}
		c.customerByKey[key] = holder
		if isKnown {
			holder.Keys = append(holder.Keys, key)
		}
	}
}

// HasCustomers reports whether requests need a key, unless their route is public. It holds
// for a configuration whose customers could not be read, too.
func (c *Config) HasCustomers() bool { return c.needsKeys }

// CustomerOf returns the customer that holds a key.
func (c *Config) CustomerOf(key KeyDigest) (*Customer, bool) {
	customer, ok := c.customerByKey[key]
	return customer, ok
}

// KeyCount returns the number of keys that customers hold.
func (c *Config) KeyCount() int { return len(c.customerByKey) }

// Customers returns all customers, ordered by name.
func (c *Config) Customers() []*Customer { return c.customers }

// Evacuation asks that nothing is sent to the servers of a data centre.
type Evacuation struct{ DataCentre string }
