package local

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
)

// completed turns what the library reports into the end of a call.
func (c *conn) completed(j job, response *http.Response, err error, reusable bool) completed {
	m := completed{id: j.id, conn: c}
	switch {
	case refusedDial(err):
		m.outcome, m.refused = call.Refused{Kind: errs.TargetDown, Detail: err.Error()}, true
	case err != nil:
		m.outcome, m.broken = call.Unknown{Kind: errs.TargetFailed, Detail: fmt.Sprintf("target %s: %v", c.target, err)}, true
	default:
		m.outcome = c.outcome(j, response)
		m.load, m.loaded = c.dialect.TargetLoad(response.Header)
		_, cut := m.outcome.(call.Unknown)
		m.reusable = reusable && !cut && !response.Close
	}
	return m
}

// outcome checks that the response is whole and belongs to the call.
func (c *conn) outcome(j job, r *http.Response) call.Outcome {
	// The library reports a response of unknown length as complete and empty.
	if !c.framed(j.request.Method, r) {
		return call.Unknown{Kind: errs.AnswerCut, Detail: fmt.Sprintf("target %s: the response has neither Content-Length nor chunked encoding", c.target)}
	}
	if c.foreign(j, r) {
		return call.Unknown{Kind: errs.AnswerForeign, Detail: fmt.Sprintf("target %s: the response is to %q", c.target, r.Header.Get(c.dialect.RequestID))}
	}
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(io.LimitReader(r.Body, int64(c.limit)+1)); err != nil {
			return call.Unknown{Kind: errs.AnswerCut, Detail: err.Error()}
		}
	}
	if len(body) > c.limit {
		return call.Unknown{Kind: errs.AnswerTooLarge, Detail: fmt.Sprintf("more than %d bytes", c.limit)}
	}
	if !bodiless(j.request.Method, r) && r.ContentLength >= 0 && int64(len(body)) != r.ContentLength {
		return call.Unknown{Kind: errs.AnswerCut, Detail: fmt.Sprintf("%d of %d bytes", len(body), r.ContentLength)}
	}
	if c.dialect.Proves(r.StatusCode, r.Header) {
		return call.Refused{Kind: c.refusalKind(r), RetryAfter: retryAfter(r)}
	}
	if why := c.unusable(r); why != "" {
		return call.Unknown{Kind: errs.AnswerCut, Detail: fmt.Sprintf("target %s: %s", c.target, why)}
	}
	return call.Answered{Status: r.StatusCode, Header: c.dialect.FromTarget(r.Header), Body: body}
}

// unusable returns why a response is not one that the target made, or nothing.
func (c *conn) unusable(r *http.Response) string {
	switch {
	case c.dialect.Stamp == "":
		return ""
	case r.Header.Get("Content-Encoding") != "":
		return "the response has a content encoding"
	case r.StatusCode < http.StatusMultipleChoices && r.Header.Get(c.dialect.Stamp) == "":
		return "the success has no stamp"
	}
	return ""
}

func (c *conn) refusalKind(r *http.Response) errs.Kind {
	if r.StatusCode == http.StatusMisdirectedRequest {
		return errs.TargetReplaced
	}
	return errs.TargetShed
}

// framed reports whether the end of the response is known.
func (c *conn) framed(method string, r *http.Response) bool {
	// No final response follows a switch of protocols.
	if r.StatusCode < http.StatusOK {
		return false
	}
	// The library's client leaves the encoding in the header; the standard library moves it to its field.
	chunked := slices.Contains(r.TransferEncoding, "chunked") || strings.EqualFold(r.Header.Get("Transfer-Encoding"), "chunked")
	return bodiless(method, r) || r.ContentLength >= 0 || chunked || c.dialect.UntilClose
}

// bodiless reports whether a response has no body whatever its header says.
func bodiless(method string, r *http.Response) bool {
	return method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
}

func retryAfter(r *http.Response) time.Duration {
	n, err := strconv.Atoi(r.Header.Get("Retry-After"))
	if err != nil || n < 0 {
		return errs.AnswerTo(errs.TargetShed).RetryAfter
	}
	return time.Duration(n) * time.Second
}

// refusedDial reports whether the connection could not be opened, so that nothing was sent.
func refusedDial(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}
