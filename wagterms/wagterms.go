// Package wagterms grants callers terms, such as a rate, that improve with each
// renewal. The terms are in a signed token that the caller keeps; no host stores
// them.
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
	// MaxTokenBytes is the length of the longest token.
	MaxTokenBytes = 1024
	// tokenFormat is the first part of every token.
	tokenFormat = "t1"
	// renewalDivisor defines when a token is renewable: in the last
	// lifetime/renewalDivisor before it expires.
	renewalDivisor = 4
	// maxGeneration limits the exponent of the growth.
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

// Token is the content of a token. The terms of a caller are computed from it.
type Token struct {
	Service string `json:"service"`
	Caller  string `json:"caller"`
	// Generation is the number of renewals since the terms began.
	Generation int `json:"generation"`
	// Origin is when the terms began, in milliseconds since the Unix epoch.
	Origin int64 `json:"origin"`
	// Epoch is the epoch of the document when the terms began.
	Epoch int64 `json:"epoch"`
	// Renewable is when the token may be renewed, and Expires when it expires,
	// both in milliseconds since the Unix epoch. Renewable is not after Expires.
	Renewable int64 `json:"renewable"`
	Expires   int64 `json:"expires"`
}

// Key is a key that signs tokens. The ID is part of the token and must not
// contain a dot.
type Key struct {
	ID     string
	Secret []byte
}

// Keys holds the signing keys. The first one signs; all of them verify. To rotate
// keys, first add the new key at the end on all hosts, then move it to the front,
// and remove the old key after the longest lifetime of a token.
type Keys []Key

// Sign returns the text of a token with its signature.
func (k Keys) Sign(t Token) string {
	return k[0].sign(t)
}

// sign returns the text of a token with the signature of this key.
func (k Key) sign(t Token) string {
	// A struct of strings and integers can always be encoded.
	payload, _ := json.Marshal(t)
	body := tokenFormat + "." + k.ID + "." + base64.RawURLEncoding.EncodeToString(payload)
	return body + "." + base64.RawURLEncoding.EncodeToString(k.mac(body))
}

func (k Key) mac(body string) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write([]byte(body))
	return h.Sum(nil)
}

// Parse verifies the signature of a token and decodes its content.
func (k Keys) Parse(text string) (t Token, err error) {
	defer func() { err = errors.WithMessage(err, "parse terms token") }()
	parts := strings.Split(text, ".")
	if len(text) > MaxTokenBytes || len(parts) != 4 || parts[0] != tokenFormat {
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

// verify reports whether the key with this ID made the signature of body.
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

// Terms are the terms of a document for its callers.
type Terms struct {
	wagdocument.Terms
	Service string
	// Epoch is the revision at which the document was created, or created again
	// after a deletion. Tokens of another epoch are refused.
	Epoch int64
}

// Grant is what a caller gets.
type Grant struct {
	// Rate and Burst apply to all hosts together.
	Rate  float64
	Burst float64
	// Place is how far the caller's requests move ahead in a queue.
	Place int
}

// Grant returns the grant of a generation, within the limits of the document.
func (t Terms) Grant(generation int) Grant {
	g := t.growthFactor(generation)
	return Grant{
		Rate:  math.Min(t.Rate*g, t.MaxRate),
		Burst: math.Floor(math.Min(float64(t.Burst)*g, float64(t.MaxBurst))),
		Place: min(generation, t.MaxPlace),
	}
}

// growthFactor returns the factor by which the terms have grown in a generation.
func (t Terms) growthFactor(generation int) float64 {
	return math.Pow(t.Growth, float64(min(generation, maxGeneration)))
}

// lifetime returns how long a token of a generation is valid.
func (t Terms) lifetime(generation int) time.Duration {
	return time.Duration(math.Min(float64(t.Lifetime)*t.growthFactor(generation), float64(t.MaxLifetime)))
}

// FirstToken returns the token of a caller that has no valid one.
func (t Terms) FirstToken(now time.Time, caller string) Token {
	first := Token{Service: t.Service, Caller: caller, Origin: now.UnixMilli(), Epoch: t.Epoch, Expires: now.UnixMilli()}
	return t.extendToken(first)
}

// extendToken extends a token by the lifetime of its generation.
func (t Terms) extendToken(token Token) Token {
	lifetimeMillis := t.lifetime(token.Generation).Milliseconds()
	token.Expires += lifetimeMillis
	token.Renewable = token.Expires - lifetimeMillis/renewalDivisor
	return token
}

// RenewToken returns the renewed token. It depends only on the old token and the
// document, so that renewals at several hosts, or of old copies, give the same
// token. The next lifetime starts when the old token expires: an early renewal
// gains no time, and no chain of renewals gets ahead of the clock.
func (t Terms) RenewToken(token Token) Token {
	token.Generation++
	return t.extendToken(token)
}

// CheckToken reports whether a token of a caller is valid at the given time.
func (t Terms) CheckToken(now time.Time, caller string, token Token) (err error) {
	defer func() { err = errors.WithMessage(err, "check terms token") }()
	switch {
	case token.Service != t.Service || token.Caller != caller:
		return ErrMismatch
	case token.Epoch != t.Epoch || t.isReset(token):
		return ErrReset
	case token.Origin > now.Add(wagclock.MaxSkew).UnixMilli():
		return ErrInFuture
	case now.UnixMilli() >= token.Expires:
		return ErrExpired
	}
	return nil
}

// isReset reports whether a reset in the document applies to a token.
func (t Terms) isReset(token Token) bool {
	if t.ResetBefore.IsZero() || token.Origin >= t.ResetBefore.UnixMilli() {
		return false
	}
	return len(t.ResetCallers) == 0 || slices.Contains(t.ResetCallers, token.Caller)
}

// EvaluateToken evaluates the token that came with a request, or an empty text.
// It returns the grant for the request, and the text of a new token if the caller
// gets one. The error is the reason why the token was not accepted; the caller
// then gets the terms of a new caller.
func (t Terms) EvaluateToken(now time.Time, keys Keys, caller, text string) (g Grant, next string, err error) {
	if text == "" {
		return t.Grant(0), keys.Sign(t.FirstToken(now, caller)), nil
	}
	token, err := keys.Parse(text)
	if err == nil {
		err = t.CheckToken(now, caller, token)
	}
	if err != nil {
		return t.Grant(0), keys.Sign(t.FirstToken(now, caller)), err
	}
	if now.UnixMilli() >= token.Renewable {
		next = keys.Sign(t.RenewToken(token))
	}
	return t.Grant(token.Generation), next, nil
}
