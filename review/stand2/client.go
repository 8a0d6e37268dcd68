package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// A request is one attempt of a requester.
type request struct {
	id, method, host, path string
	body                   []byte
	timeBudget             time.Duration
	// fields holds further fields of the header, each with its line break.
	fields string
}

// A response is what a requester saw.
type response struct {
	status int
	header http.Header
	// closes is true if the connection ends after the answer.
	closes bool
	body   []byte
	err    error
	sent   time.Time
	took   time.Duration
}

// isWhole reports whether the requester got a success with the signature and the whole body.
func (r response) isWhole() bool {
	return r.err == nil && r.status == http.StatusOK && r.header.Get("X-Jacinthcross-Response-Stamp") != ""
}

func (r response) String() string {
	if r.err != nil {
		return "no answer: " + strings.NewReplacer("\r", " ", "\n", " ").Replace(r.err.Error())
	}
	text := fmt.Sprintf("%d", r.status)
	if r.header.Get("X-Jacinthcross-Response-Stamp") == "" {
		text += " without a signature: " + strings.ReplaceAll(strings.TrimSpace(string(r.body)), "\n", " ")
	}
	return text
}

// head returns the header of the request.
func (q request) head() string {
	id := ""
	if q.id != "" {
		id = "\r\nX-Jacinthcross-Request-Id: " + q.id
	}
	return q.method + " " + q.path + " HTTP/1.1\r\nHost: " + q.host + id + "\r\nX-Jacinthcross-Deadline-Ms: " + strconv.FormatInt(q.timeBudget.Milliseconds(), 10) +
		"\r\nContent-Length: " + strconv.Itoa(len(q.body)) + "\r\n" + q.fields + "\r\n"
}

// send sends a request on a new connection and waits for the answer until its time budget has passed.
func (q request) send(address string) (r response) {
	r.sent = time.Now()
	defer func() { r.took = time.Since(r.sent) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	r.err = c.SetDeadline(r.sent.Add(q.timeBudget))
	if r.err != nil {
		return r
	}
	// The answer may come before the daemon has read the body, and an error of the write shows when the answer is read.
	go func() { _, _ = c.Write(append([]byte(q.head()), q.body...)) }()
	a := q.readAnswer(c)
	a.sent = r.sent
	return a
}

// readAnswer reads the answer to the only request on a connection.
func (q request) readAnswer(c net.Conn) (r response) {
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		r.err = err
		return r
	}
	defer answer.Body.Close()
	r.status, r.header = answer.StatusCode, answer.Header
	r.body, r.err = io.ReadAll(answer.Body)
	return r
}
