/* guards: TERM TAKEOVER_WAIT DEAD */
/* variants: TAIL */
/*
 * Sharing of one minion's slots: base shares, lending and grants among the
 * members of a zone, with a takeover and a change of the member list. Models
 * lib/slot.c. A tick may occur between any two steps; timers count down.
 * Demands and grants are delivered at any later time or never; a newer one
 * replaces the one in transit. A daemon reads a claim or a member list at any
 * time after it was written, sends requests up to its limit at any time, and a
 * request lasts up to TAIL. Daemon 0 holds the claim at first; daemon 1 may
 * take over, with or without the death of daemon 0, or be removed or join.
 * Not modelled: clock rates, several minions, connections, two offers or
 * grants of different sizes at once (the larger one counts), the fair division
 * of grants. All daemons number the versions of the member list alike.
 * DEAD: a daemon is removed from the list only if it is dead.
 */
#define N 2
#define S 3
/*
 * Both larger values together give too many states. Only with TERM 2 does the
 * term outlast a demand.
 */
#ifdef WITH_TAIL
#define TERM 1
#define TAIL 1 /* a request outlives its grant */
#else
#define TERM 2
#define TAIL 0
#endif
#define GRANT (TERM + TAIL)
#define OFFER (2 * TERM + TAIL)

/* Claim key. */
byte epoch = 1;
byte version = 1;
bool listed[N];
byte count = 2;
byte holder = 0;

/* Each daemon. */
bool dead[N];
byte known_epoch[N];
byte known_version[N];
byte divisor[N];
byte lent[N];
byte lent_left[N];
byte lent_epoch[N];
byte extra[N];
byte extra_left[N];
byte poll_left[N]; /* lifetime of an offer in reply to the last grant */
byte in_use[N];	   /* requests at the minion */
byte in_use_left[N];

/* The holder. */
byte grant_from = 0;
byte granted[N];
byte granted_left[N];
bool applied[N];
byte offer[N];
byte offer_left[N];

typedef demand_msg {
	bool in_transit;
	byte epoch;
	byte left; /* of a grant that replies to it */
	byte offer;
	byte offer_left;
	byte applied
};
typedef grant_msg {
	bool in_transit;
	byte epoch;
	byte extra;
	byte left;
	byte settled;
	byte poll_left
};
demand_msg demand[N];
grant_msg grant[N];

#define DEC(t) \
	if \
	:: t > 0 -> t-- \
	:: else -> skip \
	fi

#define BASE(i) (divisor[i] -> S / divisor[i] : 0)
#define LENT(i) (lent_left[i] > 0 -> lent[i] : 0)
#define OWN(i) (LENT(i) < BASE(i) -> BASE(i) - LENT(i) : 0)
#define EXTRA(i) (extra_left[i] > 0 -> extra[i] : 0)
#define LIMIT(i) (OWN(i) + EXTRA(i) < S -> OWN(i) + EXTRA(i) : S)

inline check_capacity()
{
	assert(in_use[0] + in_use[1] <= S)
}

inline tick()
{
	i = 0;
	do
	:: i < N ->
		DEC(lent_left[i]);
		if
		:: lent_left[i] == 0 -> lent[i] = 0; lent_epoch[i] = 0
		:: else -> skip
		fi;
		DEC(extra_left[i]);
		if
		:: extra_left[i] == 0 -> extra[i] = 0
		:: else -> skip
		fi;
		DEC(poll_left[i]);
		DEC(granted_left[i]);
		if
		:: granted_left[i] == 0 -> granted[i] = 0
		:: else -> skip
		fi;
		DEC(offer_left[i]);
		if
		:: offer_left[i] < GRANT -> offer_left[i] = 0; offer[i] = 0
		:: else -> skip
		fi;
		DEC(demand[i].left);
		DEC(demand[i].offer_left);
		DEC(grant[i].left);
		DEC(grant[i].poll_left);
		DEC(in_use_left[i]);
		if
		:: in_use_left[i] == 0 && dead[i] -> in_use[i] = 0
		:: in_use_left[i] == 0 && !dead[i] && in_use[i] > LIMIT(i) ->
			in_use[i] = LIMIT(i)
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	DEC(grant_from);
	i = 0
}

proctype time()
{
	byte i;

	do
	:: d_step { tick() }
	od
}

inline clear_demand(m)
{
	demand[m].in_transit = false;
	demand[m].epoch = 0;
	demand[m].left = 0;
	demand[m].offer = 0;
	demand[m].offer_left = 0;
	demand[m].applied = 0
}

/* Clears the ledgers after a takeover or a change of the member list. */
inline reset(wait)
{
	i = 0;
	do
	:: i < N ->
		granted[i] = 0;
		granted_left[i] = 0;
		applied[i] = false;
		offer[i] = 0;
		offer_left[i] = 0;
		i++
	:: else -> break
	od;
	i = 0;
	grant_from = wait
}

inline update_view(self)
{
	if
	:: known_epoch[self] != epoch -> poll_left[self] = 0
	:: else -> skip
	fi;
	known_epoch[self] = epoch;
	known_version[self] = version;
	if
	:: !listed[self] -> divisor[self] = 0
	:: listed[self] && divisor[self] && divisor[self] < count ->
		divisor[self] = count
	:: else -> skip
	fi
}

/* Changes of the claim key: takeover, death, join and removal of a daemon. */
proctype claim()
{
	byte i;
	bool died = false;

	do
	:: d_step {
		epoch == 1 && !dead[1] && listed[1] ->
		epoch = 2;
		version++;
		holder = 1;
		clear_demand(0);
		clear_demand(1);
		if
		:: dead[0] && listed[0] -> listed[0] = false; count--
		:: else -> skip
		fi;
		update_view(1);
#ifdef NO_TAKEOVER_WAIT
		reset(0)
#else
		reset(GRANT)
#endif
	   }
	:: d_step {
		holder == 0 && !dead[0] && !listed[1] && !dead[1] && version < 3 ->
		version++;
		listed[1] = true;
		count++;
		update_view(holder);
		reset(GRANT)
	   }
	:: d_step { !died -> died = true; dead[0] = true }
	:: d_step { !died && epoch == 1 -> died = true; dead[1] = true }
	:: d_step {
#ifdef NO_DEAD
		holder == 0 && !dead[0] && listed[1] ->
#else
		holder == 0 && !dead[0] && dead[1] && listed[1] ->
#endif
		listed[1] = false;
		count--;
		version++;
		update_view(0);
		reset(GRANT)
	   }
	od
}

inline send_demand(self)
{
	demand[self].in_transit = true;
	demand[self].epoch = known_epoch[self];
	demand[self].left = TERM;
	demand[self].applied = known_version[self];
	demand[self].offer = 0;
	demand[self].offer_left = 0
}

inline lend(self)
{
	lent[self] = (lent[self] > BASE(self) - in_use[self] ->
		lent[self] : BASE(self) - in_use[self]);
	lent_left[self] = OFFER;
	lent_epoch[self] = known_epoch[self];
	demand[self].offer = BASE(self) - in_use[self];
	demand[self].offer_left = poll_left[self]
}

inline apply_grant(self)
{
	if
	:: grant[self].epoch == known_epoch[self] && listed[self] ->
		poll_left[self] = grant[self].poll_left;
		if
		:: grant[self].settled == known_version[self] ->
			divisor[self] = count
		:: else -> skip
		fi;
		extra[self] = grant[self].extra;
#ifdef NO_TERM
		extra_left[self] = TERM;
#else
		extra_left[self] = grant[self].left;
#endif
		if
		:: extra_left[self] == 0 -> extra[self] = 0
		:: else -> skip
		fi
	:: else -> skip
	fi;
	grant[self].in_transit = false;
	grant[self].epoch = 0;
	grant[self].extra = 0;
	grant[self].left = 0;
	grant[self].settled = 0;
	grant[self].poll_left = 0
}

#define OTHERS(m) (granted[1 - m])
#define POOL (S - (S / count) * count + LENDS(0) + LENDS(1))
#define LENDS(m) (listed[m] && offer_left[m] >= GRANT -> \
	(offer[m] < S / count -> offer[m] : S / count) : 0)
#define SETTLED (grant_from == 0 && (applied[0] || !listed[0]) && \
	(applied[1] || !listed[1]))

/* The holder handles the demand of a member. */
inline record_demand(m)
{
	offer[m] = 0;
	offer_left[m] = 0;
	if
	:: demand[m].offer_left >= GRANT ->
		offer[m] = demand[m].offer;
		offer_left[m] = demand[m].offer_left
	:: else -> skip
	fi;
	if
	:: !applied[m] && demand[m].applied == version ->
		applied[m] = true;
		grant_from = (grant_from < TAIL -> TAIL : grant_from)
	:: else -> skip
	fi
}

inline send_grant(m, more)
{
	grant[m].in_transit = true;
	grant[m].epoch = epoch;
	grant[m].extra = 0;
	grant[m].left = 0;
	grant[m].settled = (SETTLED -> version : 0);
	grant[m].poll_left = OFFER;
	if
	:: more && SETTLED && POOL > OTHERS(m) ->
		grant[m].extra = POOL - OTHERS(m);
		grant[m].left = demand[m].left;
		if
		:: grant[m].extra > granted[m] -> granted[m] = grant[m].extra
		:: else -> skip
		fi;
		granted_left[m] = GRANT
	:: else -> skip
	fi;
	clear_demand(m)
}

proctype member(byte self)
{
	do
	:: dead[self] -> break
	:: d_step {
		!dead[self] && known_version[self] != version ->
		update_view(self)
	   }
	:: d_step { !dead[self] && self != holder && known_epoch[self] > 0 ->
		send_demand(self)
	   }
	/* The holder handles its own demands without a message. */
	:: d_step {
		!dead[self] && self == holder ->
		send_demand(self);
		record_demand(self);
		send_grant(self, true);
		apply_grant(self)
	   }
	/* Adds an offer if it has idle slots and the last grant allows one. */
	:: d_step {
		!dead[self] && poll_left[self] > 0 && in_use[self] < BASE(self) &&
		(LENT(self) == 0 || lent_epoch[self] == known_epoch[self]) &&
		known_epoch[self] > 0 ->
		send_demand(self);
		lend(self);
		if
		:: self == holder ->
			record_demand(self);
			send_grant(self, false);
			apply_grant(self)
		:: else -> skip
		fi
	   }
	:: d_step { !dead[self] && grant[self].in_transit -> apply_grant(self) }
	:: d_step {
		!dead[self] && LIMIT(self) >= in_use[self] && LIMIT(self) > 0 ->
		in_use[self] = LIMIT(self);
		in_use_left[self] = TAIL;
		check_capacity()
	   }
	:: d_step {
		!dead[self] && in_use[self] > 0 ->
		in_use[self] = 0;
		in_use_left[self] = 0
	   }
	od
}

proctype grants(byte m)
{
	do
	:: d_step {
		!dead[holder] && m != holder && demand[m].in_transit &&
		demand[m].epoch == epoch && listed[m] ->
		record_demand(m);
		send_grant(m, false)
	   }
	:: d_step {
		!dead[holder] && m != holder && demand[m].in_transit &&
		demand[m].epoch == epoch && listed[m] ->
		record_demand(m);
		send_grant(m, true)
	   }
	od
}

init
{
	byte i;

	atomic {
		listed[0] = true;
		known_epoch[0] = 1;
		known_version[0] = 1;
		applied[0] = true;
		applied[1] = true;
		divisor[0] = 1;
		count = 1;
		/* Daemon 1 is a member at first, or may join. */
		if
		:: listed[1] = true;
			count = 2;
			divisor[0] = 2;
			divisor[1] = 2;
			known_epoch[1] = 1;
			known_version[1] = 1
		:: skip
		fi;
		run time();
		run claim();
		run member(0);
		run member(1);
		run grants(0);
		run grants(1)
	}
}
