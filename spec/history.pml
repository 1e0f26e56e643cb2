/*
 * Model of a host that follows the configuration in a store which is restored from
 * an older copy.
 *
 * The store has an era and a revision. A restoration returns revision and
 * configuration to those of the copy and begins the next era. The operator writes
 * the newest configuration again afterwards. Versions of the configuration only
 * grow. The BROKEN_* macros select faulty variants, which the search must reject.
 */

#define WRITES 3
#define OTHER_WRITES 2
#define RESTORATIONS 2

byte era = 1, revision = 1;       /* position of the store */
byte version = 1, changed = 1;    /* configuration in the store and its revision */
byte copyRevision = 1, copyVersion = 1, copyChanged = 1;
byte newest = 1;                  /* newest version that the operator wrote */

byte ownEra = 1, ownRevision = 0; /* position that the host has reached */
byte knownChanged = 0;            /* revision of the record that the host knows */
byte inForce = 0;

/* put: the host takes a record of the store. */
inline put(restored)
{
#ifdef BROKEN_REVISIONS
	if
	:: changed > knownChanged ->
#else
	if
	:: restored || changed > knownChanged ->
#endif
		knownChanged = changed;
#ifdef BROKEN_COPY
		assert(version >= inForce);
		inForce = version
#else
		if
		:: version > inForce -> inForce = version
		:: else
		fi
#endif
	:: else
	fi
}

/* reached: the host has the position of the store, so nothing may be missing. */
inline reached()
{
	ownEra = era;
	ownRevision = revision;
	assert(inForce >= version)
}

active proctype Operator()
{
	byte writes = 0;
	do
	:: atomic { writes < WRITES ->
		writes++; newest++; revision++; version = newest; changed = revision }
	:: atomic { version < newest ->
		revision++; version = newest; changed = revision }
	:: writes == WRITES && version == newest -> break
	od
}

active proctype Others()
{
	byte writes = 0;
	do
	:: atomic { writes < OTHER_WRITES -> writes++; revision++ }
	:: break
	od
}

active proctype Store()
{
	byte restorations = 0;
	if
	:: atomic { copyRevision = revision; copyVersion = version; copyChanged = changed }
	:: skip
	fi;
	do
	:: atomic { restorations < RESTORATIONS ->
		restorations++; era++;
		revision = copyRevision; version = copyVersion; changed = copyChanged }
	:: break
	od
}

active proctype Host()
{
	byte steps = 0;
	do
	:: steps < 6 ->
		steps++;
		atomic {
			if
#ifdef BROKEN_WATCH
			:: ownRevision <= revision && ownRevision > 0 ->
#else
			:: ownEra == era && ownRevision <= revision && ownRevision > 0 ->
#endif
				/* The watch returns the changes after the own revision. */
				if
				:: changed > ownRevision -> put(false)
				:: else
				fi;
				reached()
			:: else ->
				/* A snapshot. */
				put(ownEra != era);
				reached()
			fi
		}
	:: break
	od
}
