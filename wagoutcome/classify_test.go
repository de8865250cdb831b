package wagoutcome

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against an attempt that may have run being reported as not run: once a
// byte is written, only a response that proves it may lead to that outcome.
func TestClassify(t *testing.T) {
	tests := []struct {
		name    string
		e       Evidence
		outcome Outcome
		reason  Reason
	}{
		{"nothing written", Evidence{}, NotRun, ReasonConnection},
		{"nothing written until the deadline", Evidence{Expired: true, Canceled: true}, NotRun, ReasonDeadline},
		{"written, no response", Evidence{Written: true}, Unknown, ReasonConnection},
		{"written, caller disconnected", Evidence{Written: true, Canceled: true}, Unknown, ReasonCanceled},
		{"written, deadline passed", Evidence{Written: true, Expired: true}, Unknown, ReasonDeadline},
		{"written, body over the limit", Evidence{Written: true, BodyTooLarge: true}, Unknown, ReasonTooLarge},
		{"proof without response", Evidence{Written: true, ProvenNotRun: true}, Unknown, ReasonConnection},
		{"response received", Evidence{Written: true, ResponseReceived: true}, Done, ""},
		{"response with proof", Evidence{Written: true, ResponseReceived: true, ProvenNotRun: true}, NotRun, ReasonRefusedByServer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o, r := Classify(tt.e)
			is.Equal(o, tt.outcome)
			is.Equal(r, tt.reason)
		})
	}
}

// Guards against reserved headers of a server reaching the caller, which would
// take them for the outcome that the host reports.
func TestStripReservedHeaders(t *testing.T) {
	is := is.New(t)
	h := http.Header{OutcomeHeader: {"not-run"}, HopHeader: {"zone"}, "Content-Type": {"text/plain"}}
	StripReservedHeaders(h)
	is.Equal(h, http.Header{"Content-Type": {"text/plain"}})
}
