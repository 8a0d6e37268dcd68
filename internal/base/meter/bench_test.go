package meter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/meter"
)

// BenchmarkRecordCall measures the cost of recording a call.
func BenchmarkRecordCall(b *testing.B) {
	m, err := meter.New()
	qt.Assert(b, err, qt.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		m.RecordCall("summary", errs.Answered, time.Millisecond)
	}
}
