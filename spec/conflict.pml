/*
 * Release heads of four daemons when operators publish two conflicting notes with the same serial. A head value
 * identifies a note and whether its holder knows the configuration service's version of the note. Values are ordered
 * by precedence:
 *   serial 1: 1 = first note;
 *   serial 2: 2 = note A, version unknown; 3 = note B, version unknown; 4 = note B; 5 = note A;
 *   serial 3: 6 = note after B; 7 = note after A.
 * A has precedence once its version is known, because it was published first; until then B has precedence by its
 * digest. Note A and the note after it are branch A; note B and the note after it are branch B. Messages may be late,
 * repeated or lost, and the service may return any older state, so a daemon may receive any value that was ever
 * published or held.
 *
 * Properties: a head never moves to a lower serial or to a note of lower precedence. Daemons on different branches
 * converge once all pairs have exchanged digests. A note held by three daemons survives the loss of two of them and a
 * service that reverts to an older state. A note survives if some daemon's head is the note or follows it. If two notes
 * with the same serial were published, it also survives if some head has precedence over it.
 *
 * Each BROKEN_ macro removes one rule; spec/broken has one file for each.
 */
#define DAEMONS 4
#define VALUES 7
#ifdef BROKEN_HOLDERS
#define HOLDERS_NEEDED 2
#else
#define HOLDERS_NEEDED 3
#endif
#define SERIAL(v) ((v) < 2 -> (v) : ((v) < 6 -> 2 : 3))
#define BRANCH_A(v) ((v) == 2 || (v) == 5 || (v) == 7)
#define BRANCH_B(v) ((v) == 3 || (v) == 4 || (v) == 6)
/* The same note, whether or not its version is known. */
#define SAME(v, w) (SERIAL(v) == SERIAL(w) && BRANCH_A(v) == BRANCH_A(w))
/* w is the same note as v, or a note of a later serial on its branch. */
#define FOLLOWS(w, v) (SERIAL(w) >= SERIAL(v) && (SERIAL(v) < 2 || BRANCH_A(w) == BRANCH_A(v)))

/* The bits of available that a note sets. Notes A and B set one with their version known and one with it unknown. */
#define NOTE_FIRST (1 << 1)
#define NOTE_A ((1 << 2) | (1 << 5))
#define NOTE_B ((1 << 3) | (1 << 4))
#define NOTE_AFTER_B (1 << 6)
#define NOTE_AFTER_A (1 << 7)

byte available = 0;             /* one bit for each value that was published or held */
byte head[DAEMONS];
byte accepted = 0;              /* the highest value that three daemons have held */
bool conflictPublished = false; /* two notes with the same serial were published */
byte lostDaemons = 0;           /* daemons lost since accepted was last updated */
byte d, e, i, n, v, previous;

/* relay.Replica.ApplyNote and ApplySnapshot: the daemon receives a note or a snapshot whose head is value. */
inline apply(daemon, value) {
	previous = head[daemon];
	if
	:: SERIAL(value) > SERIAL(previous) ->
#ifdef BROKEN_SNAPSHOT
		/* Only notes that follow the daemon's head are applied, and snapshots are not. */
		if :: FOLLOWS(value, previous) -> head[daemon] = value :: else fi
#else
		head[daemon] = value
#endif
	:: SERIAL(value) == SERIAL(previous) ->
#ifdef BROKEN_CONFLICT
		/* The first note that a daemon receives is kept. */
		if :: SAME(value, previous) && value > previous -> head[daemon] = value :: else fi
#else
#ifdef BROKEN_PRECEDES
		/* The note that arrives last replaces the head. */
		head[daemon] = value
#else
		/* A snapshot of the note that the daemon already holds is ignored, so the version may stay unknown. */
		if :: value > previous -> head[daemon] = value :: value > previous && SAME(value, previous) -> skip :: else fi
#endif
#endif
	:: SERIAL(value) < SERIAL(previous) ->
#ifdef BROKEN_LOWER
		head[daemon] = value
#else
		skip
#endif
	fi;
	assert(SERIAL(head[daemon]) >= SERIAL(previous));
	assert(head[daemon] >= previous);
	previous = 0
}

/* relay.Replica.AddHolder: n counts the holders of the daemon's head, previous is their lowest value. */
inline updateAccepted(daemon) {
	n = 0; previous = head[daemon];
	for (i : 0 .. DAEMONS - 1) {
		if
		:: SAME(head[i], head[daemon]) -> n++; if :: head[i] < previous -> previous = head[i] :: else fi
		:: else
		fi
	};
	/* All holders know the lowest of their values, so it survives the loss of two. */
	if :: n >= HOLDERS_NEEDED && previous > accepted -> accepted = previous; lostDaemons = 0 :: else fi;
	i = 0; n = 0; previous = 0
}

#ifdef BROKEN_ONCE
/* If operators publish two notes with one serial, the accepted note may be replaced by the one that has precedence.
 * This variant does not allow that. */
#define CONFLICT_ALLOWED false
#else
#define CONFLICT_ALLOWED conflictPublished
#endif

inline checkSurvival() { /* n is 1 if the accepted note survives in some head */
	n = 0;
	for (i : 0 .. DAEMONS - 1) {
		if :: SERIAL(head[i]) >= SERIAL(accepted) && (FOLLOWS(head[i], accepted) || (CONFLICT_ALLOWED && head[i] > accepted)) -> n = 1 :: else fi };
	assert(accepted == 0 || n == 1);
	i = 0; n = 0
}
active proctype System() {
	do
	/* The service publishes the first note, then note A, then perhaps note B in place of A (which operators must not
	 * do), and the notes after A and B. */
	:: atomic { (available & NOTE_FIRST) == 0 -> available = available | NOTE_FIRST }
	:: atomic { (available & NOTE_FIRST) && (available & NOTE_A) == 0 -> available = available | NOTE_A }
	:: atomic { (available & NOTE_A) && (available & NOTE_B) == 0 -> available = available | NOTE_B; conflictPublished = true }
	:: atomic { (available & NOTE_A) && (available & NOTE_AFTER_A) == 0 -> available = available | NOTE_AFTER_A }
	:: atomic { (available & NOTE_B) && (available & NOTE_AFTER_B) == 0 -> available = available | NOTE_AFTER_B }
	/* A daemon receives any available value from a peer or the service. */
	:: atomic { select(d : 0 .. DAEMONS - 1); select(v : 1 .. VALUES);
		if :: available & (1 << v) -> apply(d, v); updateAccepted(d); checkSurvival() :: else fi;
		d = 0; v = 0 }
	/* A daemon restarts with empty memory. At most two are lost in this way. */
	:: atomic { lostDaemons < 2 ->
		lostDaemons++; select(d : 0 .. DAEMONS - 1); head[d] = 0; checkSurvival(); d = 0 }
	/* All pairs exchange digests: a daemon pulls every other head with the same or a higher serial. */
	:: atomic {
		for (e : 0 .. 1) {
			for (d : 0 .. DAEMONS - 1) {
				for (v : 0 .. DAEMONS - 1) {
					if :: SERIAL(head[v]) >= SERIAL(head[d]) && !SAME(head[v], head[d]) -> apply(d, head[v]) :: else fi
				}
			}
		};
		for (d : 1 .. DAEMONS - 1) { assert(SAME(head[d], head[0])) };
		checkSurvival();
		d = 0; e = 0; v = 0 }
	od
}
