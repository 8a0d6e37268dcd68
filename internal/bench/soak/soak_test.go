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

// root is the directory of the module.
const root = "../../.."

// buildDaemon builds the daemon and returns its path. If file is not empty, old is replaced by new in that source file
// for this build.
func buildDaemon(t *testing.T, file, old, new string) string {
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

func runSoak(t *testing.T, c soak.Config) []soak.Finding {
	t.Helper()
	dir, err := os.MkdirTemp("", "jacinthcross-soak")
	qt.Assert(t, err, qt.IsNil)
	c.Dir = dir
	findings, history, err := soak.Run(c)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("seed %d: %s; logs in %s", c.Seed, history.Summary(), dir)
	if len(findings) == 0 {
		qt.Assert(t, os.RemoveAll(dir), qt.IsNil)
	} else {
		t.Logf("plan:\n%s", history.FormatPlan())
	}
	return findings
}

// Guards against daemons that violate a guarantee while daemons are stopped, killed, paused or disconnected. Every seed
// that has ever failed is kept here with its cause.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildDaemon(t, "", "", "")
	const secondSIGTERM = "a second SIGTERM ended the graceful shutdown at once and lost its calls in flight"
	for _, test := range []struct {
		seed   uint64
		vms    int
		length time.Duration
		cause  string
	}{
		{20, 6, 8 * time.Second, "none: short run"},
		{1001, 8, 12 * time.Second, secondSIGTERM},
		{1002, 8, 12 * time.Second, secondSIGTERM},
		{2002, 8, 12 * time.Second, secondSIGTERM},
		{2003, 8, 12 * time.Second, secondSIGTERM},
		{3001, 8, 12 * time.Second, secondSIGTERM},
		{3003, 8, 12 * time.Second, secondSIGTERM},
		{2007, 8, 12 * time.Second, "a peer session whose handshake completed during the stop kept the daemon from exiting"},
		{9003, 8, 12 * time.Second, "a path that all callers request was quarantined at all daemons after crashes of one target"},
		{73009, 8, 12 * time.Second, "a daemon that was paused during its graceful shutdown accepted new calls until the stop timed out"},
		{111003, 8, 12 * time.Second, "a daemon that had stopped after 4.3 s had not exited 6 s after SIGTERM, at a load average of 62"},
	} {
		t.Run(fmt.Sprint(test.seed), func(t *testing.T) {
			t.Parallel()
			c := soak.Config{DaemonPath: program, Seed: test.seed, VMs: test.vms, Length: test.length}
			qt.Assert(t, runSoak(t, c), qt.HasLen, 0, qt.Commentf("%s", test.cause))
		})
	}
}

// Guards against a request that goes on to crash targets while daemons are stopped, killed, paused or disconnected, and
// against refusing other requests because of it.
func TestSoakWithCrashRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildDaemon(t, "", "", "")
	for _, test := range []struct {
		seed  uint64
		cause string
	}{
		{500, "a request that crashes targets ran on each of them again and again"},
		{10003, "a path that all callers request was quarantined because the connections to one target were closed many times"},
	} {
		t.Run(fmt.Sprint(test.seed), func(t *testing.T) {
			t.Parallel()
			c := soak.Config{DaemonPath: program, Seed: test.seed, VMs: 8, Length: 12 * time.Second, CrashRequests: true}
			qt.Assert(t, runSoak(t, c), qt.HasLen, 0, qt.Commentf("%s", test.cause))
		})
	}
}

// Guards against calls that start in an evacuated data centre, or a restored one that gets no calls, while daemons are
// stopped, killed, paused or disconnected.
func TestSoakWithEvacuations(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildDaemon(t, "", "", "")
	for _, seed := range []uint64{600, 601} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := soak.Config{DaemonPath: program, Seed: seed, VMs: 8, Length: 12 * time.Second, Evacuations: true}
			qt.Assert(t, runSoak(t, c), qt.HasLen, 0)
		})
	}
}

// Guards against daemons that return to an older config, use a target again that has left, or miss what is written later,
// when the store is restored from older copies while daemons are stopped, killed, paused or disconnected.
func TestSoakWithStoreRestores(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildDaemon(t, "", "", "")
	for _, seed := range []uint64{40, 41} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := soak.Config{DaemonPath: program, Seed: seed, VMs: 8, Length: 12 * time.Second, StoreRestores: true}
			qt.Assert(t, runSoak(t, c), qt.HasLen, 0)
		})
	}
}

// maxSeeds is the number of seeds within which a violation has to be found: not every plan contains the fault that
// triggers it.
const maxSeeds = 5

// Guards against a soak that misses violations: each daemon here is built with a defect that violates one guarantee.
func TestSoakFindsViolations(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, test := range []struct {
		guarantee      soak.Guarantee
		file, old, new string
		crashRequests  bool
		storeRestores  bool
	}{
		{soak.AtMostOnce, "internal/policy/retry/retry.go", "case !a.Idempotent || a.OwnerBound || o.Kind == errs.AnswerTooLarge:", "case a.OwnerBound:", false, false},
		{soak.TrueRefusal, "internal/base/errs/table.go", "TargetFailed:        {502,", "TargetFailed:        {503,", false, false},
		{soak.OwnAnswer, "internal/task/local/conn.go", "return id != \"\" && id != j.request.ID", "return id == j.request.Method", false, false},
		{soak.NoRunAfterDrain, "platform/decode.go", "Draining: v.Status.State == stateDraining", "Draining: false", false, false},
		{soak.ConfigInForce, "internal/fleet/roster/roster.go", "func (r *Roster) setConfig(c ConfigUpdated) bool {\n", "func (r *Roster) setConfig(c ConfigUpdated) bool {\n\tif r.configRevision > 0 {\n\t\treturn false\n\t}\n", false, false},
		{soak.NoRunWhileEvacuated, "platform/decode.go", "evacuationPrefix); ok {", "evacuationPrefix); ok && false {", false, false},
		{soak.ConfigKept, "internal/fleet/roster/era.go", "return c.Version > r.config.Version && c.Revision", "return (c.Version > r.config.Version || r.HasOlderConfig()) && c.Revision", false, true},
		{soak.ConnectionKept, "internal/super/daemon/daemon.go", "func (d *Daemon) drainCalls(timeout <-chan time.Time) {\n", "func (d *Daemon) drainCalls(timeout <-chan time.Time) {\n\treturn\n", false, false},
		{soak.StopsInTime, "platform/platform.go", "const acceptWhileDraining = 3 * time.Second", "const acceptWhileDraining = 7 * time.Second", false, false},
		{soak.CrashRequestStopped, "internal/task/local/health.go", "case t.crashThrottle.Allow(now):", "case t.crashThrottle.Allow(now) && false:", true, false},
		{soak.SoundRequestServed, "internal/task/local/crash.go", "return t.suspects.IsQuarantined(t.target.Service, d, now) || t.crashes.IsLikelyCause(d, now)", "_, crashes := t.crashes.Evidence(d, now)\n\treturn crashes > 0", true, false},
	} {
		t.Run(string(test.guarantee), func(t *testing.T) {
			t.Parallel()
			program := buildDaemon(t, test.file, test.old, test.new)
			for seed := range uint64(maxSeeds) {
				c := soak.Config{DaemonPath: program, Seed: 20 + seed, VMs: 6, Length: 8 * time.Second, CrashRequests: test.crashRequests, StoreRestores: test.storeRestores, Evacuations: test.guarantee == soak.NoRunWhileEvacuated}
				for _, f := range runSoak(t, c) {
					if f.Guarantee == test.guarantee {
						return
					}
				}
			}
			t.Fatal("no violation of the guarantee found with any of the seeds")
		})
	}
}
