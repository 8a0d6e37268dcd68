// Package reload is the task that notices when the settings file has changed.
package reload

import (
	"bytes"
	"os"
	"time"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/super/tree"
)

// checkInterval is the time between two looks at the file, for changes that nobody announces.
const checkInterval = time.Second

// A Message is what the task receives.
type Message interface{ message() }

// A Check asks for a look at the file now.
type Check struct{}

func (Check) message() {}

// A Task owns the text of the settings that are in force.
type Task struct {
	*tree.Loop
	path  string
	inbox *mail.Box[Message]
	apply func(*conf.Settings)
	text  []byte
	// failing is true while the file cannot be read.
	failing bool
}

// New starts the task, which calls apply with the settings of the file when its text changes. Settings with
// mistakes are logged and leave those in force.
func New(path string, inbox *mail.Box[Message], apply func(*conf.Settings)) *Task {
	t := &Task{Loop: tree.NewLoop(), path: path, inbox: inbox, apply: apply}
	// A file that cannot be read now is logged by the next look, which finds another text.
	t.text, _ = os.ReadFile(path)
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (t *Task) loop() error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			switch m.(type) {
			case Check:
				t.check(true)
			}
		case <-ticker.C:
			t.check(false)
		case <-t.Stopping():
			return nil
		}
	}
}

// check reads the file. A look that was asked for is logged even when nothing has changed.
func (t *Task) check(asked bool) {
	text, err := os.ReadFile(t.path)
	if err != nil {
		if !t.failing || asked {
			event.SettingsRefused.Log("file", t.path, "error", err.Error())
		}
		t.failing = true
		return
	}
	t.failing = false
	if bytes.Equal(text, t.text) {
		if asked {
			event.SettingsReloaded.Log("file", t.path, "changed", false)
		}
		return
	}
	t.text = text
	s, err := conf.Parse(text)
	if err != nil {
		event.SettingsRefused.Log("file", t.path, "error", err.Error())
		return
	}
	event.SettingsReloaded.Log("file", t.path, "changed", true)
	t.apply(s)
}
