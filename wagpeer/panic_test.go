package wagpeer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// panickingHandler panics at confirmations.
type panickingHandler struct{ echoHandler }

func (panickingHandler) Confirm(context.Context, ConfirmRequest) (bool, error) {
	panic("unexpected message")
}

// Guards against a call of another host that ends the process.
func TestPanicDuringCall(t *testing.T) {
	is := is.New(t)
	s, err := NewServer(panickingHandler{}, 1)
	is.NoErr(err)
	address := startServer(t, func(ctx context.Context, l net.Listener) error { return s.Serve(ctx, l, nil) })
	c := NewClient(WithCallTimeout(time.Minute))
	defer c.Close()
	_, err = c.Confirm(t.Context(), address, ConfirmRequest{Name: "a"})
	is.True(err != nil)
	_, err = c.Pull(t.Context(), address, []string{"lot-desk"})
	is.NoErr(err)
}
