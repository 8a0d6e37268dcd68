package conf_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/policy/route"
)

const valid = `VM = "vm-1"
DataCentre = "catania-1"
Region = "sicily"
Profile = "Cost"

[Listen]
Callers = "10.0.0.1:8080"
Peers = "10.0.0.1:7000"
Admin = "127.0.0.1:7001"

[Platform]
Config = "http://10.0.0.9:8500"
VMList = "http://10.0.0.9:8500"
Seeds = ["10.0.0.2:7000"]

[Limits]
KeyEpoch = "1m"
`

// TestParse guards against accepting settings that cannot work, and against mistakes reported without their line and
// key.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		want []string
	}{
		{"valid", "", "", nil},
		{"no VM", "VM = \"vm-1\"\n", "", []string{"VM: is missing"}},
		{"bad shedding", "Profile = \"Cost\"", "Shedding = \"ByLuck\"", []string{"line 4: Shedding: is \"ByLuck\""}},
		{"bad profile", "\"Cost\"", "\"Fast\"", []string{"line 4: Profile: is \"Fast\""}},
		{"unspecified", "10.0.0.1:7000", "0.0.0.0:7000", []string{"line 8: Listen.Peers: is 0.0.0.0:7000"}},
		{"host name", "10.0.0.1:8080", "here:8080", []string{"line 7: Listen.Callers: is \"here:8080\""}},
		{"collision", "127.0.0.1:7001", "10.0.0.1:7000", []string{"line 9: Listen.Admin: is the same"}},
		{"https", "Config = \"http:", "Config = \"https:", []string{"line 12: Platform.Config: is \"https:"}},
		{"seed", "10.0.0.2:7000", "10.0.0.2", []string{"line 14: Platform.Seeds: \"10.0.0.2\""}},
		{"epoch", "\"1m\"", "\"1ms\"", []string{"line 17: Limits.KeyEpoch: is 1ms"}},
		{"numbers as text", "KeyEpoch", "MaxDescriptors = \"4100\"\nMemoryMB = \"\"\nKeyEpoch", nil},
		{"numbers of a machine as text", "KeyEpoch", "MaxDescriptors = \"1073741816\"\nMemoryMB = \"184.5\"\nKeyEpoch", nil},
		{"no number as text", "KeyEpoch", "MaxDescriptors = \"many\"\nMemoryMB = 1\nKeyEpoch", []string{
			"line 17: Limits.MaxDescriptors: is \"many\"", "line 18: Limits.MemoryMB: is 1,",
		}},
		{"several", "KeyEpoch = \"1m\"", "MaxBody = 1\nMaxHeader = \"x\"\nColour = 1", []string{
			"line 17: Limits.MaxBody: is 1,", "line 18: Limits.MaxHeader: want an integer", "line 19: Limits.Colour: is unknown",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			s, err := conf.Parse([]byte(strings.Replace(valid, test.old, test.new, 1)))
			if len(test.want) == 0 {
				c.Assert(err, quicktest.IsNil)
				c.Check(s.Profile, quicktest.Equals, route.ProfileCost)
				c.Check(s.KeyEpoch, quicktest.Equals, time.Minute)
				c.Check(s.MaxBody, quicktest.Equals, 8<<20)
				return
			}
			m, _ := err.(form.DocumentErrors)
			c.Assert(m, quicktest.HasLen, len(test.want), quicktest.Commentf("%v", m))
			for i, want := range test.want {
				c.Check(strings.HasPrefix(m[i].String(), want), quicktest.IsTrue, quicktest.Commentf("%v, want %s", m[i], want))
			}
		})
	}
}

// FuzzParse guards against a settings file that makes the parser panic or return neither settings nor an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("Listen = 1\n[Platform.Config]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := conf.Parse(text)
		quicktest.Assert(t, (s == nil) == (err != nil), quicktest.IsTrue)
	})
}
