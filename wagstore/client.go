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
	// CursorHeader is the response header with the cursor of a list or a watch.
	CursorHeader = "Wagtailspar-Cursor"
	// LeasePrefix is the prefix of the keys of leases. When the rate limit is reached,
	// their requests are sent first, because a lease that is renewed late is lost.
	LeasePrefix = "leases/"
	// maxReadAttempts bounds the attempts of one read, including the first.
	maxReadAttempts = 3
)

var _ Store = (*Client)(nil)

// WireObject is an object in the response to a list or a watch.
type WireObject struct {
	Key     string `json:"key"`
	Version string `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Client uses the store over HTTP, with entity tags (RFC 9110) and a long-polling
// watch. It is safe for concurrent use.
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
	limiter     *requestLimiter
}

// Option sets a property of a Client.
type Option func(*Client)

// WithTimeout bounds every operation but a watch, including its wait for the rate
// limit and its retries.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithWatchWait sets how long the store may hold a watch until there is a change.
func WithWatchWait(d time.Duration) Option {
	return func(c *Client) { c.watchWait = d }
}

// WithRate bounds the requests per second of all hosts together.
func WithRate(requestsPerSecond float64) Option {
	return func(c *Client) { c.rate = requestsPerSecond }
}

// WithConcurrency bounds the requests of this host in flight, apart from watches
// and lease requests, which have limits of their own.
func WithConcurrency(requests int) Option {
	return func(c *Client) { c.concurrency = requests }
}

// WithObserver sets the observer of the attempts.
func WithObserver(o Observer) Option {
	return func(c *Client) { c.observer = o }
}

// WithClock replaces the clock of the rate limit and of the delays. The library of
// the circuit breaker reads the system clock itself.
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
		rate: 200, concurrency: 8, clock: wagclock.System{}, observer: discardObserver{},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		http: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute},
			// Following a redirect would send a write twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, o := range opts {
		o(c)
	}
	c.limiter = newRequestLimiter(c.clock, c.rate, c.concurrency, c.random)
	return c
}

// SetLiveHosts sets the number of live hosts that share the rate.
func (c *Client) SetLiveHosts(hosts int) {
	c.limiter.setLiveHosts(hosts)
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, key string) (o Object, err error) {
	defer func() { err = errors.WithMessagef(err, "get %s", key) }()
	r := request{operation: OperationGet, method: http.MethodGet, path: objectPath(key), class: classOf(key), maxResponseBytes: MaxValueBytes}
	err = c.read(ctx, r, c.timeout, func(resp *response) error {
		v, err := resp.entityTag()
		o = Object{Key: key, Value: resp.body, Version: v}
		return err
	})
	if err != nil {
		return Object{}, err
	}
	return o, nil
}

// Put writes an object that still has the expected version. It is sent at most once.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected Version) (v Version, err error) {
	defer func() { err = errors.WithMessagef(err, "put %s", key) }()
	if len(value) > MaxValueBytes {
		return "", ErrValueTooLong
	}
	resp, err := c.write(ctx, request{operation: OperationPut, method: http.MethodPut, path: objectPath(key), class: classOf(key), header: conditionHeader(expected), body: value, maxResponseBytes: MaxValueBytes})
	if err != nil {
		return "", err
	}
	v, err = resp.entityTag()
	if err != nil {
		return "", errors.WithMessage(ErrUnknown, err.Error())
	}
	return v, nil
}

// Delete removes an object that still has the expected version. It is sent at most
// once.
func (c *Client) Delete(ctx context.Context, key string, expected Version) (err error) {
	defer func() { err = errors.WithMessagef(err, "delete %s", key) }()
	_, err = c.write(ctx, request{operation: OperationDelete, method: http.MethodDelete, path: objectPath(key), class: classOf(key), header: conditionHeader(expected), maxResponseBytes: MaxValueBytes})
	return err
}

// List reads the objects under a prefix.
func (c *Client) List(ctx context.Context, prefix string) (objects []Object, cursor Cursor, err error) {
	defer func() { err = errors.WithMessagef(err, "list %s", prefix) }()
	r := request{operation: OperationList, method: http.MethodGet, path: "/objects?prefix=" + url.QueryEscape(prefix), maxResponseBytes: maxListBytes}
	err = c.read(ctx, r, c.timeout, func(resp *response) (err error) {
		objects, cursor, err = resp.objects(prefix)
		return err
	})
	return objects, cursor, err
}

// Watch waits for changes under a prefix.
func (c *Client) Watch(ctx context.Context, prefix string, since Cursor) (objects []Object, cursor Cursor, err error) {
	defer func() { err = errors.WithMessagef(err, "watch %s", prefix) }()
	query := url.Values{"prefix": {prefix}, "since": {string(since)}, "wait": {c.watchWait.String()}}
	r := request{operation: OperationWatch, method: http.MethodGet, path: "/watch?" + query.Encode(), class: classWatch, maxResponseBytes: maxListBytes}
	query.Set("wait", "0s")
	r.halfOpenPath = "/watch?" + query.Encode()
	err = c.read(ctx, r, c.watchWait+c.timeout, func(resp *response) (err error) {
		objects, cursor, err = resp.objects(prefix)
		return err
	})
	return objects, cursor, err
}

// request is a request to the store.
type request struct {
	operation Operation
	class     requestClass
	method    string
	path      string
	// halfOpenPath, when set, replaces path while the circuit breaker is not closed.
	// The one request that tests the store then must not wait for changes, because
	// all others wait for its end.
	halfOpenPath string
	header       http.Header
	body         []byte
	// maxResponseBytes bounds the body of the response.
	maxResponseBytes int64
}

// read sends a read and retries it while the store is unavailable. A request that
// the limits of this host hold back is not retried.
func (c *Client) read(ctx context.Context, r request, timeout time.Duration, decode func(*response) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	delays := newBackOff(50*time.Millisecond, time.Second)
	for attempt := 1; ; attempt++ {
		err = c.attemptRead(ctx, r, decode)
		c.observer.Observe(r.operation, outcomeOf(err))
		if !errors.Is(err, ErrUnavailable) || errors.Is(err, errHeldBack) || attempt == maxReadAttempts || ctx.Err() != nil {
			return err
		}
		if waitUntil(ctx, c.clock, c.clock.Now().Add(c.limiter.jitter(delays.NextBackOff()))) != nil {
			return err
		}
	}
}

// attemptRead makes one attempt of a read.
func (c *Client) attemptRead(ctx context.Context, r request, decode func(*response) error) error {
	resp, err := c.limiter.do(ctx, r.class, func() (*response, error) { return c.send(ctx, r) })
	if err != nil {
		return unavailable(err)
	}
	if err := statusError(resp.status, false); err != nil {
		return err
	}
	return decode(resp)
}

// write sends a write once. It returns ErrUnknown when the write may have taken effect.
func (c *Client) write(ctx context.Context, r request) (resp *response, err error) {
	defer func() { c.observer.Observe(r.operation, outcomeOf(err)) }()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err = c.limiter.do(ctx, r.class, func() (*response, error) { return c.send(ctx, r) })
	if err != nil && (errors.Is(err, errHeldBack) || isRefused(err) || isDialError(err)) {
		return nil, unavailable(err)
	}
	if err != nil {
		return nil, errors.WithMessage(ErrUnknown, err.Error())
	}
	return resp, statusError(resp.status, true)
}

// send sends a request and reads its response. Statuses of an overloaded or broken
// store are returned as errors, so that the circuit breaker counts them.
func (c *Client) send(ctx context.Context, r request) (result *response, err error) {
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	path := r.path
	if r.halfOpenPath != "" && c.limiter.breaker.State() != gobreaker.StateClosed {
		path = r.halfOpenPath
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, r.maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > r.maxResponseBytes {
		return nil, &InvalidResponseError{Reason: fmt.Sprintf("longer than %d bytes", r.maxResponseBytes)}
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		return nil, statusError(resp.StatusCode, r.method != http.MethodGet)
	}
	return &response{status: resp.StatusCode, header: resp.Header, body: text}, nil
}

// objectPath returns the escaped path of an object.
func objectPath(key string) string {
	return (&url.URL{Path: "/objects/" + key}).EscapedPath()
}

// classOf returns the class of a request for an object.
func classOf(key string) requestClass {
	if strings.HasPrefix(key, LeasePrefix) {
		return classLease
	}
	return classNormal
}

// conditionHeader makes a write conditional on a version, or on the absence of the
// object when the version is empty.
func conditionHeader(expected Version) http.Header {
	if expected == "" {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {string(expected)}}
}

// isRefused reports whether the store refused the request by its status.
func isRefused(err error) bool {
	var invalid *InvalidResponseError
	return errors.Is(err, ErrUnavailable) && !errors.As(err, &invalid)
}

// isDialError reports whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unavailableError is an ErrUnavailable with its cause.
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

// unavailable wraps an error as an ErrUnavailable.
func unavailable(err error) error {
	return &unavailableError{cause: err}
}
