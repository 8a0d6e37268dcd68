package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/cli/conf"
)

// Guards against limits of connections that exhaust the descriptors, and against limits that legitimate clients reach: the
// callers of two large services have 520 connections.
func TestConnectionLimits(t *testing.T) {
	tests := []struct {
		name        string
		descriptors int
		setting     int
		want        connectionLimits
		least       int // the least that must be left for other descriptors
	}{
		{"a deployment", 4100, 0, connectionLimits{1640, 1640, 64}, 200},
		{"a setting", 4100, 600, connectionLimits{600, 1640, 64}, 200},
		{"a setting above the descriptors", 4100, 9000, connectionLimits{1640, 1640, 64}, 200},
		{"few", 500, 0, connectionLimits{200, 200, 25}, 50},
		{"many", 1 << 20, 0, connectionLimits{10_000, 419_430, 64}, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newConnectionLimits(&conf.Settings{MaxConnections: test.setting}, test.descriptors)
			qt.Assert(t, l, qt.Equals, test.want)
			qt.Assert(t, test.descriptors-l.callers-l.peers-2*l.operators >= test.least, qt.IsTrue)
		})
	}
}
