package meter

import (
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// maxLabels bounds the kept attribute sets, since a caller may name any service. It is above the
// 220 services of the design scale with each outcome.
const maxLabels = 1024

// A label holds the attributes of a call as the instruments take them.
type label struct {
	call     []metric.AddOption
	duration []metric.RecordOption
}

type labelKey struct {
	service ident.Service
	outcome errs.Outcome
}

// labels keeps attribute sets, whose construction sorts and allocates. It is safe for concurrent use.
type labels struct {
	mutex sync.Mutex
	kept  map[labelKey]label
}

func (l *labels) of(k labelKey) label {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if v, ok := l.kept[k]; ok {
		return v
	}
	s := attribute.String("service", string(k.service))
	v := label{
		call: []metric.AddOption{metric.WithAttributeSet(
			attribute.NewSet(s, attribute.String("outcome", string(k.outcome))))},
		duration: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(s))},
	}
	if l.kept == nil {
		l.kept = map[labelKey]label{}
	}
	if len(l.kept) < maxLabels {
		l.kept[k] = v
	}
	return v
}
