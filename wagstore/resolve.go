package wagstore

import (
	"context"

	"github.com/pkg/errors"
)

// maxResolveAttempts bounds the reads of one ResolveWrite. A client retries each of
// them while the store is unavailable.
const maxResolveAttempts = 6

// ResolveWrite settles a write of unknown outcome by reading the object, and repeats
// the write if the object is unchanged. isOwn reports whether a value contains the
// write: it names its writer and sequence, or those of a later write that includes
// it. The result is one of
//   - a version: the write took effect, earlier or now;
//   - ErrConflict: the object has another version without the write, so that
//     the write can no longer take effect;
//   - ErrUnknown: the outcome is still unknown; ResolveWrite may be called again.
//
// A conflict is reported after two equal reads in a row, because one may be stale.
func ResolveWrite(ctx context.Context, s Store, key string, expected Version, value []byte, isOwn func(value []byte) bool) (v Version, err error) {
	defer func() { err = errors.WithMessagef(err, "resolve the write of %s", key) }()
	r := resolver{store: s, key: key, expected: expected, value: value, isOwn: isOwn}
	for range maxResolveAttempts {
		v, done, err := r.attempt(ctx)
		if done || ctx.Err() != nil {
			return v, err
		}
	}
	return "", ErrUnknown
}

// resolver is the state of one ResolveWrite.
type resolver struct {
	store    Store
	key      string
	expected Version
	value    []byte
	isOwn    func([]byte) bool
	// conflictRead is set when the latest read returned a version that is neither the
	// expected one nor contains the write; conflictVersion is that version.
	conflictVersion Version
	conflictRead    bool
}

// attempt reads the object once. done is set when the outcome is known.
func (r *resolver) attempt(ctx context.Context) (v Version, done bool, err error) {
	o, err := r.store.Get(ctx, r.key)
	absent := errors.Is(err, ErrNotFound)
	if err != nil && !absent {
		return "", false, errors.WithMessage(ErrUnknown, err.Error())
	}
	if !absent && r.isOwn(o.Value) {
		return o.Version, true, nil
	}
	if o.Version == r.expected {
		r.conflictRead = false
		return r.resend(ctx)
	}
	if r.conflictRead && r.conflictVersion == o.Version {
		return "", true, ErrConflict
	}
	r.conflictRead, r.conflictVersion = true, o.Version
	return "", false, ErrUnknown
}

// resend repeats the write. Its condition lets only one of the two writes take
// effect; a conflict means that the read was stale or that the object changed since.
func (r *resolver) resend(ctx context.Context) (Version, bool, error) {
	v, err := r.store.Put(ctx, r.key, r.value, r.expected)
	if err == nil {
		return v, true, nil
	}
	return "", false, errors.WithMessage(ErrUnknown, err.Error())
}
