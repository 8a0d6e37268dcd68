package codec

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"jacinthcross/internal/wire/peerpb"
)

const lengthBytes = 4

// Write writes one message in a single call of w. Deadlines become the time that remains at now.
func Write(w io.Writer, m Message, now time.Time) (int, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthBytes), encode(m, now))
	if err != nil {
		return 0, errors.Annotate(err, "encode message")
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthBytes))
	n, err := w.Write(b)
	return n, errors.Annotate(err, "write message")
}

// Read reads one message of at most limit bytes. Deadlines count from now, the time after the read.
func Read(r io.Reader, limit int, now func() time.Time) (Message, int, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, errors.Annotate(err, "read length")
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	if n > limit {
		return nil, 0, errors.NotValidf("message of %d bytes (at most %d)", n, limit)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, 0, errors.Annotate(err, "read message")
	}
	m, err := Decode(b, now())
	return m, lengthBytes + n, err
}

// Decode reads a message from its bytes.
func Decode(b []byte, now time.Time) (Message, error) {
	e := &peerpb.Envelope{}
	if err := proto.Unmarshal(b, e); err != nil {
		return nil, errors.Annotate(err, "decode message")
	}
	return decode(e, now)
}

// Size returns the number of bytes that Write writes for a message.
func Size(m Message, now time.Time) int {
	return lengthBytes + proto.Size(encode(m, now))
}
