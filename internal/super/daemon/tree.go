package daemon

import (
	"sync/atomic"
	"time"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/fleet/follow"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/policy/crash"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/admin"
	"jacinthcross/internal/task/feed"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/member"
	"jacinthcross/internal/task/pages"
	"jacinthcross/internal/task/reload"
	"jacinthcross/internal/task/router"
	"jacinthcross/internal/task/tick"
	"jacinthcross/internal/task/watch"
	"jacinthcross/internal/wire/codec"
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
	listen *mail.Box[listen.Message]
	front  *mail.Box[front.Message]
	feed   *mail.Box[feed.Message]
	reload *mail.Box[reload.Message]
	// release is the last one that the tasks were told, from which restarted tasks begin.
	// A restarted keeper may recover a lower one at first.
	release atomic.Pointer[note.Release]
	// confirmed is true when the release was compared with peers. It stays true when the keeper
	// restarts, because the tasks go on with the release that they have.
	confirmed atomic.Bool
	// arrivals tells the readers of sockets when bytes may have arrived. The tick task writes it.
	arrivals tick.Arrivals
	// published says that a store publishes what is in force, instead of release notes.
	published bool
	// draining is true from the beginning of the planned stop.
	draining atomic.Bool
	// listening is true while the socket for callers is open.
	listening atomic.Bool
}

func newBoxes() *boxes {
	return &boxes{
		router: mail.NewBox[router.Message](callMailbox),
		local:  mail.NewBox[local.Message](callMailbox),
		links:  mail.NewBox[links.Message](callMailbox),
		keeper: mail.NewBox[keeper.Message](controlMailbox),
		watch:  mail.NewBox[watch.Message](controlMailbox),
		member: mail.NewBox[member.Message](controlMailbox),
		listen: mail.NewBox[listen.Message](controlMailbox),
		front:  mail.NewBox[front.Message](callMailbox),
		feed:   mail.NewBox[feed.Message](controlMailbox),
		reload: mail.NewBox[reload.Message](controlMailbox),
	}
}

// supervisors are the parts of the tree in the order in which a planned stop ends them.
type supervisors struct {
	root, edge, data, control *tree.Supervisor
}

// newTree names the children of each supervisor.
func newTree(s *conf.Settings, p Platform, version string, b *boxes, m *meter.Meter) supervisors {
	hook := tree.WithFailureHook(func(name string, err error) { event.TaskFailed.Log("task", name, "error", err.Error()) })
	limit := tree.WithLimit(&tree.Limit{})
	hello := func() codec.Hello { return b.hello(s) }
	bodies := quota.New(s.MaxBodyMemory)
	server := listen.NewServer(b.local, b.keeper, s.MaxBody+messageOverhead, listen.WithHello(hello), listen.WithReports(b.peerReported), listen.WithArrivals(b.arrivalOf(p)), listen.WithQuota(bodies), listen.WithFeed(b.feed))
	control := tree.NewSupervisor("control", append(sourceTasks(s, p, b, m), []tree.Child{
		{Name: "tick", Start: func() (tree.Task, error) { return tick.New(&b.arrivals, tick.WithNotify(b.suspended)), nil }},
		{Name: "member", Start: func() (tree.Task, error) {
			b.tell(func(r *note.Release) { b.member.TryPut(member.ReleaseChanged{Release: r}) })
			return member.New(b.member, b.peersChanged), nil
		}},
	}...), limit, hook)
	data := tree.NewSupervisor("data", []tree.Child{
		{Name: "local", Start: func() (tree.Task, error) { return startLocal(s, p, b, m) }},
		{Name: "links", Start: func() (tree.Task, error) {
			return links.New(b.links, links.WithLinkOptions(
				link.WithMaxSize(s.MaxBody+messageOverhead), link.WithHello(hello), link.WithReports(b.linkReported),
				link.WithServe(func(session *link.Session) { server.Session(session) }),
			)), nil
		}},
		{Name: "router", Start: func() (tree.Task, error) { return startRouter(s, p, b, m), nil }},
	}, limit, hook)
	edge := tree.NewSupervisor("edge", []tree.Child{
		{Name: "listen", Start: func() (tree.Task, error) { return listen.New(s.Peers, server, b.listen) }},
		{Name: "front", Start: func() (tree.Task, error) { return startFront(s, p, b, bodies) }},
		{Name: "admin", Start: func() (tree.Task, error) { return startAdmin(s, version, b, m) }},
	}, limit, hook)
	if s.Ready.IsValid() {
		edge.Add(tree.Child{Name: "ready", Start: func() (tree.Task, error) {
			return pages.New("readiness", s.Ready, pages.Ready(p.ReadyPath, b.ready))
		}})
	}
	root := tree.NewSupervisor("root", nil, limit, hook)
	root.AddSupervisor(control)
	root.AddSupervisor(data)
	root.AddSupervisor(edge)
	return supervisors{root: root, edge: edge, data: data, control: control}
}

// ready reports whether the daemon takes calls: it listens for callers, has a release and is not stopping.
func (b *boxes) ready() bool {
	r := b.release.Load()
	return b.listening.Load() && r != nil && len(r.Services) > 0 && !b.draining.Load()
}

// hello is what the daemon tells a peer of itself.
func (b *boxes) hello(s *conf.Settings) codec.Hello {
	h := codec.Hello{Protocol: codec.Protocol, VM: s.VM, DataCentre: s.DataCentre, Draining: b.draining.Load(), Daemon: s.Peers}
	if r := b.release.Load(); r != nil {
		h.Head = r.Head
	}
	return h
}

// arrivalOf returns what tells when bytes may have arrived. Where a call is identified by the send of its caller,
// nothing is proved by an early time: the caller that has left meanwhile is noticed by its connection, and a
// deadline that counts from the beginning of a pause would end calls too early.
func (b *boxes) arrivalOf(p Platform) func(time.Time) (time.Time, bool) {
	if !p.Keyless {
		return b.arrivals.Of
	}
	return func(read time.Time) (time.Time, bool) {
		_, exact := b.arrivals.Of(read)
		return read, exact
	}
}

// sourceTasks names the tasks that learn what is in force.
func sourceTasks(s *conf.Settings, p Platform, b *boxes, m *meter.Meter) []tree.Child {
	switch source := s.Source.(type) {
	case conf.ReleaseNotes:
		return []tree.Child{
			{Name: "keeper", Start: func() (tree.Task, error) { return startKeeper(s, source, b, m), nil }},
			{Name: "watch", Start: func() (tree.Task, error) { return startWatch(source, b), nil }},
		}
	case conf.Store:
		return []tree.Child{
			{Name: "feed", Start: func() (tree.Task, error) { return startFeed(s, p, b), nil }},
		}
	}
	return nil
}

func startFeed(s *conf.Settings, p Platform, b *boxes) tree.Task {
	return feed.New(feed.Config{
		Own:   follow.Peer{VM: s.VM, DataCentre: s.DataCentre, Region: s.Region, Daemon: s.Peers},
		Inbox: b.feed, Links: b.links, Source: p.Source, Announce: b.announce,
	})
}

func startFront(s *conf.Settings, p Platform, b *boxes, bodies *quota.Quota) (tree.Task, error) {
	options := []front.Option{
		front.WithMaxBody(s.MaxBody), front.WithQuota(bodies), front.WithMaxHeader(s.MaxHeader), front.WithArrivals(b.arrivalOf(p)),
		front.WithDialect(p.Dialect),
	}
	if p.Linger > 0 {
		options = append(options, front.WithLinger())
	}
	b.tell(func(r *note.Release) { b.front.TryPut(front.LimitsChanged{Limits: r.Limits}) })
	b.listening.Store(false)
	f, err := front.New(s.Callers, b.front, b.router, options...)
	if err != nil {
		return nil, err
	}
	b.listening.Store(true)
	return f, nil
}

func startAdmin(s *conf.Settings, version string, b *boxes, m *meter.Meter) (tree.Task, error) {
	config := admin.Config{
		VM: s.VM, DataCentre: s.DataCentre, Version: version, Router: b.router, Local: b.local, Member: b.member,
		Metrics: m.Handler(),
	}
	switch s.Source.(type) {
	case conf.ReleaseNotes:
		config.Keeper = b.keeper
	case conf.Store:
		config.Feed = b.feed
	}
	return admin.New(s.Admin, config)
}

func startRouter(s *conf.Settings, p Platform, b *boxes, m *meter.Meter) tree.Task {
	b.tell(func(r *note.Release) { b.router.TryPut(router.ReleaseChanged{Release: r}) })
	heads := b.headSeen
	if _, ok := s.Source.(conf.Store); ok {
		heads = b.revisionSeen
	}
	options := []router.Option{
		router.WithMeter(m), router.WithProfile(s.Profile), router.WithRegion(s.Region), router.WithHeads(heads),
		router.WithOrigin(s.Service),
	}
	if p.Keyless {
		options = append(options, router.WithoutKeys(), router.WithProfile(route.Near))
	}
	if p.Retries.Window > 0 {
		options = append(options, router.WithRetryBound(p.Retries))
	}
	return router.New(router.Config{VM: s.VM, DataCentre: s.DataCentre, Inbox: b.router, Local: b.local, Links: b.links}, options...)
}

func startKeeper(s *conf.Settings, source conf.ReleaseNotes, b *boxes, m *meter.Meter) tree.Task {
	return keeper.New(keeper.Config{
		VM: s.VM, DataCentre: s.DataCentre, Daemon: s.Peers, Seeds: source.Seeds, Inbox: b.keeper, Links: b.links,
		Announce:  b.announce,
		Duty:      func(d keeper.Duty) { b.watch.TryPut(watch.SetDuty{Duty: d}) },
		Listed:    func(vms []relay.ListedVM) { b.member.TryPut(member.Listed{VMs: vms}) },
		Bytes:     m.Control,
		Confirmed: b.confirm,
	})
}

func startWatch(source conf.ReleaseNotes, b *boxes) tree.Task {
	var options []watch.Option
	if source.VMList != "" {
		options = append(options, watch.WithList(watch.NewHTTPReader(source.VMList)))
	}
	return watch.New(b.watch, watch.NewHTTPReader(source.Config), b.keeper, options...)
}

// messageOverhead is the room for headers and fields beside the body in a message between daemons, in bytes.
const messageOverhead = 1 << 20

func startLocal(s *conf.Settings, p Platform, b *boxes, m *meter.Meter) (tree.Task, error) {
	b.tell(func(r *note.Release) { b.local.TryPut(local.ReleaseChanged{Release: r}) })
	if b.confirmed.Load() {
		b.local.TryPut(local.Confirmed{})
	}
	options := []local.Option{
		local.WithDialect(p.Dialect),
		local.WithMaxBody(s.MaxBody),
		local.WithLedgerLimits(ledger.Limits{EpochLength: s.KeyEpoch, MaxEntries: ledgerEntries, MaxBytes: ledgerBytes}),
		local.WithContexts(func(c local.Context) { b.router.TryPut(router.ContextChanged{Context: c}) }),
		local.WithPause(b.paused),
		local.WithTargetReports(b.targetChanged),
		local.WithBlame(func(service ident.Service, entries []crash.Blame) { b.blame(s.VM, service, entries) }),
	}
	if p.Keyless {
		options = append(options, local.WithoutKeys(), local.WithFixedSlots(), local.WithMeasurements(m.Probed))
	} else {
		options = append(options, local.WithConfirmation())
	}
	return local.New(s.VM, b.local, options...)
}

// Bounds of the ledger: 100,000 entries of about 150 bytes, and 16 MiB of answers.
const (
	ledgerEntries = 100_000
	ledgerBytes   = 16 << 20
)

// tell calls send with the release in force, if there is one.
func (b *boxes) tell(send func(*note.Release)) {
	if r := b.release.Load(); r != nil {
		send(r)
	}
}

// announce tells the tasks that work by the release of a new one. It reports whether all have room for it.
func (b *boxes) announce(r *note.Release) bool {
	if last := b.release.Load(); last != nil && r.Head.Serial < last.Head.Serial {
		return true
	}
	b.release.Store(r)
	toFront := b.front.TryPut(front.LimitsChanged{Limits: r.Limits})
	toRouter := b.router.TryPut(router.ReleaseChanged{Release: r})
	toLocal := b.local.TryPut(local.ReleaseChanged{Release: r})
	return b.member.TryPut(member.ReleaseChanged{Release: r}) && toFront && toRouter && toLocal
}
