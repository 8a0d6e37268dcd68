package router

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/mail"
)

// Guards against a non-idempotent call that runs beside unanswered calls of its connection, because its route was
// idempotent in the release that the front used.
func TestOnlyIdempotentCalls(t *testing.T) {
	for _, test := range []struct {
		name, method   string
		onlyIdempotent bool
		refused        bool
	}{
		{"safe", http.MethodGet, true, false},
		{"not safe", http.MethodPost, true, true},
		{"not safe, alone", http.MethodPost, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(3)
			reply := mail.NewBox[Answer](1)
			h.receive(Submit{ID: call.NextID(), OnlyIdempotent: test.onlyIdempotent, Reply: reply, Request: call.Request{Service: "s", Method: test.method}})
			if !test.refused {
				qt.Assert(t, h.nextSent(), qt.IsNotNil)
				return
			}
			qt.Assert(t, h.nextSent(), qt.IsNil)
			refused, ok := takeOutcome(reply).(call.Refused)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, refused.Kind, qt.Equals, errs.Busy)
		})
	}
}
