// Package form reads the expected keys of a TOML document and validates their values. It calls a syntax or validation
// error a mistake, and reports all mistakes at once, each with its line and key.
package form

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// A Mistake is a syntax error or an invalid value in a document.
type Mistake struct {
	Line int    // 0 if unknown
	Key  string // empty for the whole document
	Text string
}

// String formats the mistake for operators.
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

// DocumentErrors is a list of mistakes. Doc.Mistakes and Sorted order it by line.
type DocumentErrors []Mistake

// Error implements error.
func (m DocumentErrors) Error() string {
	lines := make([]string, len(m))
	for i, e := range m {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is errors.NotValid, from which commands derive their exit code.
func (DocumentErrors) Is(target error) bool { return target == errors.NotValid }

// A Doc is a document with the mistakes found in it so far.
type Doc struct {
	text     []byte
	lines    map[string]int
	mistakes DocumentErrors
	root     *Table
}

// Parse parses a document. If it is not valid TOML, the Doc has one mistake and an empty root table.
func Parse(text []byte) *Doc {
	d := &Doc{text: text}
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		m := Mistake{Text: err.Error()}
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			m.Line, _ = decodeError.Position()
			m.Key = strings.Join(decodeError.Key(), ".")
		}
		d.mistakes = append(d.mistakes, m)
		values = map[string]any{}
	}
	d.root = &Table{doc: d, values: values, readKeys: map[string]bool{}}
	return d
}

// Root returns the top-level table.
func (d *Doc) Root() *Table { return d.root }

// Mistakes returns the mistakes found so far, ordered by line.
func (d *Doc) Mistakes() DocumentErrors {
	return Sorted(d.mistakes)
}

// Sorted returns the mistakes ordered by line, key and text, without duplicates.
func Sorted(m DocumentErrors) DocumentErrors {
	sorted := slices.Clone(m)
	slices.SortFunc(sorted, func(a, b Mistake) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Key+"\x00"+a.Text, b.Key+"\x00"+b.Text)
	})
	return slices.Compact(sorted)
}

// lineOf returns the line of the key with the given path, or 0 if there is none.
func (d *Doc) lineOf(path string) int {
	if d.lines == nil {
		d.lines = lineIndex(d.text)
	}
	return d.lines[path]
}

// A Table is a table of a document. Methods that read a key return the zero value if the key is missing, unless they
// say otherwise.
type Table struct {
	doc      *Doc
	path     string
	values   map[string]any
	readKeys map[string]bool // keys that were asked for
}

var arrayIndexPattern = regexp.MustCompile(`\[\d+\]`)

// NewMistake returns a mistake at a key, or at the table itself if key is empty. It does not add the mistake to the
// document.
func (t *Table) NewMistake(key, format string, args ...any) Mistake {
	path := t.path
	if key != "" {
		path = joinPath(path, key)
	}
	line := t.doc.lineOf(path)
	if line == 0 {
		line = t.doc.lineOf(t.path)
	}
	return Mistake{Line: line, Key: arrayIndexPattern.ReplaceAllString(path, ""), Text: fmt.Sprintf(format, args...)}
}

// AddMistake adds a mistake at a key of the table to the document.
func (t *Table) AddMistake(key, format string, args ...any) {
	t.doc.mistakes = append(t.doc.mistakes, t.NewMistake(key, format, args...))
}

// Has reports whether the table has a key.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Keys returns the keys of the table in alphabetical order.
func (t *Table) Keys() []string { return slices.Sorted(maps.Keys(t.values)) }

// lookup returns the value of a key. It adds a mistake if the value does not have type T, which want describes.
func lookup[T any](t *Table, key, want string) (v T, ok bool) {
	t.readKeys[key] = true
	found, has := t.values[key]
	if !has {
		return v, false
	}
	v, ok = found.(T)
	if !ok {
		t.AddMistake(key, "want %s", want)
	}
	return v, ok
}

// String returns a string.
func (t *Table) String(key string) string {
	v, _ := lookup[string](t, key, "a string")
	return v
}

// Bool returns a boolean.
func (t *Table) Bool(key string) bool {
	v, _ := lookup[bool](t, key, "true or false")
	return v
}

// Int returns an integer from low to high, or fallback if the key is missing or invalid.
func (t *Table) Int(key string, low, high, fallback int64) int64 {
	v, ok := lookup[int64](t, key, "an integer")
	if !ok {
		return fallback
	}
	return t.inRange(key, v, low, high, fallback)
}

// IntText is like Int for a key whose value may also be a text, as templates write it. An empty text counts as missing. A
// number in a text is rounded down and limited to the range, since it comes from the machine and not from an operator.
func (t *Table) IntText(key string, low, high, fallback int64) int64 {
	if _, isText := t.values[key].(string); !isText {
		return t.Int(key, low, high, fallback)
	}
	text := t.String(key)
	if text == "" {
		return fallback
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) {
		t.AddMistake(key, "is %q, want an integer", text)
		return fallback
	}
	return int64(min(max(v, float64(low)), float64(high)))
}

// inRange returns an integer from low to high, or fallback.
func (t *Table) inRange(key string, v, low, high, fallback int64) int64 {
	if v < low || v > high {
		if high == math.MaxInt64 {
			t.AddMistake(key, "is %d, want at least %d", v, low)
		} else {
			t.AddMistake(key, "is %d, want %d to %d", v, low, high)
		}
		return fallback
	}
	return v
}

// Duration returns a positive duration, or fallback if the key is missing or invalid.
func (t *Table) Duration(key string, fallback time.Duration) time.Duration {
	v, ok := lookup[string](t, key, `a duration such as "2s"`)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		t.AddMistake(key, `is %q, want a positive duration such as "2s"`, v)
		return fallback
	}
	return d
}

// RequiredAddress returns an IP address with a port. The key is required.
func (t *Table) RequiredAddress(key string) netip.AddrPort {
	v, ok := lookup[string](t, key, `an IP address with a port, such as "10.0.0.9:7000"`)
	if !ok {
		if !t.Has(key) {
			t.AddMistake(key, "is missing")
		}
		return netip.AddrPort{}
	}
	p, err := netip.ParseAddrPort(v)
	if err != nil || p.Port() == 0 {
		t.AddMistake(key, `is %q, want an IP address with a port, such as "10.0.0.9:7000"`, v)
		return netip.AddrPort{}
	}
	return p
}

// Strings returns a list of strings.
func (t *Table) Strings(key string) []string {
	list, _ := lookup[[]any](t, key, "a list of strings")
	var out []string
	for i, v := range list {
		s, ok := v.(string)
		if !ok {
			t.AddMistake(fmt.Sprintf("%s[%d]", key, i), "want a string")
			continue
		}
		out = append(out, s)
	}
	return out
}

// Table returns a subtable. It is empty if the key is missing.
func (t *Table) Table(key string) *Table {
	v, _ := lookup[map[string]any](t, key, "a table")
	return &Table{doc: t.doc, path: joinPath(t.path, key), values: v, readKeys: map[string]bool{}}
}

// Tables returns an array of tables.
func (t *Table) Tables(key string) []*Table {
	list, _ := lookup[[]any](t, key, "an array of tables")
	var out []*Table
	for i, v := range list {
		path := fmt.Sprintf("%s[%d]", key, i)
		m, ok := v.(map[string]any)
		if !ok {
			t.AddMistake(path, "want a table")
			continue
		}
		out = append(out, &Table{doc: t.doc, path: joinPath(t.path, path), values: m, readKeys: map[string]bool{}})
	}
	return out
}

// RejectUnknownKeys adds a mistake for each key of the table that was not read and is therefore unknown.
func (t *Table) RejectUnknownKeys() {
	known := slices.Sorted(maps.Keys(t.readKeys))
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if !t.readKeys[key] {
			t.AddMistake(key, "is unknown (known here: %s)", strings.Join(known, ", "))
		}
	}
}
