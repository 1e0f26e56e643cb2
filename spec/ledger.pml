/*
 * Model of one key of the order ledger: claim, dispatch, record and lookup.
 *
 * The search covers every interleaving and every prefix of it, so a process may
 * stop at any step and resume at any later one. This includes a killed host, a
 * paused partition holder that resumes, and a change of the holder while both
 * holders run. Retries, repeated messages and lookups are not bounded.
 *
 * A committer that has read the segment is fresh until the next write. This
 * models the comparison of modification revisions and keeps the state space
 * finite without a bound on the number of writes.
 *
 * The BROKEN_* macros select faulty variants, which the search must reject.
 */

#define OPS        2   /* operations: an order sent to one host and resent to another */
#define COMMITTERS 5   /* entry hosts 0 and 1, partition holders 2 and 3, lookup 4 */

#define ABSENT  0
#define CLAIMED 1
#define RAN     2
#define NOTRUN  3
#define UNKNOWN 4

#define OK          0
#define CONFLICT    1
#define UNAVAILABLE 2
#define LOST        3

/* The entry in the store: its state and the operation that owns it; and for each
   committer whether its copy is current. */
byte state = ABSENT;
byte owner = 0;
bool fresh[COMMITTERS];

/* For each operation, the state that a swap will write whose reply was lost
   before it took effect; 0 for none. */
byte lateState[OPS];

/* Messages to partition holders. They are never removed, because they may be
   delayed and repeated. */
bool claimSent[OPS];
bool recordSent[OPS];
byte outcomeOf[OPS];
bool holderClaimed[OPS];

/* What the upstream ran, what was recorded as not-run, and the answers. */
byte runs = 0;
bool underWay[OPS];
bool executed[OPS];
bool recordedNotRun[OPS];
byte answer[OPS];

/* The variant that dispatches undecided claims must be rejected because of the
   number of runs alone, so its other checks are disabled. */
#ifdef BROKEN_DISPATCH_UNDECIDED
#define CHECK(condition) skip
#else
#define CHECK(condition) assert(condition)
#endif

#ifdef BROKEN_BLIND_SWAP
#define MATCHES(c) true
#else
#define MATCHES(c) fresh[c]
#endif

#ifdef BROKEN_CLAIM_UNKNOWN
#define CLAIMABLE(me) (state == ABSENT || (state == NOTRUN && owner != me) || (state == UNKNOWN && owner != me))
#else
#ifdef BROKEN_CLAIM_OWN_AGAIN
#define CLAIMABLE(me) (state == ABSENT || state == NOTRUN)
#else
#define CLAIMABLE(me) (state == ABSENT || (state == NOTRUN && owner != me))
#endif
#endif

#ifdef BROKEN_OVERWRITE
#define RECORDABLE(me, to) (state == ABSENT || (owner == me && state != to))
#else
#define RECORDABLE(me, to) (state == ABSENT || (owner == me && (state == CLAIMED || (state == UNKNOWN && to == RAN))))
#endif

/* write: Store.CompareAndSwap takes effect. */
inline write(s, o)
{
	/* A recorded outcome never changes. */
	CHECK(!(state == RAN && s != RAN));
	CHECK(!(state == UNKNOWN && !(s == RAN && o == owner)));
	CHECK(!(state == NOTRUN && o == owner && s != NOTRUN));
	CHECK(!(state == CLAIMED && o != owner));
	state = s;
	owner = o;
	fresh[0] = false; fresh[1] = false; fresh[2] = false; fresh[3] = false; fresh[4] = false;
#ifndef BROKEN_BLIND_SWAP
	lateState[0] = 0; lateState[1] = 0;
#endif
	if
	:: s == NOTRUN -> recordedNotRun[o] = true; CHECK(!executed[o])
	:: s == RAN -> CHECK(executed[o])
	:: else
	fi
}

/* swap: a compare-and-swap that may get any kind of reply. */
inline swap(c, s, o, reply)
{
	if
	:: MATCHES(c) -> write(s, o); reply = OK
	:: MATCHES(c) -> write(s, o); reply = LOST
	:: !MATCHES(c) -> reply = CONFLICT
	:: reply = UNAVAILABLE
	:: reply = LOST
	:: MATCHES(c) && lateState[o] == 0 -> lateState[o] = s; reply = LOST
	fi;
	fresh[c] = false
}

inline tell(me, what)
{
	/* An answer never contradicts whether the order ran. */
	CHECK(!(what == NOTRUN && executed[me]));
	CHECK(!(what == RAN && runs == 0));
	answer[me] = what
}

/* Entry: one operation on its entry host. */
proctype Entry(byte me)
{
	byte reply;
	bool undecided;

	/* Ask the partition holder first, or commit on this host directly. Once the
	   holder was asked, it may have written the claim. */
	if
	:: atomic { claimSent[me] = true; undecided = true }
	:: skip
	fi;
claim:
	if
	:: holderClaimed[me] -> goto claimed
	:: atomic { state == CLAIMED && owner == me -> goto claimed }
	:: atomic { CLAIMABLE(me) -> fresh[me] = true }
	:: atomic { !CLAIMABLE(me) && !(state == CLAIMED && owner == me) ->
		if
		:: state == RAN -> tell(me, RAN)
		:: else -> tell(me, UNKNOWN)
		fi;
		goto end }
	:: goto give_up
	fi;
	atomic {
		swap(me, CLAIMED, me, reply);
		if
		:: reply == OK -> reply = 0; goto claimed
		:: reply == LOST -> reply = 0; undecided = true
		:: else -> reply = 0
		fi
	};
	goto claim;

give_up:
#ifdef BROKEN_DISPATCH_UNDECIDED
	if
	:: undecided -> goto claimed
	:: else
	fi;
#endif
	atomic {
		tell(me, NOTRUN);
		if
		:: undecided -> outcomeOf[me] = NOTRUN; goto record
		:: else -> goto end
		fi
	};

claimed:
	undecided = false;
	if
	:: atomic { tell(me, NOTRUN); outcomeOf[me] = NOTRUN; goto record }  /* dispatch deadline passed */
	:: underWay[me] = true                                               /* dispatch */
	fi;
	if
	:: atomic { underWay[me] -> underWay[me] = false; outcomeOf[me] = NOTRUN }  /* refused before it ran */
	:: atomic { executed[me] -> outcomeOf[me] = RAN }
	:: outcomeOf[me] = UNKNOWN                          /* no reply; it may still run */
	fi;
	atomic {
#ifdef BROKEN_NOTRUN_WITHOUT_PROOF
		if
		:: outcomeOf[me] == UNKNOWN -> tell(me, NOTRUN)
		:: else -> tell(me, outcomeOf[me])
		fi
#else
		tell(me, outcomeOf[me])
#endif
	};

record:
	atomic { undecided = false; recordSent[me] = true };
	do
	:: atomic { RECORDABLE(me, outcomeOf[me]) -> fresh[me] = true };
		atomic { swap(me, outcomeOf[me], me, reply); reply = 0 }
	:: atomic { outcomeOf[me] == UNKNOWN && executed[me] -> outcomeOf[me] = RAN }  /* the upstream reports the run */
	:: break
	od;
end:
	atomic { reply = 0; undecided = false }
}

inline commit()
{
	atomic {
		swap(c, to, op, reply);
		if
		:: reply == OK && to == CLAIMED -> holderClaimed[op] = true
		:: else
		fi;
		reply = 0; op = 0; to = 0
	}
}

/* Holder: a partition holder, which commits entries for other hosts, late and
   repeatedly. */
proctype Holder(byte c)
{
	byte reply, op, to;

end:
	do
	:: atomic { claimSent[0] && CLAIMABLE(0) -> fresh[c] = true; op = 0; to = CLAIMED }; commit()
	:: atomic { claimSent[1] && CLAIMABLE(1) -> fresh[c] = true; op = 1; to = CLAIMED }; commit()
	:: atomic { recordSent[0] && RECORDABLE(0, outcomeOf[0]) -> fresh[c] = true; op = 0; to = outcomeOf[0] }; commit()
	:: atomic { recordSent[1] && RECORDABLE(1, outcomeOf[1]) -> fresh[c] = true; op = 1; to = outcomeOf[1] }; commit()
	od
}

inline check_run(me)
{
	underWay[me] = false;
	runs++;
	executed[me] = true;
	/* At most one run for each key. */
	assert(runs <= 1);
	/* An operation that was answered or recorded as not-run never runs. */
	CHECK(answer[me] != NOTRUN);
	CHECK(!recordedNotRun[me])
}

/* Upstream: runs requests in transit, which may arrive late. */
proctype Upstream()
{
end:
	do
	:: atomic { underWay[0] -> check_run(0) }
	:: atomic { underWay[1] -> check_run(1) }
	od
}

inline apply_late(op)
{
	reply = lateState[op];
	lateState[op] = 0;
	write(reply, op);
	reply = 0
}

/* Network: swaps that take effect after their reply was lost. */
proctype Network()
{
	byte reply;
end:
	do
	:: atomic { lateState[0] != 0 -> apply_late(0) }
	:: atomic { lateState[1] != 0 -> apply_late(1) }
	od
}

/* Lookup: looks up the key on any host and records that the order ran if the
   upstream reports it. */
proctype Lookup()
{
	byte reply, op;
end:
	do
	:: atomic { state == NOTRUN && runs > 0 -> CHECK(false) }
	:: atomic { state == RAN && runs == 0 -> CHECK(false) }
	:: atomic { (state == CLAIMED || state == UNKNOWN) && executed[owner] -> fresh[4] = true; op = owner };
		atomic { swap(4, RAN, op, reply); reply = 0; op = 0 }
	od
}

init {
	atomic {
		run Entry(0);
		run Entry(1);
		run Holder(2);
		run Holder(3);
		run Upstream();
		run Network();
		run Lookup()
	}
}
