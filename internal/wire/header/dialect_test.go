package header_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/wire/header"
)

// customDialect returns a dialect with field names that differ from the default.
func customDialect() *header.Dialect {
	return &header.Dialect{
		RequestID: "X-Id", Deadline: "X-Deadline", Origin: "X-Origin", ExpectedTarget: "X-Instance", NotRun: "X-Not-Run", ResponseStamp: "X-Stamp", Load: "X-Load",
	}
}

func names(fields []call.Field) []string {
	var out []string
	for _, f := range fields {
		out = append(out, f.Name)
	}
	slices.Sort(out)
	return out
}

// TestForwardedFields guards against forwarding hop-by-hop fields, against fields of callers that only daemons may set,
// and against losing other fields.
func TestForwardedFields(t *testing.T) {
	h := func(names ...string) http.Header {
		out := http.Header{}
		for _, name := range names {
			out.Set(name, "x")
		}
		return out
	}
	namedByConnection := h("X-Own", "Accept")
	namedByConnection.Set("Connection", "close, X-Own")
	for _, test := range []struct {
		name       string
		dialect    *header.Dialect
		in         http.Header
		fromCaller []string
		fromTarget []string
	}{
		{"end-to-end fields", customDialect(), h("Accept", "Cookie"), []string{"Accept", "Cookie"}, []string{"Accept", "Cookie"}},
		{
			"hop-by-hop fields", customDialect(), h("Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Proxy-Connection"),
			nil, nil,
		},
		{"named by Connection", customDialect(), namedByConnection, []string{"Accept"}, []string{"Accept"}},
		{"set by daemons", customDialect(), h("X-Id", "X-Deadline", "X-Origin", "X-Instance"), nil, []string{"X-Deadline", "X-Id", "X-Instance", "X-Origin"}},
		{"load of the target", customDialect(), h("X-Load", "X-Stamp"), []string{"X-Load", "X-Stamp"}, []string{"X-Stamp"}},
		{"default prefix", header.DefaultDialect(), h("Jacinth-Outcome", "Jacinth-Anything", "Idempotency-Key", "Accept"), []string{"Accept"}, []string{"Accept", "Idempotency-Key"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, names(test.dialect.RequestFields(test.in)), qt.DeepEquals, test.fromCaller)
			qt.Check(t, names(test.dialect.ResponseFields(test.in)), qt.DeepEquals, test.fromTarget)
		})
	}
}

// TestProofOfNotRun guards against a second run of a call after a response that does not prove that it has not run.
func TestProofOfNotRun(t *testing.T) {
	proof := func(value string) http.Header { return http.Header{"X-Not-Run": {value}} }
	for _, test := range []struct {
		name   string
		status int
		header http.Header
		want   bool
	}{
		{"shed", 503, proof("1"), true},
		{"too many requests", 429, proof("true"), true},
		{"bad request with the proof", 400, proof("1"), true},
		{"wrong target", 421, http.Header{}, true},
		{"503 without the proof", 503, http.Header{}, false},
		{"another value", 503, proof("0"), false},
		{"failed", 500, proof("1"), false},
		{"success", 200, proof("1"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, customDialect().ProvesNotRun(test.status, test.header), qt.Equals, test.want)
		})
	}
	qt.Assert(t, header.DefaultDialect().ProvesNotRun(421, http.Header{}), qt.IsFalse)
}

// TestUntilWarm guards against taking an invalid value for a warm target, and against taking a target for cold that sends
// no value because it is warm: after a restart of all daemons, their targets then got only the cold rate for seconds.
func TestUntilWarm(t *testing.T) {
	for _, test := range []struct {
		field, value string
		want         time.Duration
		known        bool
	}{
		{"X-Cold", "1500", 1500 * time.Millisecond, true},
		{"X-Cold", "0", 0, true},
		{"X-Cold", " 0.5 ", 500 * time.Microsecond, true},
		{"X-Cold", "", 0, false},
		{"X-Cold", "-1", 0, false},
		{"X-Cold", "NaN", 0, false},
		{"X-Cold", "1e300", 0, false},
		{"X-Cold", "soon", 0, false},
		{"", "1500", 0, false},
		{"X-Other", "", 0, true},
	} {
		d := header.Dialect{UntilWarm: test.field}
		h := http.Header{}
		h.Set("X-Cold", test.value)
		got, known := d.UntilWarmOf(h)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%q", test.value))
		qt.Check(t, known, qt.Equals, test.known, qt.Commentf("%q", test.value))
	}
}
