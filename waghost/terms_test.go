package waghost

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagmember"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

type hosts []wagmember.Member

func (h hosts) Members(time.Time) []wagmember.Member { return h }

func document(t *testing.T, epoch string) *wagdocument.Document {
	d, err := wagdocument.Parse("documents/lots", []byte("[service]\nname = lots\n[revision]\nnumber = 9\nepoch = "+epoch+
		"\n[terms]\nrate = 2\nburst = 2\nlifetime = 1m\n"))
	is.New(t).NoErr(err)
	return d
}

// Guards against tokens that another host with the same keys does not take,
// tokens that outlive their document, and tokens that are issued without keys.
func TestTokensOfCallers(t *testing.T) {
	is := is.New(t)
	now, d := time.Unix(1e9, 0), document(t, "5")
	old := []string{"secret-number-one", "secret-number-two"}
	first := newTerms(old, hosts{{}}).Admit(now, d, "c", "")
	is.True(first.RenewedToken != "")
	is.Equal(first.Priority, 0)
	// The keys have changed their order in a rotation.
	other := newTerms([]string{old[1], old[0]}, hosts{{}})
	now = now.Add(50 * time.Second)
	renewed := other.Admit(now, d, "c", first.RenewedToken)
	is.True(renewed.RenewedToken != "")
	is.True(renewed.RenewedToken != first.RenewedToken)
	is.Equal(other.Admit(now, d, "c", renewed.RenewedToken).Priority, 1)
	for name, x := range map[string]struct{ epoch, caller, token string }{
		"created again": {"6", "c", renewed.RenewedToken}, "another caller": {"5", "x", renewed.RenewedToken}, "forged": {"5", "c", renewed.RenewedToken + "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTerms(old, hosts{{}}).Admit(now, document(t, x.epoch), x.caller, x.token)
			is.Equal(g.Priority, 0)
			is.True(g.RenewedToken != "")
		})
	}
	none := newTerms(nil, hosts{{}}).Admit(now, d, "c", renewed.RenewedToken)
	is.Equal(none.RenewedToken, "")
	is.Equal(none.Priority, 0)
}

// Guards against rates that are not divided among the live hosts, shared by
// callers, or refused without a time to come again.
func TestRatesOfCallers(t *testing.T) {
	is := is.New(t)
	now, d := time.Unix(1e9, 0), document(t, "5")
	x := newTerms(nil, hosts{{}, {State: wagmember.Suspect}, {State: wagmember.Dead}, {State: wagmember.Leaving}})
	is.Equal(x.Admit(now, d, "c", "").RefusedReason, wagoutcome.Reason(""))
	refused := x.Admit(now, d, "c", "")
	is.Equal(refused.RefusedReason, wagoutcome.ReasonRateLimit)
	is.Equal(refused.RetryAt, now.Add(time.Second))
	is.Equal(x.Admit(now, d, "other", "").RefusedReason, wagoutcome.Reason(""))
	is.Equal(x.Admit(refused.RetryAt, d, "c", "").RefusedReason, wagoutcome.Reason(""))
}
