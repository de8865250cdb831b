package waggateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagbudget"
)

// occupy reserves all memory that is left of a budget, for a connection that is not
// evicted. It returns a function that gives the memory back.
func occupy(t *testing.T, b *wagbudget.Budget) (release func()) {
	t.Helper()
	const id = 1 << 40
	s := b.Stats()
	if _, ok := b.Open(id, s.LimitBytes-s.UsedBytes); !ok {
		t.Fatal("the rest of the budget is not available")
	}
	b.SetPhase(id, wagbudget.Busy)
	return func() { b.Close(id) }
}

// Guards against a request that is answered with 503, which says that it has not run,
// after a server has run it ahead of its turn: memory is short when net/http reads its
// head.
func TestRequestAheadIsAnsweredWithoutMemory(t *testing.T) {
	is := is.New(t)
	first, second := heldServer(t, "first"), newTestServer(t, "second", responseOK)
	f, _ := newLimitedFixture(t, Limits{}, first, second)
	f.connect()
	f.write(get("/status/1", "r1"))
	await(t, first, 1)
	// Larger than the first one, whose memory is available again by then.
	f.write(strings.Replace(get("/status/2", "r2"), "\r\n\r\n", "\r\n"+strings.Repeat("a: b\r\n", 100)+"\r\n", 1))
	await(t, second, 1)
	defer occupy(t, f.gateway.callers.budget)()
	close(first.hold)
	for _, want := range []string{"r1", "r2"} {
		status, id, _ := f.read()
		is.Equal(status, http.StatusOK)
		is.Equal(id, want)
	}
}

// Guards against the closing of a connection for others while a server works on a request
// of it that runs ahead of its turn.
func TestRequestAheadKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	a := heldServer(t, "a")
	defer close(a.hold)
	f := newPipelineFixture(t, a)
	c := f.callerConn()
	c.mu.Lock()
	c.receive([]byte(get("/status/1", "r1") + get("/status/2", "r2")))
	c.mu.Unlock()
	is.True(c.begin(parseHead([]byte(get("/status/1", "r1")))) == nil)
	c.end()
	c.becomeIdle()
	is.Equal(c.countHead([]byte("GET")), RefusalCause(""))
	budget := f.gateway.callers.budget
	const other = 1 << 40
	_, ok := budget.Open(other, budget.Stats().LimitBytes) // fits only if all others are closed
	is.True(!ok)
	is.Equal(budget.Stats().Evicted, uint64(0))
	_ = c.Close()
}

// Guards against responses to requests that run ahead that are kept without being charged:
// eight of them for each connection.
func TestResponsesAheadAreCharged(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 200<<10)
	a := newTestServer(t, "a", strings.Replace(responseOK, "Content-Length: 2\r\n\r\nok", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), 1))
	f := newPipelineFixture(t, a)
	c := f.callerConn()
	c.mu.Lock()
	c.receive([]byte(get("/status/1", "r1") + get("/status/2", "r2")))
	x := c.ahead[2]
	c.mu.Unlock()
	x.await()
	is.True(f.gateway.BudgetStats().UsedBytes > int64(len(body)))
	_ = c.Close()
}

// Guards against memory for the response to a request that ran ahead that stays reserved
// as long as the connection, when the search for requests has lost its place.
func TestAbandonedExecutionsHoldNoMemory(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 200<<10)
	a := newTestServer(t, "a", strings.Replace(responseOK, "Content-Length: 2\r\n\r\nok", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), 1))
	f := newPipelineFixture(t, a)
	c := f.callerConn()
	c.mu.Lock()
	c.receive([]byte(get("/status/1", "r1") + get("/status/2", "r2")))
	x := c.ahead[2]
	c.mu.Unlock()
	x.await()
	is.True(c.begin(parseHead([]byte(get("/status/1", "r1")))) == nil)
	reserved := f.gateway.BudgetStats().UsedBytes
	is.True(reserved > int64(len(body)))
	is.True(c.begin(parseHead([]byte(get("/status/2", "other")))) == nil)
	awaitTrue(t, "memory stays reserved", func() bool { return f.gateway.BudgetStats().UsedBytes < reserved-int64(len(body))/2 })
	_ = c.Close()
}
