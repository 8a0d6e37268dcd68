package delay

import "sync"

// A gate holds back the bytes of one direction of all connections of a relay. Its zero value is open.
type gate struct {
	mutex sync.Mutex
	// opened is closed when the gate opens, and nil while it is open.
	opened chan struct{}
}

func (g *gate) set(closed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case closed && g.opened == nil:
		g.opened = make(chan struct{})
	case !closed && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// pass waits until the gate is open, or reports false when stop is closed before.
func (g *gate) pass(stop <-chan struct{}) bool {
	g.mutex.Lock()
	opened := g.opened
	g.mutex.Unlock()
	if opened == nil {
		return true
	}
	select {
	case <-opened:
		return true
	case <-stop:
		return false
	}
}
