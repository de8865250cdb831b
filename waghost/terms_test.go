package waghost

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// memberList is a fixed list of members.
type memberList []wagmember.Member

func (l memberList) Members(time.Time) []wagmember.Member { return l }

// parseDocument returns a document whose revision has the given epoch.
func parseDocument(t *testing.T, epoch string) *wagdocument.Document {
	d, err := wagdocument.Parse("documents/lots", []byte("[service]\nname = lots\n[revision]\nnumber = 9\nepoch = "+epoch+
		"\n[terms]\nrate = 2\nburst = 2\nlifetime = 1m\n"))
	is.New(t).NoErr(err)
	return d
}

// Guards against tokens that another host with the same keys rejects, tokens that stay
// valid after their document was created again, and tokens that are issued without keys.
func TestTokensOfCallers(t *testing.T) {
	is := is.New(t)
	now, d := time.Unix(1e9, 0), parseDocument(t, "5")
	secrets := []string{"secret-number-one", "secret-number-two"}
	first := newCallerTerms(secrets, memberList{{}}).Admit(now, d, "c", "")
	is.True(first.RenewedToken != "")
	is.Equal(first.Priority, 0)
	// A rotation has changed the order of the keys.
	rotated := newCallerTerms([]string{secrets[1], secrets[0]}, memberList{{}})
	now = now.Add(50 * time.Second)
	renewed := rotated.Admit(now, d, "c", first.RenewedToken)
	is.True(renewed.RenewedToken != "")
	is.True(renewed.RenewedToken != first.RenewedToken)
	is.Equal(rotated.Admit(now, d, "c", renewed.RenewedToken).Priority, 1)
	for name, tc := range map[string]struct{ epoch, caller, token string }{
		"created again": {"6", "c", renewed.RenewedToken}, "another caller": {"5", "x", renewed.RenewedToken}, "forged": {"5", "c", renewed.RenewedToken + "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			admission := newCallerTerms(secrets, memberList{{}}).Admit(now, parseDocument(t, tc.epoch), tc.caller, tc.token)
			is.Equal(admission.Priority, 0)
			is.True(admission.RenewedToken != "")
		})
	}
	admission := newCallerTerms(nil, memberList{{}}).Admit(now, d, "c", renewed.RenewedToken)
	is.Equal(admission.RenewedToken, "")
	is.Equal(admission.Priority, 0)
}

// Guards against rates that are not divided among the live hosts, rates that callers
// share, and refusals that do not say when to retry.
func TestRatesOfCallers(t *testing.T) {
	is := is.New(t)
	now, d := time.Unix(1e9, 0), parseDocument(t, "5")
	terms := newCallerTerms(nil, memberList{{}, {State: wagmember.Suspect}, {State: wagmember.Dead}, {State: wagmember.Leaving}})
	is.Equal(terms.Admit(now, d, "c", "").RefusedReason, wagoutcome.Reason(""))
	refused := terms.Admit(now, d, "c", "")
	is.Equal(refused.RefusedReason, wagoutcome.ReasonRateLimit)
	is.Equal(refused.RetryAt, now.Add(time.Second))
	is.Equal(terms.Admit(now, d, "other", "").RefusedReason, wagoutcome.Reason(""))
	is.Equal(terms.Admit(refused.RetryAt, d, "c", "").RefusedReason, wagoutcome.Reason(""))
}
