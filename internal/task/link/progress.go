package link

import (
	"net"

	"golang.org/x/sys/unix"
)

// A Progress is how far the bytes of a connection have got.
type Progress struct {
	// Received counts the bytes received.
	Received int64
	// Acknowledged counts the bytes sent that the kernel of the peer has acknowledged. If the kernel here does not tell, it
	// counts the bytes that the kernel here has accepted.
	Acknowledged int64
	// PingAcknowledged is true if the last ping is among the acknowledged bytes.
	PingAcknowledged bool
}

// busyBytes is the least number of bytes between two checks that counts as a busy connection. Pings and small
// messages stay below it, so that a peer that sends but does not receive is not taken for a busy one.
const busyBytes = 4 << 10

// A PingCheck decides whether a peer that has not answered a ping in time is silent, or whether the ping or its answer
// waits behind other bytes. It is used at the end of each ping timeout.
type PingCheck struct {
	last Progress
	// waits is true if the ping had not been acknowledged at the last check, and extended is true if the timeout was
	// extended after it was.
	waits, extended bool
}

// NewPingCheck returns the check of a ping that is sent at a Progress.
func NewPingCheck(at Progress) PingCheck { return PingCheck{last: at} }

// IsBusy reports whether to wait for another ping timeout. A ping that has not reached the peer waits as long as bytes
// do. From when it has, a peer that gets many bytes has one more timeout to answer, since some may wait on the way behind
// their acknowledgement. This detects a peer whose process is frozen while its kernel still acknowledges bytes. After
// that, only many bytes from the peer may delay the answer.
func (c *PingCheck) IsBusy(now Progress) bool {
	last, waited := c.last, c.waits
	c.last, c.waits = now, !now.PingAcknowledged
	switch {
	case c.waits:
		return now.Acknowledged > last.Acknowledged
	case !c.extended && (waited || now.Acknowledged-last.Acknowledged >= busyBytes):
		c.extended = true
		return true
	}
	return now.Received-last.Received >= busyBytes
}

// Progress returns the progress of the connection.
func (s *Session) Progress() Progress {
	c := s.conn
	p := Progress{Received: c.receivedBytes.Load(), Acknowledged: c.acknowledged()}
	ping := c.pingEnd.Load()
	p.PingAcknowledged = ping > 0 && p.Acknowledged >= ping
	return p
}

// acknowledged returns the number of sent bytes that the peer's kernel has acknowledged, as far as known.
func (c *frameConn) acknowledged() int64 {
	acknowledged := c.written.Load()
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return acknowledged
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return acknowledged
	}
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acknowledged = int64(info.Bytes_acked)
		}
	}); err != nil {
		return acknowledged
	}
	return acknowledged
}

// maxUnsent limits the bytes that wait in the kernel until they are sent, so that a ping or another message is not
// delayed by megabytes of bodies: 64 KiB take 52 ms at 10 Mbit/s.
const maxUnsent = 64 << 10

// limitUnsent sets maxUnsent. Without it, as on an old kernel, the connection works with longer delays.
func limitUnsent(t *net.TCPConn) {
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
}
