package daemon

import (
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/router"
)

// Fail makes a task panic: it has no mailbox for its answer.
func (d *Daemon) Fail(task string) {
	switch task {
	case "router":
		d.boxes.router.TryPut(router.IssueKey{Service: "no such service"})
	case "local":
		d.boxes.local.TryPut(local.LoadAsk{})
	case "keeper":
		d.boxes.keeper.TryPut(keeper.StatusAsk{})
	}
}

// AddTask adds a task to the part that takes calls.
func (d *Daemon) AddTask(c tree.Child) { d.parts.edge.Add(c) }
