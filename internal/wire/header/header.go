// Package header defines the HTTP header fields of calls and selects the fields to forward.
package header

import (
	"net/http"
	"strings"

	"jacinthcross/internal/base/call"
)

// Header fields in requests and responses of callers and targets, and the path at which daemons issue idempotency keys.
const (
	RequestID     = "Jacinth-Request-Id"
	Service       = "Jacinth-Service"
	Deadline      = "Jacinth-Deadline"
	Rank          = "Jacinth-Rank"
	Context       = "Jacinth-Context"
	Outcome       = "Jacinth-Outcome"
	Error         = "Jacinth-Error"
	Advice        = "Jacinth-Advice"
	Target        = "Jacinth-Target"
	NotRun        = "Jacinth-Not-Run"
	Key           = "Idempotency-Key"
	KeyPath       = "/.well-known/jacinthcross/key"
	defaultPrefix = "Jacinth-"
)

// hopByHop contains the fields that concern a single connection and are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// endToEnd returns the fields that are neither excluded nor hop-by-hop. Fields named by Connection are hop-by-hop too.
func endToEnd(h http.Header, excluded func(name string) bool) []call.Field {
	named := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var fields []call.Field
	for name, values := range h {
		if hopByHop[name] || named[name] || excluded(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, call.Field{Name: name, Value: v})
		}
	}
	return fields
}
