package local

import (
	"bufio"
	"bytes"
)

// hasUnknownEnd reports whether the next response is one of HTTP/1.0 with a Transfer-Encoding, which does not exist in
// that version, so that the end of the body is unknown (RFC 9112, section 6.1). http.ReadResponse removes the field and
// takes the end of the connection for the end of the body. A field behind the buffer of the reader is not found.
func hasUnknownEnd(reader *bufio.Reader) bool {
	version, err := reader.Peek(len("HTTP/1.0"))
	if err != nil || string(version) != "HTTP/1.0" {
		return false
	}
	for {
		// What Peek returns is valid until the next read.
		received, _ := reader.Peek(reader.Buffered())
		for line := range bytes.Lines(received) {
			name, _, isField := bytes.Cut(line, []byte(":"))
			switch {
			case isField && bytes.EqualFold(name, []byte("Transfer-Encoding")):
				return true
			case bytes.Equal(line, []byte("\r\n")), bytes.Equal(line, []byte("\n")):
				return false
			}
		}
		if _, err := reader.Peek(len(received) + 1); err != nil {
			// The header is longer than the buffer, or incomplete, which http.ReadResponse finds as well.
			return false
		}
	}
}
