package daemon

import (
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
