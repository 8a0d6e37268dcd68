package local

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/guard"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/wire/header"
)

// measureTimeout limits a measurement. The target normally answers its health path within about 1 ms.
const measureTimeout = 30 * time.Millisecond

// maxHealthBody is the maximum size of a health response body in bytes for which the connection is kept, and
// maxHealthHeader the maximum size of the header.
const (
	maxHealthBody   = 64 << 10
	maxHealthHeader = 64 << 10
)

// A measureRequest asks the load client to measure the load of the target.
type measureRequest struct {
	target netip.AddrPort
	path   string
	at     time.Time // when it was requested
}

// A measurement is the result of a measureRequest. requestedAt is the time of the request.
type measurement struct {
	target      netip.AddrPort
	result      measureResult
	requestedAt time.Time
}

func (measurement) message() {}

// A measureResult is the result of a measurement: loadReported, loadMissing or noResponse.
type measureResult interface{ measureResult() }

// loadReported means that the target reported its load.
type loadReported struct {
	load call.TargetLoad
	coldTime
}

// loadMissing means that the response contains no load.
type loadMissing struct{ coldTime }

// noResponse means that no valid response arrived within the timeout. refused is the error if the target has refused the
// connection, or nil.
type noResponse struct{ refused error }

// A coldTime is how long the target stays cold, if the response tells.
type coldTime struct {
	untilWarm time.Duration
	known     bool
}

func (loadReported) measureResult() {}
func (loadMissing) measureResult()  {}
func (noResponse) measureResult()   {}

// startLoadClient starts the goroutine that measures the load of the target on a separate connection.
func startLoadClient(requests *mail.Box[measureRequest], dialect *header.Dialect, taskInbox *mail.Box[Message], done <-chan struct{}) {
	c := &loadClient{dialect: dialect}
	go func() {
		defer c.close()
		for {
			select {
			case q := <-requests.C():
				var m measureResult = noResponse{}
				guard.Run("measurement of a target", func() { m = c.measure(q) })
				taskInbox.Put(measurement{q.target, m, q.at}, done)
			case <-done:
				return
			}
		}
	}()
}

// A loadClient holds the connection on which the target's load is queried. It is owned by its goroutine.
type loadClient struct {
	dialect *header.Dialect
	target  netip.AddrPort
	stream  net.Conn
	limited *io.LimitedReader // limits what one exchange reads from stream
	reader  *bufio.Reader
}

// measure queries the load, with one retry on a new connection if the existing one fails.
func (c *loadClient) measure(q measureRequest) measureResult {
	reused := c.stream != nil && c.target == q.target
	r, err := c.query(q)
	if err != nil && reused {
		r, err = c.query(q)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return noResponse{refused: err}
	case err != nil:
		return noResponse{}
	}
	var cold coldTime
	cold.untilWarm, cold.known = c.dialect.UntilWarmOf(r.header)
	if r.status >= http.StatusMultipleChoices && cold.untilWarm == 0 {
		// A target that is starting, full or replaced may answer with an error, which does not show that it is warm.
		cold.known = false
	}
	if load, ok := c.dialect.TargetLoad(r.header); ok {
		return loadReported{load, cold}
	}
	return loadMissing{cold}
}

// A healthResponse is the response to a health check without its body.
type healthResponse struct {
	header http.Header
	status int
}

func (c *loadClient) query(q measureRequest) (healthResponse, error) {
	if c.stream == nil || c.target != q.target {
		if err := c.dial(q.target); err != nil {
			return healthResponse{}, err
		}
	}
	r, err := c.exchange(q)
	if err != nil {
		c.close()
	}
	return r, err
}

func (c *loadClient) dial(target netip.AddrPort) error {
	c.close()
	ctx, cancel := context.WithTimeout(context.Background(), measureTimeout)
	defer cancel()
	var d net.Dialer
	stream, err := d.DialContext(ctx, "tcp", target.String())
	if err != nil {
		return errors.Trace(err)
	}
	c.target, c.stream, c.limited = target, stream, &io.LimitedReader{R: stream}
	c.reader = bufio.NewReader(c.limited)
	return nil
}

func (c *loadClient) exchange(q measureRequest) (healthResponse, error) {
	if err := c.stream.SetDeadline(time.Now().Add(measureTimeout)); err != nil {
		return healthResponse{}, errors.Trace(err)
	}
	if _, err := c.stream.Write([]byte("GET " + q.path + " HTTP/1.1\r\nHost: " + q.target.String() + "\r\n\r\n")); err != nil {
		return healthResponse{}, errors.Trace(err)
	}
	c.limited.N = maxHealthHeader + maxHealthBody
	r, err := readFinal(c.reader, nil)
	if err != nil {
		return healthResponse{}, errors.Trace(err)
	}
	if !call.IsFinalStatus(r.StatusCode) {
		return healthResponse{}, errors.NotValidf("status %q of the health path", r.Status)
	}
	r.Body = io.NopCloser(r.Body) // closing the original body would read the rest of it
	defer r.Body.Close()
	if r.ContentLength < 0 || r.ContentLength > maxHealthBody || r.Close {
		c.close()
		return healthResponse{r.Header, r.StatusCode}, nil
	}
	_, err = c.reader.Discard(int(r.ContentLength))
	if c.reader.Buffered() > 0 {
		// Bytes after the response would be taken for the response to the next request.
		c.close()
	}
	return healthResponse{r.Header, r.StatusCode}, errors.Trace(err)
}

func (c *loadClient) close() {
	if c.stream != nil {
		// The connection carries no call, so an error on close loses nothing.
		_ = c.stream.Close()
		c.stream = nil
	}
}

// measure starts a measurement of the target's load if the service has a health path.
func (t *Task) measure() {
	if t.checking {
		// Its response contains the load as well.
		return
	}
	if t.target.HealthPath == "" || !t.measureRequests.TryPut(measureRequest{t.target.Address, t.target.HealthPath, t.clock.Now()}) {
		// 0 means unknown.
		t.gate.RecordSlowness(0, t.clock.Now())
		return
	}
	t.onMeasure()
}

// handleMeasurement passes the result of a measurement to the gate. For a target that reports no load, the gate asks
// for no measurement until the response to a call contains a load: a request to the health path may wait for a free
// slot of the target, and each call would wait for that measurement.
func (t *Task) handleMeasurement(m measurement) {
	t.checking = false
	if !t.hasTarget || m.target != t.target.Address {
		return
	}
	now := t.clock.Now()
	var cold coldTime
	switch r := m.result.(type) {
	case loadReported:
		t.gate.RecordSlowness(r.load.Slowness, now)
		cold = r.coldTime
	case loadMissing:
		// 0 means unknown.
		t.gate.RecordSlowness(0, now)
		cold = r.coldTime
	case noResponse:
		// 1 is the usual speed, so that calls do not wait for a target whose health path does not respond.
		t.gate.RecordSlowness(1, now)
		if r.refused != nil && t.coldLimit.Enabled() && !t.down {
			// The target is probed from now on, so that its start is observed even if it gets no calls.
			t.markDown(r.refused, now)
		}
	}
	t.recordColdTime(cold, m.requestedAt, now)
	t.advanceGate(now)
}
