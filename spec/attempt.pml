/*
 * Attempts of a non-idempotent call without an idempotency key. The router of the daemon that received the call sends
 * it to one target after the other, through the daemon on the VM of each target. Links may be lost with a call or a
 * reply in transit. Targets may crash, refuse the call with a response that says that it was not run, or start
 * draining while the call is queued. Each BROKEN_ macro removes one rule; spec/broken has one file for each.
 *
 * Properties: the call runs at most once; it does not run after its caller was told that it was not run; and a daemon
 * does not dispatch it to a target that it knows to be draining.
 */
#define TARGETS 2
#define SENDS 3

mtype = { Call, Answered, Unknown, NotRun, Pending, Idle, Queued, Sent, Running };

chan calls[TARGETS] = [1] of { mtype };
chan replies[TARGETS] = [1] of { mtype };
mtype state[TARGETS];
bool draining[TARGETS];
mtype outcome = Pending;
byte runs = 0;

/* The router (router.Task), which sends the call again as far as retry.Policy.Decide allows. */
active proctype Router() {
	byte t = 0, sends = 0;
	bool waiting = false;
	do
	/* router.Task chooses a target for the call and sends it. */
	:: outcome == Pending && !waiting && sends < SENDS ->
		atomic { select(t : 0 .. TARGETS - 1); sends++; calls[t]!Call; waiting = true }
	/* The link cannot be opened, so nothing was sent. */
	:: outcome == Pending && !waiting && sends < SENDS -> sends++
	/* No target is left, the caller disconnects or the deadline passes while no send is awaiting a reply. */
	:: outcome == Pending && !waiting -> outcome = NotRun
	:: atomic { outcome == Pending && waiting && replies[t]?[NotRun] -> replies[t]?NotRun; waiting = false }
	:: atomic { outcome == Pending && waiting && replies[t]?[Answered] -> replies[t]?Answered; outcome = Answered }
	:: atomic { outcome == Pending && waiting && replies[t]?[Unknown] -> replies[t]?Unknown;
#ifdef BROKEN_UNKNOWN
		waiting = false }
#else
		outcome = Unknown }
#endif
	/* link.Task: the session ends with the call in transit. The call may still arrive. */
	:: atomic { outcome == Pending && waiting ->
#ifdef BROKEN_LOST
		waiting = false }
#else
		outcome = Unknown }
#endif
	/* The deadline passes or the caller disconnects while the call is in transit or running. */
	:: atomic { outcome == Pending && waiting ->
#ifdef BROKEN_LATE
		outcome = NotRun }
#else
		outcome = Unknown }
#endif
	:: outcome != Pending -> break
	od
}

/* If the channel is full, an earlier reply was never read, because the link was lost. */
inline reply(m) { if :: nfull(replies[t]) -> replies[t]!m :: full(replies[t]) -> skip fi }

/* local.Task */
active [TARGETS] proctype LocalTask() {
	byte t = _pid - 1;
	state[t] = Idle;
	do
	/* local.Task: a new release says that the target is draining, and the queued calls are refused. */
	:: atomic { !draining[t] -> draining[t] = true;
#ifndef BROKEN_LEAVES
		if :: state[t] == Queued -> reply(NotRun); state[t] = Idle :: else fi
#endif
		}
	/* local.Task: a call arrives. It is refused if the target is draining. */
	:: atomic { calls[t]?[Call] && state[t] == Idle -> calls[t]?Call;
		if :: draining[t] -> reply(NotRun) :: else -> state[t] = Queued fi }
	/* admit.Drop: the queued call is refused. */
	:: atomic { state[t] == Queued -> reply(NotRun);
#ifndef BROKEN_DROP
		state[t] = Idle
#endif
		}
	/* admit.Dispatch: local.Task dispatches the call to the target. */
	:: atomic { state[t] == Queued -> assert(!draining[t]); state[t] = Sent }
	/* The target answers that it did not run the call, or no connection to it can be opened. */
	:: atomic { state[t] == Sent -> reply(NotRun); state[t] = Idle }
	:: atomic { state[t] == Sent -> runs++; assert(runs <= 1); assert(outcome != NotRun); state[t] = Running }
	:: atomic { state[t] == Running -> reply(Answered); state[t] = Idle }
	/* The connection is lost, so the outcome of the call is unknown. */
	:: atomic { (state[t] == Sent || state[t] == Running) ->
#ifdef BROKEN_CRASH
		reply(NotRun);
#else
		reply(Unknown);
#endif
		/* A call that has been sent may still run. */
		if :: state[t] == Sent -> runs++; assert(runs <= 1); assert(outcome != NotRun) :: else fi;
		state[t] = Idle }
	od
}
