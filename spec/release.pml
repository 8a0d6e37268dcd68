/*
 * Release heads of four daemons, a service that may serve any older state, and the target that note 1
 * withdraws, beside daemon 0. A head stands for (serial, digest); conflicts of a serial are left to
 * the tests of fleet/note. A note is accepted when three daemons hold it. A daemon that restarts has
 * an empty memory and takes the highest head among those that answer: any part of the daemons, or
 * none when it is partitioned (Unconfirmed). Promised is that an accepted note survives the loss of
 * two daemons, that a daemon never goes back, and that a target gets no new run once its daemon knows
 * of its withdrawal.
 */
#define DAEMONS 4
#define NOTES 3
#ifdef BROKEN_ACCEPT
#define HOLDERS 1
#else
#define HOLDERS 3
#endif

byte published = 0;
byte head[DAEMONS];
byte floor[DAEMONS];  /* the highest head since the process started */
byte accepted = 0;
byte losses = 0;      /* daemons lost since the note was accepted */
byte d, i, n, best;

inline take(daemon, value) { /* note.Apply, or a snapshot to a higher serial */
#ifdef BROKEN_REVERT
	head[daemon] = value;
#else
	if :: value > head[daemon] -> head[daemon] = value :: else fi;
#endif
	assert(head[daemon] >= floor[daemon]);
	floor[daemon] = head[daemon]
}

inline accept() { /* relay.Offer and Ack: the holders are counted */
	n = 0;
	for (i : 0 .. DAEMONS - 1) { if :: head[i] >= accepted + 1 -> n++ :: else fi };
	if :: n >= HOLDERS -> accepted++; losses = 0 :: else fi;
	i = 0; n = 0
}

inline survives() {
	best = 0;
	for (i : 0 .. DAEMONS - 1) { if :: head[i] > best -> best = head[i] :: else fi };
	assert(best >= accepted);
	i = 0; best = 0
}

active proctype World() {
	do
	:: atomic { published < NOTES -> published++ }
	/* watch and keeper: any daemon reads the service, which may be stale */
	:: atomic { select(d : 0 .. DAEMONS - 1); select(n : 0 .. NOTES);
		if :: n <= published -> take(d, n) :: else fi;
		d = 0; n = 0; accept() }
	/* relay.Offer: a daemon takes the head of another; any pair may be partitioned at any time */
	:: atomic { select(d : 0 .. DAEMONS - 1); select(n : 0 .. DAEMONS - 1);
		best = head[n]; take(d, best);
		d = 0; n = 0; best = 0; accept() }
	/* keeper: restart with empty memory; the answers of any part of the others and of the service */
	:: atomic { losses < 2 ->
		losses++; select(d : 0 .. DAEMONS - 1); head[d] = 0; floor[d] = 0;
		survives();
		for (i : 0 .. DAEMONS - 1) { if :: head[i] > best -> best = head[i] :: true fi };
		take(d, best);
#ifndef BROKEN_CONFIRM
		/* confirmed by all the others: not behind what was accepted */
		if
		:: true
		:: n = 0; for (i : 0 .. DAEMONS - 1) { if :: head[i] > n -> n = head[i] :: else fi };
			take(d, n); assert(head[d] >= accepted)
		fi;
#else
		assert(head[d] >= accepted);
#endif
		d = 0; n = 0; i = 0; best = 0 }
	/* local.dispatch on the target that note 1 withdraws */
#ifdef BROKEN_WITHDRAWN
	:: atomic { d = floor[0]; assert(d == 0) }
#else
	:: atomic { head[0] == 0 -> d = floor[0]; assert(d == 0) }
#endif
	od
}
