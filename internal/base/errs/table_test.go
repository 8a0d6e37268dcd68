package errs_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
)

// TestCallerPageListsAllKinds guards against a caller reference whose error kinds, statuses, outcomes, retry times or
// advice differ from the code.
func TestCallerPageListsAllKinds(t *testing.T) {
	page, err := os.ReadFile("../../../docs/reference/caller.md")
	qt.Assert(t, err, qt.IsNil)
	var got, want []string
	_, section, ok := strings.Cut(string(page), "### Error kinds\n")
	qt.Assert(t, ok, qt.IsTrue)
	section, _, _ = strings.Cut(section, "\n#")
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	for _, k := range errs.Kinds() {
		a := errs.ResponseFor(k)
		retry := ""
		if a.RetryAfter > 0 {
			retry = fmt.Sprint(int(a.RetryAfter.Seconds())) + " "
		}
		want = append(want, fmt.Sprintf("| `%s` | %d | `%s` | %s| %s |", k, a.Status, a.Outcome, retry, a.Advice))
	}
	slices.Sort(got)
	slices.Sort(want)
	qt.Assert(t, got, qt.DeepEquals, want)
}

// TestOperatorPageListsAllKinds guards against an operator page that lacks an error kind, or lists the kinds in a
// different order than the caller reference.
func TestOperatorPageListsAllKinds(t *testing.T) {
	qt.Assert(t, kindsOf(t, "operate/answers.md"), qt.DeepEquals, kindsOf(t, "reference/caller.md"))
}

// kindsOf returns the error kinds in the first column of the tables of a page.
func kindsOf(t *testing.T, name string) []errs.Kind {
	t.Helper()
	page, err := os.ReadFile("../../../docs/" + name)
	qt.Assert(t, err, qt.IsNil)
	var kinds []errs.Kind
	for line := range strings.Lines(string(page)) {
		cell, _, _ := strings.Cut(strings.TrimPrefix(line, "| `"), "` |")
		if strings.HasPrefix(line, "| `") && slices.Contains(errs.Kinds(), errs.Kind(cell)) {
			kinds = append(kinds, errs.Kind(cell))
		}
	}
	qt.Assert(t, kinds, qt.HasLen, len(errs.Kinds()))
	return kinds
}
