package wagoutcome

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against numbers that count as a status of HTTP.
func TestStatuses(t *testing.T) {
	is := is.New(t)
	for status := -1; status <= 1000; status++ {
		is.Equal(IsInformationalStatus(status), status >= 100 && status <= 199)
		is.Equal(IsFinalStatus(status), status >= 200 && status <= 599)
	}
}
