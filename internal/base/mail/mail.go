// Package mail provides the bounded mailboxes through which tasks talk.
package mail

// A Box is a bounded mailbox. It outlives the task that reads it, so that a
// restarted task takes over the messages that wait.
type Box[M any] struct {
	messages chan M
}

// NewBox returns a Box that holds at most size messages.
func NewBox[M any](size int) *Box[M] {
	return &Box[M]{messages: make(chan M, size)}
}

// TryPut adds a message, or reports false when the Box is full.
func (b *Box[M]) TryPut(message M) bool {
	select {
	case b.messages <- message:
		return true
	default:
		return false
	}
}

// Put adds a message, or reports false when done is closed before there is room.
func (b *Box[M]) Put(message M, done <-chan struct{}) bool {
	select {
	case b.messages <- message:
		return true
	case <-done:
		return false
	}
}

// C returns the channel from which the owner reads.
func (b *Box[M]) C() <-chan M { return b.messages }
