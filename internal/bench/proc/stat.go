package proc

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// clockTick is the unit of CPU time in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// Usage is the CPU time and the resident memory, in bytes, of a process.
type Usage struct {
	CPU           time.Duration
	ResidentBytes int64
}

// ReadUsage reads the resource usage of a process.
func ReadUsage(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Annotate(err, "read resource usage of process")
	}
	// The second field is the program name in parentheses, which may contain spaces. The fields are counted from the
	// one after it, the process state.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, errors.Errorf("/proc/%d/stat has %d fields after the program name (want at least 22)", pid, len(fields))
	}
	var n [3]int64
	for i, f := range []int{user, system, resident} {
		if n[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return Usage{}, errors.Annotatef(err, "read /proc/%d/stat", pid)
		}
	}
	return Usage{CPU: time.Duration(n[0]+n[1]) * clockTick, ResidentBytes: n[2] * int64(os.Getpagesize())}, nil
}

// SocketOwner returns which of the processes owns the TCP connection from a local to a remote address.
func SocketOwner(local, remote netip.AddrPort, pids []int) (int, bool) {
	inode, ok := socketInode(local, remote)
	if !ok {
		return 0, false
	}
	for _, pid := range pids {
		links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		if err != nil {
			continue
		}
		for _, l := range links {
			if to, err := os.Readlink(l); err == nil && to == "socket:["+inode+"]" {
				return pid, true
			}
		}
	}
	return 0, false
}

// socketInode returns the inode of the socket of a TCP connection. It compares both addresses because connections to
// different remote addresses may share a local port.
func socketInode(local, remote netip.AddrPort) (string, bool) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	wantLocal, wantRemote := procAddress(local), procAddress(remote)
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == wantLocal && f[2] == wantRemote {
			return f[9], true
		}
	}
	return "", false
}

// procAddress formats an address as in /proc/net/tcp, which prints an IPv4 address as one little-endian number.
func procAddress(p netip.AddrPort) string {
	a := p.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(a[:]), p.Port())
}
