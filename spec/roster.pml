/*
 * The rosters of two daemons: the config and the targets that each of them has read from the store. The store has two
 * keys, a config and the entry of a target. A daemon reads both with two calls. A stale replica of the store may
 * answer either of them. The daemon then follows the changes after a revision, or asks the other daemon. The target
 * rewrites its entry regularly, and a delayed report may be written after a later one. It may also start again under its
 * name, as another process, and a delayed report of the first process may be written after reports of the second one.
 *
 * Properties: a daemon's config and entry are at least as new as in the store at the revision after which it follows
 * changes; its config never goes back; a target process that has started draining is never used again; and a process that
 * has been replaced does not come back. The order of processes is that of their numbers, which stand for the start times
 * and the order in which a daemon has seen them. Each BROKEN_ macro removes one rule; spec/broken has one file for each.
 */
#define LAST_REVISION 4
#define DAEMONS 2

/* The store at each revision: the revisions of the config and the entry, and the contents of the entry. */
byte revision = 1;
byte config[LAST_REVISION + 1];
byte entry[LAST_REVISION + 1];
byte sequence[LAST_REVISION + 1];
bool publishedDraining[LAST_REVISION + 1];
byte publishedProcess[LAST_REVISION + 1];
byte lastSequence = 1;        /* the highest sequence number of a report */
bool startedDraining = false;  /* the target process has started draining */
byte lastProcess = 1;         /* the process of the target that runs */

/* roster.Roster of each daemon: the revision after which it follows changes, and the config and entry that it holds */
byte followed[DAEMONS];
byte configRevision[DAEMONS];
byte entryRevision[DAEMONS];
byte entrySequence[DAEMONS];
bool draining[DAEMONS];
byte entryProcess[DAEMONS];

active proctype Store() {
	atomic { entry[1] = 1; sequence[1] = 1; publishedProcess[1] = 1 };
	do
	:: revision < LAST_REVISION -> atomic { revision++;
		config[revision] = config[revision - 1]; entry[revision] = entry[revision - 1];
		sequence[revision] = sequence[revision - 1]; publishedDraining[revision] = publishedDraining[revision - 1];
		publishedProcess[revision] = publishedProcess[revision - 1];
		if
		:: config[revision] = revision
		:: entry[revision] = revision; lastSequence++; sequence[revision] = lastSequence; startedDraining = true; publishedDraining[revision] = true; publishedProcess[revision] = lastProcess
		/* a delayed report from before the target process started draining */
		:: startedDraining -> entry[revision] = revision; sequence[revision] = 1; publishedDraining[revision] = false; publishedProcess[revision] = lastProcess
		/* the target starts again */
		:: lastProcess == 1 -> lastProcess = 2; lastSequence = 1; startedDraining = false;
			entry[revision] = revision; sequence[revision] = 1; publishedDraining[revision] = false; publishedProcess[revision] = 2
		/* a delayed report of the first process */
		:: lastProcess == 2 -> entry[revision] = revision; sequence[revision] = 2; publishedDraining[revision] = false; publishedProcess[revision] = 1
		fi }
	:: revision == LAST_REVISION -> break
	od
}

/* roster.Roster applies a config. */
inline applyConfig(atRevision) {
#ifdef BROKEN_CONFIG
	configRevision[d] = atRevision
#else
	if :: atRevision > configRevision[d] -> configRevision[d] = atRevision :: else fi
#endif
}

/* roster.Roster applies the entry of a target. */
inline applyEntry(atRevision, process, seq, isDraining) {
	if
	:: atRevision > entryRevision[d] ->
		entryRevision[d] = atRevision;
		if
		:: process == entryProcess[d] ->
#ifdef BROKEN_DRAINING
			draining[d] = isDraining;
#else
			draining[d] = draining[d] || isDraining;
#endif
			if :: seq > entrySequence[d] -> entrySequence[d] = seq :: else fi
#ifdef BROKEN_LATE
		:: process != entryProcess[d] ->
#else
		:: process > entryProcess[d] ->
#endif
			entryProcess[d] = process; entrySequence[d] = seq; draining[d] = isDraining
		:: else
		fi
	:: else
	fi
}

inline advance(atRevision) { if :: atRevision > followed[d] -> followed[d] = atRevision :: else fi }

/* Invariants after each step of a daemon. */
inline check() {
	assert(configRevision[d] >= config[followed[d]]);
	assert(entryRevision[d] >= entry[followed[d]]);
	assert(configRevision[d] >= previousConfig);
	assert(!wasDraining || draining[d] || entryProcess[d] != wasProcess);
	assert(entryProcess[d] >= wasProcess);
	wasProcess = entryProcess[d]
}

active [DAEMONS] proctype Daemon() {
	byte d = _pid - 1, first = 0, second = 0, oldest = 0, readConfig = 0, previousConfig = 0, wasProcess = 0;
	bool wasDraining = false;
	entry[1] == 1;
	do
	/* platform.Store.Snapshot: two calls, each answered by a replica that may be stale. */
	:: atomic { select(first : 1 .. revision); readConfig = config[first] };
		atomic { select(second : 1 .. revision); oldest = second;
#ifndef BROKEN_OLDEST
		if :: first < second -> oldest = first :: else fi;
#endif
		/* roster.Roster.ApplySnapshot */
		if
		:: oldest >= followed[d] ->
			if :: readConfig > 0 -> applyConfig(readConfig) :: else fi;
			applyEntry(entry[second], publishedProcess[second], sequence[second], publishedDraining[second]);
			advance(oldest)
		:: else
		fi;
		check(); previousConfig = configRevision[d]; wasDraining = draining[d]; first = 0; second = 0; oldest = 0; readConfig = 0 }
	/* platform.Store.Changes, roster.Roster.Apply: all changes after the followed revision. */
	:: atomic { followed[d] > 0 ->
		if :: config[revision] > followed[d] -> applyConfig(config[revision]) :: else fi;
		if :: entry[revision] > followed[d] -> applyEntry(entry[revision], publishedProcess[revision], sequence[revision], publishedDraining[revision]) :: else fi;
		advance(revision);
		check(); previousConfig = configRevision[d]; wasDraining = draining[d] }
	/* roster.Roster.ChangesAfter: the newer entries of the other daemon. */
	:: atomic { followed[1 - d] > 0 ->
		if :: configRevision[1 - d] > 0 -> applyConfig(configRevision[1 - d]) :: else fi;
		applyEntry(entryRevision[1 - d], entryProcess[1 - d], entrySequence[1 - d], draining[1 - d]);
#ifdef BROKEN_PEER
		advance(revision);
#else
		advance(followed[1 - d]);
#endif
		check(); previousConfig = configRevision[d]; wasDraining = draining[d] }
	od
}
