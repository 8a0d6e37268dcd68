// Package mail provides the bounded mailboxes through which tasks exchange messages.
package mail

// A Box is a bounded mailbox. It outlives the task that reads it, so that a
// restarted task receives the messages that are still queued.
type Box[M any] struct {
	messages chan M
}

// NewBox returns a Box that holds at most size messages.
func NewBox[M any](size int) *Box[M] {
	return &Box[M]{messages: make(chan M, size)}
}

// TryPut adds a message. It returns false if the Box is full.
func (b *Box[M]) TryPut(message M) bool {
	select {
	case b.messages <- message:
		return true
	default:
		return false
	}
}

// Put adds a message and waits for room if the Box is full. It returns false if done is closed first.
func (b *Box[M]) Put(message M, done <-chan struct{}) bool {
	select {
	case b.messages <- message:
		return true
	case <-done:
		return false
	}
}

// C returns the channel from which the reading task receives messages.
func (b *Box[M]) C() <-chan M { return b.messages }
