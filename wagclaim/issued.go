package wagclaim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagoutcome"
)

// IssuedKeyPrefix starts the text of every issued key.
const IssuedKeyPrefix = "wag1."

// ErrInvalidIssuedKey tells that a key with IssuedPrefix was not issued by any host.
var ErrInvalidIssuedKey = errors.New("issued key is malformed or its signature is wrong")

var incarnationExpression = regexp.MustCompile(`^[A-Za-z0-9_:-]{1,64}$`)

// IssuedKey is a key that a host has issued. Only that incarnation runs it.
type IssuedKey struct {
	Incarnation string
	Counter     uint64
	Expires     time.Time
}

// Secrets are the signing keys of the hosts: the first one signs, all verify.
type Secrets [][]byte

// Sign returns the signed text of the key.
func (s Secrets) Sign(k IssuedKey) string {
	body := k.body()
	return body + "." + mac(s[0], body)
}

func (k IssuedKey) body() string {
	return IssuedKeyPrefix + k.Incarnation + "." + strconv.FormatUint(k.Counter, 10) + "." + strconv.FormatInt(k.Expires.UnixMilli(), 10)
}

func mac(secret []byte, body string) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// Verify reads an issued key. Any host can do so and forward the call to the
// issuer.
func (s Secrets) Verify(text string) (k IssuedKey, err error) {
	defer func() { err = errors.WithMessage(err, "issued key") }()
	parts := strings.Split(text, ".")
	if len(text) > MaxKeyBytes || len(parts) != 5 || parts[0]+"." != IssuedKeyPrefix || !incarnationExpression.MatchString(parts[1]) {
		return IssuedKey{}, ErrInvalidIssuedKey
	}
	counter, counterErr := strconv.ParseUint(parts[2], 10, 64)
	expires, expiresErr := strconv.ParseInt(parts[3], 10, 64)
	if counterErr != nil || expiresErr != nil {
		return IssuedKey{}, ErrInvalidIssuedKey
	}
	k = IssuedKey{Incarnation: parts[1], Counter: counter, Expires: time.UnixMilli(expires)}
	body := strings.TrimSuffix(text, "."+parts[4])
	if body != k.body() {
		return IssuedKey{}, ErrInvalidIssuedKey
	}
	for _, secret := range s {
		if hmac.Equal([]byte(mac(secret, body)), []byte(parts[4])) {
			return k, nil
		}
	}
	return IssuedKey{}, ErrInvalidIssuedKey
}

// Digest identifies the key in commands.
func (k IssuedKey) Digest() Digest {
	return sum([]byte(k.Incarnation), []byte(strconv.FormatUint(k.Counter, 10)))
}

// Issuer issues keys and runs the calls that bring them, without the store. It
// remembers every key that was used until the key expires.
type Issuer struct {
	incarnation string
	secrets     Secrets
	lifetime    time.Duration
	// limit bounds the used keys that are remembered.
	limit   int
	counter uint64
	used    map[uint64]*issuedClaim
	byKey   map[Digest]*issuedClaim
	// order lists used keys; expired ones leave from the front.
	order []*issuedClaim
}

type issuedClaim struct {
	claim
	key IssuedKey
}

// NewIssuer returns the issuer of one start of a host. The incarnation must
// never be used again.
func NewIssuer(incarnation string, secrets Secrets, lifetime time.Duration, limit int) *Issuer {
	return &Issuer{
		incarnation: incarnation, secrets: secrets, lifetime: lifetime, limit: limit,
		used: make(map[uint64]*issuedClaim), byKey: make(map[Digest]*issuedClaim),
	}
}

// Issue returns the text of a new key.
func (i *Issuer) Issue(now time.Time) string {
	i.counter++
	return i.secrets.Sign(IssuedKey{Incarnation: i.incarnation, Counter: i.counter, Expires: now.Add(i.lifetime)})
}

// Submit takes one attempt that brings a verified key. Keys of another
// incarnation are unknown for ever: nobody can tell whether they ran.
func (i *Issuer) Submit(now time.Time, k IssuedKey, s Submit, out []Command) []Command {
	i.forget(now)
	c := i.used[k.Counter]
	switch {
	case k.Incarnation != i.incarnation, c == nil && !now.Before(k.Expires):
		return append(out, Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonForgotten})
	case c == nil:
		return i.first(now, k, s, out)
	case c.Fingerprint != s.Fingerprint:
		return append(out, Response{AttemptID: s.AttemptID, Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonKeyReused})
	case c.stage == running && len(c.waiters) >= MaxWaitingAttempts:
		return append(out, Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonInFlight})
	case c.stage == running:
		c.waiters = append(c.waiters, waiter{attempt: s.AttemptID, deadline: s.Deadline})
		return out
	case c.State == Settled:
		return append(out, c.settled(s.AttemptID))
	}
	return append(out, Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonForgotten})
}

func (i *Issuer) first(now time.Time, k IssuedKey, s Submit, out []Command) []Command {
	refused := Response{AttemptID: s.AttemptID, Outcome: wagoutcome.NotRun}
	switch {
	case !now.Before(s.Deadline):
		refused.Reason = wagoutcome.ReasonDeadline
		return append(out, refused)
	case len(i.order) >= i.limit:
		refused.Reason = wagoutcome.ReasonQueueFull
		return append(out, refused)
	}
	c := &issuedClaim{key: k}
	c.Record = Record{Key: k.Digest(), Fingerprint: s.Fingerprint, State: Open, ClaimedAt: now}
	c.stage = running
	c.waiters = []waiter{{attempt: s.AttemptID, deadline: s.Deadline}}
	i.used[k.Counter], i.byKey[c.Key] = c, c
	i.order = append(i.order, c)
	notAfter := s.Deadline
	if k.Expires.Before(notAfter) {
		notAfter = k.Expires
	}
	return append(out, Dispatch{AttemptID: s.AttemptID, Key: c.Key, StartBy: notAfter})
}

// FinishDispatch ends the one call of a key. A call that was not run frees the key.
func (i *Issuer) FinishDispatch(f DispatchFinished, out []Command) []Command {
	c := i.byKey[f.Key]
	if c == nil || c.stage != running {
		return out
	}
	c.stage = resting
	a := f.answer()
	switch f.Outcome {
	case wagoutcome.Done:
		c.keep(f, MaxBodyBytes)
	case wagoutcome.NotRun:
		delete(i.used, c.key.Counter)
		delete(i.byKey, c.Key)
	default:
		c.State = Unresolved
	}
	for _, w := range c.waiters {
		a.AttemptID = w.attempt
		out = append(out, a)
	}
	c.waiters = nil
	return out
}

// forget removes used keys past their expiry. The clock bound is added, so that
// a clock that is set back does not make an expired key valid again.
func (i *Issuer) forget(now time.Time) {
	for len(i.order) > 0 {
		c := i.order[0]
		if c.stage == running || now.Before(c.key.Expires.Add(wagclock.MaxSkew)) {
			return
		}
		if i.used[c.key.Counter] == c {
			delete(i.used, c.key.Counter)
			delete(i.byKey, c.Key)
		}
		i.order = i.order[1:]
	}
}
