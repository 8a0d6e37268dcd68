/*
 * The confirmation of a daemon that starts with empty memory, or compares its head after a pause: it
 * runs a keyed call only after two of its three peers, or all that its release names when these are
 * fewer, answered with a head not ahead of its own. Heads grow with precedence: 1; serial 2: 2 = B, 3 = A;
 * serial 3: 4 = note after B, 5 = note after A. A and the note after it withdraw the daemon's target.
 * Release 1 names one peer. The confirmation by timeout promises nothing and is left out.
 * Promised is that no keyed call runs on a target that is withdrawn by a release that a counted peer
 * held when the comparison began, or that two peers held when two were counted, unless the own
 * release wins against that one.
 */
#define PEERS 3
#define SERIAL(v) ((v) < 2 -> (v) : ((v) < 4 -> 2 : 3))
#define WITHDRAWS(v) ((v) == 3 || (v) == 5)
#ifdef BROKEN_ONE
#define NEEDED 1
#else
#define NEEDED (own == 1 -> 1 : 2)
#endif
#ifdef BROKEN_SERIAL
#define NOT_BEHIND(peer) (SERIAL(own) >= SERIAL(peer))
#else
#ifdef BROKEN_BEHIND
#define NOT_BEHIND(peer) true
#else
#define NOT_BEHIND(peer) (own == (peer) || SERIAL(own) > SERIAL(peer))
#endif
#endif

byte own = 0;
byte head[PEERS];
byte before[PEERS];  /* the head of a peer when the comparison began */
bool counted[PEERS];
byte count = 0;
byte behind, p, v;

inline begin() {
	for (p : 0 .. PEERS - 1) { before[p] = head[p]; counted[p] = false };
	count = 0; p = 0
}

active proctype World() {
	do
	/* A peer takes a head from the service or another peer. */
	:: atomic { select(p : 0 .. PEERS - 1); select(v : 1 .. 5);
		if :: v > head[p] -> head[p] = v :: else fi; p = 0; v = 0 }
	/* The daemon takes a head from a peer, or from a service that may be stale. */
	:: atomic { select(v : 1 .. 5); if :: v > own -> own = v :: else fi; v = 0 }
	/* relay.NewConfirmation: restart with empty memory */
	:: atomic { own = 0; begin() }
	/* relay.NewComparison: the process was paused */
	:: atomic { begin() }
	/* relay.Confirmation.Answered: the answer to a request from after the begin tells a head that the
	 * peer held since then, although it may be late. */
	:: atomic { select(p : 0 .. PEERS - 1); select(v : 0 .. 5);
		if
		:: v >= before[p] && v <= head[p] && NOT_BEHIND(v) && !counted[p] -> counted[p] = true; count++
#ifdef BROKEN_SENT
		/* an answer to a request from before the begin */
		:: v <= before[p] && NOT_BEHIND(v) && !counted[p] -> counted[p] = true; count++
#endif
		:: else
		fi;
		p = 0; v = 0 }
	/* A keyed call runs. */
#ifdef BROKEN_UNCONFIRMED
	:: atomic { own > 0 && !WITHDRAWS(own) ->
#else
	:: atomic { own > 0 && !WITHDRAWS(own) && count >= NEEDED ->
#endif
		for (p : 0 .. PEERS - 1) {
			if :: WITHDRAWS(before[p]) && before[p] > own -> behind++; assert(!counted[p]) :: else fi };
		assert(own == 1 || behind < 2);
		p = 0; behind = 0 }
	od
}
