/* Functions shared by the modules of the daemon. */
#include "celld.h"

#include <time.h>

#include "platform/minion.h"

/* Long, since requests queue at the advice service. */
#define ADVICE_TIMEOUT_MS 6000

/* Returns the time of day in ms since 1970. */
uint64_t cd_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* Sends a response to this daemon or to a follower. */
void cd_reply(struct celld *d, const struct cd_origin *origin,
	      enum cd_status status, uint32_t number)
{
	if (origin->link)
		links_send_reply(d->links, origin, status, number);
	else
		rpc_reply(d->rpc, origin->ref, status, number);
}

/* Sends an advice request directly from this daemon. */
void cd_advise(struct celld *d, uint32_t handle, const char *step,
	       const char *const *minions, uint32_t count,
	       void (*done)(void *ctx, uint32_t request_id, bool answered,
			    const struct cell_ticket *tickets, uint32_t n),
	       void *ctx)
{
	pf_advise(d->httpc, d->conf.advice, handle, step, minions, count,
		  ADVICE_TIMEOUT_MS, done, ctx);
}

/* Makes this daemon the holder, with fencing token @token. */
void cd_start_term(struct celld *d, uint64_t token)
{
	ev("term-began", "token=%llu", (unsigned long long)token);
	d->holder = holder_new(d, token);
	links_report_lanes(d->links);
}

/* Stops the scheduler: this daemon is not the holder any more. */
void cd_end_term(struct celld *d)
{
	struct holder *holder = d->holder;

	d->holder = NULL;
	if (holder)
		holder_free(holder);
}
