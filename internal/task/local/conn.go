package local

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/wire/header"
)

// maxHeader bounds the header of a response in bytes. The library sets no bound.
const maxHeader = 1 << 20

// dialTimeout bounds the opening of a connection to the target, which takes about 1 ms.
const dialTimeout = time.Second

// A conn is one connection to the target. It carries one call at a time. One goroutine dials and
// writes, another reads, so that the end of an idle connection is seen.
type conn struct {
	ctx       context.Context // done when the connection is closed from this side
	cancel    context.CancelFunc
	target    netip.AddrPort
	dialect   *header.Dialect
	jobs      *mail.Box[job]
	owner     *mail.Box[Message]
	limit     int
	idleSince time.Time
	// The goroutine that writes owns stream.
	stream net.Conn
	// mu guards what both goroutines use.
	mu      sync.Mutex
	current *job // waits for its response
	ended   bool
}

// A job is one call for a conn.
type job struct {
	id      call.ID
	target  ident.Target
	request call.Request
	token   string
}

// newConn starts the goroutine of a connection, counted in open. It dials on its first job, since dialling blocks.
func newConn(open *sync.WaitGroup, target netip.AddrPort, d *header.Dialect, owner *mail.Box[Message], limit int) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		ctx: ctx, cancel: cancel, target: target, dialect: d, owner: owner, limit: limit,
		jobs: mail.NewBox[job](1),
	}
	open.Go(func() {
		for {
			select {
			case j := <-c.jobs.C():
				c.do(open, j)
			case <-ctx.Done():
				return
			}
		}
	})
	return c
}

// close ends the connection; nothing that arrives on it later reaches the task. It does not block.
func (c *conn) close() { c.cancel() }

// tell sends a message to the task, unless the task has closed the connection.
func (c *conn) tell(m Message) {
	if c.ctx.Err() == nil {
		c.owner.Put(m, c.ctx.Done())
	}
}

func (c *conn) dial(network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(c.ctx, network, address)
}

func (c *conn) do(open *sync.WaitGroup, j job) {
	if !header.ValidURI(j.request.URI) {
		c.tell(completed{id: j.id, conn: c, outcome: call.Refused{Kind: errs.BadRequest, Detail: strconv.Quote(j.request.URI) + " is not a path"}})
		return
	}
	request := j.appendTo(nil, c.dialect, time.Now())
	if mayLackBody(j.request) {
		c.tell(c.exchange(j, request))
		return
	}
	if !c.begin(&j) {
		c.tell(completed{id: j.id, conn: c, unsent: true})
		return
	}
	if c.stream == nil {
		stream, err := c.dial("tcp", c.target.String())
		if err != nil {
			c.take(true)
			c.tell(c.completed(j, nil, err, false))
			return
		}
		c.stream = stream
		// A write that waits for the target ends too.
		context.AfterFunc(c.ctx, func() { _ = stream.Close() })
		open.Go(func() { c.read(stream) })
	}
	if _, err := c.stream.Write(request); err != nil {
		// The reader reports the end of the call.
		_ = c.stream.Close()
	}
}

// begin notes the call that waits for a response, or reports false when the connection has ended.
func (c *conn) begin(j *job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.current = j
	return true
}

// take returns the call whose response begins, or nil. Without a call, or at the end, no other call begins.
func (c *conn) take(end bool) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.current
	c.current = nil
	c.ended = c.ended || end || j == nil
	return j
}

// read reads the responses until the connection ends or cannot be used again.
func (c *conn) read(stream net.Conn) {
	defer stream.Close()
	limited := &io.LimitedReader{R: stream}
	reader := bufio.NewReader(limited)
	for {
		limited.N = maxHeader
		_, err := reader.Peek(1)
		j := c.take(err != nil)
		if j == nil {
			c.tell(lost{conn: c})
			return
		}
		var m completed
		if err != nil {
			m = c.completed(*j, nil, err, false)
		} else {
			m = c.receive(*j, reader, limited)
		}
		if !m.reusable {
			c.take(true)
		}
		c.tell(m)
		if !m.reusable {
			return
		}
	}
}

// readFinal reads the final response. Interim ones come before it; after a switch of protocols none follows.
func readFinal(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(reader, request)
		if err != nil || r.StatusCode >= http.StatusOK || r.StatusCode == http.StatusSwitchingProtocols {
			return r, err
		}
	}
}

// maxForeign bounds the responses to other calls that are skipped before the one that is awaited.
const maxForeign = 4

// receive reads the response to a call. Late responses to other calls before it are skipped; the
// connection carries no more calls then, since nothing tells whether another one follows.
func (c *conn) receive(j job, reader *bufio.Reader, limited *io.LimitedReader) completed {
	for skipped := 0; ; skipped++ {
		r, err := readFinal(reader, nil)
		if err != nil {
			return c.completed(j, nil, err, false)
		}
		if c.framed(http.MethodGet, r) {
			limited.N = math.MaxInt64
			var body []byte
			body, err = io.ReadAll(io.LimitReader(r.Body, int64(c.limit)+1))
			// Closing the library's body would read the rest of one above the limit.
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		if err == nil && skipped < maxForeign && c.foreign(j, r) {
			limited.N = maxHeader
			continue
		}
		defer r.Body.Close()
		// Bytes after the response could be taken for the answer to the next call.
		return c.completed(j, r, err, skipped == 0 && reader.Buffered() == 0)
	}
}

// foreign reports whether a response belongs to another call.
func (c *conn) foreign(j job, r *http.Response) bool {
	if c.dialect.RequestID == "" {
		return false
	}
	id := r.Header.Get(c.dialect.RequestID)
	return id != "" && id != j.request.ID
}

// mayLackBody reports whether the response may have a Content-Length and no body. These calls use
// a connection of their own, so that a target that sends a body nevertheless spoils no other call.
func mayLackBody(r call.Request) bool {
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

// exchange runs a call on a connection of its own.
func (c *conn) exchange(j job, request []byte) completed {
	stream, err := c.dial("tcp", c.target.String())
	if err != nil {
		return c.completed(j, nil, err, false)
	}
	defer stream.Close()
	defer context.AfterFunc(c.ctx, func() { _ = stream.Close() })()
	if _, err := stream.Write(request); err != nil {
		return c.completed(j, nil, err, false)
	}
	response, err := readFinal(bufio.NewReader(stream), &http.Request{Method: j.request.Method})
	if err != nil {
		return c.completed(j, nil, err, false)
	}
	defer response.Body.Close()
	return c.completed(j, response, nil, false)
}
