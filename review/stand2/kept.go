package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// keptConnections is the number of connections that the crowd keeps open at one daemon, and keptAtOnce how many of its
	// requests are in progress at the same time.
	keptConnections = 700
	keptAtOnce      = 12
	// shortFields is the number of fields of such a request. Its header has less than MaxHeaderBytes, 16,384 bytes.
	shortFields = 3900
	// restTime is how long the connections stay open after their answers. IdleTimeout is 15 s.
	restTime = 2 * time.Second
)

// playKept lets crowds keep connections on which each has sent one request with very many short fields.
func playKept(r *record, trouble bool) (bool, error) {
	d, err := startMesh(r, bytes.Repeat([]byte("page"), 5000/len("page")))
	if err != nil {
		return false, err
	}
	defer d.close()
	p := startPlatform(d)
	time.Sleep(4 * time.Second)
	ordinary := startBookings(d, d.machines[:2])
	for wave := range waves {
		var g sync.WaitGroup
		for _, m := range d.machines[:2] {
			g.Go(func() { d.keepConnections(m, wave, trouble) })
		}
		g.Wait()
		time.Sleep(2 * time.Second)
	}
	ordinary.stop()
	p.stop()
	return ordinary.ruleBroken(p), nil
}

// keepConnections opens connections at a daemon, sends a request on each, reads the answer and keeps the connection.
func (d *deployment) keepConnections(m *machine, wave int, manyFields bool) {
	fields := 0
	if manyFields {
		fields = shortFields
	}
	d.record.log("%d requesters send a request with %d short fields each to %s and keep their connections", keptConnections, fields, m.ip)
	var g sync.WaitGroup
	var mutex sync.Mutex
	var kept []net.Conn
	var next, served, failed atomic.Int64
	for range keptAtOnce {
		g.Go(func() {
			for {
				n := next.Add(1)
				if n > keptConnections || failed.Load() > keptAtOnce {
					return
				}
				q := request{
					id: fmt.Sprintf("kept-%s-%d-%d", m.ip, wave, n), method: http.MethodGet, host: host, path: "/browse/1", timeBudget: crowdBudget,
					fields: strings.Repeat("a:\r\n", fields),
				}
				c, err := net.DialTimeout("tcp", m.address(m.ports.outbound), time.Second)
				if err != nil {
					failed.Add(1)
					continue
				}
				mutex.Lock()
				kept = append(kept, c)
				mutex.Unlock()
				if a := q.sendOn(c, bufio.NewReader(c)); a.isWhole() {
					served.Add(1)
				} else if a.err != nil {
					failed.Add(1)
				}
			}
		})
	}
	g.Wait()
	d.record.log("%d of %d requests at %s were served; its daemon uses %d MB", served.Load(), len(kept), m.ip, m.memoryMBUsed())
	time.Sleep(restTime)
	d.record.log("the daemon of %s uses %d MB after %v of rest", m.ip, m.memoryMBUsed(), restTime)
	for _, c := range kept {
		_ = c.Close()
	}
}
