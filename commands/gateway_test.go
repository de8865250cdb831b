package commands

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against values of the log flags that are not checked.
func TestLogOptions(t *testing.T) {
	is := is.New(t)
	for _, tc := range []struct {
		level string
		rate  float64
		ok    bool
	}{
		{"info", 200, true}, {"warning", 1, true}, {"debug", 200, false}, {"", 200, false},
		{"info", 0, false}, {"info", maxLogRate + 1, false}, {"info", math.NaN(), false},
	} {
		_, err := logOptions(tc.level, tc.rate)
		is.Equal(err == nil, tc.ok)
	}
}
