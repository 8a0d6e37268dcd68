package local

import (
	"fmt"
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

// newResult converts a response or an error of the connection to the result of a call.
func (c *conn) newResult(j job, response *http.Response, err error, reusable bool) callResult {
	m := callResult{id: j.id, conn: c}
	switch {
	case isDialError(err):
		m.outcome, m.dialFailed = call.Refused{Kind: errs.TargetDown, Detail: err.Error()}, true
	case err != nil:
		m.outcome, m.connLost = call.Unknown{Kind: errs.TargetFailed, Detail: fmt.Sprintf("target %s: %v", c.target, err)}, true
	case !call.IsFinalStatus(response.StatusCode):
		m.outcome = call.Unknown{Kind: errs.AnswerCut, Detail: fmt.Sprintf("target %s: a final response cannot have the status %d", c.target, response.StatusCode)}
	default:
		m.outcome = c.checkResponse(j, response)
		m.load, m.hasLoad = c.dialect.TargetLoad(response.Header)
		_, unusable := m.outcome.(call.Unknown)
		_, refused := m.outcome.(call.Refused)
		// A target may send a refusal again. Without an ID, it would be taken for the refusal of the next call.
		m.reusable = reusable && !unusable && !response.Close && (!refused || c.responseID(response) != "")
	}
	return m
}

// checkResponse returns the outcome of a call after checking that the response is complete and belongs to the call.
func (c *conn) checkResponse(j job, r *http.Response) call.Outcome {
	// Without framing, a truncated or empty body cannot be told from a complete body: the HTTP parser reports no error.
	if !c.isFramed(j.request.Method, r) {
		return call.Unknown{Kind: errs.AnswerCut, Detail: fmt.Sprintf("target %s: the end of the response is unknown: it has neither Content-Length nor chunked encoding", c.target)}
	}
	if c.isForOtherCall(j, r) {
		return call.Unknown{Kind: errs.AnswerForeign, Detail: fmt.Sprintf("target %s: the response belongs to request %q", c.target, r.Header.Get(c.dialect.RequestID))}
	}
	if c.echoesIDs && c.responseID(r) == "" {
		return call.Unknown{Kind: errs.AnswerForeign, Detail: fmt.Sprintf("target %s: the response has no request ID, unlike earlier ones on the connection, so it may belong to another call", c.target)}
	}
	body, err := c.bodyOf(j, r)
	switch {
	case err == errBodyTooLarge:
		return call.Unknown{Kind: errs.AnswerTooLarge, Detail: fmt.Sprintf("the response body of the target exceeds %d bytes", c.bodies.maxBody)}
	case err != nil:
		return call.Unknown{Kind: errs.AnswerCut, Detail: err.Error()}
	}
	if !hasNoBody(j.request.Method, r) && r.ContentLength >= 0 && int64(len(body)) != r.ContentLength {
		return call.Unknown{Kind: errs.AnswerCut, Detail: fmt.Sprintf("response body of the target truncated: got %d of %d bytes", len(body), r.ContentLength)}
	}
	if c.dialect.ProvesNotRun(r.StatusCode, r.Header) {
		return call.Refused{Kind: c.refusalKind(r), RetryAfter: retryAfter(r)}
	}
	if reason := c.invalidReason(r); reason != "" {
		return call.Unknown{Kind: errs.AnswerCut, Detail: fmt.Sprintf("target %s: %s", c.target, reason)}
	}
	return call.Answered{Status: r.StatusCode, Header: c.dialect.ResponseFields(r.Header), Body: body}
}

// bodyOf returns the body of a response, which it reads unless that was done before.
func (c *conn) bodyOf(j job, r *http.Response) ([]byte, error) {
	if hasNoBody(j.request.Method, r) || r.Body == nil {
		return nil, nil
	}
	if b, ok := r.Body.(*readBody); ok {
		return b.body, b.err
	}
	return c.readBody(j, r)
}

// readBody reads the body of a response. A body that ends with its connection is complete only if the target closed the
// connection in order.
func (c *conn) readBody(j job, r *http.Response) ([]byte, error) {
	body, err := c.bodies.read(c.ctx, r.Body, r.ContentLength)
	if err == nil && r.ContentLength < 0 && !isChunked(r) {
		err = j.upload.connectionError()
	}
	return body, err
}

// invalidReason returns why a response does not come from the target itself, or "" if it is valid.
func (c *conn) invalidReason(r *http.Response) string {
	switch {
	case c.dialect.ResponseStamp == "":
		return ""
	case r.Header.Get("Content-Encoding") != "":
		return "the response has a Content-Encoding, so it does not come unchanged from the target"
	case r.StatusCode < http.StatusMultipleChoices && r.Header.Get(c.dialect.ResponseStamp) == "":
		return "the successful response lacks the header field that marks responses of the target"
	}
	return ""
}

func (c *conn) refusalKind(r *http.Response) errs.Kind {
	if r.StatusCode == http.StatusMisdirectedRequest {
		return errs.TargetReplaced
	}
	return errs.TargetShed
}

// isFramed reports whether the response shows where it ends.
func (c *conn) isFramed(method string, r *http.Response) bool {
	return hasNoBody(method, r) || r.ContentLength >= 0 || isChunked(r) || c.dialect.AllowBodyUntilClose
}

func isChunked(r *http.Response) bool {
	// net/http moves the encoding to TransferEncoding; other HTTP parsers leave it in the header.
	return slices.Contains(r.TransferEncoding, "chunked") || strings.EqualFold(r.Header.Get("Transfer-Encoding"), "chunked")
}

// hasNoBody reports whether a response has no body even if its header declares one.
func hasNoBody(method string, r *http.Response) bool {
	return method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
}

func retryAfter(r *http.Response) time.Duration {
	n, err := strconv.Atoi(r.Header.Get("Retry-After"))
	if err != nil || n < 0 {
		return errs.ResponseFor(errs.TargetShed).RetryAfter
	}
	return time.Duration(n) * time.Second
}

// isDialError reports whether the connection could not be opened, in which case nothing was sent.
func isDialError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}
