package event_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/event"
)

// TestCatalogueListsAllEvents guards against a catalogue that lacks an event, lists one that does not exist, or has
// another number or level than the code.
func TestCatalogueListsAllEvents(t *testing.T) {
	var got, want []string
	for _, cells := range catalogue(t) {
		got = append(got, strings.Join(cells[:3], " "))
	}
	for _, e := range event.All() {
		want = append(want, fmt.Sprintf("%d `%s` %s", e.Number, e.Name, e.Level))
	}
	slices.Sort(got)
	slices.Sort(want)
	qt.Assert(t, got, qt.DeepEquals, want)
}

// TestNumbersAndNamesAreUnique guards against events that cannot be distinguished in the log.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, e := range event.All() {
		qt.Check(t, numbers[e.Number], qt.IsFalse, qt.Commentf("number %d", e.Number))
		qt.Check(t, names[e.Name], qt.IsFalse, qt.Commentf("name %s", e.Name))
		numbers[e.Number], names[e.Name] = true, true
	}
}

// TestEventsAreLoggedWithTheirFields guards against events that are missing from All, and so from the catalogue,
// events that are never logged, and fields that differ from the catalogue.
func TestEventsAreLoggedWithTheirFields(t *testing.T) {
	variables := declaredNumbers(t)
	qt.Assert(t, variables, qt.HasLen, len(event.All()))
	fields := loggedFields(t)
	var got, want []string
	for _, cells := range catalogue(t) {
		names := strings.FieldsFunc(cells[4], func(r rune) bool { return strings.ContainsRune("`, ", r) })
		slices.Sort(names)
		got = append(got, cells[0]+" "+strings.Join(names, " "))
	}
	for variable, number := range variables {
		names, ok := fields[variable]
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("event.%s is not logged anywhere", variable))
		slices.Sort(names)
		want = append(want, number+" "+strings.Join(names, " "))
	}
	slices.Sort(got)
	slices.Sort(want)
	qt.Assert(t, got, qt.DeepEquals, want)
}

// catalogue returns the table rows of the event catalogue, split into cells.
func catalogue(t *testing.T) [][]string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/reference/events.md")
	qt.Assert(t, err, qt.IsNil)
	var rows [][]string
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) < 6 || strings.Contains(cells[0], "Number") || strings.HasPrefix(cells[0], "-") {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, cells)
	}
	return rows
}

// declaredNumbers returns the number of each event variable in list.go, by the name of the variable.
func declaredNumbers(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "list.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	numbers := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for i, name := range spec.Names {
			literal, ok := spec.Values[i].(*ast.CompositeLit)
			qt.Assert(t, ok, qt.IsTrue)
			number, ok := literal.Elts[0].(*ast.BasicLit)
			qt.Assert(t, ok, qt.IsTrue)
			numbers[name.Name] = number.Value
		}
		return true
	})
	return numbers
}

// loggedFields returns the fields with which non-test code logs each event, by the name of its variable.
func loggedFields(t *testing.T) map[string][]string {
	t.Helper()
	fields := map[string][]string{}
	visit := func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if c, ok := n.(*ast.CallExpr); ok {
				addFields(fields, c)
			}
			return true
		})
		return nil
	}
	for _, root := range []string{"../..", "../../../platform"} {
		qt.Assert(t, filepath.WalkDir(root, visit), qt.IsNil)
	}
	return fields
}

// addFields adds the fields of a call of the form event.Name.Log("field", value).
func addFields(fields map[string][]string, c *ast.CallExpr) {
	log, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || log.Sel.Name != "Log" {
		return
	}
	name := variableOf(log.X)
	names := fields[name]
	for i := 0; i < len(c.Args); i += 2 {
		if literal, ok := c.Args[i].(*ast.BasicLit); ok && !slices.Contains(names, strings.Trim(literal.Value, `"`)) {
			names = append(names, strings.Trim(literal.Value, `"`))
		}
	}
	fields[name] = names
}

// variableOf returns Name for an expression of the form event.Name, or of the form Name as within the package.
func variableOf(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.SelectorExpr:
		if x, ok := e.X.(*ast.Ident); ok && x.Name == "event" {
			return e.Sel.Name
		}
	case *ast.Ident:
		return e.Name
	}
	return ""
}
