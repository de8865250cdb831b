package waggateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is canceled because its last byte arrived at the moment
// at which reads of its body were ended.
func TestBodyEndsWithItsDeadline(t *testing.T) {
	is := is.New(t)
	f := newPipelineFixture(t)
	c := f.callerConn()
	now := time.Now()
	c.beginBody(now)
	c.endStalled(now, now.Add(-time.Hour), now.Add(-time.Hour))
	is.True(c.isReadDeadlinePast())
	c.endBody(nil)
	is.True(!c.isReadDeadlinePast())
	is.Equal(c.expired, RefusalCause(""))
}

// Guards against a head without the response that names its timeout, on a connection of
// which an earlier body was ended.
func TestTimeoutsOfEarlierRequestsEnd(t *testing.T) {
	is := is.New(t)
	f := newPipelineFixture(t)
	c := f.callerConn()
	c.setActivity(finishing)
	c.mu.Lock()
	c.expire(CauseBodyTimeout)
	c.mu.Unlock()
	c.becomeIdle()
	is.Equal(c.expired, RefusalCause(""))
}
