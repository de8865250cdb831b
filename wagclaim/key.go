package wagclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 255

// Errors of idempotency keys. Test with errors.Is.
var (
	ErrKeyMalformed   = errors.New("key must be 1 to 255 visible ASCII characters")
	ErrKeyWithoutTime = errors.New("key must be a UUID of version 7 (RFC 9562)")
	ErrKeyInFuture    = errors.New("key carries a time in the future")
)

// Digest is the first half of a SHA-256 sum.
type Digest [16]byte

// Key identifies a keyed request within a service.
type Key struct {
	// Digest is the digest of the caller and the text of the key.
	Digest Digest
	// CreatedAt is when the key was created. It is zero if the key does not
	// contain a time.
	CreatedAt time.Time
}

// ParseKey parses the key that a caller sent. The keys of different callers never
// collide.
func ParseKey(caller, text string) (key Key, err error) {
	defer func() { err = errors.WithMessage(err, "parse idempotency key") }()
	if text == "" || len(text) > MaxKeyBytes {
		return Key{}, ErrKeyMalformed
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return Key{}, ErrKeyMalformed
		}
	}
	createdAt, _ := uuidTime(text)
	return Key{Digest: newDigest([]byte(caller), []byte(text)), CreatedAt: createdAt}, nil
}

// uuidTime returns the time in a UUID of version 7, and false for any other text.
func uuidTime(text string) (time.Time, bool) {
	if len(text) != 36 || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' || text[14] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(text[:8] + text[9:13] + text[14:18] + text[19:23] + text[24:])
	if err != nil {
		return time.Time{}, false
	}
	milliseconds := binary.BigEndian.Uint64(raw[:8]) >> 16
	return time.UnixMilli(int64(milliseconds)), true
}

// Fingerprint returns the digest that identifies a request. A key that comes with
// another fingerprint than before is refused.
func Fingerprint(method, path string, bodySum [sha256.Size]byte) Digest {
	return newDigest([]byte(method), []byte(path), bodySum[:])
}

// newDigest hashes the parts, each with its length in front.
func newDigest(parts ...[]byte) (d Digest) {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	copy(d[:], h.Sum(nil))
	return d
}

// PartitionOf returns the partition of a key. Digests are distributed uniformly
// and need no further hash.
func PartitionOf(d Digest, partitions int) int {
	return int(binary.BigEndian.Uint64(d[:8]) % uint64(partitions))
}

// mayBeForgotten reports whether a claim of the key may have expired already. The
// margin is wagclock.MaxSkew, and 30 s for attempts that wait in queues.
func (k Key) mayBeForgotten(now time.Time, retention time.Duration) bool {
	return !k.CreatedAt.IsZero() && !now.Before(k.CreatedAt.Add(retention-wagclock.MaxSkew-30*time.Second))
}

// isInFuture reports whether the creation time of the key is ahead of now by more
// than clocks may differ.
func (k Key) isInFuture(now time.Time) bool {
	return k.CreatedAt.After(now.Add(wagclock.MaxSkew))
}
