/*
 * A call without a key that is not idempotent: the daemon at which it entered sends it to one target after the other,
 * through the daemon beside each. Links may be lost with a call or a reply on them, targets may crash, refuse with
 * their proof, or begin to leave while the call waits. Promised is that the call runs at most once, that it does not
 * run after its caller was told that it has not, and that no target runs it that the daemon beside it knows to leave.
 */
#define TARGETS 2
#define SENDS 3

mtype = { Call, Done, Failed, NotRun, Pending, Idle, Queued, Sent, Running };

chan to[TARGETS] = [1] of { mtype };
chan from[TARGETS] = [1] of { mtype };
mtype beside[TARGETS];
bool leaves[TARGETS];
mtype answer = Pending;
byte runs = 0;

/* router.Task: retry.Policy.Decide */
active proctype Router() {
	byte t = 0, sends = 0;
	bool waiting = false;
	do
	/* router.Task.place, send */
	:: answer == Pending && !waiting && sends < SENDS ->
		atomic { select(t : 0 .. TARGETS - 1); sends++; to[t]!Call; waiting = true }
	/* The link cannot be opened: nothing was sent. */
	:: answer == Pending && !waiting && sends < SENDS -> sends++
	/* No target is left, or the caller leaves, or the deadline passes before a send. */
	:: answer == Pending && !waiting -> answer = NotRun
	:: atomic { answer == Pending && waiting && from[t]?[NotRun] -> from[t]?NotRun; waiting = false }
	:: atomic { answer == Pending && waiting && from[t]?[Done] -> from[t]?Done; answer = Done }
	:: atomic { answer == Pending && waiting && from[t]?[Failed] -> from[t]?Failed;
#ifdef BROKEN_UNKNOWN
		waiting = false }
#else
		answer = Failed }
#endif
	/* link.Task: the session ends with the call under way; the call may still arrive. */
	:: atomic { answer == Pending && waiting ->
#ifdef BROKEN_LOST
		waiting = false }
#else
		answer = Failed }
#endif
	/* The deadline passes, or the caller leaves, with the call under way. */
	:: atomic { answer == Pending && waiting ->
#ifdef BROKEN_LATE
		answer = NotRun }
#else
		answer = Failed }
#endif
	:: answer != Pending -> break
	od
}

inline reply(m) { if :: nfull(from[t]) -> from[t]!m :: full(from[t]) -> skip /* the link was lost */ fi }

/* local.Task */
active [TARGETS] proctype Beside() {
	byte t = _pid - 1;
	beside[t] = Idle;
	do
	/* The roster says that the target leaves, and the queue is flushed: local.Task.setRelease, flush */
	:: atomic { !leaves[t] -> leaves[t] = true;
#ifndef BROKEN_LEAVES
		if :: beside[t] == Queued -> reply(NotRun); beside[t] = Idle :: else fi
#endif
		}
	/* local.Task.arrive, closed */
	:: atomic { to[t]?[Call] && beside[t] == Idle -> to[t]?Call;
		if :: leaves[t] -> reply(NotRun) :: else -> beside[t] = Queued fi }
	/* admit.Drop: the call is refused while it waits */
	:: atomic { beside[t] == Queued -> reply(NotRun);
#ifndef BROKEN_DROP
		beside[t] = Idle
#endif
		}
	/* admit.Dispatch, local.Task.dispatch */
	:: atomic { beside[t] == Queued -> assert(!leaves[t]); beside[t] = Sent }
	/* The target refuses with its proof, or no connection to it could be opened. */
	:: atomic { beside[t] == Sent -> reply(NotRun); beside[t] = Idle }
	:: atomic { beside[t] == Sent -> runs++; assert(runs <= 1); assert(answer != NotRun); beside[t] = Running }
	:: atomic { beside[t] == Running -> reply(Done); beside[t] = Idle }
	/* The connection breaks: what became of the call is not known. */
	:: atomic { (beside[t] == Sent || beside[t] == Running) ->
#ifdef BROKEN_CRASH
		reply(NotRun);
#else
		reply(Failed);
#endif
		/* A call that was written may still run. */
		if :: beside[t] == Sent -> runs++; assert(runs <= 1); assert(answer != NotRun) :: else fi;
		beside[t] = Idle }
	od
}
