package wagstore_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagstandin"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// attemptCounter counts attempts by operation and outcome.
type attemptCounter struct {
	mu     sync.Mutex
	counts map[wagstore.Operation]map[wagstore.Outcome]int
}

func (t *attemptCounter) Observe(k wagstore.Operation, o wagstore.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[wagstore.Operation]map[wagstore.Outcome]int)
	}
	if t.counts[k] == nil {
		t.counts[k] = make(map[wagstore.Outcome]int)
	}
	t.counts[k][o]++
}

func (t *attemptCounter) of(k wagstore.Operation, o wagstore.Outcome) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[k][o]
}

// startStore starts a stand-in of the store on loopback and returns it with a client.
func startStore(t *testing.T, opts ...wagstore.Option) (*wagstandin.Store, *wagstore.Client) {
	t.Helper()
	s := wagstandin.NewStore(wagstandin.WithStoreClock(func() time.Time { return start }))
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return s, wagstore.NewClient(address, append([]wagstore.Option{wagstore.WithRate(10000)}, opts...)...)
}

// hasValue returns a function that reports whether a value equals the given one.
func hasValue(value string) func([]byte) bool {
	return func(b []byte) bool { return string(b) == value }
}

// Guards against a conditional write that takes effect although the object has another
// version.
func TestConditionsAreKept(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, c := startStore(t)
	v, err := c.Put(ctx, "a/x y", []byte("1"), "")
	is.NoErr(err)
	_, err = c.Put(ctx, "a/x y", []byte("2"), "")
	is.True(errors.Is(err, wagstore.ErrConflict))
	o, err := c.Get(ctx, "a/x y")
	is.NoErr(err)
	is.Equal(o.Version, v)
	is.True(errors.Is(c.Delete(ctx, "a/x y", `"other"`), wagstore.ErrConflict))
	is.NoErr(c.Delete(ctx, "a/x y", v))
	_, err = c.Get(ctx, "a/x y")
	is.True(errors.Is(err, wagstore.ErrNotFound))
}

// Guards against a write that is sent twice after its response was lost, and against
// one whose outcome is never resolved.
func TestLostResponseIsUnknownAndResolved(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, c := startStore(t)
	s.SetFaults(wagstandin.StoreFaults{LoseResponses: 1})
	_, err := c.Put(ctx, "a", []byte("mine"), "")
	is.True(errors.Is(err, wagstore.ErrUnknown))
	is.Equal(s.Counts.Put.Load(), int64(1))
	v, err := wagstore.ResolveWrite(ctx, c, "a", "", []byte("mine"), hasValue("mine"))
	is.NoErr(err)
	is.Equal(s.Counts.Put.Load(), int64(1))
	_, err = c.Put(ctx, "a", []byte("next"), v)
	is.NoErr(err)
}

// Guards against a write of unknown outcome that is dropped although it never reached
// the store.
func TestUnchangedVersionRepeatsTheWrite(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, c := startStore(t)
	v, err := c.Put(ctx, "a", []byte("old"), "")
	is.NoErr(err)
	_, err = wagstore.ResolveWrite(ctx, c, "a", v, []byte("mine"), hasValue("mine"))
	is.NoErr(err)
	o, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(o.Value), "mine")
}

// Guards against overwriting the value of another writer, and against a conflict that
// is reported after a single stale read.
func TestOtherVersionIsAConflictAndStaleReadIsNot(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, c := startStore(t)
	v1, err := c.Put(ctx, "a", []byte("1"), "")
	is.NoErr(err)
	v2, err := c.Put(ctx, "a", []byte("theirs"), v1)
	is.NoErr(err)
	_, err = wagstore.ResolveWrite(ctx, c, "a", v1, []byte("mine"), hasValue("mine"))
	is.True(errors.Is(err, wagstore.ErrConflict))

	_, err = c.Put(ctx, "a", []byte("mine"), v2)
	is.NoErr(err)
	s.SetFaults(wagstandin.StoreFaults{StaleReads: 1})
	_, err = wagstore.ResolveWrite(ctx, c, "a", v2, []byte("mine"), hasValue("mine"))
	is.NoErr(err)
}

// Guards against requests that keep loading a store that is down, and against writes
// that count as unknown although the store refused them.
func TestDownStoreOpensTheCircuit(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	counts := &attemptCounter{}
	s, c := startStore(t, wagstore.WithObserver(counts))
	s.SetFaults(wagstandin.StoreFaults{Down: true})
	for range 10 {
		_, err := c.Put(ctx, "a", nil, "")
		is.True(errors.Is(err, wagstore.ErrUnavailable))
		is.True(!errors.Is(err, wagstore.ErrUnknown))
	}
	is.Equal(s.Counts.Refused.Load(), int64(5))
	is.Equal(counts.of(wagstore.OperationPut, wagstore.OutcomeUnavailable), 5)
	is.Equal(counts.of(wagstore.OperationPut, wagstore.OutcomeHeld), 5)
	is.Equal(s.RequestsPerSecond()[start.Unix()], 5)
}

// Guards against a read from a slow store that takes longer than the timeout.
func TestSlowStoreTimesOut(t *testing.T) {
	is := is.New(t)
	s, c := startStore(t, wagstore.WithTimeout(30*time.Millisecond))
	s.SetFaults(wagstandin.StoreFaults{DelayMillis: 60_000})
	_, err := c.Get(t.Context(), "a")
	is.True(errors.Is(err, wagstore.ErrUnavailable))
}

// hangingTransport accepts requests and never responds.
type hangingTransport struct{}

func (hangingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// Guards against a write that counts as not sent because its response is late. The
// transport is a fake, because whether a real connection is made in time depends on
// the machine.
func TestSlowWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	c := wagstore.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), wagstore.WithTransport(hangingTransport{}), wagstore.WithTimeout(30*time.Millisecond))
	_, err := c.Put(t.Context(), "a", nil, "")
	is.True(errors.Is(err, wagstore.ErrUnknown))
}

// Guards against sending a value that is longer than the store permits.
func TestOversizeValueIsRejected(t *testing.T) {
	is := is.New(t)
	_, c := startStore(t)
	_, err := c.Put(t.Context(), "a", make([]byte, wagstore.MaxValueBytes+1), "")
	is.True(errors.Is(err, wagstore.ErrValueTooLong))
}

// cannedTransport returns its responses in order, and then repeats the last one.
type cannedTransport struct {
	mu        sync.Mutex
	responses []cannedResponse
	requests  int
}

type cannedResponse struct {
	status int
	header http.Header
	body   string
}

func (c *cannedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.responses[min(c.requests, len(c.responses)-1)]
	c.requests++
	return &http.Response{StatusCode: a.status, Header: a.header, Body: io.NopCloser(bytes.NewReader([]byte(a.body)))}, nil
}

func newCannedClient(responses ...cannedResponse) (*cannedTransport, *wagstore.Client) {
	t := &cannedTransport{responses: responses}
	return t, wagstore.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), wagstore.WithTransport(t), wagstore.WithRate(10000))
}

// Guards against a read that is not retried when the store was unavailable briefly.
func TestReadsAreRetried(t *testing.T) {
	is := is.New(t)
	transport, c := newCannedClient(cannedResponse{status: 503}, cannedResponse{status: 200, header: http.Header{"Etag": {`"1"`}}, body: "x"})
	o, err := c.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(o.Value), "x")
	is.Equal(transport.requests, 2)
}

// Guards against invalid responses of the store that are accepted.
func TestInvalidResponsesAreRejected(t *testing.T) {
	tag, cursor := http.Header{"Etag": {`"1"`}}, http.Header{"Wagtailspar-Cursor": {"1"}}
	get := func(ctx context.Context, c *wagstore.Client) error { _, err := c.Get(ctx, "a"); return err }
	list := func(ctx context.Context, c *wagstore.Client) error { _, _, err := c.List(ctx, "a/"); return err }
	watch := func(ctx context.Context, c *wagstore.Client) error { _, _, err := c.Watch(ctx, "a/", "1"); return err }
	cases := []struct {
		name string
		a    cannedResponse
		call func(context.Context, *wagstore.Client) error
	}{
		{"no entity tag", cannedResponse{200, http.Header{}, "x"}, get},
		{"weak entity tag", cannedResponse{200, http.Header{"Etag": {`W/"1"`}}, "x"}, get},
		{"oversize value", cannedResponse{200, tag, strings.Repeat("x", wagstore.MaxValueBytes+1)}, get},
		{"redirect", cannedResponse{302, http.Header{"Location": {"/other"}}, ""}, get},
		{"no cursor", cannedResponse{200, http.Header{}, `[]`}, list},
		{"not JSON", cannedResponse{200, cursor, `<html>`}, list},
		{"key outside the prefix", cannedResponse{200, cursor, `[{"key":"b/1","version":"\"1\""}]`}, watch},
		{"weak version", cannedResponse{200, cursor, `[{"key":"a/1","version":"W/\"1\""}]`}, watch},
		{"bad base64", cannedResponse{200, cursor, `[{"key":"a/1","version":"\"1\"","value":"%%"}]`}, list},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, c := newCannedClient(tc.a)
			is.True(errors.Is(tc.call(t.Context(), c), wagstore.ErrUnavailable))
		})
	}
}

// Guards against a write that counts as done although its new version is unknown.
func TestWriteWithoutEntityTagIsUnknown(t *testing.T) {
	is := is.New(t)
	transport, c := newCannedClient(cannedResponse{status: 200, header: http.Header{}})
	_, err := c.Put(t.Context(), "a", nil, "")
	is.True(errors.Is(err, wagstore.ErrUnknown))
	is.Equal(transport.requests, 1)
}
