/*
 * Release heads of four daemons, a configuration service that may return any older state, and a target on the VM of
 * daemon 0, which is withdrawn by note 1. A head value identifies a serial and its digest; conflict.pml covers
 * conflicting notes with the same serial. A note is accepted when three daemons hold it. A daemon that restarts has
 * empty memory and takes the highest head among the daemons that answer. Any subset of them may answer, or none when
 * the daemon is partitioned; it is then unconfirmed (status field Unconfirmed). Each BROKEN_ macro removes one rule;
 * spec/broken has one file for each.
 *
 * Properties: an accepted note survives the loss of two daemons; a daemon never goes back to an older note; and no new
 * run starts on a target once its daemon knows that the target is withdrawn.
 */
#define DAEMONS 4
#define NOTES 3
#ifdef BROKEN_ACCEPT
#define HOLDERS_NEEDED 1
#else
#define HOLDERS_NEEDED 3
#endif

byte published = 0;
byte head[DAEMONS];
byte highest[DAEMONS];  /* the highest head of each daemon since its process started */
byte accepted = 0;
byte lostDaemons = 0;      /* daemons lost since the note was accepted */
byte d, i, n, maxHead;

inline apply(daemon, value) { /* note.Apply, or a snapshot with a higher serial */
#ifdef BROKEN_REVERT
	head[daemon] = value;
#else
	if :: value > head[daemon] -> head[daemon] = value :: else fi;
#endif
	assert(head[daemon] >= highest[daemon]);
	highest[daemon] = head[daemon]
}

inline updateAccepted() { /* relay.Replica.AddHolder: counts the holders */
	n = 0;
	for (i : 0 .. DAEMONS - 1) { if :: head[i] >= accepted + 1 -> n++ :: else fi };
	if :: n >= HOLDERS_NEEDED -> accepted++; lostDaemons = 0 :: else fi;
	i = 0; n = 0
}

inline checkSurvival() {
	maxHead = 0;
	for (i : 0 .. DAEMONS - 1) { if :: head[i] > maxHead -> maxHead = head[i] :: else fi };
	assert(maxHead >= accepted);
	i = 0; maxHead = 0
}

active proctype System() {
	do
	:: atomic { published < NOTES -> published++ }
	/* watch.Task and gossip.Task: a daemon reads the configuration service, which may be stale. */
	:: atomic { select(d : 0 .. DAEMONS - 1); select(n : 0 .. NOTES);
		if :: n <= published -> apply(d, n) :: else fi;
		d = 0; n = 0; updateAccepted() }
	/* relay.Offer: a daemon takes the head of another. Any pair may be partitioned at any time. */
	:: atomic { select(d : 0 .. DAEMONS - 1); select(n : 0 .. DAEMONS - 1);
		maxHead = head[n]; apply(d, maxHead);
		d = 0; n = 0; maxHead = 0; updateAccepted() }
	/* gossip.Task: a daemon restarts with empty memory and receives answers from any subset of the others and the
	 * service. */
	:: atomic { lostDaemons < 2 ->
		lostDaemons++; select(d : 0 .. DAEMONS - 1); head[d] = 0; highest[d] = 0;
		checkSurvival();
		for (i : 0 .. DAEMONS - 1) { if :: head[i] > maxHead -> maxHead = head[i] :: true fi };
		apply(d, maxHead);
#ifndef BROKEN_CONFIRM
		/* If all the others answered, its head is not behind the accepted note. */
		if
		:: true
		:: n = 0; for (i : 0 .. DAEMONS - 1) { if :: head[i] > n -> n = head[i] :: else fi };
			apply(d, n); assert(head[d] >= accepted)
		fi;
#else
		assert(head[d] >= accepted);
#endif
		d = 0; n = 0; i = 0; maxHead = 0 }
	/* local.Task dispatches a call to the target that note 1 withdraws. */
#ifdef BROKEN_WITHDRAWN
	:: atomic { d = highest[0]; assert(d == 0) }
#else
	:: atomic { head[0] == 0 -> d = highest[0]; assert(d == 0) }
#endif
	od
}
