package proc

import (
	"os"

	"github.com/juju/errors"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/super/daemon"
	"jacinthcross/internal/super/tree"
)

// An EmbeddedDaemon is a task that runs a daemon in this process.
type EmbeddedDaemon struct {
	*tree.Loop
	daemon *daemon.Daemon
	inbox  *mail.Box[Message]
}

// NewEmbedded starts a daemon in this process.
func NewEmbedded(inbox *mail.Box[Message], settings *conf.Settings) (*EmbeddedDaemon, error) {
	d, err := daemon.New(settings, "bench")
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &EmbeddedDaemon{Loop: tree.NewLoop(), daemon: d, inbox: inbox}
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

func (t *EmbeddedDaemon) loop() error {
	for {
		select {
		case m := <-t.inbox.C():
			switch m := m.(type) {
			case Terminate, KillWithoutRestart:
				return errors.Trace(t.daemon.Shutdown())
			case Restart, Kill:
				// A daemon in this process cannot be killed, so it is shut down gracefully.
				if err := t.daemon.Shutdown(); err != nil {
					return errors.Trace(err)
				}
				return ErrExited
			case GetPID:
				m.Reply.TryPut(os.Getpid())
			case Pause, Continue, Reload:
			}
		case <-t.daemon.Done():
			return errors.Annotate(ErrExited, "embedded daemon")
		case <-t.Stopping():
			return errors.Trace(t.daemon.Shutdown())
		}
	}
}
