package daemon

import (
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/cli/conf"
	fleet "jacinthcross/internal/fleet/member"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/admin"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/member"
	"jacinthcross/internal/task/router"
	"jacinthcross/internal/task/watch"
	"sync/atomic"
)

// Sizes of the mailboxes. Calls wait in them only while a task works on the message before;
// more than this waiting means that the daemon cannot keep up, and new calls are refused.
const (
	callMailbox    = 4096
	controlMailbox = 256
)

// boxes are the mailboxes of the tasks. They outlive restarts of the tasks.
type boxes struct {
	router *mail.Box[router.Message]
	local  *mail.Box[local.Message]
	links  *mail.Box[links.Message]
	keeper *mail.Box[keeper.Message]
	watch  *mail.Box[watch.Message]
	member *mail.Box[member.Message]
	// announced is the serial that the tasks were told last. A restarted keeper may recover a lower one at first.
	announced atomic.Uint64
}

func newBoxes() *boxes {
	return &boxes{
		router: mail.NewBox[router.Message](callMailbox),
		local:  mail.NewBox[local.Message](callMailbox),
		links:  mail.NewBox[links.Message](callMailbox),
		keeper: mail.NewBox[keeper.Message](controlMailbox),
		watch:  mail.NewBox[watch.Message](controlMailbox),
		member: mail.NewBox[member.Message](controlMailbox),
	}
}

// newTree names the children of each supervisor.
func newTree(s *conf.Settings, version string, b *boxes, m *meter.Meter) *tree.Supervisor {
	hook := tree.WithFailureHook(func(name string, err error) { event.TaskFailed.Log("task", name, "error", err.Error()) })
	server := listen.NewServer(b.local, b.keeper, s.MaxBody+messageOverhead)
	control := tree.NewSupervisor("control", []tree.Child{
		{Name: "keeper", Start: func() (tree.Task, error) { return startKeeper(s, b, m), nil }},
		{Name: "watch", Start: func() (tree.Task, error) { return startWatch(s, b), nil }},
		{Name: "member", Start: func() (tree.Task, error) {
			b.keeper.TryPut(keeper.Announce{})
			return member.New(b.member, func([]fleet.Change) {}), nil
		}},
	}, hook)
	data := tree.NewSupervisor("data", []tree.Child{
		{Name: "local", Start: func() (tree.Task, error) { return startLocal(s, b) }},
		{Name: "links", Start: func() (tree.Task, error) {
			return links.New(b.links, links.WithMaxSize(s.MaxBody+messageOverhead), links.WithServe(server.Session)), nil
		}},
		{Name: "router", Start: func() (tree.Task, error) {
			b.keeper.TryPut(keeper.Announce{})
			return router.New(router.Config{VM: s.VM, DataCentre: s.DataCentre, Inbox: b.router, Local: b.local, Links: b.links}, router.WithMeter(m)), nil
		}},
	}, hook)
	edge := tree.NewSupervisor("edge", []tree.Child{
		{Name: "listen", Start: func() (tree.Task, error) { return listen.New(s.Peers, server) }},
		{Name: "front", Start: func() (tree.Task, error) {
			return front.New(s.Callers, b.router, front.WithMaxBody(s.MaxBody), front.WithMaxHeader(s.MaxHeader))
		}},
		{Name: "admin", Start: func() (tree.Task, error) {
			return admin.New(s.Admin, admin.Config{
				VM: s.VM, DataCentre: s.DataCentre, Version: version, Keeper: b.keeper, Router: b.router, Local: b.local, Member: b.member,
				Metrics: m.Handler(),
			})
		}},
	}, hook)
	root := tree.NewSupervisor("root", nil, hook)
	root.AddSupervisor(control)
	root.AddSupervisor(data)
	root.AddSupervisor(edge)
	return root
}

func startKeeper(s *conf.Settings, b *boxes, m *meter.Meter) tree.Task {
	return keeper.New(keeper.Config{
		VM: s.VM, DataCentre: s.DataCentre, Daemon: s.Peers, Seeds: s.Seeds, Inbox: b.keeper, Links: b.links,
		Announce: b.announce,
		Duty:     func(d keeper.Duty) { b.watch.TryPut(watch.SetDuty{Duty: d}) },
		Listed:   func(vms []relay.ListedVM) { b.member.TryPut(member.Listed{VMs: vms}) },
		Bytes:    m.Control,
	})
}

func startWatch(s *conf.Settings, b *boxes) tree.Task {
	var options []watch.Option
	if s.VMList != "" {
		options = append(options, watch.WithList(watch.NewHTTPReader(s.VMList)))
	}
	return watch.New(b.watch, watch.NewHTTPReader(s.Config), b.keeper, options...)
}

// messageOverhead is the room for headers and fields beside the body in a message between daemons, in bytes.
const messageOverhead = 1 << 20

func startLocal(s *conf.Settings, b *boxes) (tree.Task, error) {
	b.keeper.TryPut(keeper.Announce{})
	return local.New(s.VM, b.local,
		local.WithMaxBody(s.MaxBody),
		local.WithLedgerLimits(ledger.Limits{EpochLength: s.KeyEpoch, MaxEntries: ledgerEntries, MaxBytes: ledgerBytes}),
		local.WithContexts(func(c local.Context) { b.router.TryPut(router.ContextChanged{Context: c}) }),
	)
}

// Bounds of the ledger: 100,000 entries of about 150 bytes, and 16 MiB of answers.
const (
	ledgerEntries = 100_000
	ledgerBytes   = 16 << 20
)

// announce tells the tasks that work by the release of a new one. It reports whether all have room for it.
func (b *boxes) announce(r *note.Release) bool {
	if uint64(r.Head.Serial) < b.announced.Load() {
		return true
	}
	b.announced.Store(uint64(r.Head.Serial))
	toRouter := b.router.TryPut(router.ReleaseChanged{Release: r})
	toLocal := b.local.TryPut(local.ReleaseChanged{Release: r})
	return b.member.TryPut(member.ReleaseChanged{Release: r}) && toRouter && toLocal
}
