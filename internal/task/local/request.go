package local

import (
	"net/http"
	"strconv"
	"time"

	"jacinthcross/internal/wire/header"
)

// appendTo appends the HTTP request for the target to b. The time left until the deadline is counted from the time now.
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
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

func appendField(b []byte, name, value string) []byte {
	if value == "" || !header.Valid(name, value) {
		return b
	}
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}
