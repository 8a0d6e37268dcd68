package daemon

import (
	"math"
	"runtime/debug"
	"syscall"

	"jacinthcross/internal/cli/conf"
)

// connectionLimits divide the descriptors of the process. The rest, a tenth, is left to the connections to the target,
// which are at most some 100, the store and files.
type connectionLimits struct {
	callers, peers int
	// operators is the limit at each of Listen.Admin and Listen.Ready.
	operators int
}

// Parts of the descriptors. Callers of two large services open 520 connections, and the largest fleets have 1,800 peers.
const (
	maxCallers      = 10_000
	callersPercent  = 40
	peersPercent    = 40
	operatorPercent = 5
	maxOperators    = 64
)

// newConnectionLimits returns the limits for a process that may open a number of descriptors.
func newConnectionLimits(s *conf.Settings, descriptors int) connectionLimits {
	l := connectionLimits{
		callers:   min(maxCallers, descriptors*callersPercent/100),
		peers:     descriptors * peersPercent / 100,
		operators: min(maxOperators, descriptors*operatorPercent/100),
	}
	if s.MaxConnections > 0 {
		l.callers = min(l.callers, s.MaxConnections)
	}
	return l
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit(s *conf.Settings) int {
	n := math.MaxInt32
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err == nil && l.Cur < uint64(n) {
		n = int(l.Cur)
	}
	if s.MaxDescriptors > 0 {
		n = min(n, s.MaxDescriptors)
	}
	return n
}

// limitHeap makes the runtime collect garbage earlier when the process takes half of the memory of the VM, which the target
// shares. The heap may otherwise grow to twice what is in use.
func limitHeap(s *conf.Settings) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) * 1_000_000 / 2)
	}
}
