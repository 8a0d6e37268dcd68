package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/bench/cmds"
)

// Guards against wrong exit codes, by which scripts tell invalid input from a failure or a result.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	bad := file("bad.toml", "Deployment = \"Elsewhere\"\n")
	result := file("a.json", `{"Scenario":"s","Runs":[{"Balancer":"Daemon","Loads":[{"Name":"l"}]}]}`)
	other := file("b.json", `{"Scenario":"s","Runs":[{"Balancer":"Oracle","Loads":[{"Name":"l"}]}]}`)
	for _, test := range []struct {
		name string
		args []string
		want int
	}{
		{"no command", nil, 2},
		{"unknown command", []string{"dance"}, 2},
		{"help", []string{"run", "--help"}, 0},
		{"run without a scenario", []string{"run"}, 2},
		{"run with a bad scenario", []string{"run", bad}, 2},
		{"run without the file", []string{"run", filepath.Join(dir, "none.toml")}, 1},
		{"compare", []string{"compare", result, result}, 0},
		{"compare without a common balancer", []string{"compare", result, other}, 2},
		{"report", []string{"report", result, "--out", filepath.Join(dir, "r.html")}, 0},
		{"report without a file", []string{"report", result}, 2},
		{"fleet of too many daemons", []string{"fleet", "--daemons", "301", "--daemon", "unused"}, 2},
		{"target without slots", []string{"target", "--address", "127.0.0.1:0", "--slots", "0"}, 2},
		{"config in an unknown mode", []string{"config", "--address", "127.0.0.1:0", "--mode", "moody"}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, failure bytes.Buffer
			got := cmds.Main(test.args, &out, &failure)
			qt.Assert(t, got, qt.Equals, test.want, qt.Commentf("%s", failure.String()))
			qt.Assert(t, failure.Len() > 0, qt.Equals, test.want != 0)
		})
	}
}
