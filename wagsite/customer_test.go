package wagsite

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func customerWith(name string, keys ...string) Customer {
	c := Customer{Name: name, Rate: float64(len(keys))}
	for _, key := range keys {
		c.Keys = append(c.Keys, DigestKey(key))
	}
	return c
}

// Guards against a key that changes its holder because another customer states it too,
// and against customers whose entries repeat or are empty and who lose keys by that.
func TestCustomers(t *testing.T) {
	is := is.New(t)
	c := NewPartial(1, Limits{}, nil, nil, WithCustomers([]Customer{
		customerWith("zeta", "k1", "k2", "k1"), customerWith("acme", "k2", "k3"), customerWith("none"), customerWith("zeta", "k4", "k3"),
	}))
	is.True(c.HasCustomers())
	for key, name := range map[string]string{"k1": "zeta", "k2": "zeta", "k3": "acme", "k4": "zeta"} {
		customer, ok := c.CustomerOf(DigestKey(key))
		is.True(ok)
		is.Equal(customer.Name, name)
	}
	_, ok := c.CustomerOf(DigestKey("k5"))
	is.True(!ok)
	var names []string
	for _, customer := range c.Customers() {
		names = append(names, customer.Name)
	}
	is.Equal(names, []string{"acme", "none", "zeta"})
	is.Equal(c.Customers()[2].Rate, 3.0) // that of the first entry
	is.Equal(len(c.Warnings), 3)         // k2, the second zeta, k3
	is.True(strings.Contains(c.Warnings[0], `"zeta" and "acme"`))
}

// Guards against routes that are open to everybody because no customer could be read, and
// against keys that are asked for without customers.
func TestCustomersThatCannotBeRead(t *testing.T) {
	is := is.New(t)
	closed := NewPartial(1, Limits{}, nil, nil, WithCustomers(nil))
	is.True(closed.HasCustomers())
	_, ok := closed.CustomerOf(DigestKey(""))
	is.True(!ok)
	is.True(!NewPartial(1, Limits{}, nil, nil).HasCustomers())
}

// manyKeys is the number of keys for which lookups and memory are measured.
const manyKeys = 100_000

// manyCustomers returns as many customers as sites have today.
func manyCustomers() []Customer {
	const count = 81
	customers := make([]Customer, count)
	for i := range customers {
		customers[i].Name = fmt.Sprintf("customer-%d", i)
	}
	for i := range manyKeys {
		c := &customers[i%count]
		c.Keys = append(c.Keys, DigestKey(keyText(i)))
	}
	return customers
}

func keyText(i int) string { return fmt.Sprintf("key-%032d", i) }

// BenchmarkCustomerOf measures what a host does for the key of each request: the digest
// and the lookup.
func BenchmarkCustomerOf(b *testing.B) {
	c := NewPartial(1, Limits{}, nil, nil, WithCustomers(manyCustomers()))
	keys := make([]string, 1<<10)
	for i := range keys {
		keys[i] = keyText(i * 97)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := c.CustomerOf(DigestKey(keys[i%len(keys)])); !ok {
			b.Fatal("the key is unknown")
		}
	}
}

// BenchmarkWithCustomers measures the time to put a configuration together, and the memory
// that it keeps.
func BenchmarkWithCustomers(b *testing.B) {
	var kept *Config
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		kept = NewPartial(1, Limits{}, nil, nil, WithCustomers(manyCustomers()))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "keptB")
	runtime.KeepAlive(kept)
}
