package header

import "strings"

// Valid reports whether a header field can be written without breaking the framing of the message.
func Valid(name, value string) bool { return ValidName(name) && ValidValue(value) }

// ValidName reports whether a field name is an HTTP token.
func ValidName(name string) bool {
	for i := range len(name) {
		if !isToken(name[i]) {
			return false
		}
	}
	return name != ""
}

// ValidValue reports whether a field value contains no control characters except tabs.
func ValidValue(value string) bool {
	for i := range len(value) {
		if b := value[i]; b == 0x7f || (b < ' ' && b != '\t') {
			return false
		}
	}
	return true
}

// ValidURI reports whether a request URI is a path of printable ASCII characters without spaces.
func ValidURI(uri string) bool {
	if uri == "" || uri[0] != '/' {
		return false
	}
	for i := range len(uri) {
		if uri[i] <= ' ' || uri[i] >= 0x7f {
			return false
		}
	}
	return true
}

func isToken(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' ||
		strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
