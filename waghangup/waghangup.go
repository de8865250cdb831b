// Package waghangup receives SIGHUP from the start of a process that runs the gateway
// command, so that the signal never ends it. The signal is ignored until this package
// is initialised, which loses nothing: the settings are read afterwards.
package waghangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Command is the command whose process receives SIGHUP.
const Command = "gateway"

var signals = subscribe(os.Args)

// Signals returns the channel that receives SIGHUP, or nil in a process that runs
// another command. A signal that arrived before the call is kept.
func Signals() <-chan os.Signal { return signals }

// subscribe returns a channel that receives SIGHUP when args run the gateway command.
// Otherwise it returns nil, and SIGHUP ends the process as usual.
func subscribe(args []string) <-chan os.Signal {
	if len(args) < 2 || args[1] != Command {
		return nil
	}
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
