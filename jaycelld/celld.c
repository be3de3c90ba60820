/* What connects the parts of the daemon. */
#include "celld.h"

#include <time.h>

#include "platform/minion.h"

/* Long questions queue up at the advice service, in ms. */
#define ADVICE_TIMEOUT_MS 6000

/* Returns the time of day in ms since 1970. */
uint64_t cd_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* Answers a question of this daemon or of a follower. */
void cd_answer(struct celld *d, const struct cd_asker *asker,
	       enum cd_answer answer, uint32_t number)
{
	if (asker->link)
		links_send_answer(d->links, asker, answer, number);
	else
		asks_answer(d->asks, asker->ref, answer, number);
}

/* Asks the advice service on this daemon's lane. */
void cd_question(struct celld *d, uint32_t handle, const char *step,
		 const char *const *minions, uint32_t count,
		 void (*done)(void *ctx, uint32_t question, bool answered,
			      const struct cell_ticket *good, uint32_t n),
		 void *ctx)
{
	pf_advise(d->httpc, d->conf.advice, handle, step, minions, count,
		  ADVICE_TIMEOUT_MS, done, ctx);
}

/* This daemon is the holder from now on. */
void cd_start_term(struct celld *d, uint64_t token)
{
	ev("term-began", "token=%llu", (unsigned long long)token);
	d->holder = holder_new(d, token);
	links_announce(d->links);
}

/* Another daemon is the holder, or none. */
void cd_end_term(struct celld *d)
{
	struct holder *holder = d->holder;

	d->holder = NULL;
	if (holder)
		holder_free(holder);
}
