package local

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/wire/header"
)

// dialTimeout bounds the opening of a connection to the target, which takes about 1 ms.
const dialTimeout = time.Second

// A conn is one connection to the target. It carries one call at a time.
type conn struct {
	ctx       context.Context // done when the connection is closed from this side
	cancel    context.CancelFunc
	client    *nbhttp.ClientConn
	target    netip.AddrPort
	jobs      *mail.Box[job]
	owner     *mail.Box[Message]
	limit     int
	idleSince time.Time
}

// A job is one call for a conn.
type job struct {
	id      call.ID
	request call.Request
	token   string
}

// newConn starts the goroutine of a connection, counted in open. It dials on its first job, since dialling blocks.
func newConn(engine *nbhttp.Engine, open *sync.WaitGroup, target netip.AddrPort, owner *mail.Box[Message], limit int) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		ctx: ctx, cancel: cancel, target: target, owner: owner, limit: limit,
		jobs: mail.NewBox[job](1),
	}
	c.client = &nbhttp.ClientConn{Engine: engine, IdleConnTimeout: time.Hour, Dial: c.dial}
	c.client.OnClose(func() { c.tell(lost{conn: c}) })
	open.Go(func() {
		defer c.client.Close()
		for {
			select {
			case j := <-c.jobs.C():
				c.do(j)
			case <-ctx.Done():
				return
			}
		}
	})
	return c
}

// close ends the connection; nothing that arrives on it later reaches the task. It does not
// block: the library's own Close waits while a call is written or a result delivered.
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

func (c *conn) do(j job) {
	request, err := newRequest(c.target, j)
	if err != nil {
		c.tell(completed{id: j.id, conn: c, outcome: call.Refused{Kind: errs.BadRequest, Detail: err.Error()}})
		return
	}
	if mayLackBody(j.request) {
		c.tell(c.exchange(j, request))
		return
	}
	c.client.Do(request, func(response *http.Response, _ net.Conn, err error) {
		c.tell(c.completed(j, response, err, true))
	})
}

// mayLackBody reports whether the response may have a Content-Length and no body. The library's
// client would wait for the body, so these calls use a connection of the standard library.
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
func (c *conn) exchange(j job, request *http.Request) completed {
	stream, err := c.dial("tcp", c.target.String())
	if err != nil {
		return c.completed(j, nil, err, false)
	}
	defer stream.Close()
	defer context.AfterFunc(c.ctx, func() { _ = stream.Close() })()
	if err := request.Write(stream); err != nil {
		return c.completed(j, nil, err, false)
	}
	reader := bufio.NewReader(stream)
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return c.completed(j, nil, err, false)
		}
		defer response.Body.Close()
		// Interim responses come before the final one.
		if response.StatusCode >= http.StatusOK {
			return c.completed(j, response, nil, false)
		}
	}
}

func newRequest(target netip.AddrPort, j job) (*http.Request, error) {
	r, err := http.NewRequest(j.request.Method, "http://"+target.String()+j.request.URI, bytes.NewReader(j.request.Body))
	if err != nil {
		return nil, err
	}
	// Without a value the library would add its own name.
	r.Header["User-Agent"] = nil
	for _, f := range j.request.Header {
		if f.Name == "Host" {
			r.Host = f.Value
			continue
		}
		r.Header.Add(f.Name, f.Value)
	}
	r.ContentLength = int64(len(j.request.Body))
	r.Header.Set(header.Context, j.token)
	r.Header.Set(header.Rank, string(j.request.Rank))
	r.Header.Set(header.Deadline, strconv.FormatInt(max(0, time.Until(j.request.Deadline).Milliseconds()), 10))
	if j.request.Key != "" {
		r.Header.Set(header.Key, j.request.Key)
	}
	return r, nil
}
