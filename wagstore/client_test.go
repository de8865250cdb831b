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

// tally counts calls by kind and outcome.
type tally struct {
	mu     sync.Mutex
	counts map[wagstore.Operation]map[wagstore.Outcome]int
}

func (t *tally) Observe(k wagstore.Operation, o wagstore.Outcome) {
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

func (t *tally) of(k wagstore.Operation, o wagstore.Outcome) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[k][o]
}

// serve starts a stand-in on loopback with a client.
func serve(t *testing.T, opts ...wagstore.Option) (*wagstandin.Store, *wagstore.Client) {
	t.Helper()
	s := wagstandin.NewStore(wagstandin.WithStoreTime(func() time.Time { return start }))
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return s, wagstore.NewClient(address, append([]wagstore.Option{wagstore.WithRate(10000)}, opts...)...)
}

func ownIs(value string) func([]byte) bool {
	return func(b []byte) bool { return string(b) == value }
}

// Guards against a conditional write that takes effect on another version.
func TestConditionsAreKept(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, c := serve(t)
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

// Guards against a write that is sent twice after its answer was lost, and
// against a lost answer that stays unsettled.
func TestLostAnswerIsUnknownAndResolved(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, c := serve(t)
	s.SetFaults(wagstandin.StoreFaults{LoseAnswers: 1})
	_, err := c.Put(ctx, "a", []byte("mine"), "")
	is.True(errors.Is(err, wagstore.ErrUnknown))
	is.Equal(s.Counts.Put.Load(), int64(1))
	v, err := wagstore.ResolveWrite(ctx, c, "a", "", []byte("mine"), ownIs("mine"))
	is.NoErr(err)
	is.Equal(s.Counts.Put.Load(), int64(1))
	_, err = c.Put(ctx, "a", []byte("next"), v)
	is.NoErr(err)
}

// Guards against an unknown write that is lost when it never arrived.
func TestUnchangedVersionSendsTheWriteAgain(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, c := serve(t)
	v, err := c.Put(ctx, "a", []byte("old"), "")
	is.NoErr(err)
	_, err = wagstore.ResolveWrite(ctx, c, "a", v, []byte("mine"), ownIs("mine"))
	is.NoErr(err)
	o, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(o.Value), "mine")
}

// Guards against overwriting another writer, and against a verdict from one
// stale read.
func TestAnotherVersionIsAConflictAndAStaleReadIsNot(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, c := serve(t)
	v1, err := c.Put(ctx, "a", []byte("1"), "")
	is.NoErr(err)
	v2, err := c.Put(ctx, "a", []byte("theirs"), v1)
	is.NoErr(err)
	_, err = wagstore.ResolveWrite(ctx, c, "a", v1, []byte("mine"), ownIs("mine"))
	is.True(errors.Is(err, wagstore.ErrConflict))

	_, err = c.Put(ctx, "a", []byte("mine"), v2)
	is.NoErr(err)
	s.SetFaults(wagstandin.StoreFaults{StaleReads: 1})
	_, err = wagstore.ResolveWrite(ctx, c, "a", v2, []byte("mine"), ownIs("mine"))
	is.NoErr(err)
}

// Guards against calls that go on burdening a store that is down, and against
// writes that count as unknown although the store refused them.
func TestDownStoreOpensTheCircuit(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	counts := &tally{}
	s, c := serve(t, wagstore.WithObserver(counts))
	s.SetFaults(wagstandin.StoreFaults{Down: true})
	for range 10 {
		_, err := c.Put(ctx, "a", nil, "")
		is.True(errors.Is(err, wagstore.ErrUnavailable))
		is.True(!errors.Is(err, wagstore.ErrUnknown))
	}
	is.Equal(s.Counts.Refused.Load(), int64(5))
	is.Equal(counts.of(wagstore.OperationPut, wagstore.OutcomeUnavailable), 5)
	is.Equal(counts.of(wagstore.OperationPut, wagstore.OutcomeHeld), 5)
	is.Equal(s.Rates()[start.Unix()], 5)
}

// Guards against a slow store that holds a caller longer than the time-out.
func TestSlowStoreIsGivenUp(t *testing.T) {
	is := is.New(t)
	s, c := serve(t, wagstore.WithTimeout(30*time.Millisecond))
	s.SetFaults(wagstandin.StoreFaults{DelayMillis: 60_000})
	_, err := c.Get(t.Context(), "a")
	is.True(errors.Is(err, wagstore.ErrUnavailable))
}

// stuck takes each call and never answers.
type stuck struct{}

func (stuck) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// Guards against a write that counts as not taken because its answer is late.
// Whether a real connection is made in time depends on the machine, so the
// transport is a fake one.
func TestSlowWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	c := wagstore.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), wagstore.WithTransport(stuck{}), wagstore.WithTimeout(30*time.Millisecond))
	_, err := c.Put(t.Context(), "a", nil, "")
	is.True(errors.Is(err, wagstore.ErrUnknown))
}

// Guards against oversize values on the way out.
func TestOversizeValueIsNotTaken(t *testing.T) {
	is := is.New(t)
	_, c := serve(t)
	_, err := c.Put(t.Context(), "a", make([]byte, wagstore.MaxValueBytes+1), "")
	is.True(errors.Is(err, wagstore.ErrValueTooLong))
}

// canned answers each call with the next of its answers, and the last for ever.
type canned struct {
	mu      sync.Mutex
	answers []cannedAnswer
	calls   int
}

type cannedAnswer struct {
	status int
	header http.Header
	body   string
}

func (c *canned) RoundTrip(*http.Request) (*http.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answers[min(c.calls, len(c.answers)-1)]
	c.calls++
	return &http.Response{StatusCode: a.status, Header: a.header, Body: io.NopCloser(bytes.NewReader([]byte(a.body)))}, nil
}

func cannedClient(answers ...cannedAnswer) (*canned, *wagstore.Client) {
	t := &canned{answers: answers}
	return t, wagstore.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), wagstore.WithTransport(t), wagstore.WithRate(10000))
}

// Guards against a read that fails for good when the store was away briefly.
func TestReadsAreRepeated(t *testing.T) {
	is := is.New(t)
	transport, c := cannedClient(cannedAnswer{status: 503}, cannedAnswer{status: 200, header: http.Header{"Etag": {`"1"`}}, body: "x"})
	o, err := c.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(o.Value), "x")
	is.Equal(transport.calls, 2)
}

// Guards against trusting what the store answers.
func TestInvalidAnswersAreRefused(t *testing.T) {
	tag, cursor := http.Header{"Etag": {`"1"`}}, http.Header{"Wagtailspar-Cursor": {"1"}}
	get := func(ctx context.Context, c *wagstore.Client) error { _, err := c.Get(ctx, "a"); return err }
	list := func(ctx context.Context, c *wagstore.Client) error { _, _, err := c.List(ctx, "a/"); return err }
	watch := func(ctx context.Context, c *wagstore.Client) error { _, _, err := c.Watch(ctx, "a/", "1"); return err }
	cases := []struct {
		name string
		a    cannedAnswer
		call func(context.Context, *wagstore.Client) error
	}{
		{"no entity tag", cannedAnswer{200, http.Header{}, "x"}, get},
		{"weak entity tag", cannedAnswer{200, http.Header{"Etag": {`W/"1"`}}, "x"}, get},
		{"oversize value", cannedAnswer{200, tag, strings.Repeat("x", wagstore.MaxValueBytes+1)}, get},
		{"redirect", cannedAnswer{302, http.Header{"Location": {"/other"}}, ""}, get},
		{"no cursor", cannedAnswer{200, http.Header{}, `[]`}, list},
		{"not JSON", cannedAnswer{200, cursor, `<html>`}, list},
		{"key outside the prefix", cannedAnswer{200, cursor, `[{"key":"b/1","version":"\"1\""}]`}, watch},
		{"weak version", cannedAnswer{200, cursor, `[{"key":"a/1","version":"W/\"1\""}]`}, watch},
		{"bad base64", cannedAnswer{200, cursor, `[{"key":"a/1","version":"\"1\"","value":"%%"}]`}, list},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, c := cannedClient(tc.a)
			is.True(errors.Is(tc.call(t.Context(), c), wagstore.ErrUnavailable))
		})
	}
}

// Guards against a write whose new version is not known but counts as known.
func TestWriteWithoutEntityTagIsUnknown(t *testing.T) {
	is := is.New(t)
	transport, c := cannedClient(cannedAnswer{status: 200, header: http.Header{}})
	_, err := c.Put(t.Context(), "a", nil, "")
	is.True(errors.Is(err, wagstore.ErrUnknown))
	is.Equal(transport.calls, 1)
}
