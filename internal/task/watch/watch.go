package watch

import (
	"context"
	"fmt"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/keeper"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

const (
	watchWait  = 30 * time.Second
	retryDelay = time.Second
)

// A Task watches the head in the configuration service and passes new notes to the keeper.
type Task struct {
	*tree.Loop
	reader  Reader
	keeper  *mail.Box[keeper.Message]
	version uint64
	serial  ident.Serial
}

// publishedHead is the value of the key "head".
type publishedHead struct {
	Serial ident.Serial
	Digest string
}

// New starts the task.
func New(reader Reader, box *mail.Box[keeper.Message]) *Task {
	t := &Task{Loop: tree.NewLoop(), reader: reader, keeper: box}
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (t *Task) loop() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-t.Stopping():
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		err := t.follow(ctx)
		if err == nil || errors.Is(err, ErrUnchanged) || ctx.Err() != nil {
			continue
		}
		event.ServiceUnread.Log("error", err.Error())
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
	return nil
}

// follow waits for a new head and passes on the notes up to it.
func (t *Task) follow(ctx context.Context) error {
	v, err := t.reader.Read(ctx, "head", t.version, watchWait)
	if err != nil {
		return err
	}
	var head publishedHead
	if err := toml.Unmarshal(v.Text, &head); err != nil {
		return errors.Annotate(err, "read value head")
	}
	for t.serial < head.Serial {
		n, err := t.reader.Read(ctx, fmt.Sprintf("note/%d", t.serial+1), 0, 0)
		if err != nil {
			return err
		}
		t.serial++
		t.keeper.Put(keeper.FromService{Offer: relay.Offer{Serial: t.serial, Text: n.Text, Version: n.Version}}, t.Stopping())
	}
	t.version = v.Version
	return nil
}
