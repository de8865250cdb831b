package wagstore

import (
	"context"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/waglease"
)

// ExecuteLeaseCommand executes a command of a lease holder on the lease object and
// returns the resulting event.
func ExecuteLeaseCommand(ctx context.Context, s Store, key string, command waglease.Command) waglease.Event {
	switch x := command.(type) {
	case waglease.Load:
		o, err := s.Get(ctx, key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return waglease.StoreUnavailable(x)
		}
		return waglease.Loaded{ID: x.ID, Value: o.Value, Version: waglease.Version(o.Version)}
	case waglease.Write:
		v, err := s.Put(ctx, key, x.Value, Version(x.Expected))
		return writeEvent(x.ID, v, err)
	default:
		return waglease.Tick{}
	}
}

// writeEvent converts the result of a write to an event.
func writeEvent(id uint64, v Version, err error) waglease.Event {
	switch {
	case err == nil:
		return waglease.Written{ID: id, Version: waglease.Version(v)}
	case errors.Is(err, ErrConflict):
		return waglease.WriteConflict{ID: id}
	case errors.Is(err, ErrUnavailable):
		return waglease.StoreUnavailable{ID: id}
	default:
		return waglease.WriteUnknown{ID: id}
	}
}
