// Package wagpanic keeps a panic in the handling of a single message of another process
// from ending this one. Goroutines of net/http recover on their own; all others that parse
// or pass on what servers, callers, hosts or the store send use Catch.
package wagpanic

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Error is a panic that was caught.
type Error struct {
	// Value is what was passed to panic.
	Value any
	// Stack is the stack of the goroutine at the panic.
	Stack []byte
}

// Error returns the value of the panic without the stack.
func (e *Error) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// count is the number of panics that were caught.
var count atomic.Uint64

// Count returns how many panics this process has caught.
func Count() uint64 { return count.Load() }

// Catch calls f and returns its error. If f panics, it logs the panic with its stack and
// returns an *Error. f must not hold a lock that it releases without a deferred call.
func Catch(log logrus.FieldLogger, f func() error) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		caught := &Error{Value: cause, Stack: debug.Stack()}
		count.Add(1)
		log.WithFields(logrus.Fields{"panic": fmt.Sprint(cause), "stack": string(caught.Stack)}).Error("a panic was caught")
		err = caught
	}()
	return f()
}
