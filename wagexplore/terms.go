package wagexplore

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagterms"
)

var termKeys = wagterms.Keys{{ID: "a", Secret: []byte("terms")}}

// termsModule simulates callers that present, keep and replay the tokens of their terms
// while the document is deleted and created again.
type termsModule struct {
	world *world
	// epoch counts the creations of the document.
	epoch int64
	// tokens holds all tokens that callers got, oldest first.
	tokens []string
	// issueEpoch holds the epoch of the document at the host that first issued a token.
	issueEpoch map[string]int64
	// renewals holds the renewal of each token, which must always be the same.
	renewals map[string]string
}

func newTermsModule(w *world) *termsModule {
	return &termsModule{world: w, epoch: 1, issueEpoch: make(map[string]int64), renewals: make(map[string]string)}
}

func (t *termsModule) start(*world) {}

func (w *world) documentEpoch() int64 {
	if w.tokens == nil {
		return 1
	}
	return w.tokens.epoch
}

func (t *termsModule) terms(epoch int64) wagterms.Terms {
	if t.world.config.defect == noEpoch {
		epoch = 0
	}
	return wagterms.Terms{Service: "orders", Epoch: epoch, Terms: wagdocument.Terms{
		Rate: 10, Burst: 20, Growth: 1.5, MaxRate: 100, MaxBurst: 100,
		Lifetime: 10 * time.Second, MaxLifetime: time.Minute, MaxPlace: 3,
	}}
}

// recreateDocument deletes the document and creates it again. Each host has the new
// epoch only after a delay.
func (t *termsModule) recreateDocument() {
	t.epoch++
	epoch := t.epoch
	t.world.record(wagevent.KindDocument, 0, uint64(epoch))
	for _, h := range t.world.hosts {
		delay := t.world.randomDuration(time.Millisecond, 100*time.Millisecond)
		if t.world.faultActive(WatchGap, h.index) {
			delay = t.world.randomDuration(time.Second, 20*time.Second)
		}
		h.schedule(delay, func() { h.documentEpoch = max(h.documentEpoch, epoch) })
	}
}

// presentToken presents no token or one of the latest eight to a host, and checks the
// terms and the token that it returns.
func (t *termsModule) presentToken(hostIndex int) {
	h := t.world.hosts[hostIndex]
	if !h.alive || t.world.now < h.pausedUntil {
		return
	}
	text := ""
	if n := len(t.tokens); n > 0 && !t.world.chance(10) {
		text = t.tokens[n-1-t.world.random.IntN(min(n, 8))]
	}
	d := t.terms(h.documentEpoch)
	grant, next, err := d.EvaluateToken(h.now(), termKeys, "caller", text)
	t.world.counts.TokensPresented++
	t.world.record(wagevent.KindRequest, hostIndex, uint64(grant.Rate*1000), uint64(len(next)))
	if text != "" && err != nil {
		t.world.counts.TokensRejected++
	}
	if grant.Rate > d.MaxRate || grant.Burst > float64(d.MaxBurst) || grant.Place > d.MaxPlace {
		t.world.reportViolation("terms %+v are above the document", grant)
	}
	t.checkToken(h, text, next, err)
}

// checkToken checks that a host rejects tokens of another epoch and that all renewals of
// a token are equal.
func (t *termsModule) checkToken(h *host, text, next string, err error) {
	if text != "" && err == nil {
		if t.issueEpoch[text] != h.documentEpoch {
			t.world.reportViolation("a token of document epoch %d counts at a host in epoch %d", t.issueEpoch[text], h.documentEpoch)
		}
		if previous, ok := t.renewals[text]; ok && next != "" && previous != next {
			t.world.reportViolation("two renewals of one token differ")
		}
	}
	if next == "" {
		return
	}
	if text != "" && err == nil {
		t.renewals[text] = next
	}
	if _, ok := t.issueEpoch[next]; !ok {
		t.issueEpoch[next] = h.documentEpoch
	}
	t.tokens = append(t.tokens, next)
}
