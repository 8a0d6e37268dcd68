// Package guard keeps a panic in a goroutine that handles bytes from outside from ending the process.
package guard

import (
	"fmt"
	"runtime/debug"

	"jacinthcross/internal/base/event"
)

// maxStack is the number of bytes of the stack that are logged.
const maxStack = 2048

// Run calls handle and reports whether it returned. A panic is logged with the name of the handler. The caller then has to
// close the connection or stream that handle served, whose state is unknown.
func Run(name string, handle func()) (ok bool) {
	defer func() {
		if r := recover(); r != nil {
			stack := debug.Stack()
			event.HandlerPanicked.Log("handler", name, "error", fmt.Sprint(r), "stack", string(stack[:min(len(stack), maxStack)]))
		}
	}()
	handle()
	return true
}
