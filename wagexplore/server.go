package wagexplore

import (
	"strconv"
	"time"

	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// server is a fake server that logs every execution. It doesn't start requests after
// their StartBy, and reports only requests that it did not run as not run.
type server struct {
	world       *world
	index       int
	clockOffset time.Duration
	// previousBody is the body of the latest response, for the defect answersMixedUp.
	previousBody string
}

// serverResponse is the response to one attempt. Its outcome is unknown when the caller
// of the server gets no complete response.
type serverResponse struct {
	outcome wagoutcome.Outcome
	body    string
}

// serve handles an attempt and calls done once with the response.
func (s *server) serve(a *attempt, sender string, startBy time.Time, done func(serverResponse)) {
	s.world.schedule(s.world.randomDuration(300*time.Microsecond, 700*time.Microsecond), func() {
		late := s.world.trueTime().Add(s.clockOffset).After(startBy) && s.world.config.defect != noLeaseCheck
		if late || s.world.faultActive(Drain, s.index) || s.world.faultActive(FailFast, s.index) {
			s.world.schedule(500*time.Microsecond, func() { done(serverResponse{outcome: wagoutcome.NotRun}) })
			return
		}
		body := "answer " + strconv.Itoa(a.request.id) + " " + strconv.Itoa(a.id)
		s.world.executions.recordExecution(a, sender, body)
		s.world.schedule(s.randomServiceTime(), func() { done(s.response(body)) })
	})
}

func (s *server) randomServiceTime() time.Duration {
	if s.world.faultActive(ServerSlow, s.index) {
		return s.world.randomDuration(100*time.Millisecond, 6*time.Second)
	}
	return s.world.randomDuration(4*time.Millisecond, 8*time.Millisecond)
}

// response returns the response to a request that has run.
func (s *server) response(body string) serverResponse {
	previous := s.previousBody
	s.previousBody = body
	switch {
	case s.world.config.defect == answersMixedUp && previous != "" && s.world.chance(2):
		return serverResponse{outcome: wagoutcome.Done, body: previous}
	case !s.world.faultActive(ServerDies, s.index) || s.world.chance(50):
		return serverResponse{outcome: wagoutcome.Done, body: body}
	case s.world.config.defect == cleanEnd:
		return serverResponse{outcome: wagoutcome.Done, body: body[:len(body)/2]}
	}
	return serverResponse{outcome: wagoutcome.Unknown}
}
