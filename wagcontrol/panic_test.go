package wagcontrol

import (
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"
)

// Guards against a probe or a call to another host that ends the process.
func TestPanicOfTask(t *testing.T) {
	is := is.New(t)
	log, hook := test.NewNullLogger()
	c := &Control{log: log}
	is.True(c.spawn(func() { panic("unexpected reply") }))
	is.NoErr(c.tasks.Wait())
	is.Equal(len(hook.AllEntries()), 1)
}
