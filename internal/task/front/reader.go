package front

import (
	"bytes"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lesismal/nbio"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/policy/pause"
)

// A request is a parsed HTTP request. Its body counts against the memory limit until the request is answered.
type request struct {
	method string
	// uri is the request target as received, and url its parsed form.
	uri    string
	url    *url.URL
	header http.Header
	body   []byte
	// minorVersion is the minor version of HTTP/1.
	minorVersion int
	// reservedBytes is the number of bytes that are reserved for the body.
	reservedBytes int
	// headBytes is the memory of the header and of what is kept of it, see headCost.
	headBytes int
	// arrivedAt is the earliest time at which the header may have arrived.
	arrivedAt time.Time
	// startAfter is set for a request that was read after a process pause, which must not start before this time.
	startAfter time.Time
}

// wantsClose reports whether the caller asked to close the connection after the response.
func (r *request) wantsClose() bool {
	connection := strings.ToLower(strings.Join(r.header.Values("Connection"), ","))
	if r.minorVersion == 0 {
		return !strings.Contains(connection, "keep-alive")
	}
	return strings.Contains(connection, "close")
}

// A requestReader reads the requests of one connection. It belongs to the poller goroutine of the connection. It rejects
// forms that two HTTP implementations can parse differently.
type requestReader struct {
	task       *Task
	connection *connection
	socket     *nbio.Conn
	// headerBlock holds the received part of an incomplete header.
	headerBlock []byte
	current     *request
	body        bodyDecoder // of the current request
	stopped     bool
	// awaitedPart is the part of the request for which the read deadline is set.
	awaitedPart requestPart
	// startedAt is when the first byte of the request was read.
	startedAt time.Time
}

var headerEnd = []byte("\r\n\r\n")

// onData processes bytes received on the connection.
func (rr *requestReader) onData(data []byte) {
	rr.connection.recordReceived(len(data))
	for len(data) > 0 && !rr.stopped && !rr.connection.stopReading.Load() {
		if rr.current == nil {
			data = rr.readHeader(data)
		} else {
			data = rr.readBody(data)
		}
	}
	if !rr.stopped {
		rr.updateReadDeadline()
	}
}

// takeHeader returns a complete header block and the bytes behind it, or keeps the bytes of an incomplete one.
func (rr *requestReader) takeHeader(data []byte, maxHeader int) (block, rest []byte, complete bool) {
	before := len(rr.headerBlock)
	if before == 0 {
		if end := bytes.Index(data, headerEnd); end >= 0 {
			return data[:end+len(headerEnd)], data[end+len(headerEnd):], true
		}
	}
	// One byte more than the limit shows that the header is too large.
	part := data[:min(len(data), max(0, maxHeader+1-before))]
	rr.headerBlock = append(rr.headerBlock, part...)
	from := max(0, before-len(headerEnd)+1)
	end := bytes.Index(rr.headerBlock[from:], headerEnd)
	if end < 0 {
		return nil, nil, false
	}
	end += from + len(headerEnd)
	// What arrived behind the header does not count against its limit.
	rr.headerBlock = rr.headerBlock[:end]
	return rr.headerBlock, data[end-before:], true
}

func (rr *requestReader) readHeader(data []byte) []byte {
	if len(rr.headerBlock) == 0 {
		// RFC 9112 asks servers to ignore empty lines before a request.
		if data = bytes.TrimLeft(data, "\r\n"); len(data) == 0 {
			return nil
		}
	}
	limit, before := rr.task.limits.Load(), len(rr.headerBlock)
	block, rest, complete := rr.takeHeader(data, limit.maxHeader)
	if len(block) > limit.maxHeader || len(rr.headerBlock) > limit.maxHeader {
		rr.refuse(errs.HeaderTooLarge, "the header may have at most "+strconv.Itoa(limit.maxHeader)+" bytes")
		return nil
	}
	if !complete {
		rr.holdHead(len(rr.headerBlock) - before)
		return nil
	}
	held := before
	rr.headerBlock = nil
	h, err := checkHeader(block)
	if err != nil {
		rr.refuse(errs.BadRequest, err.Error())
		return nil
	}
	u, err := url.ParseRequestURI(h.uri)
	if err != nil {
		rr.refuse(errs.BadRequest, "URI: "+err.Error())
		return nil
	}
	read := rr.task.clock.Now()
	arrivedAt, exact := rr.task.arrivalTime(read)
	rr.current = &request{method: h.method, uri: h.uri, url: u, header: h.header, minorVersion: h.minorVersion, arrivedAt: arrivedAt, headBytes: headCost(len(block), h.fields)}
	if !exact {
		rr.current.startAfter = read.Add(pause.InexactArrivalDelay)
	}
	if h.contentLength > limit.maxBody {
		rr.refuse(errs.BodyTooLarge, "the body may have at most "+strconv.Itoa(limit.maxBody)+" bytes")
		return nil
	}
	if !rr.holdHead(rr.current.headBytes-held) || !rr.reserve(h.contentLength) {
		return nil
	}
	rr.body = bodyDecoder{chunked: h.chunked, remaining: h.contentLength, maxBody: limit.maxBody, part: partSize, reader: rr}
	if !h.chunked && h.contentLength == 0 {
		rr.complete()
	} else if h.expectsContinue && len(rest) == 0 {
		rr.task.post(continueExpected{rr.connection})
	}
	return rest
}

func (rr *requestReader) readBody(data []byte) []byte {
	rest, complete, err := rr.body.decode(data)
	switch {
	case rr.stopped:
		return nil
	case err != nil && errs.KindOf(err) != errs.Internal:
		rr.refuse(errs.KindOf(err), err.Error())
		return nil
	case err != nil:
		rr.refuse(errs.BadRequest, err.Error())
		return nil
	case complete:
		rr.complete()
	}
	return rest
}

// complete passes the current request to the task.
func (rr *requestReader) complete() {
	r := rr.current
	r.body = rr.body.body
	rr.body = bodyDecoder{}
	r.reservedBytes = int(rr.connection.reservedBytes.Swap(0))
	rr.connection.incompleteHead.Store(0)
	rr.current = nil
	// The deadline of the next request counts from its own first byte.
	rr.awaitedPart = partNone
	rr.task.post(requestReceived{rr.connection, r})
}

// refuse makes the task refuse the current request, and ends reading from the connection, since the start of the next
// request is unknown after an error.
func (rr *requestReader) refuse(kind errs.Kind, detail string) {
	method := ""
	if rr.current != nil {
		method = rr.current.method
	}
	rr.connection.releaseReserved()
	rr.current, rr.body = nil, bodyDecoder{}
	rr.stopped = true
	rr.headerBlock = nil
	// Calls before this one may still run, and the refusal follows their responses. An error means that the connection is
	// closed.
	_ = rr.socket.SetReadDeadline(time.Time{})
	rr.task.post(requestRefused{rr.connection, kind, detail, method})
}
