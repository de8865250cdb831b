package wagstandin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// StoreFaults are the faults that are injected into a Store.
type StoreFaults struct {
	// Down rejects every request with status 503 and without any effect.
	Down bool `json:"down"`
	// DelayMillis is the delay of every request in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// LoseResponses is the number of writes and deletions that take effect but end with
	// a closed connection instead of a response.
	LoseResponses int `json:"loseAnswers"`
	// StaleReads is the number of reads that return the value before the last change.
	StaleReads int `json:"staleReads"`
	// ExpireWatches is the number of watches that are rejected because their cursor
	// has expired.
	ExpireWatches int `json:"expireWatches"`
}

// rateSeconds is for how many seconds the requests per second are kept.
const rateSeconds = 120

// StoreCounts counts the requests to a Store by kind, and those that Down rejected.
type StoreCounts struct {
	Get, Put, Delete, List, Watch, Refused atomic.Int64
}

// Store replaces the object store of the platform.
type Store struct {
	memory *wagstore.Memory
	Counts StoreCounts

	mu     sync.Mutex
	faults StoreFaults
	// previous holds the value of each key before its last change.
	previous map[string]wagstore.Object
	// requestsPerSecond counts the requests by Unix time, rejected ones included.
	requestsPerSecond map[int64]int
	now               func() time.Time
}

// StoreOption sets a property of a Store.
type StoreOption func(*Store)

// WithStoreClock sets the clock by which the requests per second are counted.
func WithStoreClock(now func() time.Time) StoreOption {
	return func(s *Store) { s.now = now }
}

// NewStore returns an empty store.
func NewStore(opts ...StoreOption) *Store {
	s := &Store{
		memory: wagstore.NewMemory(), previous: make(map[string]wagstore.Object),
		requestsPerSecond: make(map[int64]int), now: time.Now,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// RequestsPerSecond returns the number of requests in each of the latest 120 s, by
// Unix time.
func (s *Store) RequestsPerSecond() map[int64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	rates := make(map[int64]int, len(s.requestsPerSecond))
	for second, n := range s.requestsPerSecond {
		rates[second] = n
	}
	return rates
}

// countRequest counts a request and returns the faults that apply to it.
func (s *Store) countRequest() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	second := s.now().Unix()
	s.requestsPerSecond[second]++
	for old := range s.requestsPerSecond {
		if old <= second-rateSeconds {
			delete(s.requestsPerSecond, old)
		}
	}
	return s.faults
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler returns the HTTP API of the store.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.Use(s.injectFaults)
	e.GET("/objects/*", s.get)
	e.PUT("/objects/*", s.put)
	e.DELETE("/objects/*", s.remove)
	e.GET("/objects", s.list)
	e.GET("/watch", s.watch)
	e.POST("/faults", s.postFaults)
	e.GET("/counts", s.getCounts)
	e.GET("/rates", func(c echo.Context) error { return c.JSON(http.StatusOK, s.RequestsPerSecond()) })
	return e
}

// injectFaults counts each request and applies the faults Down and DelayMillis to it.
// Requests to /faults, /counts and /rates are exempt.
func (s *Store) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if p := c.Path(); p == "/faults" || p == "/counts" || p == "/rates" {
			return next(c)
		}
		f := s.countRequest()
		if f.Down {
			s.Counts.Refused.Add(1)
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if f.DelayMillis > 0 && !wagclock.Wait(c.Request().Context(), wagclock.System{}, time.Now().Add(time.Duration(f.DelayMillis)*time.Millisecond)) {
			return nil
		}
		return next(c)
	}
}

// takeFault decrements a fault that is a number of requests. It reports false when
// none is left.
func (s *Store) takeFault(count func(*StoreFaults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *Store) get(c echo.Context) error {
	s.Counts.Get.Add(1)
	key := c.Param("*")
	o, err := s.memory.Get(c.Request().Context(), key)
	if s.takeFault(func(f *StoreFaults) *int { return &f.StaleReads }) {
		s.mu.Lock()
		if p, ok := s.previous[key]; ok {
			o, err = p, nil
		}
		s.mu.Unlock()
	}
	if err != nil {
		return c.NoContent(statusOf(err))
	}
	c.Response().Header().Set("ETag", quote(o.Version))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, o.Value)
}

func (s *Store) put(c echo.Context) error {
	s.Counts.Put.Add(1)
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, wagstore.MaxValueBytes+1))
	if err != nil {
		return err
	}
	if len(value) > wagstore.MaxValueBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	expected, ok := expectedVersion(c.Request().Header)
	if !ok {
		return c.NoContent(http.StatusPreconditionRequired)
	}
	key := c.Param("*")
	s.keepPrevious(key)
	v, err := s.memory.Put(c.Request().Context(), key, value, expected)
	if err != nil {
		return c.NoContent(statusOf(err))
	}
	if s.takeFault(func(f *StoreFaults) *int { return &f.LoseResponses }) {
		panic(http.ErrAbortHandler)
	}
	c.Response().Header().Set("ETag", quote(v))
	return c.NoContent(http.StatusOK)
}

// keepPrevious keeps the value of a key for stale reads.
func (s *Store) keepPrevious(key string) {
	o, err := s.memory.Get(context.Background(), key)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous[key] = o
}

func (s *Store) remove(c echo.Context) error {
	s.Counts.Delete.Add(1)
	expected, ok := expectedVersion(c.Request().Header)
	if !ok {
		return c.NoContent(http.StatusPreconditionRequired)
	}
	if err := s.memory.Delete(c.Request().Context(), c.Param("*"), expected); err != nil {
		return c.NoContent(statusOf(err))
	}
	if s.takeFault(func(f *StoreFaults) *int { return &f.LoseResponses }) {
		panic(http.ErrAbortHandler)
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Store) list(c echo.Context) error {
	s.Counts.List.Add(1)
	objects, cursor, err := s.memory.List(c.Request().Context(), c.QueryParam("prefix"))
	if err != nil {
		return c.NoContent(statusOf(err))
	}
	return sendObjects(c, objects, cursor)
}

func (s *Store) watch(c echo.Context) error {
	s.Counts.Watch.Add(1)
	if s.takeFault(func(f *StoreFaults) *int { return &f.ExpireWatches }) {
		return c.NoContent(http.StatusGone)
	}
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil || wait < 0 || wait > maxWatchWait {
		return c.NoContent(http.StatusBadRequest)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	objects, cursor, err := s.memory.Watch(ctx, c.QueryParam("prefix"), wagstore.Cursor(c.QueryParam("since")))
	if err != nil {
		return c.NoContent(statusOf(err))
	}
	return sendObjects(c, objects, cursor)
}

func sendObjects(c echo.Context, objects []wagstore.Object, cursor wagstore.Cursor) error {
	wire := make([]wagstore.WireObject, 0, len(objects))
	for _, o := range objects {
		wire = append(wire, wagstore.WireObject{Key: o.Key, Version: quote(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	c.Response().Header().Set(wagstore.CursorHeader, string(cursor))
	return c.JSON(http.StatusOK, wire)
}

func (s *Store) postFaults(c echo.Context) error {
	var f StoreFaults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (s *Store) getCounts(c echo.Context) error {
	return c.JSON(http.StatusOK, s.CountsByKind())
}

// CountsByKind returns the number of requests by kind.
func (s *Store) CountsByKind() map[string]int64 {
	return map[string]int64{
		"get": s.Counts.Get.Load(), "put": s.Counts.Put.Load(), "delete": s.Counts.Delete.Load(),
		"list": s.Counts.List.Load(), "watch": s.Counts.Watch.Load(), "refused": s.Counts.Refused.Load(),
	}
}

func quote(v wagstore.Version) string {
	return `"` + string(v) + `"`
}

// expectedVersion returns the version that a conditional request expects, empty when
// the object must not exist; ok is false without a condition.
func expectedVersion(h http.Header) (wagstore.Version, bool) {
	if h.Get("If-None-Match") == "*" {
		return "", true
	}
	match := strings.Trim(h.Get("If-Match"), `"`)
	return wagstore.Version(match), match != ""
}

// statusOf returns the HTTP status for an error of the store.
func statusOf(err error) int {
	switch {
	case errors.Is(err, wagstore.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, wagstore.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, wagstore.ErrGap):
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}
