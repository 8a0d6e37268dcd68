package front

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"jacinthcross/internal/wire/header"
)

// A requestHead holds the values that checkHeader extracts from a header block.
type requestHead struct {
	method          string
	minorVersion    int
	contentLength   int
	chunked         bool
	expectsContinue bool
	uri             string
	header          http.Header
	// fields is the number of fields, repeated ones included.
	fields int
}

// checkHeader checks a header block including the empty line at its end. It rejects everything that two HTTP
// implementations can parse differently, so that they disagree on the end of a request or on its fields: bare line
// feeds, folded lines, spaces around names, repeated or malformed lengths, unknown codings.
//
// NotValidf appends " not valid" to the text of an error.
func checkHeader(block []byte) (requestHead, error) {
	lines := strings.Split(string(block[:len(block)-len(headerEnd)]), "\r\n")
	c, err := checkRequestLine(lines[0])
	if err != nil {
		return c, err
	}
	c.fields, c.header = len(lines)-1, make(http.Header, len(lines)-1)
	hosts, lengths := 0, 0
	for _, line := range lines[1:] {
		name, value, err := splitField(line)
		if err != nil {
			return c, err
		}
		key := http.CanonicalHeaderKey(name)
		c.header[key] = append(c.header[key], value)
		switch strings.ToLower(name) {
		case "host":
			hosts++
		case "content-length":
			lengths++
			c.contentLength, err = parseLength(value)
		case "transfer-encoding":
			if c.chunked || !strings.EqualFold(value, "chunked") {
				err = errors.NotValidf("only a single chunked coding is supported, so Transfer-Encoding %q is", value)
			}
			c.chunked = true
		case "expect":
			if !strings.EqualFold(value, "100-continue") {
				err = errors.NotValidf("Expect %q is", value)
			}
			c.expectsContinue = true
		}
		if err != nil {
			return c, err
		}
	}
	switch {
	case lengths > 1:
		return c, errors.NotValidf("a request with %d Content-Length fields is", lengths)
	case c.chunked && lengths > 0:
		return c, errors.NotValidf("a request with both Content-Length and Transfer-Encoding is")
	case c.chunked && c.minorVersion == 0:
		return c, errors.NotValidf("Transfer-Encoding in HTTP/1.0 is")
	case hosts > 1 || (hosts == 0 && c.minorVersion > 0):
		return c, errors.NotValidf("a request with %d Host fields is", hosts)
	}
	return c, nil
}

func checkRequestLine(line string) (requestHead, error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return requestHead{}, errors.NotValidf("a request line with %d parts is", len(parts))
	}
	c := requestHead{method: parts[0], uri: parts[1]}
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
	default:
		return c, errors.NotValidf("method %q is", parts[0])
	}
	if parts[1] == "" || parts[1][0] != '/' {
		return c, errors.NotValidf("a URI must begin with a slash, so %q is", parts[1])
	}
	for _, r := range []byte(parts[1]) {
		if r <= ' ' || r >= 0x7f {
			return c, errors.NotValidf("a URI containing byte %#x is", r)
		}
	}
	switch parts[2] {
	case "HTTP/1.0":
	case "HTTP/1.1":
		c.minorVersion = 1
	default:
		return c, errors.NotValidf("HTTP version %q is", parts[2])
	}
	return c, nil
}

func splitField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" {
		return "", "", errors.NotValidf("a header line that lacks a name or a colon is")
	}
	if !header.ValidName(name) {
		return "", "", errors.NotValidf("header name %q is", name)
	}
	if !header.ValidValue(value) {
		return "", "", errors.NotValidf("the value of header %s is", name)
	}
	return name, strings.Trim(value, " \t"), nil
}

// parseLength accepts digits only: no sign, list or inner space.
func parseLength(value string) (int, error) {
	for i := range len(value) {
		if value[i] < '0' || value[i] > '9' {
			return 0, errors.NotValidf("Content-Length %q is", value)
		}
	}
	n, err := strconv.ParseInt(value, 10, 62)
	if err != nil {
		return 0, errors.NotValidf("Content-Length %q is", value)
	}
	return int(n), nil
}
