package front

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/wire/header"
)

// maxChunkLine is the maximum size in bytes of the line with the size of a chunk, extensions included.
const maxChunkLine = 256

// A chunkPart is a part of a chunked body.
type chunkPart string

const (
	partSize    chunkPart = "Size"
	partData    chunkPart = "Data"
	partEnd     chunkPart = "End" // the line break after the data of a chunk
	partTrailer chunkPart = "Trailer"
)

// A bodyDecoder collects the body of one request as its bytes arrive. Its memory grows with the bytes received, so that a
// length that is only announced takes none.
type bodyDecoder struct {
	chunked bool
	// remaining is the number of bytes that are still to come, of the body or of the current chunk.
	remaining int
	maxBody   int
	part      chunkPart
	// line is the received part of an incomplete line, and trailer the size of the trailer so far.
	line    []byte
	trailer int
	body    []byte
	// reader reserves the memory of a chunked body. That of a body with a length has been reserved before.
	reader *requestReader
}

// decode processes received bytes. It returns the bytes behind the body if the body is complete.
func (d *bodyDecoder) decode(data []byte) (rest []byte, complete bool, err error) {
	if !d.chunked {
		n := min(len(data), d.remaining)
		d.grow(n, lengthGrowth, len(d.body)+d.remaining)
		d.body = append(d.body, data[:n]...)
		d.remaining -= n
		return data[n:], d.remaining == 0, nil
	}
	for len(data) > 0 {
		if d.part == partData {
			if data, err = d.decodeData(data); err != nil {
				return nil, false, err
			}
			continue
		}
		var line string
		var ended bool
		if line, data, ended, err = d.readLine(data); err != nil || !ended {
			return nil, false, err
		}
		if complete, err = d.decodeLine(line); err != nil || complete {
			return data, complete, err
		}
	}
	return nil, false, nil
}

// The capacity of a body grows by these factors. All memory for a body with a length is reserved, so a large one grows to
// its length after the first megabyte or so, and is not copied again.
const (
	lengthGrowth = 64
	chunkGrowth  = 2
)

// grow makes room for n more bytes, but not for more than total.
func (d *bodyDecoder) grow(n, factor, total int) {
	need := len(d.body) + n
	if need <= cap(d.body) {
		return
	}
	size := max(need, min(factor*cap(d.body), total))
	d.reader.task.collectBefore(size)
	body := make([]byte, len(d.body), size)
	copy(body, d.body)
	d.body = body
}

func (d *bodyDecoder) decodeData(data []byte) (rest []byte, err error) {
	n := min(len(data), d.remaining)
	before := cap(d.body)
	if need := len(d.body) + n; need > before {
		if err := d.reader.reserveChunk(max(need, min(chunkGrowth*before, d.maxBody)) - before); err != nil {
			return nil, err
		}
		d.grow(n, chunkGrowth, d.maxBody)
	}
	d.body = append(d.body, data[:n]...)
	if d.remaining -= n; d.remaining == 0 {
		d.part = partEnd
	}
	return data[n:], nil
}

// readLine returns the next line without its end, or false if it is incomplete.
func (d *bodyDecoder) readLine(data []byte) (line string, rest []byte, ended bool, err error) {
	limit := maxChunkLine
	switch d.part {
	case partEnd:
		limit = len("\r\n")
	case partTrailer:
		limit = maxTrailer - d.trailer
	case partSize, partData:
	}
	end := bytes.IndexByte(data, '\n')
	n := end + 1
	if end < 0 {
		n = len(data)
	}
	if len(d.line)+n > limit {
		return "", nil, false, errors.NotValidf("a line of %d bytes in the coding of the body is", len(d.line)+n)
	}
	d.line = append(d.line, data[:n]...)
	if end < 0 {
		return "", nil, false, nil
	}
	line, ended = strings.CutSuffix(string(d.line), "\r\n")
	d.line = d.line[:0]
	if !ended || !header.ValidValue(line) {
		return "", nil, false, errors.NotValidf("a line with a control character in the coding of the body is")
	}
	return line, data[n:], true, nil
}

// maxTrailer is the maximum size in bytes of the trailer, which is discarded.
const maxTrailer = 16 << 10

// decodeLine processes a line between the data of chunks, and returns true after the last one.
func (d *bodyDecoder) decodeLine(line string) (complete bool, err error) {
	switch d.part {
	case partEnd:
		if line != "" {
			return false, errors.NotValidf("a chunk that is longer than its size is")
		}
		d.part = partSize
	case partTrailer:
		if line == "" {
			return true, nil
		}
		d.trailer += len(line) + len("\r\n")
		_, _, err = splitField(line)
	case partSize, partData:
		err = d.beginChunk(line)
	}
	return false, err
}

func (d *bodyDecoder) beginChunk(line string) error {
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(digits, 16, 62)
	if err != nil || strings.ContainsAny(digits, "+_") {
		return errors.NotValidf("chunk size %q is", digits)
	}
	switch {
	case size == 0:
		d.part = partTrailer
	case size > uint64(d.maxBody-len(d.body)):
		return errs.New(errs.BodyTooLarge, "the body may have at most "+strconv.Itoa(d.maxBody)+" bytes")
	default:
		d.part, d.remaining = partData, int(size)
	}
	return nil
}
