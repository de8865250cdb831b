package waggateway

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagplacement"
)

// held returns a server that answers nothing until the end of the test.
func held(t *testing.T, name string) *backend {
	b := newBackend(t, name, answerOK)
	b.hold = make(chan struct{})
	t.Cleanup(func() { close(b.hold) })
	return b
}

// Guards against a caller who waits for a server that is silent or slow although a
// second one would answer, and against a first server that works on.
func TestSecondServerAnswers(t *testing.T) {
	is := is.New(t)
	a, b := held(t, "a"), newBackend(t, "b", answerOK)
	f := newFixture(t, a, b)
	f.placer.hedgeAfter = time.Millisecond
	resp, body := f.call(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "ok")
	<-a.gone
	is.True(f.placer.requests[1].Hedge && f.placer.requests[1].Repeat)
	is.Equal(f.placer.requests[1].Avoid, []string{"a"})
	for len(f.placer.told()) < 2 {
		<-time.After(time.Millisecond)
	}
	is.Equal(f.placer.told()[0].Fault, wagplacement.FaultNone)
	is.Equal(f.placer.told()[1].Fault, wagplacement.FaultOvertaken)
}

// Guards against requests that are sent twice although they may run once, although
// their route permits one attempt, or although their body cannot be sent again.
func TestWhatIsNotHedged(t *testing.T) {
	long := bytes.Repeat([]byte("x"), maxBody+1)
	for name, call := range map[string]struct {
		path string
		body []byte
	}{"once": {"/commit/1", nil}, "one attempt": {"/single/1", nil}, "long body": {"/status/1", long}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := held(t, "a"), newBackend(t, "b", answerOK)
			f := newFixture(t, a, b)
			f.placer.hedgeAfter = time.Millisecond
			f.gateway.SetConfig(testConfig(t, 2, 100*time.Millisecond))
			resp, _ := f.call(t, http.MethodPost, call.path, bytes.NewReader(call.body))
			is.Equal(resp.StatusCode, 504)
			is.Equal(b.count(), 0)
		})
	}
}

// Guards against a request that fails because one of two servers failed, and against
// one that is refused as not run although one of them may have run it.
func TestOneOfTwoServersFails(t *testing.T) {
	for _, x := range []struct {
		name, second string
		refused      bool
		status       int
	}{
		{"second breaks", answerNothing, false, 200},
		{"second fails", answerError, false, 200},
		{"second rejects", answerFull, false, 200},
		{"no second", "", true, 200},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			a := newBackend(t, "a", answerOK)
			a.hold = make(chan struct{})
			servers := []*backend{a}
			if !x.refused {
				servers = append(servers, newBackend(t, "b", x.second))
			}
			f := newFixture(t, servers...)
			f.placer.hedgeAfter = time.Millisecond
			time.AfterFunc(50*time.Millisecond, func() { close(a.hold) })
			resp, _ := f.call(t, http.MethodGet, "/status/1", nil)
			is.Equal(resp.StatusCode, x.status)
		})
	}
	t.Run("both break", func(t *testing.T) {
		is := is.New(t)
		a := newBackend(t, "a", answerNothing)
		a.hold = make(chan struct{})
		f := newFixture(t, a, newBackend(t, "b", answerFull))
		f.placer.hedgeAfter = time.Millisecond
		time.AfterFunc(50*time.Millisecond, func() { close(a.hold) })
		resp, _ := f.call(t, http.MethodGet, "/status/1", strings.NewReader(""))
		is.Equal(resp.StatusCode, 502) // the first may have run it
	})
}

// Guards against a failure of a server that is final although another server would
// have answered, and against one that is lost when no other server is there.
func TestFailureIsRepeatedElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, newBackend(t, "a", answerError), newBackend(t, "b", answerOK))
	resp, _ := f.call(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, 200)
	f = newFixture(t, newBackend(t, "a", answerError))
	resp, body := f.call(t, http.MethodGet, "/status/1", nil)
	is.Equal(resp.StatusCode, 500)
	is.Equal(resp.Header.Get("Signed"), "1")
	is.Equal(body, "no")
}
