package form

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the path of each header and key, such as "AddTarget[2].VM", to its line.
func lineIndex(text []byte) map[string]int {
	x := &indexer{lines: map[string]int{}, counts: map[string]int{}}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.lines
}

type indexer struct {
	parser unstable.Parser
	lines  map[string]int
	counts map[string]int
	prefix string
}

func (x *indexer) expression(e *unstable.Node) {
	key, line := x.key(e.Key())
	switch e.Kind {
	case unstable.ArrayTable:
		path := x.resolve(key)
		x.prefix = fmt.Sprintf("%s[%d]", path, x.counts[path])
		x.counts[path]++
		x.lines[x.prefix] = line
	case unstable.Table:
		x.prefix = x.resolve(key)
		x.lines[x.prefix] = line
	case unstable.KeyValue:
		x.keyValue(x.prefix, e)
	default:
	}
}

func (x *indexer) keyValue(prefix string, e *unstable.Node) {
	key, line := x.key(e.Key())
	path := join(prefix, strings.Join(key, "."))
	x.lines[path] = line
	x.value(path, line, e.Value())
}

// value indexes the keys of inline tables, which stand on the line of their own key or element.
func (x *indexer) value(path string, line int, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for c := v.Children(); c.Next(); {
			x.keyValue(path, c.Node())
		}
	case unstable.Array:
		n := 0
		for c := v.Children(); c.Next(); {
			element := fmt.Sprintf("%s[%d]", path, n)
			x.lines[element] = line
			if c.Node().Raw.Length > 0 {
				x.lines[element] = x.parser.Shape(c.Node().Raw).Start.Line
			}
			x.value(element, x.lines[element], c.Node())
			n++
		}
	default:
	}
}

func (x *indexer) key(i unstable.Iterator) (key []string, line int) {
	for i.Next() {
		n := i.Node()
		if line == 0 && n.Raw.Length > 0 {
			line = x.parser.Shape(n.Raw).Start.Line
		}
		key = append(key, string(n.Data))
	}
	return key, line
}

// resolve adds to each array of tables on the way the number of its last element.
func (x *indexer) resolve(key []string) string {
	path := ""
	for i, k := range key {
		path = join(path, k)
		if n := x.counts[path]; n > 0 && i < len(key)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
