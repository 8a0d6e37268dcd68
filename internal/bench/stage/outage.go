package stage

import (
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/super/tree"
)

// endTimeout bounds the wait for killed processes.
const endTimeout = 10 * time.Second

// End kills the daemon processes of members. They stay away until StartAgain.
func (s *Stage) End(members []*Member) error {
	var pids []int
	for _, m := range members {
		pid, ok := m.PID()
		if !ok || !m.Daemon.TryPut(proc.End{}) {
			return errors.Errorf("the daemon on %s does not run", m.VM)
		}
		pids = append(pids, pid)
	}
	until := time.Now().Add(endTimeout)
	for _, pid := range pids {
		for {
			if _, err := proc.ReadUsage(pid); err != nil {
				break
			}
			if time.Now().After(until) {
				return errors.Timeoutf("end of process %d", pid)
			}
			time.Sleep(pollGap)
		}
	}
	return nil
}

// StartAgain starts the daemons of members that were ended, with empty memory.
func (s *Stage) StartAgain(members []*Member) error {
	var children []tree.Child
	for _, m := range members {
		d, ok, err := s.daemonChild(m)
		if err != nil {
			return err
		}
		if ok {
			children = append(children, d)
		}
	}
	s.daemons = append(s.daemons, newBranch("daemons", children))
	return nil
}
