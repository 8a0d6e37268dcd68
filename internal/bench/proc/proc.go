// Package proc runs daemons for experiments, as processes or in this process.
package proc

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
)

// A Message is what a task that runs a daemon receives.
type Message interface{ message() }

// A Terminate is a planned stop. The daemon is not started again.
type Terminate struct{}

// A Restart is a planned stop after which the daemon is started again.
type Restart struct{}

// A Kill ends the process at once. The daemon is started again.
type Kill struct{}

// An End ends the process at once. The daemon is not started again.
type End struct{}

// A Pause stops the process without ending it, until a Continue.
type Pause struct{}

// A Continue lets a paused process run again.
type Continue struct{}

// A Reload lets the daemon read its settings again.
type Reload struct{}

// An AskPID asks for the process id. It goes to Reply.
type AskPID struct{ Reply *mail.Box[int] }

func (Terminate) message() {}
func (Restart) message()   {}
func (Kill) message()      {}
func (End) message()       {}
func (Pause) message()     {}
func (Continue) message()  {}
func (Reload) message()    {}
func (AskPID) message()    {}

// ErrExited is returned by a task whose process ended and has to be started again.
var ErrExited = errors.New("the process exited")

// NewBox returns a mailbox that outlives restarts of a daemon.
func NewBox() *mail.Box[Message] { return mail.NewBox[Message](mailbox) }

const (
	mailbox = 16
	// stopTimeout is longer than a daemon may take for a planned stop.
	stopTimeout = 22 * time.Second
)

// A Task owns one process.
type Task struct {
	*tree.Loop
	command *exec.Cmd
	inbox   *mail.Box[Message]
	again   bool
}

// New starts a process. Its output is appended to the file at log.
func New(inbox *mail.Box[Message], log string, path string, arguments ...string) (*Task, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Annotate(err, "open log of a process")
	}
	defer out.Close()
	t := &Task{Loop: tree.NewLoop(), command: exec.Command(path, arguments...), inbox: inbox, again: true}
	t.command.Stdout, t.command.Stderr = out, out
	// The process ends with this one, also when this one is killed.
	t.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := t.command.Start(); err != nil {
		return nil, errors.Annotatef(err, "start %s", path)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

func (t *Task) loop() error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// How the process ended is read from its state.
		_ = t.command.Wait()
	}()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case <-ended:
			if !t.again {
				return nil
			}
			return errors.Annotatef(ErrExited, "process %d: %v", t.command.Process.Pid, t.command.ProcessState)
		case <-t.Stopping():
			return t.stop(ended)
		}
	}
}

// State returns how the process ended. It may be called after Done.
func (t *Task) State() *os.ProcessState { return t.command.ProcessState }

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Terminate:
		t.again = false
		t.signal(syscall.SIGTERM)
	case Restart:
		t.signal(syscall.SIGTERM)
	case Kill:
		t.signal(syscall.SIGKILL)
	case End:
		t.again = false
		t.signal(syscall.SIGKILL)
	case Pause:
		t.signal(syscall.SIGSTOP)
	case Continue:
		t.signal(syscall.SIGCONT)
	case Reload:
		t.signal(syscall.SIGHUP)
	case AskPID:
		m.Reply.TryPut(t.command.Process.Pid)
	}
}

// signal ignores errors: the process has ended then, which the loop sees.
func (t *Task) signal(s syscall.Signal) { _ = t.command.Process.Signal(s) }

func (t *Task) stop(ended <-chan struct{}) error {
	t.signal(syscall.SIGCONT)
	t.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return nil
	case <-time.After(stopTimeout):
		t.signal(syscall.SIGKILL)
		<-ended
		return errors.Timeoutf("planned stop of process %d", t.command.Process.Pid)
	}
}
