package event

// The events. The number of a removed event must not be reused.
// 1xxx process, 2xxx releases, 3xxx peers, 4xxx targets, 5xxx single calls.
var (
	DaemonStarted                  = Event{1001, "DaemonStarted", Info}
	DrainStarted                   = Event{1002, "DrainStarted", Info}
	DaemonStopped                  = Event{1003, "DaemonStopped", Info}
	TaskFailed                     = Event{1004, "TaskFailed", Error}
	LogLinesDropped                = Event{1005, "LogLinesDropped", Warning}
	SettingsReloaded               = Event{1006, "SettingsReloaded", Info}
	SettingsRefused                = Event{1007, "SettingsRefused", Error}
	SettingsNeedRestart            = Event{1008, "SettingsNeedRestart", Warning}
	MachineSuspended               = Event{1009, "MachineSuspended", Warning}
	DrainTimedOut                  = Event{1010, "DrainTimedOut", Warning}
	StopTimedOut                   = Event{1011, "StopTimedOut", Error}
	PartStopped                    = Event{1012, "PartStopped", Info}
	ReleaseInForce                 = Event{2001, "ReleaseInForce", Info}
	NoteRefused                    = Event{2002, "NoteRefused", Error}
	ConfigurationServiceUnreadable = Event{2003, "ConfigurationServiceUnreadable", Warning}
	NoteAccepted                   = Event{2004, "NoteAccepted", Info}
	NoteConflict                   = Event{2005, "NoteConflict", Error}
	VMListUnreadable               = Event{2006, "VMListUnreadable", Warning}
	StoreLost                      = Event{2007, "StoreLost", Warning}
	StoreRegained                  = Event{2008, "StoreRegained", Info}
	StoreHistoryGone               = Event{2009, "StoreHistoryGone", Warning}
	EntryUnusable                  = Event{2010, "EntryUnusable", Warning}
	ConfigUnusable                 = Event{2011, "ConfigUnusable", Warning}
	StoreDuty                      = Event{2012, "StoreDuty", Info}
	LinkOpened                     = Event{3001, "LinkOpened", Info}
	LinkFailed                     = Event{3002, "LinkFailed", Warning}
	PeerMessageRefused             = Event{3003, "PeerMessageRefused", Warning}
	PeerVersionMismatch            = Event{3004, "PeerVersionMismatch", Error}
	PeerDraining                   = Event{3005, "PeerDraining", Info}
	PeerSilent                     = Event{3006, "PeerSilent", Warning}
	TargetAdded                    = Event{4001, "TargetAdded", Info}
	TargetWithdrawn                = Event{4002, "TargetWithdrawn", Info}
	TargetConnectionsNotClosed     = Event{4003, "TargetConnectionsNotClosed", Warning}
	TargetDown                     = Event{4004, "TargetDown", Warning}
	TargetUp                       = Event{4005, "TargetUp", Info}
	TargetCrashed                  = Event{4006, "TargetCrashed", Warning}
	CallSent                       = Event{5001, "CallSent", Decision}
	CallRetried                    = Event{5002, "CallRetried", Decision}
	CallConcluded                  = Event{5003, "CallConcluded", Decision}
	CallQueued                     = Event{5004, "CallQueued", Decision}
	CallDispatched                 = Event{5005, "CallDispatched", Decision}
	CallEnded                      = Event{5006, "CallEnded", Decision}
	CallBounced                    = Event{5007, "CallBounced", Decision}
	CallRefused                    = Event{5008, "CallRefused", Decision}
)

// All returns all events.
func All() []Event {
	return []Event{
		DaemonStarted, DrainStarted, DaemonStopped, TaskFailed, LogLinesDropped, SettingsReloaded, SettingsRefused, SettingsNeedRestart, MachineSuspended,
		DrainTimedOut, StopTimedOut, PartStopped,
		ReleaseInForce, NoteRefused, ConfigurationServiceUnreadable, NoteAccepted, NoteConflict, VMListUnreadable,
		StoreLost, StoreRegained, StoreHistoryGone, EntryUnusable, ConfigUnusable, StoreDuty,
		LinkOpened, LinkFailed, PeerMessageRefused, PeerVersionMismatch, PeerDraining, PeerSilent,
		TargetAdded, TargetWithdrawn, TargetConnectionsNotClosed,
		TargetDown, TargetUp, TargetCrashed,
		CallSent, CallRetried, CallConcluded, CallQueued, CallDispatched, CallEnded, CallBounced, CallRefused,
	}
}
