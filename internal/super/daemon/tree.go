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
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/feed"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/httpd"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/member"
	"jacinthcross/internal/task/reload"
	"jacinthcross/internal/task/router"
	"jacinthcross/internal/task/tick"
	"jacinthcross/internal/task/watch"
	"jacinthcross/internal/wire/codec"
)

// Mailbox capacities, in messages. Calls wait in a mailbox only while its task handles earlier messages. A full mailbox
// means that the daemon cannot keep up, and new calls are refused.
const (
	callMailbox    = 4096
	controlMailbox = 256
)

// mailboxes holds the mailboxes of the tasks and the state that they share. Both survive restarts of the tasks.
type mailboxes struct {
	router *mail.Box[router.Message]
	local  *mail.Box[local.Message]
	dialer *mail.Box[dialer.Message]
	gossip *mail.Box[gossip.Message]
	watch  *mail.Box[watch.Message]
	member *mail.Box[member.Message]
	listen *mail.Box[listen.Message]
	front  *mail.Box[front.Message]
	feed   *mail.Box[feed.Message]
	reload *mail.Box[reload.Message]
	// release is the last release that was announced to the tasks. Restarted tasks start from it. A restarted
	// gossip task may recover an older release at first.
	release atomic.Pointer[note.Release]
	// confirmed is true once enough peers have confirmed the release. It stays true when the gossip task restarts,
	// because the other tasks keep the release that they have.
	confirmed atomic.Bool
	// arrivals gives socket readers the earliest time at which bytes may have arrived. The tick task updates it.
	arrivals tick.ArrivalClock
	// usesStore is true when the configuration comes from a store instead of release notes.
	usesStore bool
	// draining is true from the start of the planned stop.
	draining atomic.Bool
	// listening is true once the front task listens for callers. It is false while that task is being started.
	listening atomic.Bool
}

func newMailboxes() *mailboxes {
	return &mailboxes{
		router: mail.NewBox[router.Message](callMailbox),
		local:  mail.NewBox[local.Message](callMailbox),
		dialer: mail.NewBox[dialer.Message](callMailbox),
		gossip: mail.NewBox[gossip.Message](controlMailbox),
		watch:  mail.NewBox[watch.Message](controlMailbox),
		member: mail.NewBox[member.Message](controlMailbox),
		listen: mail.NewBox[listen.Message](controlMailbox),
		front:  mail.NewBox[front.Message](callMailbox),
		feed:   mail.NewBox[feed.Message](controlMailbox),
		reload: mail.NewBox[reload.Message](controlMailbox),
	}
}

// supervisors holds the root supervisor and its parts, which a planned stop ends in this order: edge accepts
// connections, data runs calls, and control maintains the configuration and the states of peers.
type supervisors struct {
	root, edge, data, control *tree.Supervisor
}

// newTree builds the supervisors and their children.
func newTree(s *conf.Settings, p Platform, version string, b *mailboxes, m *meter.Meter) supervisors {
	hook := tree.WithFailureHook(func(name string, err error) { event.TaskFailed.Log("task", name, "error", err.Error()) })
	limit := tree.WithFailureLimit(&tree.FailureLimit{})
	hello := func() codec.Hello { return b.hello(s) }
	bodyQuota := quota.New(s.MaxBodyMemory)
	server := listen.NewServer(b.local, b.gossip, s.MaxBody+messageOverhead, listen.WithHelloFunc(hello), listen.WithReportFunc(b.onPeerReport), listen.WithArrivalTime(b.arrivalFunc(p)), listen.WithQuota(bodyQuota), listen.WithFeed(b.feed))
	control := tree.NewSupervisor("control", append(sourceTasks(s, p, b, m), []tree.Child{
		{Name: "tick", Start: func() (tree.Task, error) { return tick.New(&b.arrivals, tick.WithNotify(b.onSuspension)), nil }},
		{Name: "member", Start: func() (tree.Task, error) {
			b.withRelease(func(r *note.Release) { b.member.TryPut(member.ReleaseChanged{Release: r}) })
			return member.New(b.member, b.onPeersChanged), nil
		}},
	}...), limit, hook)
	data := tree.NewSupervisor("data", []tree.Child{
		{Name: "local", Start: func() (tree.Task, error) { return startLocal(s, p, b, m) }},
		{Name: "dialer", Start: func() (tree.Task, error) {
			return dialer.New(b.dialer, dialer.WithLinkOptions(
				link.WithMaxSize(s.MaxBody+messageOverhead), link.WithHelloFunc(hello), link.WithReportFunc(b.onLinkReport),
				link.WithServeFunc(func(session *link.Session) { server.ServeSession(session) }),
			)), nil
		}},
		{Name: "router", Start: func() (tree.Task, error) { return startRouter(s, p, b, m), nil }},
	}, limit, hook)
	edge := tree.NewSupervisor("edge", []tree.Child{
		{Name: "listen", Start: func() (tree.Task, error) { return listen.New(s.Peers, server, b.listen) }},
		{Name: "front", Start: func() (tree.Task, error) { return startFront(s, p, b, bodyQuota) }},
		{Name: "admin", Start: func() (tree.Task, error) { return startAdmin(s, version, b, m) }},
	}, limit, hook)
	if s.Ready.IsValid() {
		edge.Add(tree.Child{Name: "ready", Start: func() (tree.Task, error) {
			return httpd.New("readiness", s.Ready, httpd.ReadyHandler(p.ReadyPath, b.ready))
		}})
	}
	root := tree.NewSupervisor("root", nil, limit, hook)
	root.AddSupervisor(control)
	root.AddSupervisor(data)
	root.AddSupervisor(edge)
	return supervisors{root: root, edge: edge, data: data, control: control}
}

// ready reports whether the daemon accepts calls: it listens for callers, has a release with services and is not
// draining.
func (b *mailboxes) ready() bool {
	r := b.release.Load()
	return b.listening.Load() && r != nil && len(r.Services) > 0 && !b.draining.Load()
}

// hello returns the Hello message that the daemon sends to its peers.
func (b *mailboxes) hello(s *conf.Settings) codec.Hello {
	h := codec.Hello{Protocol: codec.Protocol, VM: s.VM, DataCentre: s.DataCentre, Draining: b.draining.Load(), Daemon: s.Peers}
	if r := b.release.Load(); r != nil {
		h.Head = r.Head
	}
	return h
}

// arrivalFunc returns the function that converts the time at which bytes were read to the earliest time at which they
// may have arrived, and reports whether the two are equal, which they are not after a process pause. If callers use no
// idempotency keys, the function still reports a pause but returns the time of the read: an earlier time has no use
// there, because the closed connection shows that a caller has left during the pause, and a deadline counted from the
// start of the pause would end calls too early.
func (b *mailboxes) arrivalFunc(p Platform) func(time.Time) (time.Time, bool) {
	if !p.NoIdempotencyKeys {
		return b.arrivals.ArrivalTime
	}
	return func(read time.Time) (time.Time, bool) {
		_, exact := b.arrivals.ArrivalTime(read)
		return read, exact
	}
}

// sourceTasks returns the tasks that read the configuration from its source.
func sourceTasks(s *conf.Settings, p Platform, b *mailboxes, m *meter.Meter) []tree.Child {
	switch source := s.Source.(type) {
	case conf.ConfigServiceSource:
		return []tree.Child{
			{Name: "gossip", Start: func() (tree.Task, error) { return startGossip(s, source, b, m), nil }},
			{Name: "watch", Start: func() (tree.Task, error) { return startWatch(source, b), nil }},
		}
	case conf.StoreSource:
		return []tree.Child{
			{Name: "feed", Start: func() (tree.Task, error) { return startFeed(s, p, b), nil }},
		}
	}
	return nil
}

func startFeed(s *conf.Settings, p Platform, b *mailboxes) tree.Task {
	return feed.New(feed.Config{
		Own:   follow.Peer{VM: s.VM, DataCentre: s.DataCentre, Region: s.Region, Daemon: s.Peers},
		Inbox: b.feed, Links: b.dialer, Source: p.Source, Announce: b.announceRelease,
	})
}

func startFront(s *conf.Settings, p Platform, b *mailboxes, bodyQuota *quota.Quota) (tree.Task, error) {
	options := []front.Option{
		front.WithMaxBody(s.MaxBody), front.WithQuota(bodyQuota), front.WithMaxHeader(s.MaxHeader), front.WithArrivalTime(b.arrivalFunc(p)),
		front.WithDialect(p.Dialect),
	}
	if p.AcceptWhileDraining > 0 {
		options = append(options, front.WithAcceptWhileDraining())
	}
	b.withRelease(func(r *note.Release) { b.front.TryPut(front.LimitsChanged{Limits: r.Limits}) })
	b.listening.Store(false)
	f, err := front.New(s.Callers, b.front, b.router, options...)
	if err != nil {
		return nil, err
	}
	b.listening.Store(true)
	return f, nil
}

func startAdmin(s *conf.Settings, version string, b *mailboxes, m *meter.Meter) (tree.Task, error) {
	config := admin.Config{
		VM: s.VM, DataCentre: s.DataCentre, Version: version, Router: b.router, Local: b.local, Member: b.member,
		Metrics: m.Handler(),
	}
	switch s.Source.(type) {
	case conf.ConfigServiceSource:
		config.Gossip = b.gossip
	case conf.StoreSource:
		config.Feed = b.feed
	}
	return admin.New(s.Admin, config)
}

func startRouter(s *conf.Settings, p Platform, b *mailboxes, m *meter.Meter) tree.Task {
	b.withRelease(func(r *note.Release) { b.router.TryPut(router.ReleaseChanged{Release: r}) })
	onHead := b.onPeerHead
	if _, ok := s.Source.(conf.StoreSource); ok {
		onHead = b.onPeerRevision
	}
	options := []router.Option{
		router.WithMeter(m), router.WithProfile(s.Profile), router.WithRegion(s.Region), router.WithNewerReleaseFunc(onHead),
		router.WithOrigin(s.Service),
	}
	if p.NoIdempotencyKeys {
		options = append(options, router.WithoutInternalKeys(), router.WithProfile(route.ProfileNear))
	}
	if p.RetryLimit.Window > 0 {
		options = append(options, router.WithRetryLimit(p.RetryLimit))
	}
	return router.New(router.Config{VM: s.VM, DataCentre: s.DataCentre, Inbox: b.router, Local: b.local, Links: b.dialer}, options...)
}

func startGossip(s *conf.Settings, source conf.ConfigServiceSource, b *mailboxes, m *meter.Meter) tree.Task {
	return gossip.New(gossip.Config{
		VM: s.VM, DataCentre: s.DataCentre, Daemon: s.Peers, Seeds: source.Seeds, Inbox: b.gossip, Links: b.dialer,
		Announce:          b.announceRelease,
		AnnounceDuty:      func(d gossip.ReadDuty) { b.watch.TryPut(watch.SetDuty{Duty: d}) },
		AnnounceVMs:       func(vms []relay.ListedVM) { b.member.TryPut(member.ListChanged{VMs: vms}) },
		CountBytes:        m.RecordControlBytes,
		AnnounceConfirmed: b.onConfirmation,
	})
}

func startWatch(source conf.ConfigServiceSource, b *mailboxes) tree.Task {
	var options []watch.Option
	if source.VMList != "" {
		options = append(options, watch.WithVMList(watch.NewHTTPReader(source.VMList)))
	}
	return watch.New(b.watch, watch.NewHTTPReader(source.Config), b.gossip, options...)
}

// messageOverhead is the space for headers and other fields besides the body in a message between daemons, in bytes.
const messageOverhead = 1 << 20

func startLocal(s *conf.Settings, p Platform, b *mailboxes, m *meter.Meter) (tree.Task, error) {
	b.withRelease(func(r *note.Release) { b.local.TryPut(local.ReleaseChanged{Release: r}) })
	if b.confirmed.Load() {
		b.local.TryPut(local.ReleaseConfirmed{})
	}
	options := []local.Option{
		local.WithDialect(p.Dialect),
		local.WithMaxBody(s.MaxBody),
		local.WithLedgerLimits(ledger.Limits{EpochLength: s.KeyEpoch, MaxEntries: ledgerEntries, MaxBytes: ledgerBytes}),
		local.WithContextFunc(func(c local.CallContext) { b.router.TryPut(router.ContextChanged{Context: c}) }),
		local.WithPauseFunc(b.onPause),
		local.WithTargetReportFunc(b.onTargetChanged),
		local.WithBlameFunc(func(service ident.Service, entries []crash.Report) { b.broadcastBlame(s.VM, service, entries) }),
	}
	if p.NoIdempotencyKeys {
		options = append(options, local.WithoutInternalKeys(), local.WithFixedSlots(), local.WithMeasurementFunc(m.RecordProbe))
	} else {
		options = append(options, local.WithUnconfirmedRelease())
	}
	return local.New(s.VM, b.local, options...)
}

// Limits of the idempotency ledger: 100,000 entries of about 150 bytes each, and 16 MiB of stored answers.
const (
	ledgerEntries = 100_000
	ledgerBytes   = 16 << 20
)

// withRelease calls send with the current release, if there is one.
func (b *mailboxes) withRelease(send func(*note.Release)) {
	if r := b.release.Load(); r != nil {
		send(r)
	}
}

// announceRelease sends a new release to the tasks that depend on it and reports whether all their mailboxes had room.
// A release older than the current one is ignored.
func (b *mailboxes) announceRelease(r *note.Release) bool {
	if last := b.release.Load(); last != nil && r.Head.Serial < last.Head.Serial {
		return true
	}
	b.release.Store(r)
	toFront := b.front.TryPut(front.LimitsChanged{Limits: r.Limits})
	toRouter := b.router.TryPut(router.ReleaseChanged{Release: r})
	toLocal := b.local.TryPut(local.ReleaseChanged{Release: r})
	return b.member.TryPut(member.ReleaseChanged{Release: r}) && toFront && toRouter && toLocal
}
