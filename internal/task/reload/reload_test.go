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

// patience bounds waits in tests. It is no verdict on speed.
const patience = 10 * time.Second

const settings = `VM = "vm-1"
DataCentre = "a"
[Listen]
Callers = "127.0.0.1:8080"
Peers = "127.0.0.1:7000"
Admin = "127.0.0.1:7001"
[Platform]
Config = "http://127.0.0.1:8500"
`

// Guards against changes of the settings that are taken twice, taken with mistakes, or not noticed without a signal.
func TestChangesOfTheFile(t *testing.T) {
	for _, test := range []struct {
		name string
		// text is what the file holds after the start. Empty removes it.
		text  string
		asked bool
		// logged is the event that has to follow, and applied the VM of the settings that are taken.
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
			if test.asked {
				inbox.Put(reload.Check{}, nil)
			}
			seen := func() []string {
				lock.Lock()
				defer lock.Unlock()
				return append([]string{}, names...)
			}
			for until := time.Now().Add(patience); len(seen()) == 0 && time.Now().Before(until); {
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
