package wagclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagclock"
)

// MaxKeyBytes is the longest key in bytes.
const MaxKeyBytes = 255

// Errors of keys. Test with errors.Is.
var (
	ErrKeyMalformed   = errors.New("key must be 1 to 255 visible ASCII characters")
	ErrKeyWithoutTime = errors.New("key must be a UUID of version 7 (RFC 9562)")
	ErrKeyInFuture    = errors.New("key carries a time in the future")
)

// Digest is the first half of a SHA-256 sum.
type Digest [16]byte

// Key identifies keyed work within a service.
type Key struct {
	// Digest covers the caller and the text of the key.
	Digest Digest
	// CreatedAt is when the key was made, zero when the key does not tell it.
	CreatedAt time.Time
}

// ParseKey reads the key of a caller. Keys of different callers never meet.
func ParseKey(caller, text string) (key Key, err error) {
	defer func() { err = errors.WithMessage(err, "idempotency key") }()
	if text == "" || len(text) > MaxKeyBytes {
		return Key{}, ErrKeyMalformed
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return Key{}, ErrKeyMalformed
		}
	}
	made, _ := keyTime(text)
	return Key{Digest: sum([]byte(caller), []byte(text)), CreatedAt: made}, nil
}

// keyTime returns the time in a UUID of version 7.
func keyTime(text string) (time.Time, bool) {
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

// Fingerprint identifies a request. The same key with another fingerprint is
// refused.
func Fingerprint(method, path string, bodySum [sha256.Size]byte) Digest {
	return sum([]byte(method), []byte(path), bodySum[:])
}

func sum(parts ...[]byte) (d Digest) {
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

// PartitionOf returns the partition of a key. Digests are uniform, so that no
// further hash is needed.
func PartitionOf(d Digest, partitions int) int {
	return int(binary.BigEndian.Uint64(d[:8]) % uint64(partitions))
}

// forgettable tells whether a claim of the key may have expired already. Half of
// a minute more than the clock bound covers attempts that wait in queues.
func (k Key) forgettable(now time.Time, retention time.Duration) bool {
	return !k.CreatedAt.IsZero() && !now.Before(k.CreatedAt.Add(retention-wagclock.MaxSkew-30*time.Second))
}

// ahead tells whether the key claims to be made later than clocks may differ.
func (k Key) ahead(now time.Time) bool {
	return k.CreatedAt.After(now.Add(wagclock.MaxSkew))
}
