package cmds_test

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/cli/cmds"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"jacinthcross": func() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts guards against commands whose output, messages or exit codes differ from the reference documentation.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setUp,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"await": await, "exits": checkExitCode},
	})
}

// setUp starts a configuration service that serves the files under values, writes the head for note/1 if that file
// exists, and writes settings for a daemon to daemon.toml.
func setUp(e *testscript.Env) error {
	values := filepath.Join(e.WorkDir, "values")
	if text, err := os.ReadFile(filepath.Join(values, "note", "1")); err == nil {
		head := fmt.Sprintf("Serial = 1\nDigest = \"%x\"\n", sha256.Sum256(text))
		if err := os.WriteFile(filepath.Join(values, "head"), []byte(head), 0o600); err != nil {
			return err
		}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "0" {
			milliseconds, _ := strconv.Atoi(r.URL.Query().Get("wait"))
			select {
			case <-time.After(time.Duration(milliseconds) * time.Millisecond):
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusNotModified)
			return
		}
		text, err := os.ReadFile(filepath.Join(values, filepath.FromSlash(strings.TrimPrefix(r.URL.Path, "/v1/values/"))))
		if err != nil {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Value-Version", "1")
		_, _ = w.Write(text)
	}))
	e.Defer(func() {
		server.CloseClientConnections()
		server.Close()
	})
	var addresses []any
	for range 3 {
		a, err := deploy.FreeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, a.String())
	}
	e.Setenv("ADMIN", fmt.Sprint(addresses[2]))
	settings := fmt.Sprintf("VM = \"vm-1\"\nDataCentre = \"catania-1\"\n[Listen]\nCallers = %q\nPeers = %q\nAdmin = %q\n", addresses...) +
		fmt.Sprintf("[Platform]\nConfig = %q\n", server.URL)
	return os.WriteFile(filepath.Join(e.WorkDir, "daemon.toml"), []byte(settings), 0o600)
}

// await runs a command of jacinthcross until its output matches a pattern.
func await(ts *testscript.TestScript, negate bool, args []string) {
	if negate || len(args) < 2 {
		ts.Fatalf("usage: await PATTERN ARGUMENT...")
	}
	pattern := regexp.MustCompile(args[0])
	var out strings.Builder
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		out.Reset()
		cmds.Main(args[1:], &out, &out)
		if pattern.MatchString(out.String()) {
			return
		}
	}
	ts.Fatalf("timed out waiting for a match of %s in:\n%s", pattern, out.String())
}

// checkExitCode runs a program and checks its exit code. The "! exec" of testscript accepts any failure.
func checkExitCode(ts *testscript.TestScript, negate bool, args []string) {
	if negate || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM ARGUMENT...")
	}
	err := ts.Exec(args[1], args[2:]...)
	var failure *exec.ExitError
	if !errors.As(err, &failure) || strconv.Itoa(failure.ExitCode()) != args[0] {
		ts.Fatalf("%v, want exit code %s", err, args[0])
	}
}
