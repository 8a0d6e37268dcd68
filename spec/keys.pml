/*
 * One idempotency key, two fronts that send it for a caller, the daemon that owns it, and its target.
 * Time is abstract: any message can be late (a pause of the owner) or lost (a partition or a lost
 * link), and a front that got no answer sends the key again (reattachment, or a resend by the caller).
 * Each BROKEN_ define removes one rule; spec/broken has one file for each.
 */
#define SENDS 2   /* sends of each front */
#define WINDOW 1  /* epochs before the current one whose keys are valid */

mtype = { None, Queued, Running, Answered, Unknown, NotRun, NotRunEarlierUnknown };

chan toOwner = [2] of { byte, bool };  /* front; true for a send under another key */
chan toTarget = [1] of { byte };       /* the incarnation that dispatched the call */
chan toFront[2] = [1] of { mtype };

mtype entry = None;     /* ledger entry of the key */
byte incarnation = 0;   /* the key was issued by incarnation 0 in epoch 0 */
byte epoch = 0;
bool withdrawn = false; /* what the owner knows */
bool joined[2];
byte runs = 0;          /* what the target ran, over all incarnations */
byte losses = 0;
byte faults = 0;

inline answer(front, outcome) {
	/* The front may have given up; then nobody reads the reply. */
	assert(outcome != NotRun || (runs == 0 && empty(toTarget)));
	assert(outcome != Answered || runs == 1);
	if
	:: nfull(toFront[front]) -> toFront[front]!outcome
	:: full(toFront[front]) -> skip
	fi
}

inline answerAll(outcome) {
	if :: joined[0] -> answer(0, outcome) :: else fi;
	if :: joined[1] -> answer(1, outcome) :: else fi;
	joined[0] = false; joined[1] = false
}

/* ledger.Begin, after the message was read by local.arrive */
inline begin(front) {
	if
#ifdef BROKEN_INCARNATION
	:: incarnation != 0 && false -> skip
#else
	:: incarnation != 0 ->
#ifdef BROKEN_NOTRUN
		answer(front, NotRun)
#else
		answer(front, NotRunEarlierUnknown)
#endif
#endif
#ifndef BROKEN_EPOCH
	:: incarnation == 0 && epoch > WINDOW -> answer(front, NotRunEarlierUnknown)
#endif
	:: else ->
		if
		:: entry == None && withdrawn -> answer(front, NotRun)
		:: entry == None && !withdrawn -> entry = Queued; joined[front] = true
		:: entry == Queued -> joined[front] = true
#ifdef BROKEN_JOIN
		:: entry == Running -> entry = Queued; joined[front] = true
#else
		:: entry == Running -> joined[front] = true
#endif
		:: entry == Answered -> answer(front, Answered)
		:: entry == Unknown -> answer(front, Unknown)
		fi
	fi
}

active proctype Owner() {
	byte front; bool fresh;
	do
	:: atomic { toOwner?front, fresh ->
		if
		:: fresh -> entry = None; begin(front) /* another key has an entry of its own */
		:: !fresh -> begin(front)
		fi; front = 0; fresh = false }
	/* local.dispatch */
	:: atomic { entry == Queued && nfull(toTarget) ->
		assert(!withdrawn); toTarget!incarnation; entry = Running }
	/* local.flush on withdrawal: ledger.Release */
	:: atomic { !withdrawn && faults < 3 -> faults++; withdrawn = true;
#ifndef BROKEN_WITHDRAWN
		if :: entry == Queued -> entry = None; answerAll(NotRun) :: else fi
#endif
	   }
	/* local.setRelease: the target returns and keeps its ledger */
	:: atomic { withdrawn && faults < 3 -> faults++; withdrawn = false;
#ifdef BROKEN_RETURN
		entry = None
#endif
	   }
	/* ledger.Advance drops the epoch; a running call still answers */
	:: atomic { epoch <= WINDOW -> epoch++;
		if
		:: epoch > WINDOW && entry != Running && entry != Queued -> entry = None
		:: else
		fi }
	/* restart: all memory is lost, what the target runs goes on */
	:: atomic { incarnation == 0 && faults < 3 -> faults++; incarnation = 1; epoch = 0; entry = None;
		joined[0] = false; joined[1] = false }
	od
}

active proctype Target() {
	byte by; mtype end; bool ran;
	do
	:: atomic { toTarget?by ->
		if
		:: end = Answered; ran = true
		:: end = Unknown; ran = true  /* crash in the call, after its effect */
		:: end = Unknown; ran = false /* crash in the call, before it */
		:: end = NotRun; ran = false  /* refused connection, or shed with proof */
		fi;
		if :: ran -> runs++; assert(runs <= 1) :: else fi;
#ifdef BROKEN_UNKNOWN
		if :: end == Unknown -> end = NotRun :: else fi;
#endif
		/* local.complete: ledger.Finish, or ledger.Release for a call that was not run */
		if
		:: by == incarnation && entry == Running ->
			if :: end == NotRun -> entry = None :: else -> entry = end fi;
			answerAll(end)
		:: else
		fi;
		/* the epoch was dropped while the call ran */
		if :: epoch > WINDOW -> entry = None :: else fi;
		by = 0; end = 0; ran = false }
	od
}

proctype Front(byte me) {
	byte sends = 0; mtype outcome; bool fresh = false;
	do
	:: atomic { sends < SENDS && nfull(toOwner) -> sends++; toOwner!me, fresh }
	:: atomic { sends < SENDS && losses < 2 -> sends++; losses++ } /* the send is lost */
	:: atomic { toFront[me]?outcome; outcome = 0 }
	:: atomic { losses < 2 && nempty(toFront[me]) -> toFront[me]?outcome; outcome = 0; losses++;
#ifdef BROKEN_REATTACH
		fresh = true
#endif
	   }
	:: sends == SENDS && empty(toFront[me]) -> break
	od
}

init { atomic { run Front(0); run Front(1) } }
