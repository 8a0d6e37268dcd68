package codec_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/wire/codec"
)

// TestLargeConfigIsCompressed guards against a config that takes a slow link for longer than needed, that is encoded again
// for each peer, or that arrives changed.
func TestLargeConfigIsCompressed(t *testing.T) {
	config := roster.Config{Version: 7, Routes: map[ident.Route]note.Route{}, Services: map[ident.Service]note.Service{}}
	for i := range 1948 {
		name := ident.Route(fmt.Sprintf("r-%x", i*2654435761))
		config.Routes[name] = note.Route{
			Name: name, Host: fmt.Sprintf("h%x.example", i*40503), Prefix: fmt.Sprintf("/p%x/", i*69069), Timeout: time.Second, Attempts: 2,
			Rank: ident.Normal, Split: []note.Share{{Service: "s", Weight: 1}},
		}
	}
	for _, test := range []struct {
		name   string
		change roster.Change
	}{
		{"whole config", roster.ConfigUpdated{Config: config, Revision: 9}},
		{"changes", roster.ConfigDelta{Config: config, RemovedRoutes: []ident.Route{"old"}, Base: 4, Revision: 9}},
	} {
		t.Run(test.name, func(t *testing.T) {
			reply := codec.ChangesReply{Changes: roster.Changes{Changes: []roster.Change{test.change}, Revision: 9}, Config: codec.NewEncodedConfig(test.change)}
			var group sync.WaitGroup
			for range 8 {
				group.Go(func() {
					var b bytes.Buffer
					n, err := codec.Write(&b, reply, time.Now())
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, n < 80_000, qt.IsTrue, qt.Commentf("%d bytes", n))
					m, _, err := codec.Read(&b, 1<<20, time.Now)
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, m.(codec.ChangesReply).Changes.Changes, qt.DeepEquals, []roster.Change{test.change})
				})
			}
			group.Wait()
		})
	}
}
