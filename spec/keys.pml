/*
 * One idempotency key, two daemons that receive calls with it from a caller (the receivers), the daemon that owns the
 * key, and its target. Time is abstract: any message can be late (the owner is paused) or lost (a partition or a lost
 * link), and a receiver that got no answer sends the key again, over a new link or because the caller retries. Each
 * BROKEN_ macro removes one rule; spec/broken has one file for each.
 *
 * Properties: the target runs the call at most once; the answer NotRun is given only if the call has not run and is not
 * on its way to the target; the answer Answered only if it ran once; and nothing is dispatched to a withdrawn target.
 */
#define SENDS 2   /* sends of each receiver */
#define PREVIOUS_EPOCHS 1  /* number of epochs before the current one whose keys are valid */

mtype = { None, Queued, Running, Answered, Unknown, NotRun, NotRunEarlierUnknown };

chan toOwner = [2] of { byte, bool };  /* the sending receiver, and whether it uses another key */
chan toTarget = [1] of { byte };       /* incarnation of the owner that dispatched the call */
chan toReceiver[2] = [1] of { mtype };

mtype entry = None;     /* ledger entry of the key */
byte incarnation = 0;   /* of the owner; the key was issued by incarnation 0 in epoch 0 */
byte epoch = 0;
bool withdrawn = false; /* whether the owner knows that the target is withdrawn */
bool joined[2];
byte runs = 0;          /* runs by the target, over all incarnations of the owner */
byte losses = 0;
byte faults = 0;

inline answer(receiver, outcome) {
	assert(outcome != NotRun || (runs == 0 && empty(toTarget)));
	assert(outcome != Answered || runs == 1);
	if
	:: nfull(toReceiver[receiver]) -> toReceiver[receiver]!outcome
	:: full(toReceiver[receiver]) -> skip /* the receiver has given up and does not read the reply */
	fi
}

inline answerAll(outcome) {
	if :: joined[0] -> answer(0, outcome) :: else fi;
	if :: joined[1] -> answer(1, outcome) :: else fi;
	joined[0] = false; joined[1] = false
}

/* local.Task: a call with the key arrives (ledger.Ledger.Begin). */
inline begin(receiver) {
	if
#ifdef BROKEN_INCARNATION
	:: incarnation != 0 && false -> skip /* never taken */
#else
	:: incarnation != 0 ->
#ifdef BROKEN_NOTRUN
		answer(receiver, NotRun)
#else
		answer(receiver, NotRunEarlierUnknown)
#endif
#endif
#ifndef BROKEN_EPOCH
	:: incarnation == 0 && epoch > PREVIOUS_EPOCHS -> answer(receiver, NotRunEarlierUnknown)
#endif
	:: else ->
		if
		:: entry == None && withdrawn -> answer(receiver, NotRun)
		:: entry == None && !withdrawn -> entry = Queued; joined[receiver] = true
		:: entry == Queued -> joined[receiver] = true
#ifdef BROKEN_JOIN
		:: entry == Running -> entry = Queued; joined[receiver] = true
#else
		:: entry == Running -> joined[receiver] = true
#endif
		:: entry == Answered -> answer(receiver, Answered)
		:: entry == Unknown -> answer(receiver, Unknown)
		fi
	fi
}

active proctype Owner() {
	byte receiver; bool otherKey;
	do
	:: atomic { toOwner?receiver, otherKey ->
		if
		:: otherKey -> entry = None; begin(receiver) /* the other key has its own entry */
		:: !otherKey -> begin(receiver)
		fi; receiver = 0; otherKey = false }
	/* local.Task dispatches the call to the target. */
	:: atomic { entry == Queued && nfull(toTarget) ->
		assert(!withdrawn); toTarget!incarnation; entry = Running }
	/* local.Task: the target is withdrawn, and the queued calls are refused (ledger.Ledger.Release). */
	:: atomic { !withdrawn && faults < 3 -> faults++; withdrawn = true;
#ifndef BROKEN_WITHDRAWN
		if :: entry == Queued -> entry = None; answerAll(NotRun) :: else fi
#endif
	   }
	/* local.Task: a new release adds the target again. The task has kept the ledger. */
	:: atomic { withdrawn && faults < 3 -> faults++; withdrawn = false;
#ifdef BROKEN_RETURN
		entry = None
#endif
	   }
	/* ledger.Ledger.AdvanceEpoch: the epoch of the key is no longer valid, and its entry is removed. A running call is
	 * still answered. */
	:: atomic { epoch <= PREVIOUS_EPOCHS -> epoch++;
		if
		:: epoch > PREVIOUS_EPOCHS && entry != Running && entry != Queued -> entry = None
		:: else
		fi }
	/* The owner restarts and loses its memory. The target continues to run the call. */
	:: atomic { incarnation == 0 && faults < 3 -> faults++; incarnation = 1; epoch = 0; entry = None;
		joined[0] = false; joined[1] = false }
	od
}

active proctype Target() {
	byte dispatcher; mtype result; bool ran;
	do
	:: atomic { toTarget?dispatcher ->
		if
		:: result = Answered; ran = true
		:: result = Unknown; ran = true  /* crash during the call, after its effect */
		:: result = Unknown; ran = false /* crash during the call, before its effect */
		:: result = NotRun; ran = false  /* connection refused, or answer that the call was not run */
		fi;
		if :: ran -> runs++; assert(runs <= 1) :: else fi;
#ifdef BROKEN_UNKNOWN
		if :: result == Unknown -> result = NotRun :: else fi;
#endif
		/* local.Task: the result arrives (ledger.Ledger.Finish, or Release for a call that was not run). */
		if
		:: dispatcher == incarnation && entry == Running ->
			if :: result == NotRun -> entry = None :: else -> entry = result fi;
			answerAll(result)
		:: else
		fi;
		/* The epoch of the key became invalid while the call ran. */
		if :: epoch > PREVIOUS_EPOCHS -> entry = None :: else fi;
		dispatcher = 0; result = 0; ran = false }
	od
}

proctype Receiver(byte id) {
	byte sends = 0; mtype outcome; bool otherKey = false;
	do
	:: atomic { sends < SENDS && nfull(toOwner) -> sends++; toOwner!id, otherKey }
	:: atomic { sends < SENDS && losses < 2 -> sends++; losses++ } /* the send is lost */
	:: atomic { toReceiver[id]?outcome; outcome = 0 }
	/* The answer is lost. */
	:: atomic { losses < 2 && nempty(toReceiver[id]) -> toReceiver[id]?outcome; outcome = 0; losses++;
#ifdef BROKEN_REATTACH
		otherKey = true
#endif
	   }
	:: sends == SENDS && empty(toReceiver[id]) -> break
	od
}

init { atomic { run Receiver(0); run Receiver(1) } }
