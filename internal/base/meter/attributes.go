package meter

import (
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// maxCachedAttributes limits the cached attribute sets, since a caller may name any service. It leaves room for
// the 220 services of the largest planned deployment with each outcome.
const maxCachedAttributes = 1024

// attributes holds the attributes of a call as options for the instruments.
type attributes struct {
	call     []metric.AddOption
	duration []metric.RecordOption
}

type attributeKey struct {
	service ident.Service
	outcome errs.Outcome
}

// An attributeCache caches attribute sets, since building one sorts and allocates. It is safe for concurrent use.
type attributeCache struct {
	mutex  sync.Mutex
	cached map[attributeKey]attributes
}

func (c *attributeCache) get(k attributeKey) attributes {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if v, ok := c.cached[k]; ok {
		return v
	}
	s := attribute.String("service", string(k.service))
	v := attributes{
		call: []metric.AddOption{metric.WithAttributeSet(
			attribute.NewSet(s, attribute.String("outcome", string(k.outcome))))},
		duration: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(s))},
	}
	if c.cached == nil {
		c.cached = map[attributeKey]attributes{}
	}
	if len(c.cached) < maxCachedAttributes {
		c.cached[k] = v
	}
	return v
}
