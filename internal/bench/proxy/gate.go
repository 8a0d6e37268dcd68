package proxy

import "sync"

// A gate holds back the bytes of all connections of a relay in one direction while it is closed. The zero value is an
// open gate.
type gate struct {
	mutex sync.Mutex
	// opened is closed when the gate opens. It is nil while the gate is open.
	opened chan struct{}
}

func (g *gate) setClosed(closed bool) {
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

// wait waits until the gate is open. It returns false if stop is closed first.
func (g *gate) wait(stop <-chan struct{}) bool {
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
