package daemon

import (
	"sync/atomic"
	"time"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/limit"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/fleet/follow"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
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
	callMailboxSize    = 4096
	controlMailboxSize = 256
)

// sharedState holds the mailboxes of the tasks and the values that they share. It survives restarts of the tasks.
type sharedState struct {
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

func newSharedState() *sharedState {
	return &sharedState{
		router: mail.NewBox[router.Message](callMailboxSize),
		local:  mail.NewBox[local.Message](callMailboxSize),
		dialer: mail.NewBox[dialer.Message](callMailboxSize),
		gossip: mail.NewBox[gossip.Message](controlMailboxSize),
		watch:  mail.NewBox[watch.Message](controlMailboxSize),
		member: mail.NewBox[member.Message](controlMailboxSize),
		listen: mail.NewBox[listen.Message](controlMailboxSize),
		front:  mail.NewBox[front.Message](callMailboxSize),
		feed:   mail.NewBox[feed.Message](controlMailboxSize),
		reload: mail.NewBox[reload.Message](controlMailboxSize),
	}
}

// supervisors holds the root supervisor and its parts, which a planned stop ends in this order: edge accepts
// connections, data runs calls, and control maintains the configuration and the states of peers.
type supervisors struct {
	root, edge, data, control *tree.Supervisor
}

// newTree builds the supervisors and their children.
func newTree(s *conf.Settings, p Platform, version string, st *sharedState, m *meter.Meter) supervisors {
	hook := tree.WithFailureHook(func(name string, err error) { event.TaskFailed.Log("task", name, "error", err.Error()) })
	failureLimit := tree.WithFailureLimit(&tree.FailureLimit{})
	hello := func() codec.Hello { return st.hello(s) }
	bodyQuota := quota.New(s.MaxBodyMemory)
	connections, reporter := newConnectionLimits(s, descriptorLimit(s)), limit.NewReporter(func(name limit.Name, n int) { m.RecordLimit(string(name), n) })
	forOperators := []httpd.Option{httpd.WithMaxConnections(connections.operators), httpd.WithLimitReporter(reporter)}
	server := listen.NewServer(st.local, st.gossip, s.MaxBody+messageOverhead, listen.WithHelloFunc(hello), listen.WithReportFunc(st.onPeerReport), listen.WithArrivalTimeFunc(st.arrivalFunc(p)), listen.WithQuota(bodyQuota), listen.WithFeed(st.feed))
	control := tree.NewSupervisor("control", append(sourceTasks(s, p, st, m), []tree.Child{
		{Name: "tick", Start: func() (tree.Task, error) {
			return tick.New(&st.arrivals, tick.WithSuspensionFunc(st.onSuspension)), nil
		}},
		{Name: "member", Start: func() (tree.Task, error) {
			st.withRelease(func(r *note.Release) { st.member.TryPut(member.ReleaseChanged{Release: r}) })
			return member.New(st.member, st.onPeersChanged), nil
		}},
	}...), failureLimit, hook)
	data := tree.NewSupervisor("data", []tree.Child{
		{Name: "local", Start: func() (tree.Task, error) { return startLocal(s, p, st, m) }},
		// The log field keeps the former name of the package, so that log queries still match.
		{Name: "links", Start: func() (tree.Task, error) {
			return dialer.New(st.dialer, dialer.WithLinkOptions(
				link.WithMaxSize(s.MaxBody+messageOverhead), link.WithHelloFunc(hello), link.WithReportFunc(st.onLinkReport), link.WithWaitingFunc(m.RecordWaitingBody),
				link.WithServeFunc(func(session *link.Session) { server.ServeSession(session) }),
			)), nil
		}},
		{Name: "router", Start: func() (tree.Task, error) { return startRouter(s, p, st, m), nil }},
	}, failureLimit, hook)
	edge := tree.NewSupervisor("edge", []tree.Child{
		{Name: "listen", Start: func() (tree.Task, error) {
			return listen.New(s.Peers, server, st.listen, listen.WithMaxSessions(connections.peers), listen.WithLimitReporter(reporter))
		}},
		{Name: "front", Start: func() (tree.Task, error) {
			return startFront(s, p, st, front.WithQuota(bodyQuota), front.WithMaxConnections(connections.callers), front.WithLimitReporter(reporter))
		}},
		{Name: "admin", Start: func() (tree.Task, error) { return startAdmin(s, version, st, m, forOperators) }},
	}, failureLimit, hook)
	if s.Ready.IsValid() {
		edge.Add(tree.Child{Name: "ready", Start: func() (tree.Task, error) {
			return httpd.New("readiness", s.Ready, httpd.ReadyHandler(p.ReadyPath, st.ready), forOperators...)
		}})
	}
	root := tree.NewSupervisor("root", nil, failureLimit, hook)
	root.AddSupervisor(control)
	root.AddSupervisor(data)
	root.AddSupervisor(edge)
	return supervisors{root: root, edge: edge, data: data, control: control}
}

// ready reports whether the daemon accepts calls: it listens for callers, has a release with services and is not
// draining.
func (st *sharedState) ready() bool {
	r := st.release.Load()
	return st.listening.Load() && r != nil && len(r.Services) > 0 && !st.draining.Load()
}

// hello returns the Hello message that the daemon sends to its peers.
func (st *sharedState) hello(s *conf.Settings) codec.Hello {
	h := codec.Hello{Protocol: codec.Protocol, VM: s.VM, DataCentre: s.DataCentre, Draining: st.draining.Load(), Daemon: s.Peers}
	if r := st.release.Load(); r != nil {
		h.Head = r.Head
	}
	return h
}

// arrivalFunc returns a function that takes the time of a socket read. The function returns the earliest time at which
// the bytes may have arrived, and whether that time is exact, which it is not after a process pause.
//
// If callers use no idempotency keys, the function returns the time of the read, and still reports that it is not exact
// after a process pause. An earlier time would do harm there: a deadline counted from the start of the pause would end
// calls too early. Nor is it needed to notice callers that disconnected during the pause, since their connections are
// closed.
func (st *sharedState) arrivalFunc(p Platform) func(time.Time) (time.Time, bool) {
	if !p.NoIdempotencyKeys {
		return st.arrivals.ArrivalTime
	}
	return func(read time.Time) (time.Time, bool) {
		_, exact := st.arrivals.ArrivalTime(read)
		return read, exact
	}
}

// sourceTasks returns the tasks that read the configuration from its source.
func sourceTasks(s *conf.Settings, p Platform, st *sharedState, m *meter.Meter) []tree.Child {
	switch source := s.Source.(type) {
	case conf.ConfigServiceSource:
		return []tree.Child{
			// The log field keeps the former name of the package, so that log queries still match.
			{Name: "keeper", Start: func() (tree.Task, error) { return startGossip(s, source, st, m), nil }},
			{Name: "watch", Start: func() (tree.Task, error) { return startWatch(source, st), nil }},
		}
	case conf.StoreSource:
		return []tree.Child{
			{Name: "feed", Start: func() (tree.Task, error) { return startFeed(s, p, st), nil }},
		}
	}
	return nil
}

func startFeed(s *conf.Settings, p Platform, st *sharedState) tree.Task {
	return feed.New(feed.Config{
		Self:  follow.Peer{VM: s.VM, DataCentre: s.DataCentre, Region: s.Region, Daemon: s.Peers},
		Inbox: st.feed, Dialer: st.dialer, StoreReader: p.Source, Announce: st.announceRelease,
	})
}

func startFront(s *conf.Settings, p Platform, st *sharedState, limits ...front.Option) (tree.Task, error) {
	options := append([]front.Option{
		front.WithMaxBody(s.MaxBody), front.WithMinBytesPerSecond(s.MinBytesPerSecond), front.WithMaxHeader(s.MaxHeader), front.WithArrivalTimeFunc(st.arrivalFunc(p)),
		front.WithDialect(p.Dialect),
	}, limits...)
	if p.AcceptWhileDraining > 0 {
		options = append(options, front.WithAcceptWhileDraining())
	}
	st.withRelease(func(r *note.Release) { st.front.TryPut(front.ReleaseChanged{Release: r}) })
	st.listening.Store(false)
	f, err := front.New(s.Callers, st.front, st.router, options...)
	if err != nil {
		return nil, err
	}
	st.listening.Store(true)
	return f, nil
}

func startAdmin(s *conf.Settings, version string, st *sharedState, m *meter.Meter, options []httpd.Option) (tree.Task, error) {
	config := admin.Config{
		VM: s.VM, DataCentre: s.DataCentre, Version: version, Router: st.router, Local: st.local, Member: st.member,
		Metrics: m.Handler(),
	}
	switch s.Source.(type) {
	case conf.ConfigServiceSource:
		config.Gossip = st.gossip
	case conf.StoreSource:
		config.Feed = st.feed
	}
	return admin.New(s.Admin, config, options...)
}

func startRouter(s *conf.Settings, p Platform, st *sharedState, m *meter.Meter) tree.Task {
	st.withRelease(func(r *note.Release) { st.router.TryPut(router.ReleaseChanged{Release: r}) })
	onNewerRelease := st.onPeerHead
	if _, ok := s.Source.(conf.StoreSource); ok {
		// With a store, Head.Serial is the revision, of the era Head.Era.
		onNewerRelease = st.onPeerRevision
	}
	options := []router.Option{
		router.WithMeter(m), router.WithProfile(s.Profile), router.WithRegion(s.Region), router.WithNewerReleaseFunc(onNewerRelease),
		router.WithOrigin(s.Service),
	}
	if p.NoIdempotencyKeys {
		// See Platform.NoIdempotencyKeys for the options that do not concern keys, here and in startLocal.
		options = append(options, router.WithoutInternalKeys(), router.WithProfile(route.ProfileNear), router.WithStartHold())
	}
	if p.RetryLimit.Window > 0 {
		options = append(options, router.WithRetryLimit(p.RetryLimit, s.Shedding))
	}
	return router.New(router.Config{VM: s.VM, DataCentre: s.DataCentre, Inbox: st.router, Local: st.local, Dialer: st.dialer}, options...)
}

func startGossip(s *conf.Settings, source conf.ConfigServiceSource, st *sharedState, m *meter.Meter) tree.Task {
	return gossip.New(gossip.Config{
		VM: s.VM, DataCentre: s.DataCentre, Daemon: s.Peers, Seeds: source.Seeds, Inbox: st.gossip, Dialer: st.dialer,
		Announce:          st.announceRelease,
		AnnounceDuty:      func(d gossip.ReadDuty) { st.watch.TryPut(watch.SetDuty{Duty: d}) },
		AnnounceVMs:       func(vms []relay.ListedVM) { st.member.TryPut(member.VMListChanged{VMs: vms}) },
		CountBytes:        m.RecordControlBytes,
		AnnounceConfirmed: st.onConfirmation,
	})
}

func startWatch(source conf.ConfigServiceSource, st *sharedState) tree.Task {
	var options []watch.Option
	if source.VMListURL != "" {
		options = append(options, watch.WithVMList(watch.NewHTTPReader(source.VMListURL)))
	}
	return watch.New(st.watch, watch.NewHTTPReader(source.ConfigURL), st.gossip, options...)
}

// A message between daemons may be messageOverhead bytes larger than the limit for bodies. This leaves room for headers
// and other fields.
const messageOverhead = 1 << 20

func startLocal(s *conf.Settings, p Platform, st *sharedState, m *meter.Meter) (tree.Task, error) {
	st.withRelease(func(r *note.Release) { st.local.TryPut(local.ReleaseChanged{Release: r}) })
	if st.confirmed.Load() {
		st.local.TryPut(local.ReleaseConfirmed{})
	}
	options := []local.Option{
		local.WithDialect(p.Dialect),
		local.WithMaxBody(s.MaxBody),
		local.WithTarget(s.Service, s.Target),
		local.WithLedgerLimits(ledger.Limits{EpochLength: s.KeyEpoch, MaxEntries: ledgerEntries, MaxBytes: ledgerBytes}),
		local.WithContextFunc(func(c local.CallContext) { st.router.TryPut(router.ContextChanged{Context: c}) }),
		local.WithPauseFunc(st.onPause),
		local.WithTargetReportFunc(st.onTargetChanged),
		local.WithCrashEvidenceFunc(func(e local.CrashEvidence) { st.sendCrashEvidence(s.VM, e) }),
	}
	if p.NoIdempotencyKeys {
		options = append(options, local.WithoutInternalKeys(), local.WithDeclaredSlots(), local.WithMeasurementFunc(m.RecordProbe),
			local.WithColdBound(p.ColdRateFactor, p.ColdMargin))
	} else {
		options = append(options, local.WithUnconfirmedRelease())
	}
	return local.New(s.VM, st.local, options...)
}

// Limits of the idempotency ledger: 100,000 entries of about 150 bytes each, and 16 MiB of stored answers.
const (
	ledgerEntries = 100_000
	ledgerBytes   = 16 << 20
)

// withRelease calls send with the current release, if there is one.
func (st *sharedState) withRelease(send func(*note.Release)) {
	if r := st.release.Load(); r != nil {
		send(r)
	}
}

// announceRelease sends a new release to the tasks that depend on it and reports whether all their mailboxes had room.
// A release older than the current one is ignored.
func (st *sharedState) announceRelease(r *note.Release) bool {
	if last := st.release.Load(); last != nil && last.Head.IsAfter(r.Head) {
		return true
	}
	st.release.Store(r)
	toFront := st.front.TryPut(front.ReleaseChanged{Release: r})
	toRouter := st.router.TryPut(router.ReleaseChanged{Release: r})
	toLocal := st.local.TryPut(local.ReleaseChanged{Release: r})
	return st.member.TryPut(member.ReleaseChanged{Release: r}) && toFront && toRouter && toLocal
}
