package waggateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagplacement"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// changingPlacer applies a configuration while a request waits for a server.
type changingPlacer struct {
	*fakePlacer
	gateway *Gateway
	config  *wagsite.Config
	// at is the number of the placement during which the configuration changes.
	at int
}

func (p *changingPlacer) Place(ctx context.Context, service string, r wagplacement.Request) wagowner.Outcome {
	outcome := p.fakePlacer.Place(ctx, service, r)
	if p.placedFor(r.Name) == p.at {
		p.gateway.SetConfig(p.config)
	}
	return outcome
}

// changeAt applies a configuration during the given placement.
func (f *fixture) changeAt(placement int, c *wagsite.Config) {
	f.gateway.placer = &changingPlacer{fakePlacer: f.placer, gateway: f.gateway, config: c, at: placement}
}

// Guards against requests that are sent with a key that was removed while they waited for
// a server, and against grants of them that are not returned.
func TestKeyRemovedWhileWaiting(t *testing.T) {
	is := is.New(t)
	server := newTestServer(t, "a", responseOK)
	f := newFixture(t, server)
	f.gateway.SetConfig(customersConfig(t, 2, holder("acme", "k1")))
	f.changeAt(1, customersConfig(t, 3, holder("acme", "k2")))
	status, _, _ := f.call(t, http.MethodGet, "/status/1", "Key: k1\r\n")
	is.Equal(status, 401)
	is.Equal(server.requestCount(), 0)
	is.Equal(f.placer.reportedResults()[0].Fault, wagplacement.FaultCanceled)
}

// Guards against waiting requests that the configuration before decides: its customers
// are gone, are new, or the key has another holder.
func TestConfigurationInForceAtAttempt(t *testing.T) {
	with := func(name string) *wagsite.Config { return customersConfig(t, 2, holder(name, "k1")) }
	later := func(customers ...wagsite.Customer) *wagsite.Config { return customersConfig(t, 3, customers...) }
	for name, x := range map[string]struct {
		before, after *wagsite.Config
		fields        string
		status        int
		customer      []string
	}{
		"other holder":       {before: with("acme"), after: later(holder("beta", "k1")), fields: "Key: k1\r\n", status: 200, customer: []string{"beta"}},
		"more keys":          {before: with("acme"), after: later(holder("acme", "k0", "k1", "k2")), fields: "Key: k1\r\n", status: 200, customer: []string{"acme"}},
		"customers are gone": {before: with("acme"), after: testConfig(t, 3, testTimeout), fields: "Key: k1\r\nCustomer: x\r\n", status: 200, customer: []string{"x"}},
		"customers are new":  {before: testConfig(t, 2, testTimeout), after: later(holder("acme", "k1")), fields: "Key: k1\r\n", status: 200, customer: []string{"acme"}},
		"key was not needed": {before: testConfig(t, 2, testTimeout), after: later(holder("acme", "k1")), status: 401},
		"none can be read":   {before: with("acme"), after: later(), fields: "Key: k1\r\n", status: 401},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newTestServer(t, "a", responseOK)
			f := newFixture(t, server)
			f.gateway.SetConfig(x.before)
			f.changeAt(1, x.after)
			status, _, _ := f.call(t, http.MethodGet, "/status/1", x.fields)
			is.Equal(status, x.status)
			if status == 200 {
				is.Equal(server.requests[0].Header["Customer"], x.customer)
			}
		})
	}
}

// Guards against a further attempt with a removed key, and against 401, which says that
// nothing ran, after a server may have run the request.
func TestKeyRemovedBetweenAttempts(t *testing.T) {
	for name, x := range map[string]struct {
		first  string
		status int
	}{
		"not run":      {first: responseFull, status: 401},
		"may have run": {first: responseTruncated, status: 502},
		"error":        {first: responseError, status: 500},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			second := newTestServer(t, "b", responseOK)
			f := newFixture(t, newTestServer(t, "a", x.first), second)
			f.gateway.SetConfig(customersConfig(t, 2, holder("acme", "k1")))
			f.changeAt(2, customersConfig(t, 3, holder("acme", "k2")))
			status, _, _ := f.call(t, http.MethodGet, "/status/1", "Key: k1\r\n")
			is.Equal(status, x.status)
			is.Equal(second.requestCount(), 0)
		})
	}
}

// Guards against a second server that is sent a request whose key is gone, while the first
// one still answers.
func TestKeyRemovedBeforeHedge(t *testing.T) {
	is := is.New(t)
	first, second := heldServer(t, "a"), newTestServer(t, "b", responseOK)
	f := newFixture(t, first, second)
	f.placer.hedgeAfter = time.Millisecond
	f.gateway.SetConfig(customersConfig(t, 2, holder("acme", "k1")))
	f.changeAt(2, customersConfig(t, 3, holder("acme", "k2")))
	first.group.Go(func() error {
		for len(f.placer.reportedResults()) == 0 {
			<-time.After(time.Millisecond) // Polls for the second grant.
		}
		close(first.hold)
		return nil
	})
	status, _, _ := f.call(t, http.MethodGet, "/status/1", "Key: k1\r\n")
	is.Equal(status, 200)
	is.Equal(second.requestCount(), 0)
	is.Equal(f.placer.reportedResults()[0].Fault, wagplacement.FaultCanceled)
}

// Guards against a request whose key is removed while its body arrives slowly.
func TestKeyRemovedDuringBody(t *testing.T) {
	is := is.New(t)
	server := newTestServer(t, "a", responseOK)
	f := newPipelineFixture(t, server)
	f.gateway.SetConfig(customersConfig(t, 2, holder("acme", "k1")))
	f.write("POST /commit/1 HTTP/1.1\r\nHost: a.example\r\nId: p1\r\nPatience: " + testCallerTimeout + "\r\nKey: k1\r\nContent-Length: 4\r\n\r\nab")
	f.awaitConn(func(c *callerConn) bool { return c.activity == readingBody })
	f.gateway.SetConfig(customersConfig(t, 3, holder("acme", "k2")))
	f.write("cd")
	status, _, _ := f.read()
	is.Equal(status, 401)
	is.Equal(server.requestCount(), 0)
}

// awaitConn waits until a condition holds for the connection.
func (f *pipelineFixture) awaitConn(holds func(c *callerConn) bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); <-time.After(time.Millisecond) {
		for _, c := range f.gateway.callers.all() {
			c.mu.Lock()
			isReached := holds(c)
			c.mu.Unlock()
			if isReached {
				return
			}
		}
	}
	f.t.Fatal("the condition does not hold after 10 s")
}

// getWithKey returns a pipelined request with a key.
func getWithKey(path, id, key string) string {
	return strings.Replace(get(path, id), "\r\n\r\n", "\r\nKey: "+key+"\r\n\r\n", 1)
}

// Guards against requests of a connection that are answered by the configuration at the
// time when they were read ahead: a key that was added since is known, and one that was
// removed is not.
func TestKeysOfRequestsReadAhead(t *testing.T) {
	is := is.New(t)
	first := heldServer(t, "a")
	f := newPipelineFixture(t, first, newTestServer(t, "b", responseOK), newTestServer(t, "c", responseOK))
	f.gateway.SetConfig(customersConfig(t, 2, holder("acme", "k1")))
	f.write(getWithKey("/status/1", "p1", "k1"))
	await(t, first, 1)
	f.write(getWithKey("/status/2", "p2", "k2") + getWithKey("/status/3", "p3", "k1") + getWithKey("/status/4", "p4", "k0"))
	f.awaitConn(func(c *callerConn) bool { return c.received == 4 })
	is.Equal(f.placer.placedFor("p2"), 0) // unknown so far
	f.gateway.SetConfig(customersConfig(t, 3, holder("acme", "k1", "k2")))
	close(first.hold)
	for _, want := range []int{200, 200, 200, 401} {
		status, _, _ := f.read()
		is.Equal(status, want)
	}
}

// Guards against a caller that receives the response of a request with another key.
func TestExecutionOfAnotherKey(t *testing.T) {
	is := is.New(t)
	request := func(key string) *http.Request {
		r := newStatusRequest()
		if key != "" {
			r.Header.Set("Key", key)
		}
		return r
	}
	for _, key := range []string{"", "k1"} {
		x := &execution{incoming: request(key)}
		is.True(x.isFor(testProtocol{}, request(key)))
		is.True(!x.isFor(testProtocol{}, request("k2")))
	}
}

// Guards against a refusal for the quota that looks like a shortage, that tells no time, or
// that says of a request that may have run that it has not.
func TestQuotaRefusal(t *testing.T) {
	for name, x := range map[string]struct {
		servers []string
		retryAt time.Time
		status  int
	}{
		"with a time":          {retryAt: time.Now().Add(time.Minute), status: 429},
		"without a time":       {status: 429},
		"after a possible run": {servers: []string{responseTruncated}, status: 502},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var servers []*testServer
			for _, response := range x.servers {
				servers = append(servers, newTestServer(t, "a", response))
			}
			f := newFixture(t, servers...)
			f.gateway.SetConfig(customersConfig(t, 2, holder("acme", "k1")))
			f.placer.refusal = wagowner.Refused{Reason: wagplacement.ReasonQuota, RetryAt: x.retryAt}
			status, header, _ := f.call(t, http.MethodGet, "/status/1", "Key: k1\r\n")
			is.Equal(status, x.status)
			is.Equal(header.Get("Retry-After") != "", status == http.StatusTooManyRequests)
		})
	}
}
