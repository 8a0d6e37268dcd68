package stage

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/delay"
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

// from returns the origin of connections that all come from one data centre.
func from(dataCentre ident.DataCentre) delay.Origin {
	return func(netip.AddrPort) ident.DataCentre { return dataCentre }
}

// A path is the relay through which the daemons of a data centre reach the platform.
type path struct {
	at  netip.AddrPort
	box *mail.Box[delay.Message]
}

func (p path) url() string { return "http://" + p.at.String() }

// platformPaths adds a relay to the platform for each data centre.
func (s *Stage) platformPaths() ([]tree.Child, error) {
	var children []tree.Child
	s.paths = map[ident.DataCentre]path{}
	for _, dc := range s.config.Layout.DataCentres {
		at, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		p := path{at, delay.NewBox()}
		s.paths[dc] = p
		children = append(children, tree.Child{Name: "platform-" + string(dc), Start: func() (tree.Task, error) {
			return delay.New(p.box, at, s.Platform.Address(), from(dc), func(ident.DataCentre) time.Duration { return 0 })
		}})
	}
	return children, nil
}

// Cut silences the connections between a part of the data centres and the others, among which is the platform.
// An empty part ends the cut.
func (s *Stage) Cut(part map[ident.DataCentre]bool) {
	rest := map[ident.DataCentre]bool{}
	for _, dc := range s.config.Layout.DataCentres {
		if len(part) > 0 && !part[dc] {
			rest[dc] = true
		}
	}
	for _, m := range s.Members {
		from := part
		if part[m.DataCentre] {
			from = rest
		}
		m.Links.TryPut(delay.Cut{From: from})
	}
	for _, p := range s.paths {
		p.box.TryPut(delay.Cut{From: part})
	}
}
