// Package guard turns a panic at the boundary of a connection, message or row into an
// error, so that one malformed message ends only what handles it and not the process.
//
// The function that is called must release its locks with defer.
//
// # Usage
//
//	if err := guard.Call(func() error { return handle(message) }); err != nil {
//		log.Error("MessageNotHandled", jsonlog.Error(err)) // and close the connection
//	}
package guard

import (
	"fmt"
	"runtime/debug"

	"github.com/rotisserie/eris"
)

// ErrPanic says that the called function panicked.
var ErrPanic = eris.New("panic")

// Call returns the error of f. If f panics, the error wraps ErrPanic and has the value and
// the stack in its text.
func Call(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %v\n%s", ErrPanic, v, debug.Stack())
		}
	}()

	return f()
}
