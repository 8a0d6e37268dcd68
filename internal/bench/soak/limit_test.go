package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/platform/fake"
)

// Guards against a daemon that stops serving requests once callers have used up its file descriptors.
func TestServesAfterDescriptorExhaustion(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const descriptors = 160
	program := filepath.Join(t.TempDir(), "limited")
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", descriptors, buildDaemon(t))
	qt.Assert(t, os.WriteFile(program, []byte(text), 0o700), qt.IsNil)
	nodes := startDaemons(t, program, 2)
	ctx := context.Background()
	kept, err := fake.Dial(ctx, nodes[0].vm.Settings.Callers)
	qt.Assert(t, err, qt.IsNil)
	var idle []net.Conn
	for range 2 * descriptors {
		c, err := net.DialTimeout("tcp", nodes[0].vm.Settings.Callers.String(), time.Second)
		if err != nil {
			break
		}
		idle = append(idle, c)
	}
	// Restart the daemon beside the target, so that the daemon without free descriptors has to reconnect to it.
	process := nodes[1].processNumber.Load()
	nodes[1].commands <- commandKill
	for nodes[1].processNumber.Load() == process || !nodes[1].ready() {
		time.Sleep(readyPollInterval)
	}
	served := func() bool {
		return kept.Send(ctx, fake.Request{Method: "GET", Host: host, Path: "/s1/x"}, callerTimeout).IsSuccess()
	}
	const reconnectTimeout = 5 * time.Second
	for end := time.Now().Add(reconnectTimeout); !served(); time.Sleep(readyPollInterval) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
	for _, c := range idle {
		c.Close()
	}
	for end := time.Now().Add(reconnectTimeout); ; time.Sleep(readyPollInterval) {
		if c, err := fake.Dial(ctx, nodes[0].vm.Settings.Callers); err == nil &&
			c.Send(ctx, fake.Request{Method: "GET", Host: host, Path: "/s1/x"}, callerTimeout).IsSuccess() {
			return
		}
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}
