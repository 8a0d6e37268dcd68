package event

// The events. The number of a removed event must not be reused.
// 1xxx process, 2xxx releases, 3xxx peers, 4xxx targets, 5xxx single calls.
// The entry daemon of a call is the daemon at which the call entered.
var (
	DaemonStarted                  = Event{1001, "DaemonStarted", Info}
	DrainStarted                   = Event{1002, "DrainStarted", Info}
	DaemonStopped                  = Event{1003, "DaemonStopped", Info}
	TaskFailed                     = Event{1004, "TaskFailed", Error}        // a task ended with an error, or did not end in time during a planned stop
	LogLinesDropped                = Event{1005, "LogLinesDropped", Warning} // lines did not fit into the queue or exceeded the rate limit
	SettingsReloaded               = Event{1006, "SettingsReloaded", Info}
	SettingsRefused                = Event{1007, "SettingsRefused", Error}       // the settings file is unreadable or invalid
	SettingsNeedRestart            = Event{1008, "SettingsNeedRestart", Warning} // a changed setting applies only after a restart
	MachineSuspended               = Event{1009, "MachineSuspended", Warning}
	DrainTimedOut                  = Event{1010, "DrainTimedOut", Warning} // calls were still in flight at the end of the drain
	StopTimedOut                   = Event{1011, "StopTimedOut", Error}    // the daemon did not stop within its time limit
	PartStopped                    = Event{1012, "PartStopped", Info}      // one group of tasks has stopped during shutdown
	HandlerPanicked                = Event{1013, "HandlerPanicked", Error} // a handler of bytes from outside panicked; its connection is closed
	BoundsInForce                  = Event{1014, "BoundsInForce", Info}    // the limits that the platform sets for this daemon
	LimitReached                   = Event{1015, "LimitReached", Warning}  // clients reached a limit; logged at most once a second for each limit
	ReleaseInForce                 = Event{2001, "ReleaseInForce", Info}
	NoteRefused                    = Event{2002, "NoteRefused", Error} // a release note was refused; logged once for each mistake in it
	ConfigurationServiceUnreadable = Event{2003, "ConfigurationServiceUnreadable", Warning}
	NoteAccepted                   = Event{2004, "NoteAccepted", Info}
	NoteConflict                   = Event{2005, "NoteConflict", Error} // a note was discarded because another note has the same serial
	VMListUnreadable               = Event{2006, "VMListUnreadable", Warning}
	StoreLost                      = Event{2007, "StoreLost", Warning} // a read from the store failed
	StoreRegained                  = Event{2008, "StoreRegained", Info}
	StoreHistoryGone               = Event{2009, "StoreHistoryGone", Warning}     // the store no longer holds the changes since the daemon's revision
	EntryUnusable                  = Event{2010, "EntryUnusable", Warning}        // an invalid target entry in the store
	ConfigUnusable                 = Event{2011, "ConfigUnusable", Warning}       // an invalid config in the store
	StoreDuty                      = Event{2012, "StoreDuty", Info}               // this daemon starts or stops reading the store itself
	StoreChangesTooLarge           = Event{2013, "StoreChangesTooLarge", Warning} // the changes since the daemon's revision exceed the limit of a response
	ConfigPartUnusable             = Event{2014, "ConfigPartUnusable", Warning}   // a part of a config that cannot be read; the rest is used
	DataCentreEvacuated            = Event{2017, "DataCentreEvacuated", Warning}  // the targets of a data centre get no new calls
	DataCentreRestored             = Event{2018, "DataCentreRestored", Info}
	StoreRestored                  = Event{2020, "StoreRestored", Warning}      // the store was restored from an older copy; its state replaces what the daemon knows
	StoreEraUnreadable             = Event{2021, "StoreEraUnreadable", Warning} // the header with the era of the store cannot be read
	LinkOpened                     = Event{3001, "LinkOpened", Info}
	LinkFailed                     = Event{3002, "LinkFailed", Warning}
	PeerMessageRefused             = Event{3003, "PeerMessageRefused", Warning}
	PeerVersionMismatch            = Event{3004, "PeerVersionMismatch", Error}
	PeerDraining                   = Event{3005, "PeerDraining", Info}
	PeerSilent                     = Event{3006, "PeerSilent", Warning} // nothing was received from a peer for too long
	BodyFailed                     = Event{3007, "BodyFailed", Warning} // a body that a target's daemon requested did not arrive
	TargetAdded                    = Event{4001, "TargetAdded", Info}
	TargetWithdrawn                = Event{4002, "TargetWithdrawn", Info}
	TargetConnectionsNotClosed     = Event{4003, "TargetConnectionsNotClosed", Warning}
	TargetDown                     = Event{4004, "TargetDown", Warning}
	TargetUp                       = Event{4005, "TargetUp", Info}
	TargetCrashed                  = Event{4006, "TargetCrashed", Warning}
	CrashReportsReceived           = Event{4007, "CrashReportsReceived", Info}
	CrashEvidenceDropped           = Event{4008, "CrashEvidenceDropped", Warning} // the VM has a target of another service, so the evidence on requests of the former one was discarded
	CrashSuspect                   = Event{4009, "CrashSuspect", Warning}         // what is known of a request that was in flight during several crashes has changed
	TargetCold                     = Event{4010, "TargetCold", Info}
	TargetWarm                     = Event{4011, "TargetWarm", Info}
	ColdTargetCrashed              = Event{4012, "ColdTargetCrashed", Warning} // a cold target got more requests than it tolerates and crashed; the crash counts against none of them
	TargetEvacuated                = Event{4014, "TargetEvacuated", Info}      // the data centre of the target beside this daemon is evacuated
	TargetRestored                 = Event{4015, "TargetRestored", Info}
	CallSent                       = Event{5001, "CallSent", Decision}        // the entry daemon sent an attempt to a target's daemon
	CallRetried                    = Event{5002, "CallRetried", Decision}     // the entry daemon retries a call
	CallConcluded                  = Event{5003, "CallConcluded", Decision}   // the entry daemon has the final outcome of a call
	CallQueued                     = Event{5004, "CallQueued", Decision}      // a target's daemon queued a call
	CallDispatched                 = Event{5005, "CallDispatched", Decision}  // a target's daemon sent a call to the target
	CallEnded                      = Event{5006, "CallEnded", Decision}       // a target's daemon got the outcome of a run
	CallBounced                    = Event{5007, "CallBounced", Decision}     // the entry daemon redirects a call that a target's daemon refused; the rest of the code calls this a redirect
	CallRefused                    = Event{5008, "CallRefused", Decision}     // a target's daemon refused a call
	CallInFlightAtCrash            = Event{5009, "CallInFlightAtCrash", Info} // not rate-limited: a crash has at most as many lines as the target has slots
	BodyRequested                  = Event{5010, "BodyRequested", Decision}   // a target's daemon requested the body of a call that may start
	BodyNotSent                    = Event{5011, "BodyNotSent", Decision}     // a call was answered before its body was requested
	RetryWithheld                  = Event{5012, "RetryWithheld", Decision}   // the entry daemon refuses a call that it could retry, since retries are short
)

// All returns all events.
func All() []Event {
	return []Event{
		DaemonStarted, DrainStarted, DaemonStopped, TaskFailed, LogLinesDropped, SettingsReloaded, SettingsRefused,
		SettingsNeedRestart, MachineSuspended, DrainTimedOut, StopTimedOut, PartStopped, HandlerPanicked, BoundsInForce,
		LimitReached,
		ReleaseInForce, NoteRefused, ConfigurationServiceUnreadable, NoteAccepted, NoteConflict, VMListUnreadable, StoreLost,
		StoreRegained, StoreHistoryGone, EntryUnusable, ConfigUnusable, StoreDuty, StoreChangesTooLarge, ConfigPartUnusable,
		DataCentreEvacuated, DataCentreRestored, StoreRestored, StoreEraUnreadable,
		LinkOpened, LinkFailed, PeerMessageRefused, PeerVersionMismatch, PeerDraining, PeerSilent, BodyFailed,
		TargetAdded, TargetWithdrawn, TargetConnectionsNotClosed, TargetDown, TargetUp, TargetCrashed, CrashReportsReceived,
		CrashEvidenceDropped, CrashSuspect, TargetCold, TargetWarm, ColdTargetCrashed, TargetEvacuated, TargetRestored,
		CallSent, CallRetried, CallConcluded, CallQueued, CallDispatched, CallEnded, CallBounced, CallRefused,
		CallInFlightAtCrash, BodyRequested, BodyNotSent, RetryWithheld,
	}
}
