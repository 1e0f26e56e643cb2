/*
 * The chain of accepted configurations and its adoption by hosts.
 *
 * An operation proposes one document edited from a base revision. It is
 * accepted when the key of revision base+1 is created from absent.
 *
 * BOUND_THREE_OPERATIONS replaces the resent operation by a third one.
 * BROKEN_* switches select faulty variants that the search must reject.
 */

#define REVISIONS 3
#define HOSTS 2
#ifndef TRIES
#define TRIES 2
#endif

#define NONE     0
#define ACCEPTED 1
#define REJECTED 2
#define UNDECIDED 3

byte chain[4];           /* operation of each revision, 0 when absent; [0] unused */
byte accepted[4];        /* what was accepted first, never reset */
byte newest = 0;
byte times[4];           /* how often each operation was accepted */
byte told[4];            /* answer to each operation */
byte current[HOSTS];     /* revision in force on each host */
byte targetOf[4];        /* the revision that each operation proposes */
bool lateSet[4];         /* creations that take effect after a lost reply */
byte lateRevision[4];

/* create: Store.CompareAndSwap with expected revision 0 takes effect. */
inline create(n, op)
{
	/* At most one accepted document for each revision. */
	assert(accepted[n] == 0);
	assert(n == 1 || chain[n - 1] != 0);
	chain[n] = op;
	accepted[n] = op;
	if
	:: n > newest -> newest = n
	:: else
	fi;
	times[op]++;
	/* Each operation is accepted at most once, and not after a refusal. */
	assert(times[op] <= 1);
	assert(told[op] != REJECTED)
}

#ifdef BROKEN_OVERWRITE
#define VACANT(n) true
#else
#define VACANT(n) (chain[n] == 0)
#endif

/* An operation on one host. The same operation may be resent to another. */
proctype Apply(byte op)
{
	byte target, tries, seen;
	bool created, conflict;

	/* Read the base, perhaps stale. A resent operation keeps its base. */
	atomic {
		target = targetOf[op];
		if
		:: target == 0 ->
			target = newest + 1;
			do
			:: target > 1 -> target--
			:: break
			od;
			if
			:: target > REVISIONS -> goto end
			:: else
			fi;
			targetOf[op] = target
		:: else
		fi
	};
again:
	atomic {
		created = false;
		conflict = false;
		if
		:: VACANT(target) -> create(target, op); created = true
		:: VACANT(target) -> create(target, op)
		:: !VACANT(target) -> conflict = true
		:: skip                                  /* lost before it took effect */
		:: !lateSet[op] -> lateSet[op] = true; lateRevision[op] = target
		fi
	};
	if
	:: created -> goto yes
	:: else
	fi;
	/* Read back the operation id after a conflict or a lost reply. A stale read
	   may still show the revision as absent. */
	atomic {
		if
		:: seen = chain[target]
		:: !conflict -> seen = 0
		fi;
		conflict = false
	};
	if
	:: seen == op -> goto yes
	:: seen != 0 && seen != op ->
		goto no
	:: else
	fi;
#ifdef BROKEN_MOVE_ON
	/* Takes a lost reply for a failure and proposes the next revision. */
	if
	:: target < REVISIONS && chain[target] != 0 -> target++
	:: else
	fi;
#endif
	tries++;
	if
	:: tries < TRIES -> goto again
	:: else -> atomic { told[op] = UNDECIDED; goto end }
	fi;
yes:
	atomic { assert(times[op] == 1); told[op] = ACCEPTED; goto end };
no:
	/* A refusal is true: the operation is not in the chain and never will be. */
	atomic {
		assert(times[op] == 0);
		told[op] = REJECTED
	};
end:
	atomic { target = 0; tries = 0; seen = 0; created = false; conflict = false }
}

inline outdated()
{
	do
	:: offer > 0 -> offer--
	:: break
	od
}

/* adopt: a host puts a revision in force. */
inline adopt(me, n)
{
	if
#ifdef BROKEN_ADOPT_ANY
	:: n != current[me] && n > 0 ->
#else
	:: n > current[me] ->
#endif
		/* No host goes from a higher to a lower revision within one run. */
		assert(n >= current[me]);
		current[me] = n;
		/* The adopted document is the accepted one. */
		assert(chain[n] != 0 && chain[n] == accepted[n])
	:: else
	fi
}

/* A host reads the store, hears a peer, or restarts without state, any number
   of times. What it reads or hears may be outdated: any revision up to the
   newest. That includes everything that a peer has had in force at any time. */
proctype Host(byte me)
{
	byte offer;
end:
	do
	:: atomic { offer = newest; outdated(); adopt(me, offer); offer = 0 }
	:: atomic { current[me] != 0 -> current[me] = 0 }
	od
}

inline apply_late()
{
	lateSet[op] = false;
	if
	:: VACANT(lateRevision[op]) -> create(lateRevision[op], op)
	:: else
	fi;
	lateRevision[op] = 0;
	op = 1
}

/* Creations that take effect after their reply was lost. */
proctype Network()
{
	byte op = 1;
end:
	do
	:: atomic { lateSet[1] -> op = 1; apply_late() }
	:: atomic { lateSet[2] -> op = 2; apply_late() }
	:: atomic { lateSet[3] -> op = 3; apply_late() }
	od
}

#define LOST_REVISION(n) (accepted[n] != 0 && chain[n] != accepted[n])

/* An accepted revision never disappears from the chain. */
proctype Monitor()
{
end:
	atomic { LOST_REVISION(1) || LOST_REVISION(2) || LOST_REVISION(3) -> assert(false) }
}

#ifdef BROKEN_PRUNE
/* Takes the newest revision back. */
proctype Prune()
{
	atomic { newest > 0 -> chain[newest] = 0; newest-- }
}
#endif

init {
	atomic {
		run Apply(1);
		run Apply(2);
#ifdef BOUND_THREE_OPERATIONS
		run Apply(3);
#else
		run Apply(1);   /* resent to another host */
#endif
		run Host(0);
		run Host(1);
		run Network();
		run Monitor();
#ifdef BROKEN_PRUNE
		run Prune();
#endif
	}
}
