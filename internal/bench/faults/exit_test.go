package faults_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/bench/cfgsvc"
	"jacinthcross/internal/bench/deploy"
)

// Guards against a daemon that continues to run although one of its tasks cannot start, or that then exits with code 0.
// In both cases the init system would not restart it. Another socket occupies the address of the task, so that each
// restart fails.
func TestProcessExitsAfterRepeatedTaskFailures(t *testing.T) {
	for _, test := range []struct {
		name     string
		occupied string
		code     int
	}{
		{"no address is in use", "", 0},
		{"the address for callers is in use", "Callers", 1},
		{"the address for peers is in use", "Peers", 1},
		{"the admin address is in use", "Admin", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if testing.Short() {
				t.Skip("starts processes")
			}
			c := qt.New(t)
			configService, err := cfgsvc.New(netip.MustParseAddrPort("127.0.0.1:0"))
			c.Assert(err, qt.IsNil)
			c.Cleanup(configService.Stop)
			settings := "VM = \"vm-0\"\nDataCentre = \"catania\"\n[Listen]\n"
			for _, key := range []string{"Callers", "Peers", "Admin"} {
				at, err := deploy.FreeAddress()
				c.Assert(err, qt.IsNil)
				settings += fmt.Sprintf("%s = %q\n", key, at)
				if key == test.occupied {
					l, err := net.Listen("tcp", at.String())
					c.Assert(err, qt.IsNil)
					c.Cleanup(func() { l.Close() })
				}
			}
			settings += fmt.Sprintf("[Platform]\nConfig = %q\n", configService.URL())
			file := filepath.Join(c.TempDir(), "daemon.toml")
			c.Assert(os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
			code, log := runDaemon(c, file, test.occupied == "")
			c.Assert(code, qt.Equals, test.code, qt.Commentf("%s", log))
			c.Assert(strings.Contains(log, "tasks failed too often"), qt.Equals, test.occupied != "", qt.Commentf("%s", log))
			if test.occupied != "" {
				// The limit is five restarts, so at least five failures are logged before the process exits.
				c.Assert(strings.Count(log, "TaskFailed") >= 5, qt.IsTrue, qt.Commentf("%s", log))
			}
		})
	}
}

// runDaemon runs a daemon until its process exits. If stop is true the process receives SIGTERM one second after its
// start. The timeout only ends a test that fails anyway.
func runDaemon(c *qt.C, file string, stop bool) (code int, log string) {
	dir, err := buildPrograms()
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var output bytes.Buffer
	command := exec.CommandContext(ctx, filepath.Join(dir, "jacinthcross"), "serve", "--config", file)
	command.Stdout, command.Stderr = &output, &output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Assert(command.Start(), qt.IsNil)
	if stop {
		time.Sleep(time.Second)
		c.Assert(command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	}
	_ = command.Wait()
	return command.ProcessState.ExitCode(), output.String()
}
