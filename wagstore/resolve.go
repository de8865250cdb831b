package wagstore

import (
	"context"

	"github.com/pkg/errors"
)

// resolveRounds bounds the reads of one Resolve. A client repeats each of them
// while the store is unavailable.
const resolveRounds = 6

// ResolveWrite settles a write of unknown outcome by reading back. isOwn tells
// whether a value holds the writer and the sequence of the write, or of a
// later write that contains it. The results are
//   - a version: the write took effect, now or before;
//   - ErrConflict: the object has another version without the write, so that
//     the write cannot take effect any more;
//   - ErrUnknown: the store did not tell; ResolveWrite may be called again.
//
// A conflict needs two equal reads in a row, because one read may be stale.
func ResolveWrite(ctx context.Context, s Store, key string, expected Version, value []byte, isOwn func(value []byte) bool) (v Version, err error) {
	defer func() { err = errors.WithMessagef(err, "resolve the write of %s", key) }()
	r := resolver{store: s, key: key, expected: expected, value: value, isOwn: isOwn}
	for range resolveRounds {
		v, done, err := r.round(ctx)
		if done || ctx.Err() != nil {
			return v, err
		}
	}
	return "", ErrUnknown
}

type resolver struct {
	store    Store
	key      string
	expected Version
	value    []byte
	isOwn    func([]byte) bool
	// other is the version of the latest read when it was neither the expected
	// one nor held the write, and seen tells that there was such a read.
	other Version
	seen  bool
}

func (r *resolver) round(ctx context.Context) (v Version, done bool, err error) {
	o, err := r.store.Get(ctx, r.key)
	absent := errors.Is(err, ErrNotFound)
	if err != nil && !absent {
		return "", false, errors.WithMessage(ErrUnknown, err.Error())
	}
	if !absent && r.isOwn(o.Value) {
		return o.Version, true, nil
	}
	if o.Version == r.expected {
		r.seen = false
		return r.again(ctx)
	}
	if r.seen && r.other == o.Version {
		return "", true, ErrConflict
	}
	r.seen, r.other = true, o.Version
	return "", false, ErrUnknown
}

// again sends the identical write. Its condition lets only one of the two take
// effect; a conflict means that the read was stale or was overtaken.
func (r *resolver) again(ctx context.Context) (Version, bool, error) {
	v, err := r.store.Put(ctx, r.key, r.value, r.expected)
	if err == nil {
		return v, true, nil
	}
	return "", false, errors.WithMessage(ErrUnknown, err.Error())
}
