package meter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/meter"
)

// TestRecordCallAttributes guards against counting calls under the attributes of another service or outcome,
// including services beyond the limit of the attribute cache.
func TestRecordCallAttributes(t *testing.T) {
	m, err := meter.New()
	qt.Assert(t, err, qt.IsNil)
	const services = 1100
	for range 2 {
		for i := range services {
			m.RecordCall(ident.Service(fmt.Sprintf("s%d", i)), errs.Answered, time.Millisecond)
		}
	}
	m.RecordCall("s0", errs.Unknown, time.Millisecond)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`jacinthcross_calls_total{outcome="Answered",service="s0"} 2`,
		`jacinthcross_calls_total{outcome="Unknown",service="s0"} 1`,
		`jacinthcross_calls_total{outcome="Answered",service="s1099"} 2`,
		`jacinthcross_call_duration_seconds_count{service="s0"} 3`,
		`jacinthcross_call_duration_seconds_count{service="s1099"} 2`,
	} {
		qt.Check(t, w.Body.String(), qt.Contains, line+"\n")
	}
}
