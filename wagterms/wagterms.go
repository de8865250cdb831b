// Package wagterms grants callers terms that improve as they return. The terms
// are a signed token that the caller holds; no host keeps a record of them.
package wagterms

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
)

const (
	// MaxTokenBytes is the longest token in bytes.
	MaxTokenBytes = 1024
	// format starts every token.
	format = "t1"
	// renewShare is the last part of a lifetime, as a divisor, in which a token
	// is renewed.
	renewShare = 4
	// maxGeneration bounds the exponent of the growth.
	maxGeneration = 1000
)

// Errors of tokens. Test with errors.Is.
var (
	ErrMalformed = errors.New("token is malformed")
	ErrSignature = errors.New("token is signed with no known key")
	ErrMismatch  = errors.New("token belongs to another service or caller")
	ErrExpired   = errors.New("token has expired")
	ErrReset     = errors.New("token began before a reset")
	ErrInFuture  = errors.New("token began in the future")
)

// Token is what a caller's terms are computed from.
type Token struct {
	Service string `json:"service"`
	Caller  string `json:"caller"`
	// Generation counts the renewals since the terms began.
	Generation int `json:"generation"`
	// Origin is when the terms began, in milliseconds.
	Origin int64 `json:"origin"`
	// Epoch is that of the document when the terms began.
	Epoch int64 `json:"epoch"`
	// Renewable and Expires are in milliseconds; Renewable is the smaller one.
	Renewable int64 `json:"renewable"`
	Expires   int64 `json:"expires"`
}

// Key signs tokens. The ID is part of the token and contains no dot.
type Key struct {
	ID     string
	Secret []byte
}

// Keys holds the signing keys: the first one signs, all verify. To rotate, the
// new key is first added at the end on all hosts and then moved to the front;
// the old one is removed after the longest lifetime.
type Keys []Key

// Sign returns the text of a token.
func (k Keys) Sign(t Token) string {
	return k[0].sign(t)
}

func (k Key) sign(t Token) string {
	// A struct of strings and integers always encodes.
	payload, _ := json.Marshal(t)
	body := format + "." + k.ID + "." + base64.RawURLEncoding.EncodeToString(payload)
	return body + "." + base64.RawURLEncoding.EncodeToString(k.mac(body))
}

func (k Key) mac(body string) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write([]byte(body))
	return h.Sum(nil)
}

// Parse verifies the signature of a token and decodes it.
func (k Keys) Parse(text string) (t Token, err error) {
	defer func() { err = errors.WithMessage(err, "caller terms") }()
	parts := strings.Split(text, ".")
	if len(text) > MaxTokenBytes || len(parts) != 4 || parts[0] != format {
		return Token{}, ErrMalformed
	}
	if !k.verify(strings.Join(parts[:3], "."), parts[1], parts[3]) {
		return Token{}, ErrSignature
	}
	payload, err := base64.RawURLEncoding.Strict().DecodeString(parts[2])
	if err != nil {
		return Token{}, ErrMalformed
	}
	d := json.NewDecoder(bytes.NewReader(payload))
	d.DisallowUnknownFields()
	if d.Decode(&t) != nil || t.Generation < 0 || t.Renewable > t.Expires || t.Origin > t.Renewable {
		return Token{}, ErrMalformed
	}
	return t, nil
}

func (k Keys) verify(body, id, signature string) bool {
	mac, err := base64.RawURLEncoding.Strict().DecodeString(signature)
	if err != nil {
		return false
	}
	for _, key := range k {
		if key.ID == id && hmac.Equal(key.mac(body), mac) {
			return true
		}
	}
	return false
}

// Terms is what a document says of the terms of its callers.
type Terms struct {
	wagdocument.Terms
	Service string
	// Epoch is the revision at which the document was created, or created again
	// after a deletion. Tokens of an earlier epoch are refused.
	Epoch int64
}

// Grant is what a caller gets.
type Grant struct {
	// Rate and Burst hold for all hosts together.
	Rate  float64
	Burst float64
	// Place is the caller's advance in a queue.
	Place int
}

// Grant returns the terms of a generation, within the limits of the document.
func (t Terms) Grant(generation int) Grant {
	g := t.growth(generation)
	return Grant{
		Rate:  math.Min(t.Rate*g, t.MaxRate),
		Burst: math.Floor(math.Min(float64(t.Burst)*g, float64(t.MaxBurst))),
		Place: min(generation, t.MaxPlace),
	}
}

func (t Terms) growth(generation int) float64 {
	return math.Pow(t.Growth, float64(min(generation, maxGeneration)))
}

func (t Terms) lifetime(generation int) time.Duration {
	return time.Duration(math.Min(float64(t.Lifetime)*t.growth(generation), float64(t.MaxLifetime)))
}

// FirstToken returns the token of a caller without terms.
func (t Terms) FirstToken(now time.Time, caller string) Token {
	first := Token{Service: t.Service, Caller: caller, Origin: now.UnixMilli(), Epoch: t.Epoch, Expires: now.UnixMilli()}
	return t.extend(first)
}

func (t Terms) extend(k Token) Token {
	life := t.lifetime(k.Generation).Milliseconds()
	k.Expires += life
	k.Renewable = k.Expires - life/renewShare
	return k
}

// RenewToken returns the token that follows. It depends on the old token and the
// document only, so that renewals at several hosts or of old copies give the
// same token. The next lifetime starts at the old expiry: early renewal gains no
// time, and no chain of renewals runs ahead of the clock.
func (t Terms) RenewToken(k Token) Token {
	k.Generation++
	return t.extend(k)
}

// CheckToken tells whether a token of a caller counts at this time.
func (t Terms) CheckToken(now time.Time, caller string, k Token) (err error) {
	defer func() { err = errors.WithMessage(err, "caller terms") }()
	switch {
	case k.Service != t.Service || k.Caller != caller:
		return ErrMismatch
	case k.Epoch != t.Epoch || t.reset(k):
		return ErrReset
	case k.Origin > now.Add(wagclock.MaxSkew).UnixMilli():
		return ErrInFuture
	case now.UnixMilli() >= k.Expires:
		return ErrExpired
	}
	return nil
}

func (t Terms) reset(k Token) bool {
	if t.ResetBefore.IsZero() || k.Origin >= t.ResetBefore.UnixMilli() {
		return false
	}
	return len(t.ResetCallers) == 0 || slices.Contains(t.ResetCallers, k.Caller)
}

// EvaluateToken takes the token that came with a call, or none. It returns the terms
// of the call, and the text of a token when the caller is to get a new one. An
// error says why a token was not taken; the caller then starts anew.
func (t Terms) EvaluateToken(now time.Time, keys Keys, caller, text string) (g Grant, next string, err error) {
	if text == "" {
		return t.Grant(0), keys.Sign(t.FirstToken(now, caller)), nil
	}
	k, err := keys.Parse(text)
	if err == nil {
		err = t.CheckToken(now, caller, k)
	}
	if err != nil {
		return t.Grant(0), keys.Sign(t.FirstToken(now, caller)), err
	}
	if now.UnixMilli() >= k.Renewable {
		next = keys.Sign(t.RenewToken(k))
	}
	return t.Grant(k.Generation), next, nil
}
