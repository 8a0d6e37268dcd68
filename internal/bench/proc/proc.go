// Package proc runs programs for experiments: daemons and targets as separate processes, and daemons in this process.
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

// A Message is received by a task that runs a process or an embedded daemon.
type Message interface{ message() }

// Terminate requests a graceful shutdown: a daemon drains its calls and exits. It is not started again.
type Terminate struct{}

// Restart requests a graceful shutdown. The daemon is started again.
type Restart struct{}

// Kill kills the process; an embedded daemon is shut down gracefully instead. The daemon is started again.
type Kill struct{}

// KillWithoutRestart kills the process; an embedded daemon is shut down gracefully instead. The daemon is not started
// again.
type KillWithoutRestart struct{}

// Pause suspends the process until a Continue. It has no effect on an embedded daemon.
type Pause struct{}

// Continue resumes a paused process.
type Continue struct{}

// Reload makes the daemon reload its settings. It has no effect on an embedded daemon.
type Reload struct{}

// GetPID requests the process ID, which is sent to Reply.
type GetPID struct{ Reply *mail.Box[int] }

func (Terminate) message()          {}
func (Restart) message()            {}
func (Kill) message()               {}
func (KillWithoutRestart) message() {}
func (Pause) message()              {}
func (Continue) message()           {}
func (Reload) message()             {}
func (GetPID) message()             {}

// ErrExited is the error of a task whose daemon or target has exited and has to be started again.
var ErrExited = errors.New("the daemon or target exited")

// NewInbox returns a mailbox for a task that runs a process or an embedded daemon. It can be used again for the task of
// the next start.
func NewInbox() *mail.Box[Message] { return mail.NewBox[Message](inboxSize) }

const (
	inboxSize = 16
	// stopTimeout exceeds the time limit of a daemon's graceful shutdown.
	stopTimeout = 22 * time.Second
)

// A Task runs one process.
type Task struct {
	*tree.Loop
	command *exec.Cmd
	inbox   *mail.Box[Message]
	restart bool
}

// New starts a process. Its output is appended to the file at logPath.
func New(inbox *mail.Box[Message], logPath string, path string, arguments ...string) (*Task, error) {
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Annotate(err, "open log file of process")
	}
	defer out.Close()
	t := &Task{Loop: tree.NewLoop(), command: exec.Command(path, arguments...), inbox: inbox, restart: true}
	t.command.Stdout, t.command.Stderr = out, out
	// The system kills the process when this one ends, even if this one is killed.
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
		// The exit status is read from ProcessState instead.
		_ = t.command.Wait()
	}()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case <-ended:
			if !t.restart {
				return nil
			}
			return errors.Annotatef(ErrExited, "process %d: %v", t.command.Process.Pid, t.command.ProcessState)
		case <-t.Stopping():
			return t.stop(ended)
		}
	}
}

// State returns the exit state of the process. It may be called only after Done is closed.
func (t *Task) State() *os.ProcessState { return t.command.ProcessState }

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Terminate:
		t.restart = false
		t.signal(syscall.SIGTERM)
	case Restart:
		t.signal(syscall.SIGTERM)
	case Kill:
		t.signal(syscall.SIGKILL)
	case KillWithoutRestart:
		t.restart = false
		t.signal(syscall.SIGKILL)
	case Pause:
		t.signal(syscall.SIGSTOP)
	case Continue:
		t.signal(syscall.SIGCONT)
	case Reload:
		t.signal(syscall.SIGHUP)
	case GetPID:
		m.Reply.TryPut(t.command.Process.Pid)
	}
}

// signal sends a signal to the process. It ignores errors: they mean that the process has exited, which loop detects.
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
		return errors.Timeoutf("process %d was killed because it did not exit after SIGTERM:", t.command.Process.Pid)
	}
}
