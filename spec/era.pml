/*
 * The rosters of two daemons while the store is restored from an older copy. The store has two keys, a config and the entry
 * of a target. The restore takes the keys back to their state at an earlier revision and starts a new era, in which the
 * following revisions are given out again. The operators and the target then write again. A daemon reads the full state or
 * the changes after a revision, and both may be late answers from before the restore. It also asks the other daemon.
 *
 * Properties: a daemon holds a config and an entry at least as new as in the store at the era and the revision up to which it
 * follows changes; the config in force never goes back to a lower version; and a target that has started draining is never
 * used again. Each BROKEN_ macro removes one rule; spec/broken has one file for each. Entries that lapse and several processes
 * of a target are not modelled here; roster.pml has the processes.
 */
#define LAST_REVISION 3
#define LAST_VERSION 3
#define DAEMONS 2
#define ERAS 2
#define AT(e, r) ((e) * (LAST_REVISION + 1) + (r))

/* The store at each revision of each era: the contents of both keys, and the revisions at which they were written. */
byte era = 0;
byte revision[ERAS];
byte config[ERAS * (LAST_REVISION + 1)];
byte configAt[ERAS * (LAST_REVISION + 1)];
bool isDraining[ERAS * (LAST_REVISION + 1)];
byte entryAt[ERAS * (LAST_REVISION + 1)];
byte lastVersion = 1;         /* the newest version that the operators have published */
bool startedDraining = false; /* the target has started draining */

/* roster.Roster of each daemon. followedEra is the era of the last answer that it applied. */
byte followedEra[DAEMONS];
byte followed[DAEMONS];
byte version[DAEMONS];
bool draining[DAEMONS];

inline nextRevision() {
	revision[era]++;
	config[AT(era, revision[era])] = config[AT(era, revision[era] - 1)];
	configAt[AT(era, revision[era])] = configAt[AT(era, revision[era] - 1)];
	isDraining[AT(era, revision[era])] = isDraining[AT(era, revision[era] - 1)];
	entryAt[AT(era, revision[era])] = entryAt[AT(era, revision[era] - 1)]
}

active proctype Store() {
	byte copied = 0;
	atomic { revision[0] = 1; config[AT(0, 1)] = 1; configAt[AT(0, 1)] = 1; entryAt[AT(0, 1)] = 1 };
	do
	/* The operators publish the next version, or write the newest one again. */
	:: atomic { revision[era] < LAST_REVISION && lastVersion < LAST_VERSION -> nextRevision(); lastVersion++;
		config[AT(era, revision[era])] = lastVersion; configAt[AT(era, revision[era])] = revision[era] }
	:: atomic { revision[era] < LAST_REVISION && era > 0 -> nextRevision();
		config[AT(era, revision[era])] = lastVersion; configAt[AT(era, revision[era])] = revision[era] }
	/* The target starts draining, or writes its entry again. */
	:: atomic { revision[era] < LAST_REVISION -> nextRevision(); startedDraining = true;
		isDraining[AT(era, revision[era])] = true; entryAt[AT(era, revision[era])] = revision[era] }
	:: atomic { revision[era] < LAST_REVISION && era > 0 -> nextRevision();
		isDraining[AT(era, revision[era])] = startedDraining; entryAt[AT(era, revision[era])] = revision[era] }
	/* The store is restored from the copy of any revision. */
	:: atomic { era == 0 -> select(copied : 1 .. revision[0]); era = 1; revision[1] = copied;
		config[AT(1, copied)] = config[AT(0, copied)]; configAt[AT(1, copied)] = configAt[AT(0, copied)];
		isDraining[AT(1, copied)] = isDraining[AT(0, copied)]; entryAt[AT(1, copied)] = entryAt[AT(0, copied)]; copied = 0 }
	:: revision[era] == LAST_REVISION && era > 0 -> break
	od
}

/* roster.Roster.setConfig */
inline applyConfig(atVersion) {
#ifdef BROKEN_REVERT
	if :: atVersion > version[d] || e > followedEra[d] -> version[d] = atVersion :: else fi
#else
	if :: atVersion > version[d] -> version[d] = atVersion :: else fi
#endif
}

/* roster.Roster applies the entry of the target. */
inline applyEntry(atDraining) { draining[d] = draining[d] || atDraining }

inline follow(atEra, atRevision) { followedEra[d] = atEra; followed[d] = atRevision }

/* Invariants after each step of a daemon. */
inline check() {
	assert(version[d] >= config[AT(followedEra[d], followed[d])]);
	assert(draining[d] >= isDraining[AT(followedEra[d], followed[d])]);
	assert(version[d] >= previousVersion);
	assert(!wasDraining || draining[d]);
	previousVersion = version[d]; wasDraining = draining[d]; e = 0
}

active [DAEMONS] proctype Daemon() {
	byte d = _pid - 1, e = 0, previousVersion = 0, asked = 0, askedEra = 0;
	bool wasDraining = false;
	revision[0] == 1;
	do
	/* platform.Store.Snapshot, roster.Roster.ApplySnapshot: the state of the current era, or a late answer of the older one. */
	:: atomic { select(e : 0 .. era);
		if
#ifdef BROKEN_REVISION
		/* States are ordered by the revision alone. */
		:: revision[e] >= followed[d] ->
#else
		:: e > followedEra[d] || e == followedEra[d] && revision[e] >= followed[d] ->
#endif
			applyConfig(config[AT(e, revision[e])]); applyEntry(isDraining[AT(e, revision[e])]); follow(e, revision[e])
		:: else
		fi;
		check() }
	/* platform.Store.Changes, roster.Roster.Apply: the changes after the followed revision, which may be another one when the
	 * answer arrives. */
	:: atomic { followed[d] > 0 && asked == 0 -> asked = followed[d]; askedEra = followedEra[d] }
	:: atomic { asked > 0 -> select(e : 0 .. era);
		if
#if defined(BROKEN_REVISION)
		:: revision[e] >= followed[d] ->
#elif defined(BROKEN_CHANGES)
		/* Changes of a newer era are applied without its snapshot. */
		:: e >= followedEra[d] && revision[e] >= followed[d] ->
#elif defined(BROKEN_ASKED)
		/* Changes are applied that follow a revision of an older era. */
		:: e == followedEra[d] && revision[e] >= followed[d] ->
#else
		:: e == followedEra[d] && e == askedEra && revision[e] >= followed[d] ->
#endif
			if :: configAt[AT(e, revision[e])] > asked -> applyConfig(config[AT(e, revision[e])]) :: else fi;
			if :: entryAt[AT(e, revision[e])] > asked -> applyEntry(isDraining[AT(e, revision[e])]) :: else fi;
			follow(e, revision[e])
		:: else
		fi;
		asked = 0; askedEra = 0;
		check() }
	/* roster.Roster.ChangesFor: the state of the other daemon if its era is newer, or its changes in the same era. */
	:: atomic { followed[1 - d] > 0 -> e = followedEra[1 - d];
		if
#ifdef BROKEN_REVISION
		:: followed[1 - d] >= followed[d] ->
#else
		:: e > followedEra[d] || e == followedEra[d] && followed[1 - d] >= followed[d] ->
#endif
			applyConfig(version[1 - d]); applyEntry(draining[1 - d]); follow(e, followed[1 - d])
		:: else
		fi;
		check() }
	od
}
