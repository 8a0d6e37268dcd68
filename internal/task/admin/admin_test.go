package admin_test

import (
	"io"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/task/admin"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/member"
	"jacinthcross/internal/task/router"
)

// Guards against a data race between the listener and the reader of a new connection, which the race detector reports
// when nbhttp runs in its non-blocking mode.
func TestNewConnectionsDoNotRace(t *testing.T) {
	at, err := deploy.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	task, err := admin.New(at, admin.Config{
		Gossip:  mail.NewBox[gossip.Message](1),
		Router:  mail.NewBox[router.Message](1),
		Local:   mail.NewBox[local.Message](1),
		Member:  mail.NewBox[member.Message](1),
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metric 1\n")) }),
	})
	qt.Assert(t, err, qt.IsNil)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 1000 {
				r, err := client.Get("http://" + at.String() + "/metrics")
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				text, err := io.ReadAll(r.Body)
				r.Body.Close()
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(text), qt.Equals, "metric 1\n")
			}
		})
	}
	workers.Wait()
	task.Stop()
	<-task.Done()
	qt.Assert(t, task.Err(), qt.IsNil)
}
