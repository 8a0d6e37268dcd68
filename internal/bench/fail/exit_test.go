package fail_test

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

	"jacinthcross/internal/bench/config"
	"jacinthcross/internal/bench/stage"
)

// A daemon that goes on without a task that cannot start, or that exits with success, is not replaced
// by what supervises it. The address of the task is taken by another socket, so each restart fails.
func TestProcessExitsAfterRepeatedTaskFailures(t *testing.T) {
	for _, test := range []struct {
		name  string
		taken string
		code  int
	}{
		{"no address is taken", "", 0},
		{"the address for callers is taken", "Callers", 1},
		{"the address for peers is taken", "Peers", 1},
		{"the address for operators is taken", "Admin", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if testing.Short() {
				t.Skip("starts processes")
			}
			c := qt.New(t)
			platform, err := config.New(netip.MustParseAddrPort("127.0.0.1:0"))
			c.Assert(err, qt.IsNil)
			c.Cleanup(platform.Stop)
			settings := "VM = \"vm-0\"\nDataCentre = \"catania\"\n[Listen]\n"
			for _, key := range []string{"Callers", "Peers", "Admin"} {
				at, err := stage.FreeAddress()
				c.Assert(err, qt.IsNil)
				settings += fmt.Sprintf("%s = %q\n", key, at)
				if key == test.taken {
					l, err := net.Listen("tcp", at.String())
					c.Assert(err, qt.IsNil)
					c.Cleanup(func() { l.Close() })
				}
			}
			settings += fmt.Sprintf("[Platform]\nConfig = %q\n", platform.URL())
			file := filepath.Join(c.TempDir(), "daemon.toml")
			c.Assert(os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
			code, log := serve(c, file, test.taken == "")
			c.Assert(code, qt.Equals, test.code, qt.Commentf("%s", log))
			c.Assert(strings.Contains(log, "tasks failed too often"), qt.Equals, test.taken != "", qt.Commentf("%s", log))
			if test.taken != "" {
				// The limit is five restarts, so the sixth failure ends the process.
				c.Assert(strings.Count(log, "TaskFailed") >= 5, qt.IsTrue, qt.Commentf("%s", log))
			}
		})
	}
}

// serve runs a daemon until its process exits. When stop is true the process gets a planned stop as
// soon as it has started; the time limit only ends a test that cannot pass.
func serve(c *qt.C, file string, stop bool) (code int, log string) {
	dir, err := programs()
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
