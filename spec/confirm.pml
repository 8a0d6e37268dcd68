/*
 * Confirmation of the release by a daemon that has started with empty memory, or that compares its head (the serial and
 * digest of its release) with those of its peers after a process pause. It runs a keyed call only after two of its
 * three peers (or one, if its release names only one) have answered with a head that is not newer than its own.
 *
 * Head values are ordered by precedence:
 *   serial 1: 1 = first note;
 *   serial 2: 2 = note B; 3 = note A;
 *   serial 3: 4 = note after B; 5 = note after A.
 * Note A and the note after it withdraw the daemon's target. Release 1 names one peer. The model leaves out
 * confirmation by timeout, which guarantees nothing.
 *
 * Property: no keyed call runs if a counted peer held, when the comparison started, a release that withdraws the target
 * and has precedence over the daemon's release. If its release requires two answers, no keyed call runs either if any
 * two peers, counted or not, held such a release. Each BROKEN_ macro removes one rule; spec/broken has one file for
 * each.
 */
#define PEERS 3
#define SERIAL(v) ((v) < 2 -> (v) : ((v) < 4 -> 2 : 3))
#define WITHDRAWS(v) ((v) == 3 || (v) == 5)
#ifdef BROKEN_ONE
#define NEEDED 1
#else
#define NEEDED (ownHead == 1 -> 1 : 2)
#endif
#ifdef BROKEN_SERIAL
#define OWN_NOT_BEHIND(peer) (SERIAL(ownHead) >= SERIAL(peer))
#else
#ifdef BROKEN_BEHIND
#define OWN_NOT_BEHIND(peer) true
#else
#define OWN_NOT_BEHIND(peer) (ownHead == (peer) || SERIAL(ownHead) > SERIAL(peer))
#endif
#endif

byte ownHead = 0;
byte head[PEERS];
byte headAtStart[PEERS];  /* the head of each peer when the comparison started */
bool counted[PEERS];
byte answered = 0;
byte newerWithdrawals, p, v;

inline startComparison() {
	for (p : 0 .. PEERS - 1) { headAtStart[p] = head[p]; counted[p] = false };
	answered = 0; p = 0
}

active proctype System() {
	do
	/* A peer receives a head from the configuration service or another peer. */
	:: atomic { select(p : 0 .. PEERS - 1); select(v : 1 .. 5);
		if :: v > head[p] -> head[p] = v :: else fi; p = 0; v = 0 }
	/* The daemon receives a head from a peer, or from the configuration service, which may be stale. */
	:: atomic { select(v : 1 .. 5); if :: v > ownHead -> ownHead = v :: else fi; v = 0 }
	/* relay.NewConfirmation: the daemon restarts with empty memory. */
	:: atomic { ownHead = 0; startComparison() }
	/* relay.NewConfirmationWithTimeout: the process was paused. */
	:: atomic { startComparison() }
	/* relay.Confirmation.AddAnswer: a peer answers a request that was sent after the start. The answer may be late: it
	 * carries any head that the peer has held since the start. */
	:: atomic { select(p : 0 .. PEERS - 1); select(v : 0 .. 5);
		if
		:: v >= headAtStart[p] && v <= head[p] && OWN_NOT_BEHIND(v) && !counted[p] -> counted[p] = true; answered++
#ifdef BROKEN_SENT
		/* An answer to a request that was sent before the start counts too. */
		:: v <= headAtStart[p] && OWN_NOT_BEHIND(v) && !counted[p] -> counted[p] = true; answered++
#endif
		:: else
		fi;
		p = 0; v = 0 }
	/* A keyed call runs. */
#ifdef BROKEN_UNCONFIRMED
	:: atomic { ownHead > 0 && !WITHDRAWS(ownHead) ->
#else
	:: atomic { ownHead > 0 && !WITHDRAWS(ownHead) && answered >= NEEDED ->
#endif
		for (p : 0 .. PEERS - 1) {
			if :: WITHDRAWS(headAtStart[p]) && headAtStart[p] > ownHead -> newerWithdrawals++; assert(!counted[p]) :: else fi };
		assert(ownHead == 1 || newerWithdrawals < 2);
		p = 0; newerWithdrawals = 0 }
	od
}
