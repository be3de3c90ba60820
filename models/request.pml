/* guards: EPOCH WINDOW REMEMBER NOTRUN RECORD OWN_KEY */
/*
 * One non-repeatable request with an idempotency key of epoch 1 and window 0.
 * Models lib/idem.c and the requests of the minion and caller tasks
 * (docs/design.md, 4.4). The caller sends the key twice through two entry
 * daemons. An entry forwards the request to the daemon that it considers the
 * holder: the older one (epoch 1) or its successor (epoch 2). Requests and
 * responses are delivered at any later time or never. Either holder can pause
 * between any two steps or die, the successor takes over at any time while the
 * older one continues, the window advances at any time, and a request that was
 * not dispatched may be cancelled.
 * Not modelled: repeatable requests, keys of other zones, full tables, and
 * different work with the same key.
 * OWN_KEY is a condition that the proof needs in addition to design.md: a
 * request that was not forwarded has the outcome "not run" only with a key
 * that its entry issued itself; with a caller's key an earlier try may have
 * run.
 */
#define TRIES 2
#define RETAIN 1 /* retention of a key, in windows */

mtype = { ABSENT, NEW, DISPATCHED, ANSWERED };		/* the key's record */
mtype = { NO_CALL, QUEUED, SENT, RAN };			/* the request */
mtype = { DONE, NOT_RUN, UNKNOWN };			/* outcomes */

chan forward[2] = [TRIES] of { byte };
chan reply[TRIES] = [TRIES] of { mtype };

byte runs = 0;		   /* at the minion */
bool reported_not_run = false; /* to the caller */
bool taken_over = false;
byte window = 0; /* of epoch 1 */

inline deliver(outcome)
{
	if
	:: outcome == NOT_RUN ->
		assert(runs == 0);
		reported_not_run = true
	:: else -> skip
	fi
}

proctype entry(byte try)
{
	mtype outcome;
	byte to;

	if
	:: to = 0
	:: taken_over -> to = 1
	:: atomic {
#ifdef NO_OWN_KEY
		deliver(NOT_RUN);
#endif
		goto out
	   }
	fi;
	if
	:: forward[to] ! try
	:: skip
	fi;
	if
	:: atomic { reply[try] ? outcome -> deliver(outcome) }
	:: atomic {
		skip; /* timeout, or the entry has died */
#ifdef NO_NOTRUN
		deliver(NOT_RUN)
#endif
	   }
	fi;
out:	skip
}

inline answer_all(outcome)
{
	reply[owner] ! outcome;
	if
	:: waiting -> reply[1 - owner] ! outcome
	:: else -> skip
	fi;
	waiting = false;
	call = NO_CALL
}

inline finish(outcome)
{
	if
	:: record == NEW || record == DISPATCHED ->
		record = ANSWERED;
		saved_outcome = outcome
	:: else -> skip
	fi;
	answer_all(outcome)
}

inline admit(try)
{
	if
	:: record == ABSENT ->
		record = NEW;
		call = QUEUED;
		owner = try
	:: record == ANSWERED -> reply[try] ! saved_outcome
	:: (record == NEW || record == DISPATCHED) && call == NO_CALL ->
		reply[try] ! UNKNOWN
	:: (record == NEW || record == DISPATCHED) && call != NO_CALL ->
#ifdef NO_REMEMBER
		call = QUEUED;
		owner = try
#else
		waiting = true
#endif
	fi
}

/* A holder: its table of keys, and the request if it was forwarded here. */
proctype holder(byte self)
{
	mtype record = ABSENT;
	mtype saved_outcome = UNKNOWN;
	mtype call = NO_CALL;
	bool waiting = false; /* the other try waits for the response */
	bool swept = false;
	byte owner = 0;
	byte try;

	do
	:: atomic {
		forward[self] ? try ->
		if
#ifndef NO_EPOCH
		:: self != 0 -> reply[try] ! UNKNOWN
#endif
#ifndef NO_WINDOW
		:: self == 0 && swept -> reply[try] ! UNKNOWN
#endif
		:: else -> admit(try)
		fi
	   }
	/* The key is swept after its retention. */
	:: atomic {
		self == 0 && window > RETAIN && !swept ->
		swept = true;
		record = ABSENT
	   }
	:: atomic {
		call == QUEUED ->
		if
#ifdef NO_REMEMBER
		:: true -> call = SENT
#else
		:: record == NEW -> record = DISPATCHED; call = SENT
		:: else -> answer_all(NOT_RUN)
#endif
		fi
	   }
	/* The request is sent at any later time, or only in part. */
	:: atomic {
		call == SENT ->
		runs++;
		assert(runs == 1);
		assert(!reported_not_run);
		call = RAN
	   }
	:: atomic { call == SENT -> finish(UNKNOWN) }
	:: atomic { call == RAN -> finish(DONE) }
	:: atomic { call == RAN -> finish(UNKNOWN) }
	/* Cancelled, or past its deadline, before it was dispatched. */
	:: atomic {
		call == QUEUED ->
#ifdef NO_RECORD
		record = ABSENT;
#endif
		finish(NOT_RUN)
	   }
	:: break /* dies */
	od
}

active proctype takeover()
{
	taken_over = true;
	run holder(1)
}

active proctype windows()
{
	do
	:: window <= RETAIN -> window++
	:: else -> break
	od
}

init
{
	atomic {
		run holder(0);
		run entry(0);
		run entry(1)
	}
}
