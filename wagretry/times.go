package wagretry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSize is how many service times make a window. The quantile is that
	// of the last full window, so that it follows changes of load.
	windowSize = 1000
	// Service times are kept in microseconds with two significant figures.
	maxMicroseconds    = int64(time.Hour / time.Microsecond)
	significantFigures = 2
)

// ServiceTimes estimates quantiles of the service times of one service.
type ServiceTimes struct {
	mu            sync.Mutex
	current, last *hdrhistogram.Histogram
}

// NewServiceTimes returns an estimator without observations.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{current: newWindow(), last: newWindow()}
}

func newWindow() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, significantFigures)
}

// Observe adds the service time of an answer.
func (t *ServiceTimes) Observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.current.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
	if t.current.TotalCount() >= windowSize {
		t.current, t.last = t.last, t.current
		t.current.Reset()
	}
}

// HedgeTime returns when a hedge of an attempt sent at the given time is to
// start. It returns false until a window of observations is complete.
func (t *ServiceTimes) HedgeTime(sent time.Time, quantile float64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.TotalCount() == 0 {
		return time.Time{}, false
	}
	return sent.Add(time.Duration(t.last.ValueAtQuantile(quantile*100)) * time.Microsecond), true
}
