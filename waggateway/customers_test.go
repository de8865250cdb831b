package waggateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagsite"
)

func (testProtocol) APIKey(h http.Header) (string, bool) {
	values := h["Key"]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

func (testProtocol) SetCustomer(h http.Header, name string) {
	h.Del("Key")
	h.Del("Customer")
	if name != "" {
		h.Set("Customer", name)
	}
}

// customersConfig returns a configuration with the route of testConfig and the public
// route /open/. Each key belongs to the customer of its name.
func customersConfig(t *testing.T, version wagsite.Version, customers ...wagsite.Customer) *wagsite.Config {
	t.Helper()
	route := func(name, prefix string, public, idempotent bool) wagsite.Route {
		return wagsite.Route{
			Name: name, Host: "a.example", Prefix: prefix, Idempotent: idempotent, Public: public, Timeout: testTimeout, Goal: time.Second, Attempts: 2, Rank: 1,
			TrafficSplit: []wagsite.WeightedService{{Service: "lots", Weight: 1}},
		}
	}
	c, err := wagsite.New(version, wagsite.Limits{BodyBytes: 4 << 20, HeaderBytes: testHeaderBytes}, []wagsite.Service{{Name: "lots"}},
		[]wagsite.Route{route("status", "/status/", false, true), route("open", "/open/", true, true), route("commit", "/commit/", false, false)}, wagsite.WithCustomers(customers))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// holder returns a customer with keys.
func holder(name string, keys ...string) wagsite.Customer {
	c := wagsite.Customer{Name: name}
	for _, key := range keys {
		c.Keys = append(c.Keys, wagsite.DigestKey(key))
	}
	return c
}

// call sends a request with header fields and returns the status, the header and the body
// of the response.
func (f *fixture) call(t *testing.T, method, path, fields string) (status int, header http.Header, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nPatience: %s\r\n%s\r\n", method, path, testCallerTimeout, fields); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(text)
}

// Guards against requests without a key that are served, requests with one that are not,
// and public routes that ask for one.
func TestAccess(t *testing.T) {
	with := customersConfig(t, 2, holder("acme", "k1"))
	unreadable := customersConfig(t, 2)
	without := testConfig(t, 2, testTimeout)
	known, unknown := wagsite.DigestKey("k1"), wagsite.DigestKey("k2")
	for name, x := range map[string]struct {
		config *wagsite.Config
		path   string
		key    *wagsite.KeyDigest
		denied bool
		holder string
	}{
		"known key":                    {config: with, path: "/status/", key: &known, holder: "acme"},
		"unknown key":                  {config: with, path: "/status/", key: &unknown, denied: true},
		"no key":                       {config: with, path: "/status/", denied: true},
		"public, no key":               {config: with, path: "/open/"},
		"public, unknown key":          {config: with, path: "/open/", key: &unknown},
		"public, known key":            {config: with, path: "/open/", key: &known, holder: "acme"},
		"no customer readable":         {config: unreadable, path: "/status/", key: &known, denied: true},
		"no customer readable, public": {config: unreadable, path: "/open/", key: &known},
		"no customers":                 {config: without, path: "/status/"},
		"no customers, key":            {config: without, path: "/status/", key: &known},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := accessOf(x.config, x.config.Match("a.example", x.path), x.key)
			is.Equal(a.isDenied(), x.denied)
			is.Equal(a.customerName(), x.holder)
		})
	}
}

// Guards against a key, or a name that the caller chose, that reaches a server, and
// against a customer whose name or rank the owner does not get.
func TestServerGetsCustomerInsteadOfKey(t *testing.T) {
	const forged = "customer: x\r\nCUSTOMER: \r\nCuStOmEr: y\r\n"
	rank := 7
	acme := holder("acme", "k1")
	acme.Rank = &rank
	for name, x := range map[string]struct {
		path, fields string
		status, rank int
		customer     []string
	}{
		"known key":              {path: "/status/1", fields: "kEY: k1\r\n" + forged, status: 200, rank: 7, customer: []string{"acme"}},
		"connection names both":  {path: "/status/1", fields: "Connection: key, customer\r\nKey: k1\r\n" + forged, status: 200, rank: 7, customer: []string{"acme"}},
		"public, known key":      {path: "/open/1", fields: "Key: k1\r\n" + forged, status: 200, rank: 7, customer: []string{"acme"}},
		"public, no key":         {path: "/open/1", fields: forged, status: 200, rank: 1},
		"public, unknown key":    {path: "/open/1", fields: "key: k2\r\n" + forged, status: 200, rank: 1},
		"public, two keys":       {path: "/open/1", fields: "Key: k1\r\nkey: k1\r\n", status: 200, rank: 1},
		"two keys":               {path: "/status/1", fields: "Key: k1\r\nkey: k1\r\n", status: 401},
		"unknown key":            {path: "/status/1", fields: "Key: k2\r\n" + forged, status: 401},
		"no key, only a name":    {path: "/status/1", fields: "Customer: acme\r\n", status: 401},
		"empty key":              {path: "/status/1", fields: "Key: \r\n", status: 401},
		"no key, body to follow": {path: "/status/1", fields: "Expect: 100-continue\r\nContent-Length: 5\r\n", status: 401},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newTestServer(t, "a", responseOK)
			f := newFixture(t, server)
			f.gateway.SetConfig(customersConfig(t, 2, acme))
			status, header, body := f.call(t, http.MethodGet, x.path, x.fields)
			is.Equal(status, x.status)
			if status == http.StatusUnauthorized {
				is.Equal(header.Get("Retry-After"), "")
				is.Equal(header.Get("Id"), "r1")
				is.True(strings.Contains(body, ReasonUnknownKey))
				is.Equal(server.requestCount(), 0)
				is.Equal(len(f.placer.requests), 0)
				return
			}
			received := server.requests[0].Header
			is.Equal(received["Customer"], x.customer)
			is.Equal(len(received["Key"]), 0)
			is.Equal(f.placer.requests[0].Customer, strings.Join(x.customer, ""))
			is.Equal(f.placer.requests[0].Rank, x.rank)
		})
	}
}

// Guards against headers of other deployments that are removed.
func TestHeadersPassWithoutCustomers(t *testing.T) {
	is := is.New(t)
	server := newTestServer(t, "a", responseOK)
	f := newFixture(t, server)
	status, _, _ := f.call(t, http.MethodGet, "/status/1", "Key: k1\r\nKey: k2\r\nCustomer: x\r\n")
	is.Equal(status, 200)
	is.Equal(server.requests[0].Header["Key"], []string{"k1", "k2"})
	is.Equal(server.requests[0].Header["Customer"], []string{"x"})
	is.Equal(f.placer.requests[0].Customer, "")
}
