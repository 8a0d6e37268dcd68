package local

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// summary returns the parts of an outcome on which callers act.
func summary(o call.Outcome) string {
	switch o := o.(type) {
	case call.Answered:
		text := fmt.Sprintf("Answered %d %q", o.Status, o.Body)
		if o.Replayed {
			text += " replayed"
		}
		return text
	case call.Refused:
		return "Refused " + string(o.Kind)
	case call.Unknown:
		return "Unknown " + string(o.Kind)
	}
	return "none"
}

// Guards against accepting a response as complete although it may be truncated, and against reporting that a call has
// not run although the target had read it.
func TestResponseBecomesOutcome(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name   string
		method string
		header []call.Field
		answer string
		keep   bool // the target keeps the connection open after its response
		want   string
	}{
		{name: "Content-Length", answer: head + "Content-Length: 5\r\n\r\nhello", keep: true, want: `Answered 200 "hello"`},
		{name: "Content-Length, then closed", answer: head + "Content-Length: 5\r\n\r\nhello", want: `Answered 200 "hello"`},
		{name: "chunked", answer: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", keep: true, want: `Answered 200 "hello"`},
		{name: "no body", answer: "HTTP/1.1 204 No Content\r\n\r\n", keep: true, want: `Answered 204 ""`},
		{name: "neither Content-Length nor chunked", answer: head + "\r\nhello", want: "Unknown AnswerCut"},
		{name: "neither, and open", answer: head + "\r\nhello", keep: true, want: "Unknown AnswerCut"},
		{name: "100, then final", answer: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", keep: true, want: `Answered 200 "ok"`},
		{name: "102 and 103, then final", answer: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", keep: true, want: `Answered 200 "ok"`},
		{name: "103, then final without a body", answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", keep: true, want: `Answered 204 ""`},
		{name: "103, then shed with Jacinth-Not-Run", answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 S\r\nJacinth-Not-Run: true\r\nContent-Length: 0\r\n\r\n", keep: true, want: "Refused TargetShed"},
		{name: "503 after a proof in an interim response", answer: "HTTP/1.1 103 Early Hints\r\nJacinth-Not-Run: true\r\n\r\nHTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n", keep: true, want: `Answered 503 ""`},
		{name: "103, then neither Content-Length nor chunked", answer: "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + head + "\r\nhello", keep: true, want: "Unknown AnswerCut"},
		{name: "interim response only", answer: "HTTP/1.1 103 Early Hints\r\n\r\n", keep: true, want: "Unknown DeadlineInFlight"},
		{name: "interim response, then closed", answer: "HTTP/1.1 103 Early Hints\r\n\r\n", want: "Unknown TargetFailed"},
		{name: "interim response, then cut", answer: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhel", want: "Unknown TargetFailed"},
		{name: "interim response with a body", answer: "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nok" + head + "Content-Length: 0\r\n\r\n", keep: true, want: "Unknown TargetFailed"},
		{name: "switch of protocols", answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n", keep: true, want: "Unknown AnswerCut"},
		{name: "cut body", answer: head + "Content-Length: 10\r\n\r\nhello", want: "Unknown TargetFailed"},
		{name: "cut chunk", answer: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", want: "Unknown TargetFailed"},
		{name: "chunks without an end", answer: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", want: "Unknown TargetFailed"},
		{name: "cut header", answer: "HTTP/1.1 200 OK\r\nContent-Le", want: "Unknown TargetFailed"},
		{name: "closed without an answer", answer: "", want: "Unknown TargetFailed"},
		{name: "no HTTP", answer: "hello\r\n\r\n", want: "Unknown TargetFailed"},
		{name: "silence", answer: "", keep: true, want: "Unknown DeadlineInFlight"},
		{name: "body above the limit", answer: head + "Content-Length: 101\r\n\r\n" + strings.Repeat("x", 101), keep: true, want: "Unknown AnswerTooLarge"},
		{name: "header above the limit", answer: head + "X: " + strings.Repeat("x", maxResponseHeader) + "\r\nContent-Length: 2\r\n\r\nok", keep: true, want: "Unknown TargetFailed"},
		{name: "HEAD with a Content-Length", method: http.MethodHead, answer: head + "Content-Length: 10\r\n\r\n", keep: true, want: `Answered 200 ""`},
		{name: "HEAD, chunked", method: http.MethodHead, answer: head + "Transfer-Encoding: chunked\r\n\r\n", keep: true, want: `Answered 200 ""`},
		{name: "HEAD after an interim response", method: http.MethodHead, answer: "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\n", keep: true, want: `Answered 200 ""`},
		{name: "HEAD, cut header", method: http.MethodHead, answer: head + "Conte", want: "Unknown TargetFailed"},
		{
			name: "not modified with a Content-Length", header: []call.Field{{Name: "If-None-Match", Value: `"1"`}},
			answer: "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n", keep: true, want: `Answered 304 ""`,
		},
		{
			name: "conditional, cut body", header: []call.Field{{Name: "If-None-Match", Value: `"1"`}},
			answer: head + "Content-Length: 10\r\n\r\nhello", want: "Unknown AnswerCut",
		},
		{name: "shed with Jacinth-Not-Run", answer: "HTTP/1.1 503 S\r\nJacinth-Not-Run: true\r\nContent-Length: 0\r\n\r\n", keep: true, want: "Refused TargetShed"},
		{name: "503 without Jacinth-Not-Run", answer: "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n", keep: true, want: `Answered 503 ""`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, _ *http.Request, _ []byte) bool {
				_, _ = w.Write([]byte(test.answer))
				return test.keep
			})
			f := startFixture(t, note.Target{Name: "b1", Address: target.address()}, WithMaxBody(100))
			deadline := time.Now().Add(time.Second)
			if test.want == "Unknown DeadlineInFlight" {
				deadline = time.Now().Add(100 * time.Millisecond)
			}
			o := f.do(call.Request{Method: test.method, Header: test.header, Deadline: deadline})
			qt.Assert(t, summary(o), qt.Equals, test.want)
			qt.Assert(t, target.runs.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards against copying fields of interim responses to the final one, against not reusing a connection after an
// interim response, and against giving a call the response to an earlier one.
func TestInterimResponses(t *testing.T) {
	target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, r *http.Request, _ []byte) bool {
		_, _ = w.Write([]byte("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Call: early\r\n\r\n"))
		time.Sleep(5 * time.Millisecond) // makes the responses arrive separately
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Call: final\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		return err == nil
	})
	f := startFixture(t, note.Target{Name: "b1", Address: target.address()})
	for i := range 5 {
		o := f.do(call.Request{URI: fmt.Sprintf("/%d", i)})
		qt.Assert(t, summary(o), qt.Equals, fmt.Sprintf("Answered 200 %q", fmt.Sprintf("/%d", i)))
		var fields []call.Field
		for _, h := range o.(call.Answered).Header {
			if h.Name != "Content-Length" {
				fields = append(fields, h)
			}
		}
		qt.Assert(t, fields, qt.DeepEquals, []call.Field{{Name: "X-Call", Value: "final"}})
	}
	qt.Assert(t, target.acceptedSinceReset(), qt.Equals, 1)
}

// Guards against not passing on the deadline, the rank, the context and the key to the target.
func TestRequestHeader(t *testing.T) {
	got := make(chan http.Header, 1)
	target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, r *http.Request, _ []byte) bool {
		got <- r.Header
		_, _ = w.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		return true
	})
	f := startFixture(t, note.Target{Name: "b1", Address: target.address()})
	key := f.key()
	f.do(call.Request{Method: http.MethodPost, Key: key, Header: []call.Field{{Name: "Jacinth-Rank", Value: "Deferred"}}})
	h := <-got
	qt.Assert(t, h.Get("Idempotency-Key"), qt.Equals, key)
	qt.Assert(t, h["Jacinth-Rank"], qt.DeepEquals, []string{"Urgent"})
	qt.Assert(t, h.Get("Jacinth-Context"), qt.Not(qt.Equals), "")
	qt.Assert(t, h.Get("Jacinth-Deadline"), qt.Matches, "2[0-9]{3}")
	qt.Assert(t, h["User-Agent"], qt.IsNil)
}

// Guards against reporting a call as unknown, or sending calls to find out whether the target is up again, if no
// server is listening.
func TestRefusedDial(t *testing.T) {
	target := newRawTarget(t, "127.0.0.1:0", answerOK)
	address := target.address()
	target.crash()
	f := startFixture(t, note.Target{Name: "b1", Address: address})
	refused, _ := f.send(call.Request{})
	r := <-refused.C()
	qt.Assert(t, summary(r.Outcome), qt.Equals, "Refused TargetDown")
	qt.Assert(t, r.Load.Down, qt.IsTrue)
	again := newRawTarget(t, address.String(), answerOK)
	f.waitUntil("the target is used again", func() bool {
		_, refused := f.do(call.Request{}).(call.Refused)
		return !refused
	})
	qt.Assert(t, again.runs.Load(), qt.Equals, int64(1))
	qt.Assert(t, errs.ResponseFor(errs.TargetDown).Outcome, qt.Equals, errs.NotRun)
}

// Guards against routers that keep choosing a target that is down or never learn that it is up again, and against an
// unlimited rate of reports on a target in a restart loop.
func TestTargetReports(t *testing.T) {
	target := newRawTarget(t, "127.0.0.1:0", answerOK)
	reports := make(chan bool, 8)
	c := &offsetClock{}
	f := startFixture(t, note.Target{Name: "b1", Address: target.address()}, WithClock(c), WithTargetReportFunc(func(name ident.Target, l call.Load) {
		qt.Check(t, name, qt.Equals, ident.Target("b1"))
		reports <- l.Down
	}))
	// restart takes the target down and up again, and waits until the task has detected both.
	restart := func() {
		target.crash()
		f.waitUntil("the target is down", func() bool {
			f.do(call.Request{})
			return f.load().Down
		})
		target = newRawTarget(t, target.address().String(), answerOK)
		f.waitUntil("the target is up", func() bool { return !f.load().Down })
	}
	restart()
	f.waitUntil("both reports", func() bool { return len(reports) == 2 })
	qt.Assert(t, []bool{<-reports, <-reports}, qt.DeepEquals, []bool{true, false})
	c.offset.Add(-int64(10 * minReportInterval)) // the next crash is within minReportInterval, however long the first one took
	restart()
	qt.Assert(t, reports, qt.HasLen, 0)
	c.offset.Add(int64(12 * minReportInterval))
	restart()
	f.waitUntil("both reports", func() bool { return len(reports) == 2 })
	qt.Assert(t, []bool{<-reports, <-reports}, qt.DeepEquals, []bool{true, false})
}

func answerOK(w net.Conn, _ *http.Request, body []byte) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}
