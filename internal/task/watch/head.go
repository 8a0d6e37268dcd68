package watch

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/gossip"
)

// maxMissingNotes is the number of missing notes above which a published snapshot is read instead.
const maxMissingNotes = 16

// A headReader reads the head and the notes that lead to it, or a snapshot and the notes after it, and delivers the notes
// and the snapshot to the gossip task.
type headReader struct {
	reader Reader
	// after is the head that the daemon holds.
	after ident.Head
	// headVersion is the version of the value "head" that was read last, or 0 to read without waiting for a change.
	headVersion uint64
	wait        time.Duration
	deliver     func(gossip.Message)
}

// A publishedHead is the value of the key "head". snapshotSerial is the serial of the last published snapshot, or 0.
type publishedHead struct {
	ident.Head
	snapshotSerial ident.Serial
}

func parseHead(text []byte) (publishedHead, error) {
	d := form.Parse(text)
	t := d.Root()
	var h publishedHead
	h.Serial = ident.Serial(t.Int("Serial", 1, math.MaxInt64, 0))
	h.snapshotSerial = ident.Serial(t.Int("Base", 1, math.MaxInt64, 0))
	digest, err := ident.ParseDigest(t.String("Digest"))
	if err != nil || h.Serial == 0 {
		t.AddMistake("Digest", "must be a SHA-256 in hexadecimal, and Serial must be at least 1")
	}
	h.Digest = digest
	t.RejectUnknownKeys()
	if m := d.Mistakes(); len(m) > 0 {
		return h, errors.Annotate(m, `value "head" of the configuration service`)
	}
	return h, nil
}

// read waits for a new head and delivers the notes, or a snapshot and notes, that lead to it. It returns the version
// of the head.
func (f *headReader) read(ctx context.Context) (uint64, error) {
	v, err := f.reader.Read(ctx, "head", f.headVersion, f.wait)
	if err != nil {
		return 0, err
	}
	head, err := parseHead(v.Text)
	if err != nil {
		return 0, err
	}
	// An older head is a stale value, and with an equal head there is nothing to read. The daemon keeps its release.
	if head.Serial < f.after.Serial || head.Head == f.after {
		return v.Version, nil
	}
	first := f.after.Serial + 1
	if head.Serial == f.after.Serial {
		// The digest differs, so this note is read too, to detect the conflict.
		first = head.Serial
	}
	if head.snapshotSerial >= first && head.snapshotSerial <= head.Serial && head.Serial-first >= maxMissingNotes {
		switch err := f.readSnapshot(ctx, head.snapshotSerial); {
		case err == nil:
			first = head.snapshotSerial + 1
		case errors.Is(err, errors.NotValid) || errors.Is(err, errors.NotFound):
			// The snapshot is unusable, but the notes lead to the same release.
			event.ConfigurationServiceUnreadable.Log("error", err.Error())
		default:
			return 0, err
		}
	}
	for serial := first; serial <= head.Serial; serial++ {
		n, digest, err := f.readNote(ctx, serial)
		if errors.Is(err, errors.NotFound) && head.snapshotSerial > serial && head.snapshotSerial <= head.Serial {
			// Notes before a snapshot may have been deleted.
			if err := f.readSnapshot(ctx, head.snapshotSerial); err != nil {
				return 0, err
			}
			serial = head.snapshotSerial
			continue
		}
		if err != nil {
			return 0, err
		}
		if serial == head.Serial && digest != head.Digest {
			// NotValidf appends " not valid".
			return 0, errors.NotValidf("value \"note/%d\", whose SHA-256 differs from the digest in the head, is", serial)
		}
		f.deliver(gossip.NoteRead{Offer: n})
	}
	return v.Version, nil
}

func (f *headReader) readNote(ctx context.Context, serial ident.Serial) (relay.Offer, ident.Digest, error) {
	v, err := f.reader.Read(ctx, fmt.Sprintf("note/%d", serial), 0, 0)
	if err != nil {
		return relay.Offer{}, ident.Digest{}, err
	}
	return relay.Offer{Serial: serial, Text: v.Text, Version: v.Version}, sha256.Sum256(v.Text), nil
}

// readSnapshot reads and delivers a snapshot. It is delivered with the version of its last note, by which conflicts
// between releases are decided.
func (f *headReader) readSnapshot(ctx context.Context, serial ident.Serial) error {
	n, digest, err := f.readNote(ctx, serial)
	if err != nil {
		return err
	}
	v, err := f.reader.Read(ctx, fmt.Sprintf("base/%d", serial), 0, 0)
	if err != nil {
		return err
	}
	if r, err := note.ParseSnapshot(v.Text); err != nil {
		return errors.Annotatef(err, "value \"base/%d\" (a snapshot)", serial)
	} else if r.Head != (ident.Head{Serial: serial, Digest: digest}) {
		// NotValidf appends " not valid".
		return errors.NotValidf("value \"base/%d\" (a snapshot), whose serial or digest differs from that of its note, is", serial)
	}
	f.deliver(gossip.SnapshotRead{Snapshot: relay.Snapshot{
		Head: ident.Head{Serial: serial, Digest: digest}, Text: v.Text, Version: n.Version,
	}})
	return nil
}

// readVMList reads the VM list if its version is higher than after, and returns ErrUnchanged otherwise.
func readVMList(ctx context.Context, reader Reader, after uint64) (relay.Listing, error) {
	v, err := reader.Read(ctx, "vms", after, 0)
	if err != nil {
		return relay.Listing{}, err
	}
	d := form.Parse(v.Text)
	t := d.Root()
	m := relay.Listing{Version: v.Version}
	for _, e := range t.Tables("VM") {
		vm := relay.ListedVM{
			VM: ident.VM(e.String("Name")), DataCentre: ident.DataCentre(e.String("DataCentre")),
			State: relay.ListedState(e.String("State")), Daemon: e.RequiredAddress("Daemon"),
		}
		if vm.VM == "" {
			e.AddMistake("Name", "is missing")
		}
		if vm.State != relay.Live && vm.State != relay.Leaving {
			e.AddMistake("State", "is %q, want Live or Leaving", vm.State)
		}
		m.VMs = append(m.VMs, vm)
		e.RejectUnknownKeys()
	}
	t.RejectUnknownKeys()
	if mistakes := d.Mistakes(); len(mistakes) > 0 {
		return relay.Listing{}, errors.Annotate(mistakes, `value "vms" (the VM list)`)
	}
	return m, nil
}
