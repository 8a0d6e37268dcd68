/*
 * What daemons know of a store that publishes a config and the entry of a target. A daemon reads all of it in two
 * calls, which copies of the store may answer that are behind it, follows the changes after a revision, or asks the
 * other daemon. Entries are written again by their target; a report that was delayed on its way may be written after
 * a later one. Promised is that a daemon holds, of both parts, at least what was published up to the revision from
 * which it follows, that its config never goes back, and that a run which leaves never takes calls again.
 */
#define LAST 4
#define DAEMONS 2

/* By revision: the newest config and entry, each by its own revision, and what the entry says. */
byte revision = 1;
byte config[LAST + 1];
byte entry[LAST + 1];
byte sequence[LAST + 1];
bool leaves[LAST + 1];
byte newest = 1;      /* the highest sequence of an entry */
bool left = false;    /* the run has begun to leave */

/* roster.Roster, by daemon */
byte known[DAEMONS];
byte configured[DAEMONS];
byte registered[DAEMONS];
byte reported[DAEMONS];
bool draining[DAEMONS];

active proctype Store() {
	atomic { entry[1] = 1; sequence[1] = 1 };
	do
	:: revision < LAST -> atomic { revision++;
		config[revision] = config[revision - 1]; entry[revision] = entry[revision - 1];
		sequence[revision] = sequence[revision - 1]; leaves[revision] = leaves[revision - 1];
		if
		:: config[revision] = revision
		:: entry[revision] = revision; newest++; sequence[revision] = newest; left = true; leaves[revision] = true
		/* a delayed report, from before the run began to leave */
		:: left -> entry[revision] = revision; sequence[revision] = 1; leaves[revision] = false
		fi }
	:: revision == LAST -> break
	od
}

/* roster.Roster.configure */
inline configure(at) {
#ifdef BROKEN_CONFIG
	configured[d] = at
#else
	if :: at > configured[d] -> configured[d] = at :: else fi
#endif
}

/* roster.Roster.register */
inline register(at, seq, drains) {
	if
	:: at > registered[d] ->
		registered[d] = at;
#ifdef BROKEN_DRAINING
		draining[d] = drains;
#else
		draining[d] = draining[d] || drains;
#endif
		if :: seq > reported[d] -> reported[d] = seq :: else fi
	:: else
	fi
}

inline follow(at) { if :: at > known[d] -> known[d] = at :: else fi }

/* What holds after each step of a daemon. */
inline check() {
	assert(configured[d] >= config[known[d]]);
	assert(registered[d] >= entry[known[d]]);
	assert(configured[d] >= before);
	assert(!drained || draining[d])
}

active [DAEMONS] proctype Daemon() {
	byte d = _pid - 1, first = 0, second = 0, oldest = 0, part = 0, before = 0;
	bool drained = false;
	entry[1] == 1;
	do
	/* platform.Store.Snapshot: two calls, each answered by a copy that may be behind */
	:: atomic { select(first : 1 .. revision); part = config[first] };
		atomic { select(second : 1 .. revision); oldest = second;
#ifndef BROKEN_OLDEST
		if :: first < second -> oldest = first :: else fi;
#endif
		/* roster.Roster.Replace */
		if
		:: oldest >= known[d] ->
			if :: part > 0 -> configure(part) :: else fi;
			register(entry[second], sequence[second], leaves[second]);
			follow(oldest)
		:: else
		fi;
		check(); before = configured[d]; drained = draining[d]; first = 0; second = 0; oldest = 0; part = 0 }
	/* platform.Store.Changes, roster.Roster.Apply: all changes after the revision that is known */
	:: atomic { known[d] > 0 ->
		if :: config[revision] > known[d] -> configure(config[revision]) :: else fi;
		if :: entry[revision] > known[d] -> register(entry[revision], sequence[revision], leaves[revision]) :: else fi;
		follow(revision);
		check(); before = configured[d]; drained = draining[d] }
	/* roster.Roster.After: what the other daemon knows that is newer */
	:: atomic { known[1 - d] > 0 ->
		if :: configured[1 - d] > 0 -> configure(configured[1 - d]) :: else fi;
		register(registered[1 - d], reported[1 - d], draining[1 - d]);
#ifdef BROKEN_PEER
		follow(revision);
#else
		follow(known[1 - d]);
#endif
		check(); before = configured[d]; drained = draining[d] }
	od
}
