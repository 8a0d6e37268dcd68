package local

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"jacinthcross/internal/wire/header"
)

// maxInlineBody is the size in bytes of the largest body that is appended to its header, so that both are sent in one write.
const maxInlineBody = 64 << 10

// write writes the HTTP request for the target. A large body is not copied.
func (j *job) write(w io.Writer, d *header.Dialect, now time.Time) error {
	b, body := j.appendTo(nil, d, now), j.request.Body
	if len(body) <= maxInlineBody {
		b, body = append(b, body...), nil
	}
	_, err := w.Write(b)
	if err == nil && len(body) > 0 {
		_, err = w.Write(body)
	}
	return err
}

// appendTo appends the header of the HTTP request for the target to b. The time left until the deadline is counted from the time now.
// appendTo omits fields that would break the framing, since names and values can come from a peer.
func (j *job) appendTo(b []byte, d *header.Dialect, now time.Time) []byte {
	r := &j.request
	b = append(b, r.Method...)
	b = append(append(append(b, ' '), r.URI...), " HTTP/1.1\r\n"...)
	for _, f := range r.Header {
		if !d.IsReserved(f.Name) {
			b = appendField(b, f.Name, f.Value)
		}
	}
	b = appendField(b, d.RequestID, r.ID)
	b = appendField(b, d.Deadline, strconv.FormatInt(max(0, r.Deadline.Sub(now).Milliseconds()), 10))
	b = appendField(b, d.Context, j.token)
	b = appendField(b, d.Rank, string(r.Rank))
	b = appendField(b, d.Key, r.Key)
	b = appendField(b, d.Origin, string(r.Origin))
	b = appendField(b, d.ExpectedTarget, string(j.target))
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	if value == "" || !header.Valid(name, value) {
		return b
	}
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}
