package wagclock

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calculated times whose value depends on the processor.
func TestFromNanoseconds(t *testing.T) {
	is := is.New(t)
	for n, want := range map[float64]time.Duration{
		0: 0, 1.9: 1, -1.9: -1, 1e9: time.Second, 1 << 62: 1 << 62,
		math.MaxInt64: math.MaxInt64, 1e300: math.MaxInt64, math.Inf(1): math.MaxInt64,
		math.MinInt64: math.MinInt64, -1e300: math.MinInt64, math.Inf(-1): math.MinInt64,
	} {
		is.Equal(FromNanoseconds(n), want)
	}
	is.Equal(FromNanoseconds(math.NaN()), time.Duration(0))
}
