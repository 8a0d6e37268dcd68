// Package reload is the task that applies changes to the settings file.
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

// checkInterval is the time between two checks of the file that are made without a signal.
const checkInterval = time.Second

// A Message is a message to the task.
type Message interface{ message() }

// A Check requests a check of the file now.
type Check struct{}

func (Check) message() {}

// A Task checks the settings file for changes. It owns the text that was read last.
type Task struct {
	*tree.Loop
	path  string
	inbox *mail.Box[Message]
	apply func(*conf.Settings)
	text  []byte
	// unreadable is true while the file cannot be read.
	unreadable bool
}

// New starts the task, which calls apply with the settings of the file when its text has changed. Invalid settings
// are logged and not applied.
func New(path string, inbox *mail.Box[Message], apply func(*conf.Settings)) *Task {
	t := &Task{Loop: tree.NewLoop(), path: path, inbox: inbox, apply: apply}
	// If the file cannot be read now, the next check logs the error or finds changed text.
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

// check reads the file and applies changed settings. A requested check is logged even when nothing has changed.
func (t *Task) check(requested bool) {
	text, err := os.ReadFile(t.path)
	if err != nil {
		if !t.unreadable || requested {
			event.SettingsRefused.Log("file", t.path, "error", err.Error())
		}
		t.unreadable = true
		return
	}
	t.unreadable = false
	if bytes.Equal(text, t.text) {
		if requested {
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
