/* guards: TWO_STEP CHECK LISTING LAPSE FENCE RENEW ADOPTED SILENCE */
/* ltl: ends */
/*
 * Takeover of a zone and the start of one exclusive task: a holder of epoch 1
 * and a standby that takes over with epoch 2. Models lib/claim.c,
 * lib/zone_start.c, lib/zone_sync.c, lib/zone_recover.c and sched/journal.c. A
 * tick may occur between any two steps, so that any process can pause
 * anywhere; timers count down. A message is delivered within GRACE ticks after
 * it was sent, or never. The older holder starts the task on worker 0, which
 * may fail to respond to the successor at any time; worker 1 always responds.
 * Not modelled: promises, a second takeover, clock rates, snapshots and
 * trimming, gangs, stops, and more than one synchronisation in flight per
 * worker.
 * RENEW, ADOPTED and SILENCE are conditions that the proof needs in addition
 * to the code:
 * - RENEW: a holder whose claim has expired renews no lease of an exclusive
 *   task.
 * - ADOPTED: an unresponsive worker with an adopted lease is lost after two
 *   terms.
 * - SILENCE: silence is timed from the failure of a renewal, not from when it
 *   was composed, because the holder can pause between composing and sending.
 */
#ifdef LTL
/* Shorter terms, because fairness multiplies the number of states. */
#define TTL 1
#define TERM 2
#define BATCHES 2
#else
#define TTL 2
/* The shortest term in which a delayed renewal outlives one term and GRACE. */
#define TERM 4
#define BATCHES 4
#endif
#define START 1
#define GRACE 1
#define TRANSIT (GRACE + 1)

#ifdef NO_LAPSE
#define HOLD (TERM + GRACE)
#else
#define HOLD (2 * TERM + GRACE)
#endif
#ifdef NO_ADOPTED
#define SILENT_TERM (TERM + GRACE)
#else
#define SILENT_TERM (2 * TERM + GRACE)
#endif

/* Store. */
byte key = 1;	     /* epoch in the claim key */
bool renewed = false; /* renewed since the last check of the standby */
byte batch[BATCHES]; /* epoch of each batch of the log, 0 if absent */
bool takeover_logged = false;  /* the takeover batch is in the log */

/* Older holder. */
byte valid = TTL;
byte renewal_valid = 0; /* validity if the renewal in flight succeeds */
bool claim_lost = false;
bool old_start_done = false;

/* Worker 0: the lease of the older holder and its task. */
byte lease = 0; /* ticks left */
bool running = false;
bool ended = false;
byte start_in_transit = 0;
byte renewal_in_transit = 0;

/* Worker 1: the task started by the successor. */
bool new_running = false;
bool new_ended = false;

/* Successor. */
byte wait = TTL;
byte hold = 0;
byte silence_left = 0;
byte new_renewal_in_transit = 0;
bool finished = false;

#define DEC(t) \
	if \
	:: t > 0 -> t-- \
	:: else -> skip \
	fi

active proctype tick()
{
	do
	:: d_step {
		DEC(valid);
		DEC(renewal_valid);
		DEC(lease);
		DEC(start_in_transit);
		DEC(renewal_in_transit);
		DEC(wait);
		DEC(hold);
		DEC(silence_left);
		DEC(new_renewal_in_transit);
		if
		:: lease == 0 -> running = false
		:: else -> skip
		fi
	   }
	od
}

/* A running task can complete at any time. */
active proctype task_ends()
{
	do
	:: atomic { running && lease > 0 -> running = false; ended = true }
	:: atomic { new_running -> new_running = false; new_ended = true }
	od
}

active proctype old_claim()
{
	bool ok;
#ifdef LTL
	byte renewals = 0; /* bounded: the older holder dies eventually */
#endif

	do
	:: claim_lost -> break
#ifdef LTL
	:: atomic { !claim_lost && renewals < 2 -> renewal_valid = TTL; renewals++ }
#else
	:: atomic { !claim_lost -> renewal_valid = TTL }
#endif
	   atomic {
		ok = (key == 1);
		if
		:: ok -> renewed = true
		:: else -> skip
		fi
	   }
	   if
	   :: atomic { ok -> valid = renewal_valid; ok = false }
	   :: atomic { !ok -> claim_lost = true; valid = 0 }
	   :: skip /* the response is lost */
	   fi
	od
}

/* Log writes of the older holder; a lost response is resolved by reading. */
active proctype old_log()
{
	byte n = 0;

	do
	:: n == BATCHES - 1 || claim_lost -> break
	:: atomic {
		n < BATCHES - 1 && !claim_lost ->
		if
#ifndef NO_FENCE
		:: batch[n] != 0 -> skip
#endif
		:: else ->
			assert(!takeover_logged);
			batch[n] = 1
		fi
	   }
	   if
	   :: atomic { batch[n] == 1 -> n++ }
	   :: atomic { batch[n] == 2 -> claim_lost = true; valid = 0 }
	   :: skip /* no response: retries the same batch */
	   fi
	od
}

active proctype old_start()
{
	atomic { valid > 0 && !claim_lost }
#ifndef NO_TWO_STEP
	lease = START; /* created at any later time, and acknowledged */
#ifndef NO_CHECK
	if
	:: atomic { valid > 0 && !claim_lost -> skip }
	:: atomic { valid == 0 || claim_lost -> goto out }
	fi;
#endif
#endif
	start_in_transit = TRANSIT;
	if
	:: atomic {
		start_in_transit > 0 -> start_in_transit = 0;
#ifdef NO_TWO_STEP
		lease = START;
#endif
		if
		:: lease > 0 ->
			assert(!new_running);
			running = true
		:: else -> skip
		fi
	   }
	:: start_in_transit == 0
	fi;
	old_start_done = true;
out:	skip
}

active proctype old_sync()
{
	do
	:: claim_lost -> break
#ifdef NO_RENEW
	:: atomic { old_start_done && !claim_lost -> skip }
#else
	:: atomic { old_start_done && !claim_lost && valid > 0 -> skip }
#endif
	   renewal_in_transit = TRANSIT;
	   if
	   :: atomic {
		renewal_in_transit > 0 -> renewal_in_transit = 0;
		if
		:: lease > 0 -> lease = TERM
		:: else -> skip
		fi
	      }
	   :: renewal_in_transit == 0
	   fi
	od
}

mtype = { NONE, LEASED, RUNNING, ENDED };

#define GET_TASK_STATE(task_state) \
	if \
	:: ended -> task_state = ENDED \
	:: else -> \
		if \
		:: running -> task_state = RUNNING \
		:: else -> \
			if \
			:: lease > 0 -> task_state = LEASED \
			:: else -> task_state = NONE \
			fi \
		fi \
	fi

active proctype successor()
{
	byte n;
	mtype task_state = NONE;
	bool silent = false;

	/* Takeover. */
	do
	:: atomic { renewed -> renewed = false; wait = TTL }
	:: atomic { wait == 0 && !renewed -> key = 2; break }
	od;
	do
	:: atomic {
		n = 0;
		do
		:: n < BATCHES && batch[n] != 0 -> n++
		:: else -> break
		od
	   }
	   if
	   :: atomic {
#ifdef NO_FENCE
		true ->
#else
		batch[n] == 0 ->
#endif
		batch[n] = 2;
		takeover_logged = true;
		hold = HOLD;
		break
	      }
#ifndef NO_FENCE
	   :: batch[n] != 0
#endif
	   fi
	od;

#ifndef NO_LISTING
	/* Queries the older holder's task, if any, on worker 0. */
	do
	:: hold == 0 -> goto start_again
	:: atomic { hold > 0 -> GET_TASK_STATE(task_state) }
	   if
	   :: task_state == NONE -> goto start_again
	   :: task_state == LEASED -> skip
	   :: task_state == RUNNING -> break
	   :: task_state == ENDED -> goto out
	   :: skip /* the response is lost */
	   fi
	od;
adopted:
	/* Renews the lease until the task ends or the worker is lost. */
	do
	:: atomic { silent && silence_left == 0 -> goto start_again }
	:: atomic { silent && silence_left > 0 -> GET_TASK_STATE(task_state) }
	   if
	   :: task_state == NONE -> goto start_again
	   :: task_state == ENDED -> goto out
	   :: task_state == RUNNING || task_state == LEASED -> silent = false
	   :: skip
	   fi
	:: atomic {
		!silent -> silence_left = SILENT_TERM
	   }
	   new_renewal_in_transit = TRANSIT;
	   if
	   :: atomic {
		new_renewal_in_transit > 0 -> new_renewal_in_transit = 0;
		if
		:: lease > 0 -> lease = TERM
		:: else -> skip
		fi;
		GET_TASK_STATE(task_state)
	      }
	      if
	      :: task_state == NONE -> goto start_again
	      :: task_state == ENDED -> goto out
	      :: task_state == RUNNING || task_state == LEASED -> skip
	      :: silent = true
	      fi
	   :: new_renewal_in_transit == 0 -> silent = true
	   fi;
#ifndef NO_SILENCE
	   if
	   :: atomic { silent -> silence_left = SILENT_TERM }
	   :: !silent
	   fi
#endif
	od;
#endif
start_again:
	/* The older holder's task can no longer run: starts it on worker 1. */
	atomic { assert(!running); new_running = true }
	new_ended;
out:
	finished = true
}

#ifdef LTL
ltl ends { <> finished }
#endif
