package deploy

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/proxy"
	"jacinthcross/internal/super/tree"
)

// killTimeout limits the wait for killed processes to exit.
const killTimeout = 10 * time.Second

// KillDaemons kills the daemon processes of members. They are not started again before StartKilledDaemons.
func (c *Cluster) KillDaemons(members []*Member) error {
	var pids []int
	for _, m := range members {
		pid, ok := m.PID()
		if !ok || !m.DaemonInbox.TryPut(proc.KillWithoutRestart{}) {
			return errors.Errorf("the daemon on %s is not running", m.VM)
		}
		pids = append(pids, pid)
	}
	deadline := time.Now().Add(killTimeout)
	for _, pid := range pids {
		for {
			if _, err := proc.ReadUsage(pid); err != nil {
				break
			}
			if time.Now().After(deadline) {
				return errors.Timeoutf("wait for the exit of killed process %d:", pid)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// StartKilledDaemons starts the daemons that KillDaemons killed. They have none of their earlier state.
func (c *Cluster) StartKilledDaemons(members []*Member) error {
	var children []tree.Child
	for _, m := range members {
		d, ok, err := c.daemonChild(m)
		if err != nil {
			return err
		}
		if ok {
			children = append(children, d)
		}
	}
	c.daemonTrees = append(c.daemonTrees, newSubtree("daemons", children))
	return nil
}

// fixedOrigin returns an OriginFunc for connections that all come from one data centre.
func fixedOrigin(dataCentre ident.DataCentre) proxy.OriginFunc {
	return func(netip.AddrPort) ident.DataCentre { return dataCentre }
}

// A configProxy is the proxy through which the daemons of a data centre reach the configuration service.
type configProxy struct {
	address netip.AddrPort
	inbox   *mail.Box[proxy.Message]
}

func (p configProxy) url() string { return "http://" + p.address.String() }

// newConfigProxies creates a proxy to the configuration service for each data centre and returns the tasks to supervise.
func (c *Cluster) newConfigProxies() ([]tree.Child, error) {
	var children []tree.Child
	c.configProxies = map[ident.DataCentre]configProxy{}
	for _, dc := range c.config.Layout.DataCentres {
		listen, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		p := configProxy{listen, proxy.NewInbox()}
		c.configProxies[dc] = p
		children = append(children, tree.Child{Name: "config-proxy-" + string(dc), Start: func() (tree.Task, error) {
			return proxy.New(p.inbox, listen, c.ConfigService.Address(), fixedOrigin(dc), func(ident.DataCentre) time.Duration { return 0 })
		}})
	}
	return children, nil
}

// PartitionNetwork simulates a network partition: it silences the connections of the isolated data centres to the other
// data centres and to the configuration service. An empty set ends the partition.
func (c *Cluster) PartitionNetwork(isolated map[ident.DataCentre]bool) {
	rest := map[ident.DataCentre]bool{}
	for _, dc := range c.config.Layout.DataCentres {
		if len(isolated) > 0 && !isolated[dc] {
			rest[dc] = true
		}
	}
	for _, m := range c.Members {
		from := isolated
		if isolated[m.DataCentre] {
			from = rest
		}
		m.ProxyInbox.TryPut(proxy.SilenceOrigins{From: from})
	}
	for _, p := range c.configProxies {
		p.inbox.TryPut(proxy.SilenceOrigins{From: isolated})
	}
}
