package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

// A result is what a requester saw of one request.
type result struct {
	id, method, path string
	sent, ended      time.Time
	status, bytes    int
	// complete is true if the whole answer arrived.
	complete bool
	err      error
}

var lastID atomic.Int64

// Options of the requesters' sockets, which give the connection the segments of an Ethernet link and a small window.
const (
	segmentBytes = 1400
	windowBytes  = 64 << 10
)

func dialRequester(to netip.AddrPort) (net.Conn, error) { return dialSmall(to, windowBytes) }

// dialSmall opens a connection with the segments of an Ethernet link and a small receive buffer.
func dialSmall(to netip.AddrPort, window int) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error { return setWindow(c, window) }}
	return d.Dial("tcp", to.String())
}

func setWindow(c syscall.RawConn, window int) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes); err == nil {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		}
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// A slowReader reads at a constant rate, like a requester behind a link of that bandwidth.
type slowReader struct {
	io.Reader
	bytesPerSecond int
	started        time.Time
	total          int
}

// Read implements io.Reader.
func (s *slowReader) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b[:min(len(b), 8<<10)])
	if n > 0 {
		if s.total == 0 {
			s.started = time.Now()
		}
		s.total += n
		due := s.started.Add(time.Duration(float64(s.total) / float64(s.bytesPerSecond) * float64(time.Second)))
		time.Sleep(time.Until(due))
	}
	return n, err
}

// send sends one request on a new connection and reads the answer.
func send(to netip.AddrPort, method, path string, budget time.Duration, bytesPerSecond int) result {
	r := result{id: fmt.Sprintf("q%06d", lastID.Add(1)), method: method, path: path, sent: time.Now()}
	c, err := dialRequester(to)
	if err != nil {
		r.err, r.ended = err, time.Now()
		return r
	}
	defer c.Close()
	_ = c.SetDeadline(r.sent.Add(budget))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Jacinthcross-Request-Id: %s\r\nX-Jacinthcross-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, shopHost, r.id, budget.Milliseconds()); err != nil {
		r.err, r.ended = err, time.Now()
		return r
	}
	answer, err := http.ReadResponse(bufio.NewReader(&slowReader{Reader: c, bytesPerSecond: bytesPerSecond}), &http.Request{Method: method})
	if err == nil {
		var b []byte
		b, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		r.status, r.bytes = answer.StatusCode, len(b)
	}
	r.err, r.complete, r.ended = err, err == nil, time.Now()
	return r
}
