package proxy

import "sync"

// A gate holds back the bytes of all connections of a proxy in one direction while that direction is blocked. The zero
// value lets bytes pass.
type gate struct {
	mutex sync.Mutex
	// unblocked is closed when a block ends, which wakes the connections that wait. It is nil while bytes may pass.
	unblocked chan struct{}
}

func (g *gate) setBlocked(blocked bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case blocked && g.unblocked == nil:
		g.unblocked = make(chan struct{})
	case !blocked && g.unblocked != nil:
		close(g.unblocked)
		g.unblocked = nil
	}
}

// wait waits until bytes may pass. It returns false if stop is closed first.
func (g *gate) wait(stop <-chan struct{}) bool {
	g.mutex.Lock()
	unblocked := g.unblocked
	g.mutex.Unlock()
	if unblocked == nil {
		return true
	}
	select {
	case <-unblocked:
		return true
	case <-stop:
		return false
	}
}
