// Package header names the HTTP header fields of the system and removes those of one connection.
package header

import (
	"net/http"
	"strings"

	"jacinthcross/internal/base/call"
)

// The header fields that callers and targets see.
const (
	RequestID = "Jacinth-Request-Id"
	Service   = "Jacinth-Service"
	Deadline  = "Jacinth-Deadline"
	Rank      = "Jacinth-Rank"
	Context   = "Jacinth-Context"
	Outcome   = "Jacinth-Outcome"
	Error     = "Jacinth-Error"
	Advice    = "Jacinth-Advice"
	Target    = "Jacinth-Target"
	NotRun    = "Jacinth-Not-Run"
	Key       = "Idempotency-Key"
	KeyPath   = "/.well-known/jacinthcross/key"
	ownPrefix = "Jacinth-"
)

var perConnection = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// endToEnd returns the fields that concern more than one connection, without those that are left out.
func endToEnd(h http.Header, leftOut func(name string) bool) []call.Field {
	named := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var fields []call.Field
	for name, values := range h {
		if perConnection[name] || named[name] || leftOut(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, call.Field{Name: name, Value: v})
		}
	}
	return fields
}
