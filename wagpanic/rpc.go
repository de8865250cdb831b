package wagpanic

import (
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
)

// RPCHandler returns a handler that catches the panics of another one. A call that panics
// fails.
func RPCHandler(log logrus.FieldLogger, h drpc.Handler) drpc.Handler { return &rpcHandler{log, h} }

type rpcHandler struct {
	log     logrus.FieldLogger
	handler drpc.Handler
}

// HandleRPC handles a call.
func (h *rpcHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return Catch(h.log, func() error { return h.handler.HandleRPC(stream, rpc) })
}
