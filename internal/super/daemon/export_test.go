package daemon

import (
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/router"
)

// FailTask makes a task, given by its name in logs, panic by sending it a request without a reply mailbox.
func (d *Daemon) FailTask(task string) {
	switch task {
	case "router":
		d.shared.router.TryPut(router.IssueKey{Service: "no such service"})
	case "local":
		d.shared.local.TryPut(local.LoadRequest{})
	case "keeper":
		d.shared.gossip.TryPut(gossip.StatusRequest{})
	}
}

// AddTask adds a task to the edge supervisor.
func (d *Daemon) AddTask(c tree.Child) { d.supervisors.edge.Add(c) }
