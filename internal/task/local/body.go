package local

import (
	"bytes"
	"context"
	"io"

	"github.com/juju/errors"
)

const (
	// smallBody is the size in bytes up to which bodies are read without a slot of bodyReader.large.
	smallBody = 256 << 10
	// largeBodies is the number of bodies above smallBody that are read at once. A target that sends bytes without end
	// thus takes that many times the limit of one body, however many calls it runs.
	largeBodies = 2
	// bodyChunk is the size in bytes of the parts in which a body is read, and firstChunk that of the first part of a body
	// of unknown length.
	bodyChunk  = 64 << 10
	firstChunk = 4 << 10
	// freeChunks is the number of parts that are kept for the next bodies, 4 MiB. Without them, targets that send bytes
	// without end leave garbage faster than it is collected on a busy VM.
	freeChunks = 64
)

// errBodyTooLarge says that a body exceeds the limit.
const errBodyTooLarge = errors.ConstError("the response body exceeds the limit")

// A bodyReader reads the bodies of the responses of a target. It is safe for concurrent use.
type bodyReader struct {
	maxBody int
	large   chan struct{}
	// free holds parts of size bodyChunk that no body uses any more.
	free chan []byte
}

func newBodyReader(maxBody int) *bodyReader {
	return &bodyReader{maxBody: maxBody, large: make(chan struct{}, largeBodies), free: make(chan []byte, freeChunks)}
}

// read reads a body up to its end. length is the declared length, or negative if there is none. The body ends with
// errBodyTooLarge as soon as it is known to exceed the limit.
func (b *bodyReader) read(ctx context.Context, r io.Reader, length int64) ([]byte, error) {
	if length > int64(b.maxBody) {
		return nil, errBodyTooLarge
	}
	var chunks [][]byte
	defer func() { b.release(chunks) }()
	chunk, total, hasSlot := make([]byte, 0, chunkSize(0, length)), 0, false
	for {
		if total >= smallBody && !hasSlot {
			select {
			case b.large <- struct{}{}:
			case <-ctx.Done():
				return nil, errors.Trace(ctx.Err())
			}
			hasSlot = true
			defer func() { <-b.large }()
		}
		if len(chunk) == cap(chunk) {
			chunks = append(chunks, chunk)
			chunk = b.newChunk(chunkSize(total, length))
		}
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		total += n
		switch {
		case total > b.maxBody:
			return nil, errBodyTooLarge
		case err == io.EOF:
			if len(chunks) == 0 {
				return chunk, nil
			}
			return bytes.Join(append(chunks, chunk), nil), nil
		case err != nil:
			// This includes io.ErrUnexpectedEOF, which is the end of a truncated body.
			return nil, err
		}
	}
}

// chunkSize returns the size of the next part of a body of which total bytes have been read.
func chunkSize(total int, length int64) int {
	if length >= 0 {
		// The last read finds only the end of the body.
		return int(max(1, min(length-int64(total), bodyChunk)))
	}
	if total == 0 {
		return firstChunk
	}
	return bodyChunk
}

// newChunk returns an empty part with room for size bytes.
func (b *bodyReader) newChunk(size int) []byte {
	if size == bodyChunk {
		select {
		case chunk := <-b.free:
			return chunk
		default:
		}
	}
	return make([]byte, 0, size)
}

// release keeps parts that no body uses any more for the next bodies.
func (b *bodyReader) release(chunks [][]byte) {
	for _, c := range chunks {
		if cap(c) != bodyChunk {
			continue
		}
		select {
		case b.free <- c[:0]:
		default:
			return
		}
	}
}

// A readBody is the body of a response that has been read already, or the error of that read.
type readBody struct {
	io.Reader
	body []byte
	err  error
}

func newReadBody(body []byte, err error) *readBody {
	return &readBody{Reader: bytes.NewReader(body), body: body, err: err}
}

// Close implements io.Closer.
func (*readBody) Close() error { return nil }
