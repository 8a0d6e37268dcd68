package reload_test

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/task/reload"
)

// testTimeout limits waits in tests. It checks no latency.
const testTimeout = 10 * time.Second

const settings = `VM = "vm-1"
DataCentre = "a"
[Listen]
Callers = "127.0.0.1:8080"
Peers = "127.0.0.1:7000"
Admin = "127.0.0.1:7001"
[Platform]
Config = "http://127.0.0.1:8500"
`

// Guards against changed settings that are applied twice, applied although invalid, or not noticed without a signal.
func TestSettingsFileChanges(t *testing.T) {
	for _, test := range []struct {
		name string
		// text is the content of the file after the start. An empty text removes the file.
		text      string
		requested bool
		// logged is the expected event, and applied the VM of the expected settings.
		logged  string
		applied ident.VM
	}{
		{"changed, with a signal", "Profile = \"Cost\"\n" + settings, true, "SettingsReloaded", "vm-1"},
		{"changed, without a signal", "Profile = \"Cost\"\n" + settings, false, "SettingsReloaded", "vm-1"},
		{"unchanged, with a signal", settings, true, "SettingsReloaded", ""},
		{"with a mistake", "Profile = \"Fast\"\n" + settings, true, "SettingsRefused", ""},
		{"removed", "", true, "SettingsRefused", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "daemon.toml")
			qt.Assert(t, os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
			var lock sync.Mutex
			var names []string
			event.SetCounter(func(name string) {
				lock.Lock()
				defer lock.Unlock()
				names = append(names, name)
			})
			defer event.SetCounter(func(string) {})
			applied := make(chan ident.VM, 4)
			inbox := mail.NewBox[reload.Message](1)
			task := reload.New(path, inbox, func(s *conf.Settings) { applied <- s.VM })
			if test.text == "" {
				qt.Assert(t, os.Remove(path), qt.IsNil)
			} else {
				qt.Assert(t, os.WriteFile(path, []byte(test.text), 0o600), qt.IsNil)
			}
			if test.requested {
				inbox.Put(reload.Check{}, nil)
			}
			seen := func() []string {
				lock.Lock()
				defer lock.Unlock()
				return append([]string{}, names...)
			}
			for deadline := time.Now().Add(testTimeout); len(seen()) == 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			task.Stop()
			<-task.Done()
			qt.Assert(t, seen(), qt.DeepEquals, []string{test.logged})
			close(applied)
			qt.Assert(t, <-applied, qt.Equals, test.applied)
		})
	}
}
