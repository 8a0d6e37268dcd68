package codec

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/wire/peerpb"
)

const (
	// minDeflatedBytes is the smallest encoded config that is compressed. A smaller one fits into a few packets.
	minDeflatedBytes = 4 << 10
	// maxConfigBytes limits the size of an encoded config. The value of the store that it comes from has 1 MB at most.
	maxConfigBytes = 8 << 20
)

// An EncodedConfig is a change of the config with its encoding, which is computed on first use.
type EncodedConfig struct {
	change   roster.Change
	once     sync.Once
	plain    *peerpb.Config
	deflated []byte
}

// NewEncodedConfig returns the encoding of a roster.ConfigUpdated or a roster.ConfigDelta.
func NewEncodedConfig(c roster.Change) *EncodedConfig { return &EncodedConfig{change: c} }

// encoding returns the config, or instead its compressed encoding if that is worth it.
func (e *EncodedConfig) encoding() (*peerpb.Config, []byte) {
	e.once.Do(func() {
		switch c := e.change.(type) {
		case roster.ConfigUpdated:
			e.plain = encodeConfig(c.Config)
		case roster.ConfigDelta:
			e.plain = encodeConfig(c.Config)
			e.plain.Changes, e.plain.BaseRevision = true, uint64(c.Base)
			for _, name := range c.RemovedRoutes {
				e.plain.Dropped = append(e.plain.Dropped, string(name))
			}
		}
		if proto.Size(e.plain) < minDeflatedBytes {
			return
		}
		if b, err := deflate(e.plain); err == nil {
			e.plain, e.deflated = nil, b
		}
	})
	return e.plain, e.deflated
}

func deflate(p *peerpb.Config) ([]byte, error) {
	b, err := proto.Marshal(p)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return out.Bytes(), nil
}

// inflateConfig returns the config of a message, or nil if it has none.
func inflateConfig(p *peerpb.Published) (*peerpb.Config, error) {
	if len(p.GetDeflatedConfig()) == 0 {
		return p.GetConfig(), nil
	}
	r := flate.NewReader(bytes.NewReader(p.GetDeflatedConfig()))
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	switch {
	case err != nil:
		return nil, errors.Annotate(err, "decompress config")
	case len(b) > maxConfigBytes:
		return nil, errors.NotValidf("config of more than %d bytes", maxConfigBytes)
	}
	c := &peerpb.Config{}
	return c, errors.Annotate(proto.Unmarshal(b, c), "decode config")
}
