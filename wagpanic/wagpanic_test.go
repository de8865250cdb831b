package wagpanic

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

func index(list []int, i int) int { return list[i] }

// Guards against a panic that is not caught, counted and logged with its place, and
// against errors that are changed.
func TestCatch(t *testing.T) {
	is := is.New(t)
	log, hook := test.NewNullLogger()
	before := Count()
	is.NoErr(Catch(log, func() error { return nil }))
	is.Equal(Catch(log, func() error { return io.EOF }), io.EOF)
	is.Equal(Count(), before)
	err := Catch(log, func() error {
		index(nil, 1)
		return nil
	})
	var caught *Error
	is.True(errors.As(err, &caught))
	is.True(strings.Contains(err.Error(), "index out of range"))
	is.True(strings.Contains(string(caught.Stack), "wagpanic.index"))
	is.Equal(Count(), before+1)
	is.Equal(len(hook.AllEntries()), 1)
	is.Equal(hook.LastEntry().Level, logrus.ErrorLevel)
	is.True(strings.Contains(hook.LastEntry().Data["stack"].(string), "wagpanic.index"))
}
