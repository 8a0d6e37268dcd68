package soak_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/bench/soak"
)

// root is the folder of the module.
const root = "../../.."

// build builds the daemon with a text of a file replaced, if there is one.
func build(t *testing.T, file, old, new string) string {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "jacinthcross")
	args := []string{"build", "-o", path}
	if file != "" {
		original, err := filepath.Abs(filepath.Join(root, file))
		qt.Assert(t, err, qt.IsNil)
		text, err := os.ReadFile(original)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, strings.Count(string(text), old), qt.Equals, 1, qt.Commentf("%q in %s", old, file))
		changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
		qt.Assert(t, os.WriteFile(changed, []byte(strings.Replace(string(text), old, new, 1)), 0o600), qt.IsNil)
		list, err := json.Marshal(map[string]any{"Replace": map[string]string{original: changed}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(overlay, list, 0o600), qt.IsNil)
		args = append(args, "-overlay", overlay)
	}
	out, err := exec.Command("go", append(args, "jacinthcross")...).CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return path
}

func run(t *testing.T, program string, seed uint64, vms int, length time.Duration) []soak.Finding {
	t.Helper()
	folder, err := os.MkdirTemp("", "jacinthcross-soak")
	qt.Assert(t, err, qt.IsNil)
	findings, history, err := soak.Run(soak.Config{Program: program, Folder: folder, Seed: seed, VMs: vms, Length: length})
	qt.Assert(t, err, qt.IsNil)
	t.Logf("seed %d: %s; logs in %s", seed, history.Summary(), folder)
	if len(findings) == 0 {
		qt.Assert(t, os.RemoveAll(folder), qt.IsNil)
	} else {
		t.Logf("plan:\n%s", history.Plan())
	}
	return findings
}

// Guards against daemons that break a promise while they are stopped, killed, frozen and cut off. Each seed that ever
// failed stays here with its cause.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := build(t, "", "", "")
	const secondTerm = "a second SIGTERM ended the planned stop at once and cut off its calls"
	for _, test := range []struct {
		seed   uint64
		vms    int
		length time.Duration
		cause  string
	}{
		{20, 6, 8 * time.Second, "none: a short run"},
		{1001, 8, 12 * time.Second, secondTerm},
		{1002, 8, 12 * time.Second, secondTerm},
		{2002, 8, 12 * time.Second, secondTerm},
		{2003, 8, 12 * time.Second, secondTerm},
		{3001, 8, 12 * time.Second, secondTerm},
		{3003, 8, 12 * time.Second, secondTerm},
		{2007, 8, 12 * time.Second, "a session that was greeted while the daemon stopped kept it from ending"},
		{9003, 8, 12 * time.Second, "a path that all callers read was quarantined everywhere after crashes of one target"},
		{73009, 8, 12 * time.Second, "a daemon that was frozen during its stop took new calls until the time for the stop was over"},
	} {
		t.Run(fmt.Sprint(test.seed), func(t *testing.T) {
			t.Parallel()
			qt.Assert(t, run(t, program, test.seed, test.vms, test.length), qt.HasLen, 0, qt.Commentf("%s", test.cause))
		})
	}
}

// brokenSeeds is the number of seeds in one of which a broken promise has to show: not each plan has the fault that
// brings a break about.
const brokenSeeds = 5

// Guards against a soak that finds nothing: each daemon here breaks one promise.
func TestSoakFindsBrokenPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, test := range []struct {
		promise        soak.Promise
		file, old, new string
	}{
		{soak.AtMostOnce, "internal/policy/retry/retry.go", "case !a.Idempotent || a.Bound || o.Kind == errs.AnswerTooLarge:", "case a.Bound:"},
		{soak.TrueRefusal, "internal/base/errs/table.go", "TargetFailed:     {502,", "TargetFailed:     {503,"},
		{soak.OwnAnswer, "internal/task/local/conn.go", "return id != \"\" && id != j.request.ID", "return id == j.request.Method"},
		{soak.Withdrawn, "platform/decode.go", "Draining: v.Status.State == stateDraining", "Draining: false"},
		{soak.ConfigInForce, "internal/fleet/roster/roster.go", "func (r *Roster) configure(c Configured) bool {\n", "func (r *Roster) configure(c Configured) bool {\n\tif r.configured > 0 {\n\t\treturn false\n\t}\n"},
		{soak.NotCut, "internal/super/daemon/daemon.go", "func (d *Daemon) awaitCalls(timeout <-chan time.Time) {\n", "func (d *Daemon) awaitCalls(timeout <-chan time.Time) {\n\treturn\n"},
		{soak.StopsInTime, "platform/platform.go", "const linger = 3 * time.Second", "const linger = 7 * time.Second"},
	} {
		t.Run(string(test.promise), func(t *testing.T) {
			t.Parallel()
			program := build(t, test.file, test.old, test.new)
			for seed := range uint64(brokenSeeds) {
				for _, f := range run(t, program, 20+seed, 6, 8*time.Second) {
					if f.Promise == test.promise {
						return
					}
				}
			}
			t.Fatal("not found")
		})
	}
}
