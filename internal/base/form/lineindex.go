package form

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the path of each table header and key, such as "AddTarget[2].VM", to its line.
func lineIndex(text []byte) map[string]int {
	x := &indexer{lines: map[string]int{}, arrayLengths: map[string]int{}}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.indexExpression(x.parser.Expression())
	}
	return x.lines
}

// An indexer builds the line index of a document.
type indexer struct {
	parser unstable.Parser
	lines  map[string]int
	// arrayLengths counts the elements of each array of tables so far.
	arrayLengths map[string]int
	// prefix is the path of the current table.
	prefix string
}

func (x *indexer) indexExpression(e *unstable.Node) {
	key, line := x.keyParts(e.Key())
	switch e.Kind {
	case unstable.ArrayTable:
		path := x.resolvePath(key)
		x.prefix = fmt.Sprintf("%s[%d]", path, x.arrayLengths[path])
		x.arrayLengths[path]++
		x.lines[x.prefix] = line
	case unstable.Table:
		x.prefix = x.resolvePath(key)
		x.lines[x.prefix] = line
	case unstable.KeyValue:
		x.indexKeyValue(x.prefix, e)
	default:
	}
}

func (x *indexer) indexKeyValue(prefix string, e *unstable.Node) {
	key, line := x.keyParts(e.Key())
	path := joinPath(prefix, strings.Join(key, "."))
	x.lines[path] = line
	x.indexValue(path, line, e.Value())
}

// indexValue indexes the keys of inline tables and the elements of arrays. An element gets the line where it starts or,
// if the parser does not give its position, that of the array.
func (x *indexer) indexValue(path string, line int, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for c := v.Children(); c.Next(); {
			x.indexKeyValue(path, c.Node())
		}
	case unstable.Array:
		n := 0
		for c := v.Children(); c.Next(); {
			element := fmt.Sprintf("%s[%d]", path, n)
			x.lines[element] = line
			if c.Node().Raw.Length > 0 {
				x.lines[element] = x.parser.Shape(c.Node().Raw).Start.Line
			}
			x.indexValue(element, x.lines[element], c.Node())
			n++
		}
	default:
	}
}

// keyParts returns the parts of a dotted key and its line.
func (x *indexer) keyParts(i unstable.Iterator) (key []string, line int) {
	for i.Next() {
		n := i.Node()
		if line == 0 && n.Raw.Length > 0 {
			line = x.parser.Shape(n.Raw).Start.Line
		}
		key = append(key, string(n.Data))
	}
	return key, line
}

// resolvePath joins the parts of a key. A part that names an array of tables gets the index of its last element,
// unless it is the last part.
func (x *indexer) resolvePath(key []string) string {
	path := ""
	for i, k := range key {
		path = joinPath(path, k)
		if n := x.arrayLengths[path]; n > 0 && i < len(key)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func joinPath(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
