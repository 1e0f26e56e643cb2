/*
 * Model of the chain of accepted configurations and of how hosts adopt them.
 *
 * An operation proposes one document, based on a base revision. The proposal is
 * accepted when the key of revision base+1 is created, which requires that the
 * key is absent.
 *
 * The BOUND_THREE_OPERATIONS macro replaces the resent operation with a third
 * one. The BROKEN_* macros select faulty variants, which the search must reject.
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

byte chain[4];           /* operation of each revision, 0 when absent; [0] is unused */
byte accepted[4];        /* operation accepted first for each revision, never reset */
byte newest = 0;
byte times[4];           /* number of times that each operation was accepted */
byte told[4];            /* answer to each operation */
byte current[HOSTS];     /* revision in force on each host */
byte targetOf[4];        /* revision that each operation proposes, 0 if none yet */
bool lateSet[4];         /* operations whose creation takes effect after a lost reply */
byte lateRevision[4];

/* create: Store.CompareAndSwap with expected revision 0 takes effect. */
inline create(n, op)
{
	/* At most one document is accepted for each revision. */
	assert(accepted[n] == 0);
	assert(n == 1 || chain[n - 1] != 0);
	chain[n] = op;
	accepted[n] = op;
	if
	:: n > newest -> newest = n
	:: else
	fi;
	times[op]++;
	/* Each operation is accepted at most once, and never after it was answered as
	   rejected. */
	assert(times[op] <= 1);
	assert(told[op] != REJECTED)
}

#ifdef BROKEN_OVERWRITE
#define VACANT(n) true
#else
#define VACANT(n) (chain[n] == 0)
#endif

/* Apply: an operation on one host. It may be resent to another host. */
proctype Apply(byte op)
{
	byte target, tries, seen;
	bool created, conflict;

	/* Read the base revision, which may be stale. A resent operation keeps its
	   base revision. */
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
		:: skip                                  /* request lost before it took effect */
		:: !lateSet[op] -> lateSet[op] = true; lateRevision[op] = target
		fi
	};
	if
	:: created -> goto yes
	:: else
	fi;
	/* Read the operation id of the revision after a conflict or a lost reply. The
	   read may be stale after a lost reply and still show the revision as absent. */
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
	/* Treats a lost reply as a failure and proposes the next revision. */
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
	/* A rejected operation is not in the chain. It is never added later, see
	   create. */
	atomic {
		assert(times[op] == 0);
		told[op] = REJECTED
	};
end:
	atomic { target = 0; tries = 0; seen = 0; created = false; conflict = false }
}

/* outdated: chooses any revision up to the offered one. */
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
		/* No host goes from a higher to a lower revision without a restart. */
		assert(n >= current[me]);
		current[me] = n;
		/* The adopted document is the accepted document of its revision. */
		assert(chain[n] != 0 && chain[n] == accepted[n])
	:: else
	fi
}

/* Host: a host that reads the store, receives a revision from a peer or restarts
   without state, any number of times. What it reads or receives may be outdated:
   any revision up to the newest. This includes every revision that a peer had in
   force at any time. */
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

/* Network: creations that take effect after their reply was lost. */
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

/* Monitor: an accepted revision never disappears from the chain or changes. */
proctype Monitor()
{
end:
	atomic { LOST_REVISION(1) || LOST_REVISION(2) || LOST_REVISION(3) -> assert(false) }
}

#ifdef BROKEN_PRUNE
/* Prune: removes the newest revision. */
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
		run Apply(1);   /* the same operation, resent to another host */
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
