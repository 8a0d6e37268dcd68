package daemon

import (
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/router"
)

// FailTask makes a task panic by sending it a request without a reply mailbox.
func (d *Daemon) FailTask(task string) {
	switch task {
	case "router":
		d.mailboxes.router.TryPut(router.IssueKey{Service: "no such service"})
	case "local":
		d.mailboxes.local.TryPut(local.LoadRequest{})
	case "gossip":
		d.mailboxes.gossip.TryPut(gossip.StatusRequest{})
	}
}

// AddTask adds a task to the edge supervisor.
func (d *Daemon) AddTask(c tree.Child) { d.parts.edge.Add(c) }
