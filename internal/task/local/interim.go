package local

import (
	"net/http"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// errInterimBody ends a connection on which it is not known where the interim response ends and the final one begins.
var errInterimBody = errors.ConstError("an interim response has a body")

// skipInterim makes a connection pass over interim responses, which the library's client would take as
// final. The engine calls it after the client has set up the connection and before it reads from it.
func skipInterim(c *nbio.Conn) {
	if p, ok := c.Session().(*nbhttp.Parser); ok {
		p.Processor = &finalOnly{Processor: p.Processor}
	}
}

// A finalOnly passes on the parts of final responses. Those of interim ones are dropped as they are read, so
// that any number of them takes no memory and none of their fields reaches the final response.
type finalOnly struct {
	nbhttp.Processor
	interim bool
}

// OnProto implements nbhttp.Processor. It is the first part of each response.
func (f *finalOnly) OnProto(p *nbhttp.Parser, proto string) error {
	f.interim = false
	return f.Processor.OnProto(p, proto)
}

// OnStatus implements nbhttp.Processor. After a switch of protocols no final response would follow.
func (f *finalOnly) OnStatus(p *nbhttp.Parser, code int, status string) {
	f.interim = code < http.StatusOK && code != http.StatusSwitchingProtocols
	if !f.interim {
		f.Processor.OnStatus(p, code, status)
	}
}

// OnHeader implements nbhttp.Processor.
func (f *finalOnly) OnHeader(p *nbhttp.Parser, name, value string) {
	if !f.interim {
		f.Processor.OnHeader(p, name, value)
	}
}

// OnContentLength implements nbhttp.Processor.
func (f *finalOnly) OnContentLength(p *nbhttp.Parser, n int) {
	if !f.interim {
		f.Processor.OnContentLength(p, n)
	}
}

// OnBody implements nbhttp.Processor.
func (f *finalOnly) OnBody(p *nbhttp.Parser, data []byte) error {
	if f.interim {
		return errInterimBody
	}
	return f.Processor.OnBody(p, data)
}

// OnTrailerHeader implements nbhttp.Processor.
func (f *finalOnly) OnTrailerHeader(p *nbhttp.Parser, name, value string) {
	if !f.interim {
		f.Processor.OnTrailerHeader(p, name, value)
	}
}

// OnComplete implements nbhttp.Processor.
func (f *finalOnly) OnComplete(p *nbhttp.Parser) {
	if !f.interim {
		f.Processor.OnComplete(p)
	}
}
