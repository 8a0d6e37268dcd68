package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio"

	"jacinthcross/internal/base/limit"
	"jacinthcross/internal/base/quota"
)

// decodeChunks decodes a chunked body that arrives in pieces of a size.
func decodeChunks(data []byte, size int) (body, rest []byte, complete bool, err error) {
	task := &Task{quota: quota.New(1 << 20), limitReporter: limit.NewReporter(func(limit.Name, int) {})}
	task.memory = task.quota.NewAccount()
	d := bodyDecoder{chunked: true, maxBody: 1 << 10, part: partSize, reader: &requestReader{task: task, connection: &connection{task: task}, socket: &nbio.Conn{}}}
	for len(data) > 0 && !complete && err == nil {
		n := min(size, len(data))
		rest, complete, err = d.decode(data[:n])
		rest, data = append(bytes.Clone(rest), data[n:]...), data[n:]
	}
	return d.body, rest, complete, err
}

// FuzzChunks guards against bodies that depend on the split into packets, and against accepting what the standard library
// reads in another way: the end of the body decides where the next request begins.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{
		"0\r\n\r\n", "5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.1\r\n", "5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n", "05 \r\nhello\r\n0\r\n\r\n", "A\r\n0123456789\r\n00\r\n\r\n",
		"5\nhello\n0\n\n", "+5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n", "5\r\nhello0\r\n\r\n", "ffffffffffffffffffff\r\n", "400\r\n", "401\r\n", ";\r\n", "\r\n",
		"1\r\na\rb\r\n", "0\r\nX\r\n\r\n", "0\r\n X: y\r\n\r\n", "1_0\r\n", "5\t\r\nhello\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		body, rest, complete, err := decodeChunks(data, len(data))
		for _, size := range []int{1, 3} {
			b, r, c, e := decodeChunks(data, size)
			qt.Assert(t, c, qt.Equals, complete)
			qt.Assert(t, e != nil, qt.Equals, err != nil)
			if complete {
				qt.Assert(t, string(b), qt.Equals, string(body))
				qt.Assert(t, string(r), qt.Equals, string(rest))
			}
		}
		if !complete {
			return
		}
		whole := append([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"), data...)
		in := bufio.NewReader(bytes.NewReader(whole))
		request, e := http.ReadRequest(in)
		qt.Assert(t, e, qt.IsNil)
		b, e := io.ReadAll(request.Body)
		if e != nil {
			return // The standard library refuses more.
		}
		qt.Assert(t, string(b), qt.Equals, string(body))
		left, e := io.ReadAll(in)
		qt.Assert(t, e, qt.IsNil)
		qt.Assert(t, string(left), qt.Equals, string(rest))
	})
}
