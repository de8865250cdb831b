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

// IssuedKeyPrefix is the prefix of every issued key.
const IssuedKeyPrefix = "wag1."

// ErrInvalidIssuedKey reports that no host issued a key with IssuedKeyPrefix.
var ErrInvalidIssuedKey = errors.New("issued key is malformed or its signature is wrong")

var incarnationPattern = regexp.MustCompile(`^[A-Za-z0-9_:-]{1,64}$`)

// IssuedKey is a key that a host has issued. Only the incarnation that issued it
// runs the request.
type IssuedKey struct {
	Incarnation string
	// Counter is unique to the key within its incarnation.
	Counter uint64
	Expires time.Time
}

// Secrets are the signing keys of the hosts. The first one signs; all of them
// verify.
type Secrets [][]byte

// Sign returns the text of the key with its signature.
func (s Secrets) Sign(k IssuedKey) string {
	unsigned := k.unsignedText()
	return unsigned + "." + mac(s[0], unsigned)
}

// unsignedText returns the text of the key without its signature.
func (k IssuedKey) unsignedText() string {
	return IssuedKeyPrefix + k.Incarnation + "." + strconv.FormatUint(k.Counter, 10) + "." + strconv.FormatInt(k.Expires.UnixMilli(), 10)
}

// mac returns the encoded HMAC of body.
func mac(secret []byte, body string) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// Verify parses an issued key and checks its signature. Any host can verify the
// key and forward the request to the issuer.
func (s Secrets) Verify(text string) (k IssuedKey, err error) {
	defer func() { err = errors.WithMessage(err, "verify issued key") }()
	parts := strings.Split(text, ".")
	if len(text) > MaxKeyBytes || len(parts) != 5 || parts[0]+"." != IssuedKeyPrefix || !incarnationPattern.MatchString(parts[1]) {
		return IssuedKey{}, ErrInvalidIssuedKey
	}
	counter, counterErr := strconv.ParseUint(parts[2], 10, 64)
	expires, expiresErr := strconv.ParseInt(parts[3], 10, 64)
	if counterErr != nil || expiresErr != nil {
		return IssuedKey{}, ErrInvalidIssuedKey
	}
	k = IssuedKey{Incarnation: parts[1], Counter: counter, Expires: time.UnixMilli(expires)}
	body := strings.TrimSuffix(text, "."+parts[4])
	if body != k.unsignedText() {
		return IssuedKey{}, ErrInvalidIssuedKey
	}
	for _, secret := range s {
		if hmac.Equal([]byte(mac(secret, body)), []byte(parts[4])) {
			return k, nil
		}
	}
	return IssuedKey{}, ErrInvalidIssuedKey
}

// Digest returns the digest that identifies the key in commands.
func (k IssuedKey) Digest() Digest {
	return newDigest([]byte(k.Incarnation), []byte(strconv.FormatUint(k.Counter, 10)))
}

// Issuer issues keys and runs the requests that use them, without the store. It
// remembers every used key until the key expires.
type Issuer struct {
	incarnation string
	secrets     Secrets
	lifetime    time.Duration
	// maxUsedKeys limits the used keys that are remembered.
	maxUsedKeys int
	counter     uint64
	// byCounter and byDigest hold the claims of the used keys.
	byCounter map[uint64]*issuedClaim
	byDigest  map[Digest]*issuedClaim
	// usedKeys lists the used keys in the order of their first use. Expired keys
	// are removed from the front.
	usedKeys []*issuedClaim
}

// issuedClaim is the claim of a used key.
type issuedClaim struct {
	claim
	key IssuedKey
}

// NewIssuer returns an issuer for one start of a host. The incarnation must be
// unique to that start.
func NewIssuer(incarnation string, secrets Secrets, lifetime time.Duration, maxUsedKeys int) *Issuer {
	return &Issuer{
		incarnation: incarnation, secrets: secrets, lifetime: lifetime, maxUsedKeys: maxUsedKeys,
		byCounter: make(map[uint64]*issuedClaim), byDigest: make(map[Digest]*issuedClaim),
	}
}

// Issue returns the text of a new key.
func (i *Issuer) Issue(now time.Time) string {
	i.counter++
	return i.secrets.Sign(IssuedKey{Incarnation: i.incarnation, Counter: i.counter, Expires: now.Add(i.lifetime)})
}

// Submit handles an attempt with a verified key. The outcome of a key of another
// incarnation is always unknown, because no host can find out whether the request
// ran.
func (i *Issuer) Submit(now time.Time, k IssuedKey, s Submit, out []Command) []Command {
	i.removeExpired(now)
	c := i.byCounter[k.Counter]
	switch {
	case k.Incarnation != i.incarnation, c == nil && !now.Before(k.Expires):
		return append(out, Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonForgotten})
	case c == nil:
		return i.dispatchFirst(now, k, s, out)
	case c.Fingerprint != s.Fingerprint:
		return append(out, Response{AttemptID: s.AttemptID, Outcome: wagoutcome.NotRun, Reason: wagoutcome.ReasonKeyReused})
	case c.stage == dispatched && len(c.waiters) >= MaxWaitingAttempts:
		return append(out, Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonInFlight})
	case c.stage == dispatched:
		c.waiters = append(c.waiters, waiter{attemptID: s.AttemptID, deadline: s.Deadline})
		return out
	case c.State == Settled:
		return append(out, c.recordedResponse(s.AttemptID))
	}
	return append(out, Response{AttemptID: s.AttemptID, Reason: wagoutcome.ReasonForgotten})
}

// dispatchFirst dispatches the request of the first attempt with a key, unless
// its deadline has passed or too many used keys are remembered.
func (i *Issuer) dispatchFirst(now time.Time, k IssuedKey, s Submit, out []Command) []Command {
	refused := Response{AttemptID: s.AttemptID, Outcome: wagoutcome.NotRun}
	switch {
	case !now.Before(s.Deadline):
		refused.Reason = wagoutcome.ReasonDeadline
		return append(out, refused)
	case len(i.usedKeys) >= i.maxUsedKeys:
		refused.Reason = wagoutcome.ReasonQueueFull
		return append(out, refused)
	}
	c := &issuedClaim{key: k}
	c.Record = Record{Key: k.Digest(), Fingerprint: s.Fingerprint, State: Open, ClaimedAt: now}
	c.stage = dispatched
	c.waiters = []waiter{{attemptID: s.AttemptID, deadline: s.Deadline}}
	i.byCounter[k.Counter], i.byDigest[c.Key] = c, c
	i.usedKeys = append(i.usedKeys, c)
	startBy := s.Deadline
	if k.Expires.Before(startBy) {
		startBy = k.Expires
	}
	return append(out, Dispatch{AttemptID: s.AttemptID, Key: c.Key, StartBy: startBy})
}

// FinishDispatch ends the only dispatch of a key. If the request did not run, the
// key can be used again.
func (i *Issuer) FinishDispatch(f DispatchFinished, out []Command) []Command {
	c := i.byDigest[f.Key]
	if c == nil || c.stage != dispatched {
		return out
	}
	c.stage = terminal
	r := f.response()
	switch f.Outcome {
	case wagoutcome.Done:
		c.recordResponse(f, MaxBodyBytes)
	case wagoutcome.NotRun:
		delete(i.byCounter, c.key.Counter)
		delete(i.byDigest, c.Key)
	default:
		c.State = Unresolved
	}
	for _, w := range c.waiters {
		r.AttemptID = w.attemptID
		out = append(out, r)
	}
	c.waiters = nil
	return out
}

// removeExpired removes used keys after their expiry. It waits for
// wagclock.MaxSkew as well, so that a clock that is set back does not make an
// expired key valid again.
func (i *Issuer) removeExpired(now time.Time) {
	for len(i.usedKeys) > 0 {
		c := i.usedKeys[0]
		if c.stage == dispatched || now.Before(c.key.Expires.Add(wagclock.MaxSkew)) {
			return
		}
		if i.byCounter[c.key.Counter] == c {
			delete(i.byCounter, c.key.Counter)
			delete(i.byDigest, c.Key)
		}
		i.usedKeys = i.usedKeys[1:]
	}
}
