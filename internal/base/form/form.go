// Package form reads TOML texts and reports all their mistakes, each with its line and key.
package form

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// A Mistake is one mistake of a text.
type Mistake struct {
	Line int
	Key  string
	Text string
}

// String returns the mistake as it is shown to operators.
func (m Mistake) String() string {
	switch {
	case m.Key == "" && m.Line == 0:
		return m.Text
	case m.Key == "":
		return fmt.Sprintf("line %d: %s", m.Line, m.Text)
	case m.Line == 0:
		return fmt.Sprintf("%s: %s", m.Key, m.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", m.Line, m.Key, m.Text)
}

// Errors are all mistakes of a text, ordered by line.
type Errors []Mistake

// Error implements error.
func (m Errors) Error() string {
	lines := make([]string, len(m))
	for i, e := range m {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is errors.NotValid, which selects the exit code of commands.
func (Errors) Is(target error) bool { return target == errors.NotValid }

// A Doc is a text that is being read, with the mistakes found so far.
type Doc struct {
	text     []byte
	lines    map[string]int
	mistakes Errors
	root     *Table
}

// Parse reads a text. A text that is not TOML yields one mistake and an empty table.
func Parse(text []byte) *Doc {
	d := &Doc{text: text}
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		m := Mistake{Text: err.Error()}
		var position *toml.DecodeError
		if errors.As(err, &position) {
			m.Line, _ = position.Position()
			m.Key = strings.Join(position.Key(), ".")
		}
		d.mistakes = append(d.mistakes, m)
		values = map[string]any{}
	}
	d.root = &Table{doc: d, values: values, used: map[string]bool{}}
	return d
}

// Root returns the table of the whole text.
func (d *Doc) Root() *Table { return d.root }

// Mistakes returns the mistakes found so far, ordered by line.
func (d *Doc) Mistakes() Errors {
	return Sorted(d.mistakes)
}

// Sorted returns mistakes ordered by line, key and text, without repetitions.
func Sorted(m Errors) Errors {
	sorted := slices.Clone(m)
	slices.SortFunc(sorted, func(a, b Mistake) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Key+"\x00"+a.Text, b.Key+"\x00"+b.Text)
	})
	return slices.Compact(sorted)
}

func (d *Doc) line(path string) int {
	if d.lines == nil {
		d.lines = lineIndex(d.text)
	}
	return d.lines[path]
}

// A Table is one table of a text. Reading a key that is missing returns the zero value.
type Table struct {
	doc    *Doc
	path   string
	values map[string]any
	used   map[string]bool
}

var elementNumber = regexp.MustCompile(`\[\d+\]`)

// At returns a mistake at a key, or at the table itself when key is empty.
func (t *Table) At(key, format string, arguments ...any) Mistake {
	path := t.path
	if key != "" {
		path = join(path, key)
	}
	line := t.doc.line(path)
	if line == 0 {
		line = t.doc.line(t.path)
	}
	return Mistake{Line: line, Key: elementNumber.ReplaceAllString(path, ""), Text: fmt.Sprintf(format, arguments...)}
}

// Mistake adds a mistake at a key of the table.
func (t *Table) Mistake(key, format string, arguments ...any) {
	t.doc.mistakes = append(t.doc.mistakes, t.At(key, format, arguments...))
}

// Has reports whether the table has a key.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Keys returns the keys of the table in order.
func (t *Table) Keys() []string { return slices.Sorted(maps.Keys(t.values)) }

// value returns the value of a key, with a mistake when it has another type than wanted.
func value[T any](t *Table, key, want string) (v T, ok bool) {
	t.used[key] = true
	found, has := t.values[key]
	if !has {
		return v, false
	}
	v, ok = found.(T)
	if !ok {
		t.Mistake(key, "want %s", want)
	}
	return v, ok
}

// Text returns a string.
func (t *Table) Text(key string) string {
	v, _ := value[string](t, key, "a string")
	return v
}

// Flag returns a boolean.
func (t *Table) Flag(key string) bool {
	v, _ := value[bool](t, key, "true or false")
	return v
}

// Number returns an integer from low to high, or otherwise when the key is missing.
func (t *Table) Number(key string, low, high, otherwise int64) int64 {
	v, ok := value[int64](t, key, "an integer")
	if !ok {
		return otherwise
	}
	if v < low || v > high {
		if high == math.MaxInt64 {
			t.Mistake(key, "is %d, want at least %d", v, low)
		} else {
			t.Mistake(key, "is %d, want %d to %d", v, low, high)
		}
		return otherwise
	}
	return v
}

// Duration returns a positive duration, or otherwise when the key is missing.
func (t *Table) Duration(key string, otherwise time.Duration) time.Duration {
	v, ok := value[string](t, key, `a duration such as "2s"`)
	if !ok {
		return otherwise
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		t.Mistake(key, `is %q, want a positive duration such as "2s"`, v)
		return otherwise
	}
	return d
}

// Address returns an IP address with a port. The key must be there.
func (t *Table) Address(key string) netip.AddrPort {
	v, ok := value[string](t, key, `an IP address with a port, such as "10.0.0.9:7000"`)
	if !ok {
		if !t.Has(key) {
			t.Mistake(key, "is missing")
		}
		return netip.AddrPort{}
	}
	p, err := netip.ParseAddrPort(v)
	if err != nil || p.Port() == 0 {
		t.Mistake(key, `is %q, want an IP address with a port, such as "10.0.0.9:7000"`, v)
		return netip.AddrPort{}
	}
	return p
}

// Texts returns a list of strings.
func (t *Table) Texts(key string) []string {
	list, _ := value[[]any](t, key, "a list of strings")
	var out []string
	for i, v := range list {
		s, ok := v.(string)
		if !ok {
			t.Mistake(fmt.Sprintf("%s[%d]", key, i), "want a string")
			continue
		}
		out = append(out, s)
	}
	return out
}

// Table returns a table within the table. It is empty when the key is missing.
func (t *Table) Table(key string) *Table {
	v, _ := value[map[string]any](t, key, "a table")
	return &Table{doc: t.doc, path: join(t.path, key), values: v, used: map[string]bool{}}
}

// Tables returns an array of tables.
func (t *Table) Tables(key string) []*Table {
	list, _ := value[[]any](t, key, "an array of tables")
	var out []*Table
	for i, v := range list {
		path := fmt.Sprintf("%s[%d]", key, i)
		m, ok := v.(map[string]any)
		if !ok {
			t.Mistake(path, "want a table")
			continue
		}
		out = append(out, &Table{doc: t.doc, path: join(t.path, path), values: m, used: map[string]bool{}})
	}
	return out
}

// Done adds a mistake for each key that was not read.
func (t *Table) Done() {
	known := slices.Sorted(maps.Keys(t.used))
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if !t.used[key] {
			t.Mistake(key, "is unknown (known here: %s)", strings.Join(known, ", "))
		}
	}
}
