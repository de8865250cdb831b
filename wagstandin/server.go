package wagstandin

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// ServerFaults are the faults that a server stand-in shows.
type ServerFaults struct {
	// SlowFactor multiplies service times; below 1 counts as 1.
	SlowFactor float64 `json:"slowFactor"`
	// FailFast answers every request with 500 at once.
	FailFast bool `json:"failFast"`
	// Draining refuses new work with 503 and reports it on answers.
	Draining bool `json:"draining"`
	// TruncateResponses cuts that many answers in the middle.
	TruncateResponses int `json:"breakAnswers"`
	// AlwaysHealthy answers probes as healthy whatever the state.
	AlwaysHealthy bool `json:"lieHealthy"`
}

// ServerOption sets a property of a Server.
type ServerOption func(*Server)

// WithServiceTime sets the service time of requests that ask for none.
func WithServiceTime(d time.Duration) ServerOption {
	return func(s *Server) { s.serviceTime = d }
}

// Server is a stand-in for a backend server: it has slots and a queue, runs
// requests for a given time and keeps the log of what ran.
type Server struct {
	name        string
	slots       chan struct{}
	serviceTime time.Duration
	inFlight    atomic.Int64
	Probes      atomic.Int64

	mu     sync.Mutex
	faults ServerFaults
	// ran counts the runs of each idempotency key.
	ran map[string]int
	// requests counts the runs of each request id, the query parameter id.
	requests map[string]int
	// drainBy is when new work has to have stopped; zero unless draining.
	drainBy time.Time
	// late counts the requests that arrived after drainBy.
	late int
}

// NewServer returns a server with that many slots.
func NewServer(name string, slots int, opts ...ServerOption) *Server {
	s := &Server{name: name, slots: make(chan struct{}, slots), serviceTime: time.Millisecond, ran: make(map[string]int), requests: make(map[string]int)}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Draining && !s.faults.Draining {
		s.drainBy = time.Now().Add(drainBound)
	}
	if !f.Draining {
		s.drainBy = time.Time{}
	}
	s.faults = f
}

// Log is what a server ran.
type Log struct {
	// RunsByKey and Requests count the runs per idempotency key and request id.
	RunsByKey     map[string]int `json:"keys"`
	RunsByRequest map[string]int `json:"requests"`
	// LateRequests counts the requests that arrived more than 5 s into a drain.
	LateRequests int `json:"late"`
}

// Log returns a copy of what the server ran.
func (s *Server) Log() Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Log{RunsByKey: maps.Clone(s.ran), RunsByRequest: maps.Clone(s.requests), LateRequests: s.late}
}

// Handler returns the HTTP interface of the server.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET("/health", s.health)
	e.GET("/log", func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.Log())
	})
	e.POST("/faults", func(c echo.Context) error {
		var f ServerFaults
		if err := c.Bind(&f); err != nil {
			return err
		}
		s.SetFaults(f)
		return c.NoContent(http.StatusNoContent)
	})
	e.Any("/*", s.work)
	return e
}

func (s *Server) health(c echo.Context) error {
	s.Probes.Add(1)
	f := s.currentFaults()
	s.reportLoad(c, f)
	if (f.Draining || f.FailFast) && !f.AlwaysHealthy {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.String(http.StatusOK, "healthy\n")
}

func (s *Server) currentFaults() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) reportLoad(c echo.Context, f ServerFaults) {
	load := fmt.Sprintf("inFlight=%d; slots=%d", s.inFlight.Load(), cap(s.slots))
	if f.Draining {
		load += "; draining"
	}
	c.Response().Header().Set(wagoutcome.LoadHeader, load)
}

func (s *Server) work(c echo.Context) error {
	f := s.arrive()
	if f.FailFast {
		s.reportLoad(c, f)
		return c.String(http.StatusInternalServerError, "failing\n")
	}
	if f.Draining {
		s.reportLoad(c, f)
		c.Response().Header().Set("Not-Run", "draining")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-c.Request().Context().Done():
		return nil
	}
	defer func() { <-s.slots }()
	if late(c.Request().Header) {
		c.Response().Header().Set("Not-Run", "deadline")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	s.record(c.Request().Header.Get(wagoutcome.IdempotencyKeyHeader), c.QueryParam("id"))
	if !wagclock.Wait(c.Request().Context(), wagclock.System{}, time.Now().Add(s.duration(c, f))) {
		return nil
	}
	return s.answer(c, f)
}

// late tells whether the deadline of a request, or the time by which it has to
// start, has passed.
func late(h http.Header) bool {
	for _, name := range []string{wagoutcome.DeadlineHeader, wagoutcome.StartByHeader} {
		t, err := time.Parse(time.RFC3339Nano, h.Get(name))
		if err == nil && time.Now().After(t) {
			return true
		}
	}
	return false
}

// arrive counts a late arrival and returns the faults in force.
func (s *Server) arrive() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainBy.IsZero() && time.Now().After(s.drainBy) {
		s.late++
	}
	return s.faults
}

func (s *Server) record(key, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.ran[key]++
	}
	if id != "" {
		s.requests[id]++
	}
}

func (s *Server) duration(c echo.Context, f ServerFaults) time.Duration {
	d := s.serviceTime
	if q, err := time.ParseDuration(c.QueryParam("work")); err == nil && q >= 0 && q <= time.Minute {
		d = q
	}
	if f.SlowFactor > 1 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

func (s *Server) answer(c echo.Context, f ServerFaults) error {
	s.reportLoad(c, f)
	body := []byte(s.name + " " + c.Request().Method + " " + c.Request().URL.Path + " " + c.QueryParam("id") + "\n")
	if n, err := strconv.Atoi(c.QueryParam("bytes")); err == nil && n > len(body) && n <= maxAnswer {
		body = append(body, make([]byte, n-len(body))...)
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	c.Response().Header().Set("Server-Name", s.name)
	c.Response().WriteHeader(http.StatusOK)
	if s.takeBreak() {
		_, _ = c.Response().Write(body[:len(body)/2])
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := c.Response().Write(body)
	return err
}

func (s *Server) takeBreak() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.TruncateResponses <= 0 {
		return false
	}
	s.faults.TruncateResponses--
	return true
}
