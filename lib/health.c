#include "health.h"

/* A probe without a result is considered lost after this time. */
#define PROBE_TIMEOUT_MS 60000

/* Returns whether the instance may get work, a probe or nothing at @now_ms. */
enum health_state health_state(const struct health *health, uint64_t now_ms)
{
	if (!health->ejected)
		return HEALTH_OK;
	if (now_ms < health->until_ms)
		return HEALTH_EJECTED;
	if (health->probing && now_ms < health->probe_ms + PROBE_TIMEOUT_MS)
		return HEALTH_EJECTED;
	return HEALTH_PROBE;
}

/*
 * Records that work was sent to the instance. If it is in HEALTH_PROBE, this
 * work is the probe.
 */
void health_sent(struct health *health, uint64_t now_ms)
{
	if (health_state(health, now_ms) != HEALTH_PROBE)
		return;
	health->probing = true;
	health->probe_ms = now_ms;
}

static void eject(struct health *health, uint64_t now_ms)
{
	uint32_t ms =
		health->eject_ms ? health->eject_ms * 2 : HEALTH_EJECT_MIN_MS;

	if (ms > HEALTH_EJECT_MAX_MS)
		ms = HEALTH_EJECT_MAX_MS;
	*health = (struct health){ .ejected = true,
				   .eject_ms = ms,
				   .until_ms = now_ms + ms };
}

static uint32_t failure_count(const struct health *health)
{
	return (uint32_t)__builtin_popcount(health->history &
					    ((1U << HEALTH_WINDOW) - 1));
}

/*
 * Records the result of one piece of work. Returns true if the instance was
 * ejected by it. Results that arrive during an ejection are ignored until a
 * probe has been sent: they belong to work sent before. The result of the probe
 * ends the ejection or doubles its length. After HEALTH_WINDOW successes since
 * the last ejection, the next one has the minimum length again.
 */
bool health_result(struct health *health, bool ok, uint64_t now_ms)
{
	if (health->ejected) {
		if (!health->probing)
			return false;
		if (!ok) {
			eject(health, now_ms);
			return true;
		}
		*health = (struct health){ .eject_ms = health->eject_ms };
	}
	health->history = (health->history << 1) | !ok;
	if (health->results < HEALTH_WINDOW)
		health->results++;
	health->consecutive = ok ? 0 : health->consecutive + 1;
	if (ok && ++health->successes >= HEALTH_WINDOW)
		health->eject_ms = 0;
	if (health->consecutive < HEALTH_CONSECUTIVE &&
	    (health->results < HEALTH_WINDOW ||
	     failure_count(health) < HEALTH_WINDOW_FAILURES))
		return false;
	eject(health, now_ms);
	return true;
}
