package front

import (
	"bytes"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

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

// A requestReader reads the requests of one connection. It belongs to the poller goroutine of the connection. It checks
// each complete header block before passing it to the nbhttp parser, which accepts forms that two HTTP implementations
// can parse differently.
type requestReader struct {
	task       *Task
	connection *connection
	socket     *nbio.Conn
	parser     *nbhttp.Parser
	// headerBlock holds the received part of an incomplete header.
	headerBlock []byte
	// bodyRemaining is the number of body bytes not yet received, if Content-Length is given.
	bodyRemaining int
	chunked       bool
	current       *request
	// completed is true from the end of a request to the header of the next one.
	completed bool
	stopped   bool
	// awaitedPart is the part of the request for which the read deadline is set.
	awaitedPart requestPart
	// startedAt is when the first byte of the request was read.
	startedAt time.Time
}

var headerEnd = []byte("\r\n\r\n")

// onData processes bytes received on the connection.
func (rr *requestReader) onData(data []byte) {
	for len(data) > 0 && !rr.stopped {
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

func (rr *requestReader) readHeader(data []byte) []byte {
	if len(rr.headerBlock) == 0 {
		// RFC 9112 asks servers to ignore empty lines before a request.
		data = bytes.TrimLeft(data, "\r\n")
	}
	from := max(0, len(rr.headerBlock)-len(headerEnd)+1)
	rr.headerBlock = append(rr.headerBlock, data...)
	end, limit := bytes.Index(rr.headerBlock[from:], headerEnd), rr.task.limits.Load()
	if end < 0 {
		if len(rr.headerBlock) > limit.maxHeader {
			rr.refuse(errs.HeaderTooLarge, "the header may have at most "+strconv.Itoa(limit.maxHeader)+" bytes")
		}
		return nil
	}
	end += from + len(headerEnd)
	block, rest := rr.headerBlock[:end], data[len(data)-(len(rr.headerBlock)-end):]
	if end > limit.maxHeader {
		rr.refuse(errs.HeaderTooLarge, "the header may have at most "+strconv.Itoa(limit.maxHeader)+" bytes")
		return nil
	}
	h, err := checkHeader(block)
	if err != nil {
		rr.refuse(errs.BadRequest, err.Error())
		return nil
	}
	read := rr.task.clock.Now()
	arrivedAt, exact := rr.task.arrivalTime(read)
	rr.current = &request{method: h.method, header: http.Header{}, minorVersion: h.minorVersion, arrivedAt: arrivedAt}
	if !exact {
		rr.current.startAfter = read.Add(pause.InexactArrivalDelay)
	}
	rr.bodyRemaining, rr.chunked, rr.completed = h.contentLength, h.chunked, false
	if h.contentLength > limit.maxBody {
		rr.refuse(errs.BodyTooLarge, "the body may have at most "+strconv.Itoa(limit.maxBody)+" bytes")
		return nil
	}
	if !rr.reserve(h.contentLength) {
		return nil
	}
	rr.parse(block)
	rr.headerBlock = rr.headerBlock[:0]
	if rr.current != nil && !rr.stopped && h.expectsContinue && len(rest) == 0 {
		rr.task.post(continueExpected{rr.connection})
	}
	return rest
}

func (rr *requestReader) readBody(data []byte) []byte {
	if !rr.chunked {
		n := min(len(data), rr.bodyRemaining)
		rr.bodyRemaining -= n
		rr.parse(data[:n])
		return data[n:]
	}
	rr.parse(data)
	return nil
}

// parse passes bytes to the parser, which calls the nbhttp.Processor methods below.
func (rr *requestReader) parse(data []byte) {
	if err := rr.parser.Parse(data); err != nil && !rr.stopped {
		kind, detail := errs.BadRequest, err.Error()
		if errs.KindOf(err) != errs.Internal {
			kind = errs.KindOf(err)
		}
		rr.refuse(kind, detail)
	}
}

// reserve reserves memory for the body of the current request, or refuses the request.
func (rr *requestReader) reserve(n int) bool {
	if n <= 0 {
		return true
	}
	if !rr.task.memory.TryAcquire(n) {
		rr.refuse(errs.Busy, "the memory limit for bodies is reached")
		return false
	}
	rr.connection.reservedBytes.Add(int64(n))
	if closed, _ := rr.socket.IsClosed(); closed {
		rr.connection.releaseReserved()
	}
	return true
}

// refuse makes the task refuse the current request, and ends reading from the connection, since the start of the next
// request is unknown after an error.
func (rr *requestReader) refuse(kind errs.Kind, detail string) {
	method := ""
	if rr.current != nil {
		method = rr.current.method
	}
	rr.discardCurrent()
	rr.stopped = true
	rr.headerBlock = nil
	rr.task.post(requestRefused{rr.connection, kind, detail, method})
}

// discardCurrent drops the incomplete request and releases its memory.
func (rr *requestReader) discardCurrent() {
	rr.connection.releaseReserved()
	rr.current = nil
}

// OnMethod implements nbhttp.Processor.
func (rr *requestReader) OnMethod(_ *nbhttp.Parser, method string) {
	if rr.stopped {
		return
	}
	if rr.completed {
		// The header of a request behind a chunked body in the same read has not been checked.
		rr.refuse(errs.BadRequest, "pipelining after a request with a chunked body is not supported")
		return
	}
	rr.current.method = method
}

// OnURL implements nbhttp.Processor.
func (rr *requestReader) OnURL(_ *nbhttp.Parser, uri string) error {
	if rr.stopped {
		return errs.New(errs.BadRequest, "the connection accepts no request after a refused one")
	}
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return errs.New(errs.BadRequest, "URI: "+err.Error())
	}
	rr.current.uri, rr.current.url = uri, u
	return nil
}

// OnProto implements nbhttp.Processor.
func (rr *requestReader) OnProto(*nbhttp.Parser, string) error { return nil }

// OnStatus implements nbhttp.Processor.
func (rr *requestReader) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader implements nbhttp.Processor.
func (rr *requestReader) OnHeader(_ *nbhttp.Parser, key, value string) {
	if rr.current != nil {
		rr.current.header[key] = append(rr.current.header[key], strings.Trim(value, " \t"))
	}
}

// OnContentLength implements nbhttp.Processor.
func (rr *requestReader) OnContentLength(*nbhttp.Parser, int) {}

// OnBody implements nbhttp.Processor.
func (rr *requestReader) OnBody(_ *nbhttp.Parser, data []byte) error {
	if rr.chunked {
		if limit := rr.task.limits.Load().maxBody; len(rr.current.body)+len(data) > limit {
			return errs.New(errs.BodyTooLarge, "the body may have at most "+strconv.Itoa(limit)+" bytes")
		}
		if !rr.reserve(len(data)) {
			return errs.New(errs.Busy, "the memory limit for bodies is reached")
		}
	}
	rr.current.body = append(rr.current.body, data...)
	return nil
}

// OnTrailerHeader implements nbhttp.Processor. Trailers are discarded.
func (rr *requestReader) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (rr *requestReader) OnComplete(*nbhttp.Parser) {
	if rr.current == nil || rr.stopped {
		return
	}
	r := rr.current
	r.reservedBytes = int(rr.connection.reservedBytes.Swap(0))
	rr.current, rr.completed = nil, true
	rr.task.post(requestReceived{rr.connection, r})
}

// Close implements nbhttp.Processor.
func (rr *requestReader) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (rr *requestReader) Clean(*nbhttp.Parser) {}

var _ nbhttp.Processor = (*requestReader)(nil)
