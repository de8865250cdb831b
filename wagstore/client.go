package wagstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sony/gobreaker/v2"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

const (
	// CursorHeader carries the position of a list in the changes of the store.
	CursorHeader = "Wagtailspar-Cursor"
	// LeasePrefix starts the keys of leases. Calls on them precede others when
	// the rate is scarce, because a lease that is renewed late is lost.
	LeasePrefix = "leases/"
	// readAttempts bounds the attempts of one read.
	readAttempts = 3
)

var _ Store = (*Client)(nil)

// WireObject is an object in the answers to lists and watches.
type WireObject struct {
	Key     string `json:"key"`
	Version string `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Client reaches the store over HTTP with entity tags (RFC 9110) and a
// long-polling watch.
type Client struct {
	base        string
	timeout     time.Duration
	watchWait   time.Duration
	rate        float64
	concurrency int
	clock       wagclock.Clock
	random      *rand.Rand
	observer    Observer
	http        *http.Client
	gate        *gate
}

// Option sets a property of a Client.
type Option func(*Client)

// WithTimeout bounds every call that is not a watch, with its wait for the
// rate and its repeated attempts.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithWatchWait sets how long a watch waits for a change.
func WithWatchWait(d time.Duration) Option {
	return func(c *Client) { c.watchWait = d }
}

// WithRate bounds the calls a second of all hosts together.
func WithRate(callsPerSecond float64) Option {
	return func(c *Client) { c.rate = callsPerSecond }
}

// WithConcurrency bounds the calls in flight of this host, apart from watches
// and lease calls, which have bounds of their own.
func WithConcurrency(calls int) Option {
	return func(c *Client) { c.concurrency = calls }
}

// WithObserver counts the calls.
func WithObserver(o Observer) Option {
	return func(c *Client) { c.observer = o }
}

// WithClock replaces the clock of the waits. The circuit breaker's library
// reads the system clock itself.
func WithClock(clock wagclock.Clock) Option {
	return func(c *Client) { c.clock = clock }
}

// WithRandom replaces the source of jitter.
func WithRandom(r *rand.Rand) Option {
	return func(c *Client) { c.random = r }
}

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// NewClient returns a client of the store at address.
func NewClient(address netip.AddrPort, opts ...Option) *Client {
	c := &Client{
		base: "http://" + address.String(), timeout: 2 * time.Second, watchWait: 20 * time.Second,
		rate: 200, concurrency: 8, clock: wagclock.System{}, observer: discard{},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		http: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute},
			// A redirected write would be a second attempt.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, o := range opts {
		o(c)
	}
	c.gate = newGate(c.clock, c.rate, c.concurrency, c.random)
	return c
}

// SetLiveHosts tells how many live hosts share the rate.
func (c *Client) SetLiveHosts(hosts int) {
	c.gate.setShare(hosts)
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, key string) (o Object, err error) {
	defer func() { err = errors.WithMessagef(err, "get %s", key) }()
	r := request{kind: OperationGet, method: http.MethodGet, path: objectPath(key), class: classOf(key), most: MaxValueBytes}
	err = c.read(ctx, r, c.timeout, func(a *answer) error {
		v, err := a.version()
		o = Object{Key: key, Value: a.body, Version: v}
		return err
	})
	if err != nil {
		return Object{}, err
	}
	return o, nil
}

// Put writes an object on condition. It is never sent twice.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected Version) (v Version, err error) {
	defer func() { err = errors.WithMessagef(err, "put %s", key) }()
	if len(value) > MaxValueBytes {
		return "", ErrValueTooLong
	}
	a, err := c.write(ctx, request{kind: OperationPut, method: http.MethodPut, path: objectPath(key), class: classOf(key), header: condition(expected), body: value, most: MaxValueBytes})
	if err != nil {
		return "", err
	}
	v, err = a.version()
	if err != nil {
		return "", errors.WithMessage(ErrUnknown, err.Error())
	}
	return v, nil
}

// Delete removes an object on condition. It is never sent twice.
func (c *Client) Delete(ctx context.Context, key string, expected Version) (err error) {
	defer func() { err = errors.WithMessagef(err, "delete %s", key) }()
	_, err = c.write(ctx, request{kind: OperationDelete, method: http.MethodDelete, path: objectPath(key), class: classOf(key), header: condition(expected), most: MaxValueBytes})
	return err
}

// List reads the objects under a prefix.
func (c *Client) List(ctx context.Context, prefix string) (objects []Object, cursor Cursor, err error) {
	defer func() { err = errors.WithMessagef(err, "list %s", prefix) }()
	r := request{kind: OperationList, method: http.MethodGet, path: "/objects?prefix=" + url.QueryEscape(prefix), most: maxList}
	err = c.read(ctx, r, c.timeout, func(a *answer) (err error) {
		objects, cursor, err = a.objects(prefix)
		return err
	})
	return objects, cursor, err
}

// Watch waits for changes under a prefix.
func (c *Client) Watch(ctx context.Context, prefix string, since Cursor) (objects []Object, cursor Cursor, err error) {
	defer func() { err = errors.WithMessagef(err, "watch %s", prefix) }()
	query := url.Values{"prefix": {prefix}, "since": {string(since)}, "wait": {c.watchWait.String()}}
	r := request{kind: OperationWatch, method: http.MethodGet, path: "/watch?" + query.Encode(), class: waiting, most: maxList}
	query.Set("wait", "0s")
	r.trialPath = "/watch?" + query.Encode()
	err = c.read(ctx, r, c.watchWait+c.timeout, func(a *answer) (err error) {
		objects, cursor, err = a.objects(prefix)
		return err
	})
	return objects, cursor, err
}

// request is one call before it is sent.
type request struct {
	kind   Operation
	class  class
	method string
	path   string
	// trialPath, when set, replaces path while the circuit is half open. The
	// one call that tests the store then is not to wait for changes.
	trialPath string
	header    http.Header
	body      []byte
	// most bounds the body of the answer.
	most int64
}

// read sends a read and repeats it while the store is unavailable. A call that
// the limits of this host hold back is not repeated.
func (c *Client) read(ctx context.Context, r request, timeout time.Duration, decode func(*answer) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pauses := newBackOff(50*time.Millisecond, time.Second)
	for attempt := 1; ; attempt++ {
		err = c.readOnce(ctx, r, decode)
		c.observer.Observe(r.kind, outcomeOf(err))
		if !errors.Is(err, ErrUnavailable) || errors.Is(err, errHeld) || attempt == readAttempts || ctx.Err() != nil {
			return err
		}
		if wait(ctx, c.clock, c.clock.Now().Add(c.gate.jitter(pauses.NextBackOff()))) != nil {
			return err
		}
	}
}

func (c *Client) readOnce(ctx context.Context, r request, decode func(*answer) error) error {
	a, err := c.gate.do(ctx, r.class, func() (*answer, error) { return c.send(ctx, r) })
	if err != nil {
		return unavailable(err)
	}
	if err := statusError(a.status, false); err != nil {
		return err
	}
	return decode(a)
}

func (c *Client) write(ctx context.Context, r request) (a *answer, err error) {
	defer func() { c.observer.Observe(r.kind, outcomeOf(err)) }()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	a, err = c.gate.do(ctx, r.class, func() (*answer, error) { return c.send(ctx, r) })
	if err != nil && (errors.Is(err, errHeld) || notTaken(err) || notConnected(err)) {
		return nil, unavailable(err)
	}
	if err != nil {
		return nil, errors.WithMessage(ErrUnknown, err.Error())
	}
	return a, statusError(a.status, true)
}

// send makes one exchange. Statuses of an overloaded or broken store are
// errors, so that the circuit breaker counts them.
func (c *Client) send(ctx context.Context, r request) (a *answer, err error) {
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	path := r.path
	if r.trialPath != "" && c.gate.breaker.State() != gobreaker.StateClosed {
		path = r.trialPath
	}
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, r.most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > r.most {
		return nil, &InvalidResponseError{Reason: fmt.Sprintf("longer than %d bytes", r.most)}
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		return nil, statusError(resp.StatusCode, r.method != http.MethodGet)
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: text}, nil
}

func objectPath(key string) string {
	return (&url.URL{Path: "/objects/" + key}).EscapedPath()
}

func classOf(key string) class {
	if strings.HasPrefix(key, LeasePrefix) {
		return urgent
	}
	return ordinary
}

func condition(expected Version) http.Header {
	if expected == "" {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {string(expected)}}
}

// notTaken tells that the store itself refused the call by its status.
func notTaken(err error) bool {
	var malformed *InvalidResponseError
	return errors.Is(err, ErrUnavailable) && !errors.As(err, &malformed)
}

// notConnected tells that no connection was made, so nothing was sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unavailableError keeps the cause of an ErrUnavailable.
type unavailableError struct {
	cause error
}

func (e *unavailableError) Error() string {
	return ErrUnavailable.Error() + ": " + e.cause.Error()
}

func (e *unavailableError) Is(target error) bool {
	return target == ErrUnavailable
}

func (e *unavailableError) Unwrap() error {
	return e.cause
}

func unavailable(err error) error {
	return &unavailableError{cause: err}
}
