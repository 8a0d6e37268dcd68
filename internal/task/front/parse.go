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

// A request is one parsed HTTP request. The body counts against the memory limit until it is released.
type request struct {
	method string
	// uri is the target of the request line as the caller sent it, and url the same parsed.
	uri    string
	url    *url.URL
	header http.Header
	body   []byte
	// minor is the minor version of HTTP/1.
	minor int
	// reserved is the number of bytes that the body holds of the memory limit.
	reserved int
	// arrived is the earliest time at which the header may have arrived.
	arrived time.Time
	// settled is when the request may be started: later than its read when it was read after a pause.
	settled time.Time
}

// close reports whether the caller asked to close the connection after the answer.
func (r *request) close() bool {
	connection := strings.ToLower(strings.Join(r.header.Values("Connection"), ","))
	if r.minor == 0 {
		return !strings.Contains(connection, "keep-alive")
	}
	return strings.Contains(connection, "close")
}

// An intake reads the requests of one connection. The poller goroutine of the connection owns it.
// It checks each header block as a whole before the library's parser sees it, since the parser
// accepts forms on which two HTTP implementations can disagree.
type intake struct {
	task   *Task
	caller *caller
	conn   *nbio.Conn
	parser *nbhttp.Parser
	// block holds the header bytes that have arrived while the header is incomplete.
	block []byte
	// bodyLeft is the number of body bytes to come, when Content-Length gives it.
	bodyLeft int
	chunked  bool
	current  *request
	// completed is true when the message that the parser works on has ended.
	completed bool
	ended     bool
	// awaited is the part for which a bound of time is set.
	awaited part
	// began is when the first byte of the request was read.
	began time.Time
}

var headerEnd = []byte("\r\n\r\n")

// data receives bytes of the connection.
func (i *intake) data(data []byte) {
	for len(data) > 0 && !i.ended {
		if i.current == nil {
			data = i.readHeader(data)
		} else {
			data = i.readBody(data)
		}
	}
	if !i.ended {
		i.limitTime()
	}
}

func (i *intake) readHeader(data []byte) []byte {
	if len(i.block) == 0 {
		// RFC 9112 asks a server to ignore an empty line before a request.
		data = bytes.TrimLeft(data, "\r\n")
	}
	from := max(0, len(i.block)-len(headerEnd)+1)
	i.block = append(i.block, data...)
	end, limit := bytes.Index(i.block[from:], headerEnd), i.task.limits.Load()
	if end < 0 {
		if len(i.block) > limit.header {
			i.refuse(errs.HeaderTooLarge, "at most "+strconv.Itoa(limit.header)+" bytes")
		}
		return nil
	}
	end += from + len(headerEnd)
	block, rest := i.block[:end], data[len(data)-(len(i.block)-end):]
	if end > limit.header {
		i.refuse(errs.HeaderTooLarge, "at most "+strconv.Itoa(limit.header)+" bytes")
		return nil
	}
	h, err := checkHeader(block)
	if err != nil {
		i.refuse(errs.BadRequest, err.Error())
		return nil
	}
	read := i.task.clock.Now()
	arrivedAt, exact := i.task.arrival(read)
	i.current = &request{method: h.method, header: http.Header{}, minor: h.minor, arrived: arrivedAt}
	if !exact {
		i.current.settled = read.Add(pause.Settle)
	}
	i.bodyLeft, i.chunked, i.completed = h.length, h.chunked, false
	if h.length > limit.body {
		i.refuse(errs.BodyTooLarge, "at most "+strconv.Itoa(limit.body)+" bytes")
		return nil
	}
	if !i.reserve(h.length) {
		return nil
	}
	i.parse(block)
	i.block = i.block[:0]
	if i.current != nil && !i.ended && h.expects && len(rest) == 0 {
		i.task.put(expects{i.caller})
	}
	return rest
}

func (i *intake) readBody(data []byte) []byte {
	if !i.chunked {
		n := min(len(data), i.bodyLeft)
		i.bodyLeft -= n
		i.parse(data[:n])
		return data[n:]
	}
	i.parse(data)
	return nil
}

// parse passes bytes to the parser, which calls the methods of the intake below.
func (i *intake) parse(data []byte) {
	if err := i.parser.Parse(data); err != nil && !i.ended {
		kind, detail := errs.BadRequest, err.Error()
		if errs.KindOf(err) != errs.Internal {
			kind = errs.KindOf(err)
		}
		i.refuse(kind, detail)
	}
}

// reserve takes bytes of the memory limit for the body of the current request.
func (i *intake) reserve(n int) bool {
	if n <= 0 {
		return true
	}
	if !i.task.memory.TryTake(n) {
		i.refuse(errs.Busy, "the bodies under way use all of the memory for bodies")
		return false
	}
	i.caller.held.Add(int64(n))
	if closed, _ := i.conn.IsClosed(); closed {
		i.caller.giveHeld()
	}
	return true
}

// refuse ends the reading of the connection: after a fault nothing tells where the next request begins.
func (i *intake) refuse(kind errs.Kind, detail string) {
	method := ""
	if i.current != nil {
		method = i.current.method
	}
	i.release()
	i.ended = true
	i.block = nil
	i.task.put(refused{i.caller, kind, detail, method})
}

// release gives back what an incomplete request holds.
func (i *intake) release() {
	i.caller.giveHeld()
	i.current = nil
}

// OnMethod implements nbhttp.Processor.
func (i *intake) OnMethod(_ *nbhttp.Parser, method string) {
	if i.ended {
		return
	}
	if i.completed {
		// Bytes after a chunked body in the same read have passed no check of their header.
		i.refuse(errs.BadRequest, "a request may not be sent before the answer to one with a chunked body")
		return
	}
	i.current.method = method
}

// OnURL implements nbhttp.Processor.
func (i *intake) OnURL(_ *nbhttp.Parser, uri string) error {
	if i.ended {
		return errs.New(errs.BadRequest, "request after the end of the connection")
	}
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return errs.New(errs.BadRequest, "URI: "+err.Error())
	}
	i.current.uri, i.current.url = uri, u
	return nil
}

// OnProto implements nbhttp.Processor.
func (i *intake) OnProto(*nbhttp.Parser, string) error { return nil }

// OnStatus implements nbhttp.Processor.
func (i *intake) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader implements nbhttp.Processor.
func (i *intake) OnHeader(_ *nbhttp.Parser, key, value string) {
	if i.current != nil {
		i.current.header[key] = append(i.current.header[key], strings.Trim(value, " \t"))
	}
}

// OnContentLength implements nbhttp.Processor.
func (i *intake) OnContentLength(*nbhttp.Parser, int) {}

// OnBody implements nbhttp.Processor.
func (i *intake) OnBody(_ *nbhttp.Parser, data []byte) error {
	if i.chunked {
		if limit := i.task.limits.Load().body; len(i.current.body)+len(data) > limit {
			return errs.New(errs.BodyTooLarge, "at most "+strconv.Itoa(limit)+" bytes")
		}
		if !i.reserve(len(data)) {
			return errs.New(errs.Busy, "the bodies under way use all of the memory for bodies")
		}
	}
	i.current.body = append(i.current.body, data...)
	return nil
}

// OnTrailerHeader implements nbhttp.Processor. Trailers are not passed on.
func (i *intake) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (i *intake) OnComplete(*nbhttp.Parser) {
	if i.current == nil || i.ended {
		return
	}
	r := i.current
	r.reserved = int(i.caller.held.Swap(0))
	i.current, i.completed = nil, true
	i.task.put(arrived{i.caller, r})
}

// Close implements nbhttp.Processor.
func (i *intake) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (i *intake) Clean(*nbhttp.Parser) {}

var _ nbhttp.Processor = (*intake)(nil)
