package wagexplore

import (
	"time"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagevent"
	"github.com/wagtailspar/wagtailspar/wagterms"
)

var termKeys = wagterms.Keys{{ID: "a", Secret: []byte("terms")}}

// termsModule runs callers that present, keep and replay tokens while the
// document is deleted and created again.
type termsModule struct {
	w *world
	// epoch counts the creations of the document.
	epoch int64
	// tokens holds every token that callers got, the oldest first.
	tokens []string
	// began holds the epoch in which the terms of a token began.
	began map[string]int64
	// renewed holds the one renewal of each token.
	renewed map[string]string
}

func newTermsModule(w *world) *termsModule {
	return &termsModule{w: w, epoch: 1, began: make(map[string]int64), renewed: make(map[string]string)}
}

func (t *termsModule) start(*world) {}

func (w *world) docEpoch() int64 {
	if w.terms == nil {
		return 1
	}
	return w.terms.epoch
}

func (t *termsModule) terms(epoch int64) wagterms.Terms {
	if t.w.config.sabotage == noEpoch {
		epoch = 0
	}
	return wagterms.Terms{Service: "orders", Epoch: epoch, Terms: wagdocument.Terms{
		Rate: 10, Burst: 20, Growth: 1.5, MaxRate: 100, MaxBurst: 100,
		Lifetime: 10 * time.Second, MaxLifetime: time.Minute, MaxPlace: 3,
	}}
}

// replace deletes the document and creates it again. Hosts learn of it late.
func (t *termsModule) replace() {
	t.epoch++
	epoch := t.epoch
	t.w.record(wagevent.KindDocument, 0, uint64(epoch))
	for _, h := range t.w.hosts {
		delay := t.w.between(time.Millisecond, 100*time.Millisecond)
		if t.w.active(WatchGap, h.number) {
			delay = t.w.between(time.Second, 20*time.Second)
		}
		h.after(delay, func() { h.epoch = max(h.epoch, epoch) })
	}
}

// call presents a token, often an old copy, at a host.
func (t *termsModule) call(place int) {
	h := t.w.hosts[place]
	if !h.alive || t.w.now < h.paused {
		return
	}
	text := ""
	if n := len(t.tokens); n > 0 && !t.w.chance(10) {
		text = t.tokens[n-1-t.w.random.IntN(min(n, 8))]
	}
	d := t.terms(h.epoch)
	g, next, err := d.EvaluateToken(h.now(), termKeys, "caller", text)
	t.w.counts.TokensPresented++
	t.w.record(wagevent.KindRequest, place, uint64(g.Rate*1000), uint64(len(next)))
	if text != "" && err != nil {
		t.w.counts.TokensRejected++
	}
	if g.Rate > d.MaxRate || g.Burst > float64(d.MaxBurst) || g.Place > d.MaxPlace {
		t.w.violate("terms %+v are above the document", g)
	}
	t.check(h, text, next, err)
}

func (t *termsModule) check(h *host, text, next string, err error) {
	if text != "" && err == nil {
		if t.began[text] != h.epoch {
			t.w.violate("a token of document epoch %d counts at a host in epoch %d", t.began[text], h.epoch)
		}
		if former, ok := t.renewed[text]; ok && next != "" && former != next {
			t.w.violate("two renewals of one token differ")
		}
	}
	if next == "" {
		return
	}
	if text != "" && err == nil {
		t.renewed[text] = next
	}
	if _, ok := t.began[next]; !ok {
		t.began[next] = h.epoch
	}
	t.tokens = append(t.tokens, next)
}
