package wagretry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSize is the number of service times in a window. Quantiles are those
	// of the last full window, so that they follow changes of load.
	windowSize = 1000
	// Service times are recorded in microseconds with two significant figures.
	maxMicroseconds    = int64(time.Hour / time.Microsecond)
	significantFigures = 2
)

// ServiceTimes estimates quantiles of the service times of one service.
type ServiceTimes struct {
	mu            sync.Mutex
	current, last *hdrhistogram.Histogram
}

// NewServiceTimes returns an estimator without samples.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{current: newWindow(), last: newWindow()}
}

func newWindow() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, significantFigures)
}

// Observe adds the service time of a response.
func (t *ServiceTimes) Observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.current.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
	if t.current.TotalCount() >= windowSize {
		t.current, t.last = t.last, t.current
		t.current.Reset()
	}
}

// HedgeTime returns when the hedge of an attempt that was sent at sentAt starts:
// after the given quantile of the service times. It returns false until the
// first window is full.
func (t *ServiceTimes) HedgeTime(sentAt time.Time, quantile float64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.TotalCount() == 0 {
		return time.Time{}, false
	}
	return sentAt.Add(time.Duration(t.last.ValueAtQuantile(quantile*100)) * time.Microsecond), true
}
