package local

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/guard"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/wire/header"
)

// maxResponseHeader is the maximum size of a response header in bytes. http.ReadResponse has no limit.
const maxResponseHeader = 256 << 10

// dialTimeout limits the time to connect to the target, which normally takes about 1 ms.
const dialTimeout = time.Second

// A conn is a connection to the target. It carries one call at a time. One goroutine dials and writes and another
// reads, so that the close of an idle connection is detected.
type conn struct {
	ctx       context.Context // done when the task closes the connection
	cancel    context.CancelFunc
	target    netip.AddrPort
	dialect   *header.Dialect
	jobs      *mail.Box[job]
	taskInbox *mail.Box[Message]
	bodies    *bodyReader
	idleSince time.Time
	// refusedIDs are the request IDs of the calls that the target has refused on the connection. A faulty target may send
	// such a refusal again, so the connection carries no further call with the same ID. It is owned by the task.
	refusedIDs []string
	// echoesIDs is true once a response on the connection had a request ID. It is owned by the reading goroutine.
	echoesIDs bool
	// stream and broken are owned by the writing goroutine. broken is true after a failed write.
	stream net.Conn
	broken bool
	// mu guards the fields that both goroutines use.
	mu          sync.Mutex
	current     *job // the call that waits for its response
	noMoreCalls bool
}

// A job is one call for a conn.
type job struct {
	id      call.ID
	target  ident.Target
	request call.Request
	token   string // see CallContext.Token
	upload  *upload
}

// newConn starts the goroutine of a connection and adds it to goroutines. The goroutine dials when it gets its first
// job, since dialling blocks.
func newConn(goroutines *sync.WaitGroup, target netip.AddrPort, d *header.Dialect, taskInbox *mail.Box[Message], bodies *bodyReader) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		ctx: ctx, cancel: cancel, target: target, dialect: d, taskInbox: taskInbox, bodies: bodies,
		jobs: mail.NewBox[job](1),
	}
	goroutines.Go(func() {
		for {
			select {
			case j := <-c.jobs.C():
				c.execute(goroutines, j)
			case <-ctx.Done():
				return
			}
		}
	})
	return c
}

// close closes the connection without blocking. Messages about it no longer reach the task.
func (c *conn) close() { c.cancel() }

// notify sends a message to the task unless the task has closed the connection.
func (c *conn) notify(m Message) {
	if c.ctx.Err() == nil {
		c.taskInbox.Put(m, c.ctx.Done())
	}
}

func (c *conn) dial(network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(c.ctx, network, address)
}

func (c *conn) execute(goroutines *sync.WaitGroup, j job) {
	if !header.ValidURI(j.request.URI) {
		c.notify(callResult{id: j.id, conn: c, outcome: call.Refused{Kind: errs.BadRequest, Detail: strconv.Quote(j.request.URI) + " is not a path"}})
		return
	}
	if mayOmitBody(j.request) {
		m := c.newResult(j, nil, errPanicked, false)
		guard.Run("response of a target", func() { m = c.roundTrip(goroutines, j) })
		c.notify(m)
		return
	}
	if c.broken {
		c.notify(callResult{id: j.id, conn: c, unsent: true})
		return
	}
	opened := c.stream == nil
	if opened {
		stream, err := c.dial("tcp", c.target.String())
		if err != nil {
			c.takeCurrent(true)
			c.notify(c.newResult(j, nil, err, false))
			return
		}
		c.stream = stream
		// This also ends a write that is blocked because the target does not read.
		context.AfterFunc(c.ctx, func() { _ = stream.Close() })
	}
	j.upload = newUpload(c.stream)
	if !c.setCurrent(&j) {
		c.notify(callResult{id: j.id, conn: c, unsent: true})
		return
	}
	if opened {
		goroutines.Go(func() { c.readLoop(j.upload.stream) })
	}
	// The reading goroutine reports the result of the call. After an error, it may still find a whole response.
	err := j.write(c.stream, c.dialect, time.Now())
	c.broken = err != nil
	j.upload.end(err)
}

// setCurrent sets the call that waits for a response. It returns false if the connection accepts no more calls.
func (c *conn) setCurrent(j *job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noMoreCalls {
		return false
	}
	c.current = j
	return true
}

// takeCurrent removes and returns the current call, or nil if there is none. If there is none, or if last is true, the
// connection accepts no more calls.
func (c *conn) takeCurrent(last bool) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.current
	c.current = nil
	c.noMoreCalls = c.noMoreCalls || last || j == nil
	return j
}

// readLoop reads responses until the connection is closed or cannot be reused.
func (c *conn) readLoop(stream net.Conn) {
	defer stream.Close()
	limited := &io.LimitedReader{R: stream}
	reader := bufio.NewReader(limited)
	for {
		limited.N = maxResponseHeader
		_, err := reader.Peek(1)
		j := c.takeCurrent(err != nil)
		if j == nil {
			c.notify(connClosed{conn: c})
			return
		}
		var m callResult
		if err != nil {
			m = c.newResult(*j, nil, err, false)
		} else {
			m = c.newResult(*j, nil, errPanicked, false)
			guard.Run("response of a target", func() { m = c.receive(*j, reader, limited) })
		}
		if !m.reusable {
			c.takeCurrent(true)
		}
		c.notify(m)
		if !m.reusable {
			return
		}
	}
}

// readFinal reads the first response that is not an interim one. Its status may be invalid: a status below 100 is not
// skipped, since what follows would be taken for the response to the call. Nor is 101 Switching Protocols, which no final
// response follows. The status of such a response is invalid too.
func readFinal(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		if hasUnknownEnd(reader) {
			return nil, errMalformed
		}
		r, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, withoutText(err)
		}
		if !isInterim(r.StatusCode) {
			return r, nil
		}
	}
}

// errMalformed is the error of a response whose status line or header cannot be parsed or contradict each other.
const errMalformed = errors.ConstError("the status line or the header of the response is malformed")

// withoutText replaces the errors of the HTTP parser, which quote bytes of the response, since the error is reported to
// the caller.
func withoutText(err error) error {
	var n net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n) {
		return err
	}
	return errMalformed
}

func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// errPanicked is the error of a call whose response made its handler panic.
const errPanicked = errors.ConstError("the daemon failed while it read the response of the target: see the HandlerPanicked event in the log")

// maxSkippedResponses limits the responses to other calls that are skipped before the expected one.
const maxSkippedResponses = 4

// receive reads the response to a call, skipping late responses to other calls. If it has skipped any, the connection
// is not reused, since more of them may follow.
func (c *conn) receive(j job, reader *bufio.Reader, limited *io.LimitedReader) callResult {
	for skipped := 0; ; skipped++ {
		r, err := readFinal(reader, nil)
		if err != nil {
			return c.newResult(j, nil, err, false)
		}
		if !call.IsFinalStatus(r.StatusCode) {
			// Neither the end of such a response nor its request ID is relied on, so nothing behind it is read.
			return c.newResult(j, r, nil, false)
		}
		// The method matters only for calls that use roundTrip (see mayOmitBody), so GET stands for any method here.
		if c.isFramed(http.MethodGet, r) {
			limited.N = math.MaxInt64
			var body []byte
			body, err = c.readBody(j, r)
			// Closing the original body would read the rest of a body that exceeds the limit.
			if err == errBodyTooLarge {
				r.Body, err = newReadBody(nil, err), nil
			} else {
				r.Body = newReadBody(body, nil)
			}
		}
		if err == nil && skipped < maxSkippedResponses && c.isForOtherCall(j, r) {
			limited.N = maxResponseHeader
			continue
		}
		defer r.Body.Close()
		// The connection is not reused if bytes follow the response: they could be taken for the response to the next
		// call.
		m := c.newResult(j, r, err, skipped == 0 && reader.Buffered() == 0)
		c.echoesIDs = c.echoesIDs || c.responseID(r) != ""
		return m
	}
}

// isForOtherCall reports whether a response carries the ID of another call.
func (c *conn) isForOtherCall(j job, r *http.Response) bool {
	id := c.responseID(r)
	return id != "" && id != j.request.ID
}

// responseID returns the request ID in a response, or "" if there is none.
func (c *conn) responseID(r *http.Response) string {
	if c.dialect.RequestID == "" {
		return ""
	}
	return r.Header.Get(c.dialect.RequestID)
}

// mayOmitBody reports whether the response may declare a Content-Length without having a body. Such a call uses a
// separate connection, so that a target that sends a body anyway does not corrupt the response to another call.
func mayOmitBody(r call.Request) bool {
	if r.Method == http.MethodHead {
		return true
	}
	for _, f := range r.Header {
		if f.Name == "If-None-Match" || f.Name == "If-Modified-Since" {
			return true
		}
	}
	return false
}

// roundTrip runs a call on a separate connection. The response is read while the request is being written.
func (c *conn) roundTrip(goroutines *sync.WaitGroup, j job) callResult {
	stream, err := c.dial("tcp", c.target.String())
	if err != nil {
		return c.newResult(j, nil, err, false)
	}
	defer stream.Close()
	defer context.AfterFunc(c.ctx, func() { _ = stream.Close() })()
	j.upload = newUpload(stream)
	// The close of the stream at the end ends the write.
	goroutines.Go(func() { j.upload.end(j.write(stream, c.dialect, time.Now())) })
	limited := &io.LimitedReader{R: stream, N: maxResponseHeader}
	response, err := readFinal(bufio.NewReader(limited), &http.Request{Method: j.request.Method})
	if err != nil {
		return c.newResult(j, nil, err, false)
	}
	// checkResponse limits what it reads of the body. Closing the original body would read the rest of it.
	limited.N = math.MaxInt64
	response.Body = io.NopCloser(response.Body)
	defer response.Body.Close()
	return c.newResult(j, response, nil, false)
}
