package form_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"jacinthcross/internal/base/form"
)

// TestMistakesHaveLineAndKey guards against mistakes with a wrong line or key, and against stopping at the first mistake.
func TestMistakesHaveLineAndKey(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"syntax", "A = 1\nB = \n", []string{"line 2: "}},
		{"types", "Name = 1\n[Sub]\nAt = \"here\"\n", []string{"line 1: Name: want a string", "line 3: Sub.At: is \"here\", want an IP"}},
		{"arrays", "[[List]]\nCount = 1\n\n[[List]]\nCount = 0\nOther = 2\n", []string{
			"line 5: List.Count: is 0, want 1 to 9", "line 6: List.Other: is unknown (known here: Count)",
		}},
		{"inline", "List = [\n  {Count = 1},\n  {Count = 10},\n]\n", []string{"line 3: List.Count: is 10"}},
		{"after a multi-line string", "Name = \"\"\"\n[[List]]\n\"\"\"\n[[List]]\nCount = 10\n", []string{"line 5: List.Count: is 10"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			d := form.Parse([]byte(test.text))
			r := d.Root()
			if test.name != "syntax" {
				r.String("Name")
				if r.Has("Sub") {
					r.Table("Sub").RequiredAddress("At")
				}
				for _, e := range r.Tables("List") {
					e.Int("Count", 1, 9, 1)
					e.RejectUnknownKeys()
				}
			}
			m := d.Mistakes()
			c.Assert(m, quicktest.HasLen, len(test.want), quicktest.Commentf("%v", m))
			for i, want := range test.want {
				c.Check(m[i].String()[:min(len(want), len(m[i].String()))], quicktest.Equals, want)
			}
		})
	}
}
