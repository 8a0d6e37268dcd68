// Package watch is the task that reads the configuration service and the VM list.
package watch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// A Value is a value of the configuration service.
type Value struct {
	Text    []byte
	Version uint64
}

// A Reader reads the configuration service.
type Reader interface {
	// Read returns the value of key as soon as its version is higher than after, or ErrUnchanged if that does not happen
	// within wait. If key has no value, the error satisfies errors.Is(err, errors.NotFound).
	Read(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
}

// ErrUnchanged is returned when a value did not change while a Reader waited.
var ErrUnchanged = errors.New("value unchanged")

// maxValue is the maximum size of a value that is read, in bytes. It is above note.MaxSnapshotSize.
const maxValue = 1 << 20

// readTimeout is how long a read may take beyond its wait for a change.
const readTimeout = time.Second

// An HTTPReader reads the configuration service over HTTP. It uses the client of the standard library, since the client
// of nbhttp treats a truncated response as an empty response.
type HTTPReader struct {
	base   string
	client *http.Client
}

// NewHTTPReader returns an HTTPReader of the service at base, such as "http://10.0.0.9:8500".
func NewHTTPReader(base string) *HTTPReader {
	return &HTTPReader{base: base, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Read implements Reader.
func (h *HTTPReader) Read(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/v1/values/%s?after=%d&wait=%d", h.base, key, after, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Value{}, errors.Annotatef(err, "read %s", key)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return Value{}, errors.Annotatef(err, "read %s", key)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{}, ErrUnchanged
	case http.StatusNotFound:
		return Value{}, errors.NotFoundf("value %q", key)
	default:
		return Value{}, errors.Errorf("read %s: the configuration service responded with HTTP status %d", key, response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxValue+1))
	if err != nil {
		return Value{}, errors.Annotatef(err, "read %s", key)
	}
	if len(text) > maxValue {
		// NotValidf appends " not valid".
		return Value{}, errors.NotValidf("value %q, which is larger than %d bytes, is", key, maxValue)
	}
	version, err := strconv.ParseUint(response.Header.Get("Value-Version"), 10, 64)
	if err != nil {
		return Value{}, errors.Annotatef(err, "read %s: header Value-Version", key)
	}
	return Value{Text: text, Version: version}, nil
}
