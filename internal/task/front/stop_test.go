package front_test

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stop that waits for a connection that is accepted while the task stops, and that its caller leaves
// open.
func TestStopWhileCallersConnect(t *testing.T) {
	const (
		callers = 8
		repeats = 10
		// maxOpen limits the connections of a caller that are open at once. More would measure how fast they are closed.
		maxOpen = 50
		// The planned stop of a daemon leaves 250 ms to close the connections.
		limit = 250 * time.Millisecond
	)
	for range repeats {
		f := startFixture(t)
		address := f.Addr().String()
		var wait sync.WaitGroup
		var mutex sync.Mutex
		var open []net.Conn
		for range callers {
			wait.Go(func() {
				var own []net.Conn
				for {
					if len(own) == maxOpen {
						own[0].Close()
						own = own[1:]
					}
					c, err := net.Dial("tcp", address)
					if err != nil {
						return
					}
					own = append(own, c)
					mutex.Lock()
					open = append(open, c)
					mutex.Unlock()
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		f.Stop()
		<-f.Done()
		took := time.Since(began)
		wait.Wait()
		for _, c := range open {
			c.Close()
		}
		// The error says that the engine waited for a connection until the end of its time.
		qt.Assert(t, f.Err(), qt.IsNil)
		qt.Assert(t, took < limit, qt.IsTrue, qt.Commentf("the stop took %s", took))
	}
}
