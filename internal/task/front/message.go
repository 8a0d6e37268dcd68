package front

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/evict"
	"jacinthcross/internal/task/router"
)

// A Message is a message to the task.
type Message interface{ message() }

// A Drain makes each later response close its connection. Drained, if not nil, is closed when no call is in flight. The
// task also stops accepting connections, unless WithAcceptWhileDraining is set. In that case it goes on accepting
// connections and gets two Drains. After the first, which has no Drained, it serves calls as before. After the second
// it refuses new calls: callers may keep sending until the daemon has exited, so the number of calls in flight would
// otherwise never reach zero.
type Drain struct{ Drained chan<- struct{} }

// A ReleaseChanged carries the release that is now in force.
type ReleaseChanged struct{ Release *note.Release }

// A requestReceived carries a complete request.
type requestReceived struct {
	connection *connection
	request    *request
}

// A requestRefused reports a request that is answered without a call, after which the connection is closed.
type requestRefused struct {
	connection *connection
	kind       errs.Kind
	detail     string
	method     string
}

// A continueExpected reports that a caller waits for 100 Continue before it sends the body.
type continueExpected struct{ connection *connection }

// A connectionOpened reports that a connection was accepted.
type connectionOpened struct{ connection *connection }

// A roomNeeded reports that memory or connections are short.
type roomNeeded struct{ need evict.Need }

// A connectionClosed reports that a connection was closed.
type connectionClosed struct{ connection *connection }

// A keyIssued is the response to a key request.
type keyIssued struct {
	id  call.ID
	key router.IssuedKey
}

func (Drain) message()            {}
func (ReleaseChanged) message()   {}
func (requestReceived) message()  {}
func (requestRefused) message()   {}
func (continueExpected) message() {}
func (connectionOpened) message() {}
func (roomNeeded) message()       {}
func (connectionClosed) message() {}
func (keyIssued) message()        {}
