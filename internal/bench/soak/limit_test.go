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

// Guards against a daemon that serves nobody any more after callers have taken all of its descriptors.
func TestFewDescriptors(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const descriptors = 160
	program := filepath.Join(t.TempDir(), "limited")
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", descriptors, programOf(t))
	qt.Assert(t, os.WriteFile(program, []byte(text), 0o700), qt.IsNil)
	nodes := calm(t, program, 2)
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
	// The daemon beside the target comes back, so that the one that is full has to open connections to it.
	process := nodes[1].process.Load()
	nodes[1].asks <- askKill
	for nodes[1].process.Load() == process || !nodes[1].ready() {
		time.Sleep(readyGap)
	}
	served := func() bool {
		return kept.Do(ctx, fake.Request{Method: "GET", Host: host, Path: "/s1/x"}, allowed).Whole()
	}
	const reopened = 5 * time.Second
	for end := time.Now().Add(reopened); !served(); time.Sleep(readyGap) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
	for _, c := range idle {
		c.Close()
	}
	for end := time.Now().Add(reopened); ; time.Sleep(readyGap) {
		if c, err := fake.Dial(ctx, nodes[0].vm.Settings.Callers); err == nil &&
			c.Do(ctx, fake.Request{Method: "GET", Host: host, Path: "/s1/x"}, allowed).Whole() {
			return
		}
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}
