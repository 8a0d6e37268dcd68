package front

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/wire/header"
	"math"
	"net/http"
	"strconv"
)

// write answers a caller with an outcome.
func write(w http.ResponseWriter, o call.Outcome) {
	switch o := o.(type) {
	case call.Answered:
		for _, f := range o.Header {
			w.Header().Add(f.Name, f.Value)
		}
		w.Header().Set(header.Outcome, string(errs.Answered))
		writeBody(w, o.Status, o.Body)
	case call.Refused:
		if o.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(o.RetryAfter.Seconds()))))
		}
		writeError(w, o.Kind, o.Detail)
	case call.Unknown:
		writeError(w, o.Kind, o.Detail)
	}
}

func writeRefusal(w http.ResponseWriter, kind errs.Kind, detail string) {
	write(w, call.Refused{Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter, Detail: detail})
}

func writeError(w http.ResponseWriter, kind errs.Kind, detail string) {
	a := errs.AnswerTo(kind)
	w.Header().Set(header.Outcome, string(a.Outcome))
	w.Header().Set(header.Error, string(kind))
	w.Header().Set(header.Advice, a.Advice)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writeBody(w, a.Status, []byte(string(kind)+": "+a.Advice+"\n"+detail+"\n"))
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write ends the caller's connection, which is all that can be told to it then.
	_, _ = w.Write(body)
}
