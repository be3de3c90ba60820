/* guards: CAS WRITEID MONOTONE */
/* ltl: converges */
/*
 * The catalogue: its head in the store, two operators who race, and three
 * daemons of two zones (0 and 1 in the first, 2 in the second). Follows
 * lib/cathead.c and docs/design.md, section 7. The head is the list of the
 * write ids of its revisions. An operator edits through a daemon: it reads the
 * head, writes it by compare-and-swap, and resolves a lost answer by looking for
 * its write id. A daemon takes the head from the store or a newer state from a
 * peer; an answer may be delivered at any later time. The zones are cut off from
 * each other and the second one from the store, until the cut heals. A daemon
 * restarts without state, while a peer or the store is reachable, and serves
 * only once it has taken the newest revision among its reachable peers, or the
 * store's when it has no peer.
 * Left out: contents of changes, the base document, expired write ids.
 */
#define OPERATORS 2
#define DAEMONS 3
#define REVISIONS 2

/* Store. */
byte revision = 0;
byte writer[REVISIONS + 1]; /* operator + 1 of each revision */

bool accepted[OPERATORS];
byte accepted_as[OPERATORS];

byte at[DAEMONS];     /* revision in force */
bool serves[DAEMONS]; /* false while it starts */
bool cut = false;

#define SAME_SIDE(i, j) (!cut || ((i == 2) == (j == 2)))
#define HAS_STORE(i) (!cut || i != 2)

/* An accepted edit is in the history of the head, at its revision. */
inline check_history()
{
	assert(!accepted[0] || writer[accepted_as[0]] == 1);
	assert(!accepted[1] || writer[accepted_as[1]] == 2)
}

proctype operator(byte me)
{
	byte read_revision;
	byte n;

	do
	:: atomic { revision < REVISIONS -> read_revision = revision }
		/* The write, at any later time. */
		if
		:: atomic {
#ifdef NO_CAS
			true ->
#else
			revision == read_revision ->
#endif
			revision = read_revision + 1;
			writer[revision] = me + 1;
			check_history()
		   };
			if
			:: atomic {
				accepted[me] = true;
				accepted_as[me] = read_revision + 1;
				check_history();
				break
			   }
			:: goto lost_answer
			fi
#ifndef NO_CAS
		:: revision != read_revision -> skip /* refused: tries again */
#endif
		:: true -> /* lost on the way; it will not be delivered later */
			goto lost_answer
		fi
	:: revision == REVISIONS -> break
	od;
	goto out;
lost_answer:
	/* Reads the head and looks for the write id at its revision. */
	atomic {
		n = read_revision + 1;
		if
#ifdef NO_WRITEID
		:: revision >= n ->
#else
		:: revision >= n && writer[n] == me + 1 ->
#endif
			accepted[me] = true;
			accepted_as[me] = n;
			check_history()
		:: else -> skip /* "not run" */
		fi
	};
out:	skip
}

/* Takes a revision that was read at an earlier time. */
inline take(i, taken)
{
	if
#ifdef NO_MONOTONE
	:: true ->
#else
	:: taken > at[i] ->
#endif
		assert(!serves[i] || taken >= at[i]);
		at[i] = taken
	:: else -> skip
	fi
}

/* The watch of the head. */
proctype watch(byte me)
{
	byte got;

end:	do
	:: atomic {
		serves[me] && HAS_STORE(me) && revision != at[me] ->
		got = revision
	   };
	   atomic { take(me, got); got = 0 }
	od
}

/* Pulls from a peer whose heartbeat carries a newer revision. */
proctype pull(byte me; byte from)
{
	byte got;

end:	do
	:: atomic {
		serves[me] && serves[from] && SAME_SIDE(me, from) &&
		at[from] > at[me] ->
		got = at[from]
	   };
	   atomic { take(me, got); got = 0 }
	od
}

#define PEER(i) (serves[i] && SAME_SIDE(me, i))

/* A restart without state; what was read before it is lost with it. */
proctype restart(byte me)
{
	byte a = (me + 1) % DAEMONS;
	byte b = (me + 2) % DAEMONS;

	if
	:: atomic { serves[me] = false; at[me] = 0 }
	:: goto out
	fi;
	atomic {
		PEER(a) || PEER(b) || HAS_STORE(me);
		if
		:: PEER(a) -> at[me] = at[a]
		:: else -> skip
		fi;
		if
		:: PEER(b) && at[b] > at[me] -> at[me] = at[b]
		:: else -> skip
		fi;
		if
		:: !PEER(a) && !PEER(b) -> at[me] = revision
		:: else -> skip
		fi;
		assert(!PEER(a) || at[me] >= at[a]);
		assert(!PEER(b) || at[me] >= at[b]);
		serves[me] = true
	};
out:	skip
}

proctype partition()
{
	cut = true;
	cut = false
}

init
{
	atomic {
		serves[0] = true;
		serves[1] = true;
		serves[2] = true;
		run operator(0);
		run operator(1);
		run watch(0);
		run watch(2);
		run pull(1, 0);
		run pull(2, 0);
#ifndef LTL
		/* Without these, fairness has fewer processes to follow. */
		run pull(0, 2);
		run pull(1, 2);
		run pull(2, 1);
		run restart(1);
#endif
		run restart(2);
		run partition()
	}
}

#ifdef LTL
ltl converges { <> [] (at[0] == revision && at[1] == revision && at[2] == revision) }
#endif
