/* guards: CAS WRITEID MONOTONE */
/* ltl: converges */
/*
 * The catalogue: its head in the store, two concurrent operators, and three
 * daemons of two zones (0 and 1 in the first, 2 in the second). Models
 * lib/cathead.c and docs/design.md, section 7. The head is the list of the
 * write ids of its revisions. An operator edits through a daemon: it reads the
 * head, writes it by compare-and-swap, and resolves a lost response by
 * searching for its write id. A daemon reads the head from the store, or a
 * newer state from a peer; a response may be delivered at any later time. A
 * network partition separates the zones, and the second zone from the store,
 * until it heals. A daemon restarts without state, while a peer or the store
 * is reachable, and serves only after it has the newest revision of its
 * reachable peers, or that of the store if no peer is reachable.
 * Not modelled: contents of changes, the base document, expired write ids.
 */
#define OPERATORS 2
#define DAEMONS 3
#define REVISIONS 2

/* Store. */
byte revision = 0;
byte writer[REVISIONS + 1]; /* operator + 1 of each revision */

bool accepted[OPERATORS];
byte accepted_revision[OPERATORS];

byte in_force[DAEMONS];     /* revision in force */
bool serving[DAEMONS]; /* false during startup */
bool partitioned = false;

#define SAME_SIDE(i, j) (!partitioned || ((i == 2) == (j == 2)))
#define HAS_STORE(i) (!partitioned || i != 2)

/* Every accepted edit is in the history of the head, at its revision. */
inline check_history()
{
	assert(!accepted[0] || writer[accepted_revision[0]] == 1);
	assert(!accepted[1] || writer[accepted_revision[1]] == 2)
}

proctype operator(byte self)
{
	byte read_revision;
	byte n;

	do
	:: atomic { revision < REVISIONS -> read_revision = revision }
		/* The write is executed at any later time. */
		if
		:: atomic {
#ifdef NO_CAS
			true ->
#else
			revision == read_revision ->
#endif
			revision = read_revision + 1;
			writer[revision] = self + 1;
			check_history()
		   };
			if
			:: atomic {
				accepted[self] = true;
				accepted_revision[self] = read_revision + 1;
				check_history();
				break
			   }
			:: goto lost_answer
			fi
#ifndef NO_CAS
		:: revision != read_revision -> skip /* conflict: retries */
#endif
		:: true -> /* request lost; never delivered later */
			goto lost_answer
		fi
	:: revision == REVISIONS -> break
	od;
	goto out;
lost_answer:
	/* Reads the head and searches for the write id at its revision. */
	atomic {
		n = read_revision + 1;
		if
#ifdef NO_WRITEID
		:: revision >= n ->
#else
		:: revision >= n && writer[n] == self + 1 ->
#endif
			accepted[self] = true;
			accepted_revision[self] = n;
			check_history()
		:: else -> skip /* "not run" */
		fi
	};
out:	skip
}

/* Applies a revision that was read earlier. */
inline apply_revision(i, rev)
{
	if
#ifdef NO_MONOTONE
	:: true ->
#else
	:: rev > in_force[i] ->
#endif
		assert(!serving[i] || rev >= in_force[i]);
		in_force[i] = rev
	:: else -> skip
	fi
}

/* Watches the head in the store. */
proctype watch(byte self)
{
	byte read_rev;

end:	do
	:: atomic {
		serving[self] && HAS_STORE(self) && revision != in_force[self] ->
		read_rev = revision
	   };
	   atomic { apply_revision(self, read_rev); read_rev = 0 }
	od
}

/* Pulls from a peer whose heartbeat carries a newer revision. */
proctype pull(byte self; byte from)
{
	byte read_rev;

end:	do
	:: atomic {
		serving[self] && serving[from] && SAME_SIDE(self, from) &&
		in_force[from] > in_force[self] ->
		read_rev = in_force[from]
	   };
	   atomic { apply_revision(self, read_rev); read_rev = 0 }
	od
}

#define PEER(i) (serving[i] && SAME_SIDE(self, i))

/* A restart without state; revisions read before it are lost. */
proctype restart(byte self)
{
	byte a = (self + 1) % DAEMONS;
	byte b = (self + 2) % DAEMONS;

	if
	:: atomic { serving[self] = false; in_force[self] = 0 }
	:: goto out
	fi;
	atomic {
		PEER(a) || PEER(b) || HAS_STORE(self);
		if
		:: PEER(a) -> in_force[self] = in_force[a]
		:: else -> skip
		fi;
		if
		:: PEER(b) && in_force[b] > in_force[self] -> in_force[self] = in_force[b]
		:: else -> skip
		fi;
		if
		:: !PEER(a) && !PEER(b) -> in_force[self] = revision
		:: else -> skip
		fi;
		assert(!PEER(a) || in_force[self] >= in_force[a]);
		assert(!PEER(b) || in_force[self] >= in_force[b]);
		serving[self] = true
	};
out:	skip
}

proctype partition()
{
	partitioned = true;
	partitioned = false
}

init
{
	atomic {
		serving[0] = true;
		serving[1] = true;
		serving[2] = true;
		run operator(0);
		run operator(1);
		run watch(0);
		run watch(2);
		run pull(1, 0);
		run pull(2, 0);
#ifndef LTL
		/* Omitted under LTL: each process multiplies the states. */
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
ltl converges { <> [] (in_force[0] == revision && in_force[1] == revision && in_force[2] == revision) }
#endif
