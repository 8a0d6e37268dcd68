package listen_test

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/limit"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
)

// Guards against connections without a Hello that keep peers from connecting, and against closing sessions of peers for
// them.
func TestSilentConnections(t *testing.T) {
	const sessions = 32
	var closed atomic.Int64
	reporter := limit.NewReporter(func(_ limit.Name, n int) { closed.Add(int64(n)) })
	task, err := listen.New(netip.MustParseAddrPort("127.0.0.1:0"), listen.NewServer(mail.NewBox[local.Message](8), nil, 1<<20),
		mail.NewBox[listen.Message](4), listen.WithMaxSessions(sessions), listen.WithLimitReporter(reporter))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		task.Stop()
		<-task.Done()
	})
	first := dialSession(t, task)
	var silent []net.Conn
	for range 3 * sessions {
		c, err := net.Dial("tcp", task.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { c.Close() })
		silent = append(silent, c)
		// The accepted connection that this one replaces ends before the next one is opened.
		if n := len(silent) - sessions/2; n > 0 {
			qt.Assert(t, silent[n-1].SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
			_, err := silent[n-1].Read(make([]byte, 1<<10))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
		}
	}
	for end := time.Now().Add(testTimeout); closed.Load() != 3*sessions-sessions/2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections were closed for newer ones", closed.Load())
		}
	}
	second := dialSession(t, task)
	for _, s := range []interface{ IsClosed() bool }{first, second} {
		qt.Assert(t, s.IsClosed(), qt.IsFalse)
	}
}
