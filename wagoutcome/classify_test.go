package wagoutcome

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against an attempt that may have run being reported as not run.
func TestClassify(t *testing.T) {
	tests := []struct {
		name    string
		e       Evidence
		outcome Outcome
		reason  Reason
	}{
		{"nothing written", Evidence{}, NotRun, ReasonConnection},
		{"nothing written until the deadline", Evidence{Expired: true, Canceled: true}, NotRun, ReasonDeadline},
		{"written, no answer", Evidence{Written: true}, Unknown, ReasonConnection},
		{"written, caller left", Evidence{Written: true, Canceled: true}, Unknown, ReasonCanceled},
		{"written, late", Evidence{Written: true, Expired: true}, Unknown, ReasonDeadline},
		{"written, body over the limit", Evidence{Written: true, BodyTooLarge: true}, Unknown, ReasonTooLarge},
		{"proof without answer", Evidence{Written: true, ProvenNotRun: true}, Unknown, ReasonConnection},
		{"answered", Evidence{Written: true, ResponseReceived: true}, Done, ""},
		{"answered with proof", Evidence{Written: true, ResponseReceived: true, ProvenNotRun: true}, NotRun, ReasonRefusedByServer},
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

// Guards against outcome headers of a server reaching a caller.
func TestStrip(t *testing.T) {
	is := is.New(t)
	h := http.Header{OutcomeHeader: {"not-run"}, HopHeader: {"zone"}, "Content-Type": {"text/plain"}}
	StripReservedHeaders(h)
	is.Equal(h, http.Header{"Content-Type": {"text/plain"}})
}
