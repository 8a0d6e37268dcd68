package local

import (
	"bytes"
	"fmt"
	"io"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/wire/header"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// A conn is one connection to the target. It carries one call at a time.
type conn struct {
	client *nbhttp.ClientConn
	target netip.AddrPort
	jobs   *mail.Box[job]
	owner  *mail.Box[Message]
	stop   chan struct{}
	limit  int
}

// A job is one call for a conn.
type job struct {
	id      call.ID
	request call.Request
	token   string
}

// newConn starts the goroutine of a connection. It dials on its first job, since dialling blocks.
func newConn(engine *nbhttp.Engine, target netip.AddrPort, owner *mail.Box[Message], limit int, done <-chan struct{}) *conn {
	c := &conn{
		client: &nbhttp.ClientConn{Engine: engine, IdleConnTimeout: time.Hour},
		target: target,
		jobs:   mail.NewBox[job](1),
		owner:  owner,
		stop:   make(chan struct{}),
		limit:  limit,
	}
	go func() {
		defer c.client.Close()
		for {
			select {
			case j := <-c.jobs.C():
				c.do(j, done)
			case <-c.stop:
				return
			case <-done:
				return
			}
		}
	}()
	return c
}

// close ends the connection. A call that it carries ends with an unknown outcome.
func (c *conn) close() {
	close(c.stop)
	c.client.Close()
}

func (c *conn) do(j job, done <-chan struct{}) {
	request, err := newRequest(c.target, j)
	if err != nil {
		c.owner.Put(completed{id: j.id, conn: c, reusable: true, outcome: call.Refused{Kind: errs.BadRequest, Detail: err.Error()}}, done)
		return
	}
	c.client.Do(request, func(response *http.Response, _ net.Conn, err error) {
		outcome, reusable := c.outcome(j, response, err)
		c.owner.Put(completed{id: j.id, conn: c, outcome: outcome, reusable: reusable}, done)
	})
}

func newRequest(target netip.AddrPort, j job) (*http.Request, error) {
	r, err := http.NewRequest(j.request.Method, "http://"+target.String()+j.request.URI, bytes.NewReader(j.request.Body))
	if err != nil {
		return nil, err
	}
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
	r.Header.Set(header.Deadline, strconv.FormatInt(time.Until(j.request.Deadline).Milliseconds(), 10))
	if j.request.Key != "" {
		r.Header.Set(header.Key, j.request.Key)
	}
	return r, nil
}

// outcome turns what the library reports into an outcome, and tells whether the connection may be used again.
func (c *conn) outcome(j job, response *http.Response, err error) (call.Outcome, bool) {
	if err != nil {
		if refusedDial(err) {
			return call.Refused{Kind: errs.TargetDown, Detail: err.Error()}, false
		}
		return call.Unknown{Kind: errs.TargetFailed, Detail: fmt.Sprintf("target %s: %v", c.target, err)}, false
	}
	// The library reports a response of unknown length as complete and empty, and an interim one as final.
	if !framed(j.request.Method, response) {
		return call.Unknown{Kind: errs.AnswerCut, Detail: fmt.Sprintf("target %s: the response has neither Content-Length nor chunked encoding", c.target)}, false
	}
	var body []byte
	if response.Body != nil {
		body, err = io.ReadAll(io.LimitReader(response.Body, int64(c.limit)+1))
	}
	if err != nil {
		return call.Unknown{Kind: errs.AnswerCut, Detail: err.Error()}, false
	}
	if len(body) > c.limit {
		return call.Unknown{Kind: errs.AnswerTooLarge, Detail: fmt.Sprintf("more than %d bytes", c.limit)}, false
	}
	if response.ContentLength >= 0 && j.request.Method != http.MethodHead && int64(len(body)) != response.ContentLength {
		return call.Unknown{Kind: errs.AnswerCut, Detail: fmt.Sprintf("%d of %d bytes", len(body), response.ContentLength)}, false
	}
	reusable := !response.Close
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(header.NotRun) == "true" {
		return call.Refused{Kind: errs.TargetShed, RetryAfter: retryAfter(response)}, reusable
	}
	return call.Answered{Status: response.StatusCode, Header: header.EndToEnd(response.Header), Body: body}, reusable
}

func framed(method string, r *http.Response) bool {
	if r.StatusCode < http.StatusOK {
		return false
	}
	if method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified {
		return true
	}
	return r.ContentLength >= 0 || slices.Contains(r.TransferEncoding, "chunked")
}

func retryAfter(r *http.Response) time.Duration {
	n, err := strconv.Atoi(r.Header.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// refusedDial reports whether the connection could not be opened, so that nothing was sent.
func refusedDial(err error) bool {
	e, ok := err.(*net.OpError)
	return ok && e.Op == "dial"
}
