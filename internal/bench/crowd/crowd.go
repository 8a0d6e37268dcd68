// Package crowd opens many connections to one daemon process that misbehave, and observes the process.
package crowd

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// pieceDelay is the time between two writes of a client that sends slowly.
const pieceDelay = 20 * time.Millisecond

// slowRead is the receive buffer of a client that reads slowly, in bytes.
const slowRead = 4096

// A Crowd is a number of clients that all do the same.
type Crowd struct {
	Name    string
	Clients int
	// Text returns what a client sends to a path. The connection stays open afterwards.
	Text func(path string) string
	// Piece is the largest number of bytes of a write. 0 sends all at once.
	Piece int
	// Slow makes a client wait between writes.
	Slow bool
	// Endless makes a client send the last RepeatBytes of the text again and again.
	Endless     bool
	RepeatBytes int
	// ReadsSlowly makes a client read a few bytes now and then. Without it, a client reads nothing.
	ReadsSlowly bool
}

// Run opens the connections of a crowd to an address and sends until done or until the context ends. The result waits until
// every client that does not send slowly or without end has sent all, or cannot go on, and at most for patience.
func (c *Crowd) Run(ctx context.Context, at netip.AddrPort, path string, patience time.Duration) (stop func()) {
	var clients, sent sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	text := c.Text(path)
	sent.Add(c.Clients)
	for range c.Clients {
		clients.Go(func() {
			done := sync.OnceFunc(sent.Done)
			defer done()
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", at.String())
			if err != nil {
				return
			}
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			defer conn.Close()
			if c.Slow || c.Endless {
				done()
			}
			if c.ReadsSlowly {
				clients.Go(func() { readSlowly(ctx, conn) })
			}
			c.send(ctx, conn, text)
			done()
			<-ctx.Done()
		})
	}
	all := make(chan struct{})
	go func() {
		sent.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(patience):
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

func readSlowly(ctx context.Context, conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowRead)
	}
	for b := make([]byte, slowRead/64); ctx.Err() == nil; time.Sleep(pieceDelay) {
		if _, err := conn.Read(b); err != nil {
			return
		}
	}
}

func (c *Crowd) send(ctx context.Context, conn net.Conn, text string) {
	for {
		rest := text
		for len(rest) > 0 {
			n := len(rest)
			if c.Piece > 0 {
				n = min(n, c.Piece)
			}
			if _, err := conn.Write([]byte(rest[:n])); err != nil {
				return
			}
			rest = rest[n:]
			if c.Slow {
				select {
				case <-time.After(pieceDelay):
				case <-ctx.Done():
					return
				}
			}
		}
		if !c.Endless {
			return
		}
		text = text[len(text)-c.RepeatBytes:]
	}
}

// body is the size in bytes of the bodies that the crowds send, just below the limit that the settings of the test set.
const body = 1<<20 - 1

func post(path, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + fields + "\r\n"
}

func get(path, fields string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + fields + "\r\n"
}

// shortFields returns fields of different names that take at most size bytes.
func shortFields(size int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len()+len("xxx:\r\n") <= size; i++ {
		b.WriteString(string([]byte{digits[i/676%26], digits[i/26%26], digits[i%26]}) + ":\r\n")
	}
	return b.String()
}

const (
	withLength = "Content-Length: 1048576\r\n"
	chunked    = "Transfer-Encoding: chunked\r\n"
)

// Crowds returns what untrusted clients do.
func Crowds() []Crowd {
	x := strings.Repeat("x", body)
	return []Crowd{
		{Name: "bodies in one piece", Clients: 150, Text: func(p string) string { return post(p, withLength) + x }},
		{Name: "bodies in small pieces", Clients: 40, Piece: 4096, Text: func(p string) string { return post(p, withLength) + x }},
		{Name: "bodies in one chunk", Clients: 150, Text: func(p string) string { return post(p, chunked) + "100000\r\n" + x }},
		{Name: "bodies in many chunks", Clients: 150, Text: func(p string) string {
			return post(p, chunked) + strings.Repeat("400\r\n"+x[:1024]+"\r\n", 1000)
		}},
		{Name: "bodies over the limit", Clients: 30, Endless: true, RepeatBytes: 64 << 10, Text: func(p string) string {
			return post(p, "Content-Length: 99999999999\r\n") + x
		}},
		{Name: "a chunk over the limit", Clients: 30, Endless: true, RepeatBytes: 64 << 10, Text: func(p string) string {
			return post(p, chunked) + "fffffffff\r\n" + x
		}},
		{Name: "many short fields", Clients: 100, Text: func(p string) string {
			return strings.Repeat(get(p, shortFields(16_000)), 8) + post(p, withLength+shortFields(16_000))
		}},
		{Name: "requests ahead", Clients: 100, Text: func(p string) string { return strings.Repeat(get(p, ""), 5000) }},
		{Name: "heads without an end", Clients: 100, Endless: true, RepeatBytes: 6, Text: func(p string) string {
			return strings.TrimSuffix(get(p, strings.Repeat("abc:\r\n", 10_000)), "\r\n")
		}},
		{Name: "slow senders", Clients: 600, Piece: 1, Slow: true, Text: func(p string) string { return get(p, shortFields(16_000)) }},
		{Name: "slow readers", Clients: 100, ReadsSlowly: true, Text: func(p string) string { return strings.Repeat(get(p, ""), 500) }},
		{Name: "half a head", Clients: 600, Text: func(p string) string { return "GET " + p + " HTTP/1.1\r\nHost" }},
		{Name: "nothing", Clients: 600, Text: func(string) string { return "" }},
	}
}

// PeerCrowds returns what untrusted clients do at the address for peers. A frame of the multiplexing protocol has a version,
// a type, flags, a stream and a length. The first stream carries messages with their length before them.
func PeerCrowds() []Crowd {
	const open, data = "\x00\x01\x00\x01\x00\x00\x00\x01\x00\x00\x00\x00", "\x00\x00\x00\x00\x00\x00\x00\x01"
	return []Crowd{
		{Name: "nothing", Clients: 600, Text: func(string) string { return "" }},
		{Name: "half a frame", Clients: 600, Text: func(string) string { return open[:7] }},
		{Name: "a stream without a message", Clients: 600, Text: func(string) string { return open }},
		{Name: "half a message", Clients: 600, Text: func(string) string { return open + data + "\x00\x00\x00\x08" + "\x00\x00\x0f\x00half" }},
		{Name: "a message too large", Clients: 600, Text: func(string) string { return open + data + "\x00\x00\x00\x08" + "\xff\xff\xff\xffhalf" }},
		{Name: "a frame too large", Clients: 150, Text: func(string) string { return open + data + "\x7f\xff\xff\xff" + strings.Repeat("x", body) }},
		{Name: "no frame", Clients: 150, Text: func(string) string { return strings.Repeat("x", body) }},
	}
}
