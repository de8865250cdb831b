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

// ServerFaults are the faults that are injected into a Server.
type ServerFaults struct {
	// SlowFactor multiplies service times; a factor below 1 has no effect.
	SlowFactor float64 `json:"slowFactor"`
	// FailFast lets every request fail at once with status 500.
	FailFast bool `json:"failFast"`
	// Draining rejects new requests with status 503 and sets draining in the load
	// header.
	Draining bool `json:"draining"`
	// TruncateResponses is the number of responses that end in the middle of the
	// body.
	TruncateResponses int `json:"breakAnswers"`
	// AlwaysHealthy lets health probes succeed also while the server drains or fails.
	AlwaysHealthy bool `json:"lieHealthy"`
}

// ServerOption sets a property of a Server.
type ServerOption func(*Server)

// WithServiceTime sets the service time of requests without the query parameter work.
func WithServiceTime(d time.Duration) ServerOption {
	return func(s *Server) { s.serviceTime = d }
}

// Server replaces a backend server. It has slots and a queue, works on each request
// for a given time and logs what ran.
type Server struct {
	name string
	// slots holds one element for each request that runs.
	slots       chan struct{}
	serviceTime time.Duration
	// inFlight counts the requests that wait for a slot or run.
	inFlight atomic.Int64
	// Probes counts the health probes.
	Probes atomic.Int64

	mu     sync.Mutex
	faults ServerFaults
	// runsByKey counts the runs of each idempotency key.
	runsByKey map[string]int
	// runsByRequest counts the runs of each request ID, the query parameter id.
	runsByRequest map[string]int
	// drainDeadline is when new requests must have stopped; zero unless draining.
	drainDeadline time.Time
	// lateRequests counts the requests that arrived after drainDeadline.
	lateRequests int
}

// NewServer returns a server that runs up to slots requests at once.
func NewServer(name string, slots int, opts ...ServerOption) *Server {
	s := &Server{name: name, slots: make(chan struct{}, slots), serviceTime: time.Millisecond, runsByKey: make(map[string]int), runsByRequest: make(map[string]int)}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Draining && !s.faults.Draining {
		s.drainDeadline = time.Now().Add(maxDrainDelay)
	}
	if !f.Draining {
		s.drainDeadline = time.Time{}
	}
	s.faults = f
}

// Log holds what a Server ran.
type Log struct {
	// RunsByKey and RunsByRequest count the runs by idempotency key and request ID.
	RunsByKey     map[string]int `json:"keys"`
	RunsByRequest map[string]int `json:"requests"`
	// LateRequests counts the requests that arrived more than 5 s after the server
	// began to drain.
	LateRequests int `json:"late"`
}

// Log returns a copy of the log.
func (s *Server) Log() Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Log{RunsByKey: maps.Clone(s.runsByKey), RunsByRequest: maps.Clone(s.runsByRequest), LateRequests: s.lateRequests}
}

// Handler returns the HTTP API of the server.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET("/health", s.serveHealth)
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
	e.Any("/*", s.serveRequest)
	return e
}

func (s *Server) serveHealth(c echo.Context) error {
	s.Probes.Add(1)
	faults := s.currentFaults()
	s.reportLoad(c, faults)
	if (faults.Draining || faults.FailFast) && !faults.AlwaysHealthy {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.String(http.StatusOK, "healthy\n")
}

func (s *Server) currentFaults() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// reportLoad sets the load header of the response.
func (s *Server) reportLoad(c echo.Context, faults ServerFaults) {
	load := fmt.Sprintf("inFlight=%d; slots=%d", s.inFlight.Load(), cap(s.slots))
	if faults.Draining {
		load += "; draining"
	}
	c.Response().Header().Set(wagoutcome.LoadHeader, load)
}

func (s *Server) serveRequest(c echo.Context) error {
	faults := s.admit()
	if faults.FailFast {
		s.reportLoad(c, faults)
		return c.String(http.StatusInternalServerError, "failing\n")
	}
	if faults.Draining {
		s.reportLoad(c, faults)
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
	if isLate(c.Request().Header) {
		c.Response().Header().Set("Not-Run", "deadline")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	s.logRun(c.Request().Header.Get(wagoutcome.IdempotencyKeyHeader), c.QueryParam("id"))
	if !wagclock.Wait(c.Request().Context(), wagclock.System{}, time.Now().Add(s.serviceTimeOf(c, faults))) {
		return nil
	}
	return s.respond(c, faults)
}

// isLate reports whether the deadline of a request, or the time by which it has to
// start, has passed.
func isLate(h http.Header) bool {
	for _, name := range []string{wagoutcome.DeadlineHeader, wagoutcome.StartByHeader} {
		t, err := time.Parse(time.RFC3339Nano, h.Get(name))
		if err == nil && time.Now().After(t) {
			return true
		}
	}
	return false
}

// admit counts a request that is late for a drain and returns the faults that apply to
// it.
func (s *Server) admit() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainDeadline.IsZero() && time.Now().After(s.drainDeadline) {
		s.lateRequests++
	}
	return s.faults
}

func (s *Server) logRun(key, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.runsByKey[key]++
	}
	if id != "" {
		s.runsByRequest[id]++
	}
}

func (s *Server) serviceTimeOf(c echo.Context, faults ServerFaults) time.Duration {
	serviceTime := s.serviceTime
	if requested, err := time.ParseDuration(c.QueryParam("work")); err == nil && requested >= 0 && requested <= time.Minute {
		serviceTime = requested
	}
	if faults.SlowFactor > 1 {
		serviceTime = time.Duration(float64(serviceTime) * faults.SlowFactor)
	}
	return serviceTime
}

func (s *Server) respond(c echo.Context, faults ServerFaults) error {
	s.reportLoad(c, faults)
	body := []byte(s.name + " " + c.Request().Method + " " + c.Request().URL.Path + " " + c.QueryParam("id") + "\n")
	if n, err := strconv.Atoi(c.QueryParam("bytes")); err == nil && n > len(body) && n <= maxBodyBytes {
		body = append(body, make([]byte, n-len(body))...)
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	c.Response().Header().Set("Server-Name", s.name)
	c.Response().WriteHeader(http.StatusOK)
	if s.takeTruncation() {
		_, _ = c.Response().Write(body[:len(body)/2])
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := c.Response().Write(body)
	return err
}

func (s *Server) takeTruncation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.TruncateResponses <= 0 {
		return false
	}
	s.faults.TruncateResponses--
	return true
}
