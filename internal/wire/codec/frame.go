package codec

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"jacinthcross/internal/wire/peerpb"
)

// prefixBytes is the size of the length prefix of a message.
const prefixBytes = 4

// maxWriteBytes is the largest part of a message that is written at once. A larger message is written in parts, so that
// messages of other streams of a connection pass between them.
const maxWriteBytes = 16 << 10

// Write writes one message, with a single call of w.Write unless it is large. Deadlines are encoded as the time that
// remains at now.
func Write(w io.Writer, m Message, now time.Time) (int, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, prefixBytes), encode(m, now))
	if err != nil {
		return 0, errors.Annotate(err, "encode message")
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-prefixBytes))
	written := 0
	for {
		n, err := w.Write(b[written:min(written+maxWriteBytes, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, errors.Annotate(err, "write message")
		}
	}
}

// Read reads one message of at most limit bytes. Deadlines are relative to the result of now, which Read calls after
// it has received the message.
func Read(r io.Reader, limit int, now func() time.Time) (Message, int, error) {
	var header [prefixBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, errors.Annotate(err, "read message length")
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	if n > limit {
		return nil, 0, errors.NotValidf("message of %d bytes (limit %d bytes)", n, limit)
	}
	b, err := readBytes(r, n)
	if err != nil {
		return nil, 0, errors.Annotate(err, "read message")
	}
	m, err := Decode(b, now())
	return m, prefixBytes + n, err
}

const (
	// firstRead is the size in bytes up to which memory is allocated for a message before its bytes have arrived.
	firstRead = 64 << 10
	// readGrowth is the factor by which the memory grows. Copies of a large message would take more than the message.
	readGrowth = 16
)

// readBytes reads n bytes. Its memory grows with the bytes received, so that a length that is only announced takes none.
func readBytes(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, min(n, firstRead))
	for read := 0; ; {
		m, err := io.ReadFull(r, b[read:])
		if read += m; err != nil || read == n {
			return b, err
		}
		larger := make([]byte, min(n, readGrowth*read))
		copy(larger, b)
		b = larger
	}
}

// Decode decodes a message without its length prefix.
func Decode(b []byte, now time.Time) (Message, error) {
	e := &peerpb.Envelope{}
	if err := proto.Unmarshal(b, e); err != nil {
		return nil, errors.Annotate(err, "decode message")
	}
	return decode(e, now)
}

// EncodedSize returns the number of bytes that Write writes for a message, including the length prefix.
func EncodedSize(m Message, now time.Time) int {
	return prefixBytes + proto.Size(encode(m, now))
}
