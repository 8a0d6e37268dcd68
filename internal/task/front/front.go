// Package front is the task that answers callers over HTTP.
package front

import (
	"context"
	"io"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/router"
	"jacinthcross/internal/wire/header"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// A Task owns the listening socket for callers and their connections.
type Task struct {
	*tree.Loop
	engine    *nbhttp.Engine
	router    *mail.Box[router.Message]
	clock     clock.Clock
	maxBody   int
	maxHeader int
	keepalive time.Duration
	// gone holds a channel for each connection with a call, closed when the caller leaves.
	gone sync.Map
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithMaxBody bounds the size of a request body in bytes.
func WithMaxBody(n int) Option { return func(t *Task) { t.maxBody = n } }

// WithMaxHeader bounds the size of the header of a request in bytes.
func WithMaxHeader(n int) Option { return func(t *Task) { t.maxHeader = n } }

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// New starts the task that listens for callers at an address.
func New(at netip.AddrPort, box *mail.Box[router.Message], options ...Option) (*Task, error) {
	t := &Task{
		Loop:      tree.NewLoop(),
		router:    box,
		clock:     clock.System{},
		maxBody:   8 << 20,
		maxHeader: 64 << 10,
		keepalive: 120 * time.Second,
	}
	for _, o := range options {
		o(t)
	}
	t.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:            "callers",
		Network:         "tcp",
		Addrs:           []string{at.String()},
		MaxHTTPBodySize: t.maxBody,
		ReadLimit:       t.maxBody + t.maxHeader,
		KeepaliveTime:   t.keepalive,
		Handler:         http.HandlerFunc(t.handle),
	})
	t.engine.OnClose(func(c net.Conn, _ error) { t.left(c.RemoteAddr().String()) })
	if err := t.engine.Start(); err != nil {
		return nil, errors.Annotatef(err, "listen for callers at %s", at)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

// stopTimeout bounds how long the answers under way may take when the task stops.
const stopTimeout = 5 * time.Second

func (t *Task) loop() error {
	<-t.Stopping()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Annotate(t.engine.Shutdown(ctx), "stop listening for callers")
}

func (t *Task) left(remote string) {
	if c, ok := t.gone.LoadAndDelete(remote); ok {
		close(c.(chan struct{}))
	}
}

func (t *Task) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == header.KeyPath {
		t.issueKey(w, r)
		return
	}
	request, err := t.read(r)
	if err != nil {
		writeRefusal(w, errs.KindOf(err), err.Error())
		return
	}
	gone := make(chan struct{})
	t.gone.Store(r.RemoteAddr, gone)
	defer t.gone.Delete(r.RemoteAddr)
	id := call.NextID()
	reply := mail.NewBox[call.Outcome](1)
	if !t.router.TryPut(router.Submit{
		ID: id, Request: *request, Host: r.Host, Context: r.Header.Get(header.Context), Reply: reply,
	}) {
		writeRefusal(w, errs.Busy, "the mailbox of the router is full")
		return
	}
	select {
	case o := <-reply.C():
		write(w, o)
	case <-gone:
		t.router.TryPut(router.Cancel{ID: id})
	}
}

// read turns an HTTP request into a call.
func (t *Task) read(r *http.Request) (*call.Request, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(t.maxBody)+1))
	if err != nil {
		return nil, errs.New(errs.BadRequest, "read body: "+err.Error())
	}
	if len(body) > t.maxBody {
		return nil, errs.New(errs.BodyTooLarge, "at most "+strconv.Itoa(t.maxBody)+" bytes")
	}
	request := &call.Request{
		Service: ident.Service(r.Header.Get(header.Service)),
		Method:  r.Method,
		URI:     r.URL.RequestURI(),
		Header:  append(header.EndToEnd(r.Header), call.Field{Name: "Host", Value: r.Host}),
		Body:    body,
		Key:     r.Header.Get(header.Key),
	}
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		request.Caller = a.Addr()
	}
	if text := r.Header.Get(header.Deadline); text != "" {
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return nil, errs.New(errs.BadRequest, header.Deadline+" "+strconv.Quote(text)+" is not a number of milliseconds")
		}
		request.Deadline = t.clock.Now().Add(time.Duration(n) * time.Millisecond)
	}
	if text := r.Header.Get(header.Rank); text != "" {
		rank, err := ident.ParseRank(text)
		if err != nil {
			return nil, errs.New(errs.BadRequest, header.Rank+": "+err.Error())
		}
		request.Rank = rank
	}
	return request, nil
}

// issueTimeout bounds how long a caller waits for a key.
const issueTimeout = 2 * time.Second

func (t *Task) issueKey(w http.ResponseWriter, r *http.Request) {
	reply := mail.NewBox[router.Issued](1)
	service := ident.Service(r.URL.Query().Get("service"))
	if !t.router.TryPut(router.IssueKey{Service: service, Reply: reply}) {
		writeRefusal(w, errs.Busy, "the mailbox of the router is full")
		return
	}
	select {
	case k := <-reply.C():
		if k.Kind != "" {
			writeRefusal(w, k.Kind, "service "+strconv.Quote(string(service)))
			return
		}
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		writeBody(w, http.StatusOK, []byte(k.Key))
	case <-time.After(issueTimeout):
		writeRefusal(w, errs.Busy, "no answer from the router")
	}
}
