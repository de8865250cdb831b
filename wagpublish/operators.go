package wagpublish

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagstore"
)

// HostPrefix is the prefix of the store keys under which entry hosts record
// themselves.
const HostPrefix = "hosts/"

// OperatorAddresses returns the addresses of the operator ports of the hosts that
// are recorded in the store.
func OperatorAddresses(ctx context.Context, store wagstore.Store) (operators []netip.AddrPort, err error) {
	defer func() { err = errors.WithMessage(err, "read host records") }()
	objects, _, err := store.List(ctx, HostPrefix)
	if err != nil {
		return nil, err
	}
	for _, o := range objects {
		var record struct {
			Operator netip.AddrPort `json:"operator"`
		}
		if err := json.Unmarshal(o.Value, &record); err != nil {
			return nil, errors.Wrap(err, o.Key)
		}
		if record.Operator.IsValid() {
			operators = append(operators, record.Operator)
		}
	}
	return operators, nil
}
