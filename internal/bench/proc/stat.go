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

// tick is the unit of processor time in /proc/PID/stat on Linux.
const tick = 10 * time.Millisecond

// Usage is what a process has used.
type Usage struct {
	CPU      time.Duration
	Resident int64
}

// ReadUsage reads the usage of a process.
func ReadUsage(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Annotate(err, "read usage")
	}
	// The name of the program, in parentheses, may hold spaces. State is the first field after it.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, errors.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var n [3]int64
	for i, f := range []int{user, system, resident} {
		if n[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return Usage{}, errors.Annotatef(err, "read /proc/%d/stat", pid)
		}
	}
	return Usage{CPU: time.Duration(n[0]+n[1]) * tick, Resident: n[2] * int64(os.Getpagesize())}, nil
}

// SocketOwner returns which of the processes holds the connection from a local to a remote address.
func SocketOwner(local, remote netip.AddrPort, pids []int) (int, bool) {
	inode, ok := inodeOf(local, remote)
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

// inodeOf compares both addresses: connections to different addresses may share a local port.
func inodeOf(local, remote netip.AddrPort) (string, bool) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	wantLocal, wantRemote := kernelForm(local), kernelForm(remote)
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == wantLocal && f[2] == wantRemote {
			return f[9], true
		}
	}
	return "", false
}

// kernelForm returns an address as /proc/net/tcp has it: IPv4 addresses are printed as one little-endian number.
func kernelForm(p netip.AddrPort) string {
	a := p.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(a[:]), p.Port())
}
