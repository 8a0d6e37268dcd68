/*
 * Release heads of four daemons when operators publish two notes of one serial. A value stands for a
 * note and whether its holder knows the service's version of it; values grow with precedence:
 *   1 first note; serial 2: 2 = A, version unknown, 3 = B, version unknown, 4 = B, 5 = A;
 *   serial 3: 6 = note after B, 7 = note after A.
 * A was published before B, and the digest prefers B. Messages may be late, repeated and lost, and the
 * service may serve any older state: a daemon may get any value that was ever published or held.
 * Promised is that a head never moves to a lower serial nor to a note that loses; that daemons on two
 * branches converge once all pairs have exchanged digests; and that a note held by three daemons
 * survives the loss of two and a service that reverts: a head that replaces it follows it, or wins
 * against it by the rule for conflicts, which needs two notes of one serial to be published.
 */
#define DAEMONS 4
#define VALUES 7
#ifdef BROKEN_HOLDERS
#define HOLDERS 2
#else
#define HOLDERS 3
#endif
#define SERIAL(v) ((v) < 2 -> (v) : ((v) < 6 -> 2 : 3))
#define BRANCH_A(v) ((v) == 2 || (v) == 5 || (v) == 7)
#define BRANCH_B(v) ((v) == 3 || (v) == 4 || (v) == 6)
/* The same note, with its version known or not. */
#define SAME(v, w) (SERIAL(v) == SERIAL(w) && BRANCH_A(v) == BRANCH_A(w))
/* The releases of w contain those of v: the same note or one of a later serial on its branch. */
#define FOLLOWS(w, v) (SERIAL(w) >= SERIAL(v) && (SERIAL(v) < 2 || BRANCH_A(w) == BRANCH_A(v)))

byte seen = 0;           /* one bit for each value that was published or held */
byte head[DAEMONS];
byte accepted = 0;       /* the value that three daemons held */
bool both = false;       /* A and B, or the notes after them, were published */
byte losses = 0;         /* daemons lost since then */
byte d, e, i, n, v, old;

inline take(daemon, value) { /* relay.Replica.Offer and Take */
	old = head[daemon];
	if
	:: SERIAL(value) > SERIAL(old) ->
#ifdef BROKEN_SNAPSHOT
		/* only notes that follow the own head, no snapshots */
		if :: FOLLOWS(value, old) -> head[daemon] = value :: else fi
#else
		head[daemon] = value
#endif
	:: SERIAL(value) == SERIAL(old) ->
#ifdef BROKEN_CONFLICT
		/* the first note that a daemon sees stays */
		if :: SAME(value, old) && value > old -> head[daemon] = value :: else fi
#else
#ifdef BROKEN_PRECEDES
		/* the note that arrives last wins */
		head[daemon] = value
#else
		/* A snapshot of the own head does not tell its version. */
		if :: value > old -> head[daemon] = value :: value > old && SAME(value, old) -> skip :: else fi
#endif
#endif
	:: SERIAL(value) < SERIAL(old) ->
#ifdef BROKEN_LOWER
		head[daemon] = value
#else
		skip
#endif
	fi;
	assert(SERIAL(head[daemon]) >= SERIAL(old));
	assert(head[daemon] >= old);
	old = 0
}

inline accept(daemon) { /* relay.Replica.Held: the holders of the own head are counted */
	n = 0; old = head[daemon];
	for (i : 0 .. DAEMONS - 1) {
		if
		:: SAME(head[i], head[daemon]) -> n++; if :: head[i] < old -> old = head[i] :: else fi
		:: else
		fi
	};
	/* Known to all holders, so that the loss of two leaves it. */
	if :: n >= HOLDERS && old > accepted -> accepted = old; losses = 0 :: else fi;
	i = 0; n = 0; old = 0
}

#ifdef BROKEN_ONCE
/* Without the exception, the property needs operators never to publish two notes of a serial. */
#define ALLOWED false
#else
#define ALLOWED both
#endif

inline survives() {
	n = 0;
	for (i : 0 .. DAEMONS - 1) {
		if :: SERIAL(head[i]) >= SERIAL(accepted) && (FOLLOWS(head[i], accepted) || (ALLOWED && head[i] > accepted)) -> n = 1 :: else fi };
	assert(accepted == 0 || n == 1);
	i = 0; n = 0
}
active proctype World() {
	do
	/* The service's history: the first note; A; B over A (a broken rule of publication); what follows. */
	:: atomic { (seen & 2) == 0 -> seen = seen | 2 }
	:: atomic { (seen & 2) && (seen & 36) == 0 -> seen = seen | 36 }
	:: atomic { (seen & 36) && (seen & 24) == 0 -> seen = seen | 24; both = true }
	:: atomic { (seen & 36) && (seen & 128) == 0 -> seen = seen | 128 }
	:: atomic { (seen & 24) && (seen & 64) == 0 -> seen = seen | 64 }
	/* A daemon gets any value of a peer or of the service, at any time after it was told. */
	:: atomic { select(d : 0 .. DAEMONS - 1); select(v : 1 .. VALUES);
		if :: seen & (1 << v) -> take(d, v); accept(d); survives() :: else fi;
		d = 0; v = 0 }
	/* A daemon restarts with empty memory; it is one of the two that may be lost. */
	:: atomic { losses < 2 ->
		losses++; select(d : 0 .. DAEMONS - 1); head[d] = 0; survives(); d = 0 }
	/* All pairs exchange digests: a daemon pulls another head that is not of a lower serial. */
	:: atomic {
		for (e : 0 .. 1) {
			for (d : 0 .. DAEMONS - 1) {
				for (v : 0 .. DAEMONS - 1) {
					if :: SERIAL(head[v]) >= SERIAL(head[d]) && !SAME(head[v], head[d]) -> take(d, head[v]) :: else fi
				}
			}
		};
		for (d : 1 .. DAEMONS - 1) { assert(SAME(head[d], head[0])) };
		survives();
		d = 0; e = 0; v = 0 }
	od
}
