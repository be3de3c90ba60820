#include "claim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

/* A standby waits 10 % longer than the term, for drift between two clocks. */
#define CLAIM_WITH_DRIFT(ms) ((ms) + (ms) / 10)

static bool claim_can_write(const struct claim *c)
{
	return !c->writing && c->known;
}

/* Initialises @c in CLAIM_STANDBY for a daemon that starts at @now_ms. */
void claim_init(struct claim *c, const struct claim_settings *settings,
		uint64_t now_ms)
{
	*c = (struct claim){ .settings = *settings,
			     .state = CLAIM_STANDBY,
			     .started_ms = now_ms };
}

/*
 * Sets the other live daemons of the zone, without this one; at most
 * CLAIM_MEMBERS_MAX - 1 are used.
 */
void claim_set_alive(struct claim *c, const char (*ids)[CLAIM_NAME_MAX],
		     uint32_t count)
{
	c->alive_count = 0;
	for (uint32_t i = 0; i < count && i < CLAIM_MEMBERS_MAX - 1; i++) {
		memcpy(c->alive[c->alive_count], ids[i], CLAIM_NAME_MAX);
		c->alive_count++;
	}
}

static int32_t claim_member_index(const struct claim_record *record,
				  const char *id)
{
	for (uint32_t i = 0; i < record->member_count; i++) {
		if (!strcmp(record->members[i], id))
			return (int32_t)i;
	}
	return -1;
}

/* Returns whether @id is in the member list of @record. */
bool claim_is_member(const struct claim_record *record, const char *id)
{
	return claim_member_index(record, id) >= 0;
}

/*
 * Marks member @id as dead or not according to the platform's instance list;
 * no effect if @id is not a member.
 */
void claim_set_dead(struct claim *c, const char *id, bool dead)
{
	int32_t i = claim_member_index(&c->record, id);

	if (i < 0)
		return;
	if (dead)
		c->dead |= 1U << i;
	else
		c->dead &= ~(1U << i);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

static bool same_members(const struct claim_record *a,
			 const struct claim_record *b)
{
	return a->member_count == b->member_count &&
	       !memcmp(a->members, b->members, sizeof(a->members));
}

/*
 * A write with an unknown result may have added members from which no promise
 * is requested.
 */
static bool claim_members_uncertain(const struct claim *c)
{
	return c->members_in_doubt ||
	       ((c->writing || c->unresolved) &&
		!same_members(&c->next_record, &c->record));
}

/*
 * Clears the doubt about unanswered writes, once each of them has been applied
 * or can no longer be applied.
 */
static void claim_clear_doubt(struct claim *c)
{
	c->in_doubt = false;
	c->members_in_doubt = false;
}

static void claim_prepare_record(struct claim *c, const char *holder,
				 uint64_t epoch, uint64_t count,
				 uint64_t write_id)
{
	struct claim_record *next = &c->next_record;

	/* JSON integers are signed. */
	*next = (struct claim_record){ .epoch = epoch,
				       .count = count,
				       .write_id = write_id & INT64_MAX };
	snprintf(next->holder, sizeof(next->holder), "%s", holder);
	memcpy(next->members[0], c->settings.self, CLAIM_NAME_MAX);
	next->member_count = 1;
	for (uint32_t i = 0; i < c->alive_count; i++) {
		memcpy(next->members[next->member_count], c->alive[i],
		       CLAIM_NAME_MAX);
		next->member_count++;
	}
	qsort(next->members, next->member_count, CLAIM_NAME_MAX, compare_names);
	next->members_version =
		c->record.members_version + !same_members(next, &c->record);
	c->next_index = c->exists ? c->index : 0;
}

static enum claim_action claim_start_write(struct claim *c, uint64_t now_ms)
{
	c->writing = true;
	c->write_sent_ms = now_ms;
	c->write_tried_ms = now_ms;
	return CLAIM_WRITE;
}

/*
 * A non-member may take over only if no promise to the holder is outstanding:
 * one member has granted consent, or all of them are confirmed dead. A holder
 * that is the only member extends its lease without promises while the store is
 * unreachable, so it must be confirmed dead itself.
 */
static bool claim_has_consent(const struct claim *c, uint64_t now_ms)
{
	uint32_t required = 0;
	bool sole_member = c->record.member_count == 1;

	if (claim_is_member(&c->record, c->settings.self))
		return true;
	/*
	 * Consent counts only under the same member list: under a later one the
	 * holder may extend its lease without the promise of that member.
	 */
	if (c->consent_epoch == c->record.epoch &&
	    now_ms - c->consent_sent_ms < c->settings.ttl_ms &&
	    c->consent_members_version == c->record.members_version)
		return true;
	for (uint32_t i = 0; i < c->record.member_count; i++) {
		if (sole_member ||
		    strcmp(c->record.members[i], c->record.holder) != 0)
			required |= 1U << i;
	}
	return (required & ~c->dead) == 0;
}

static enum claim_action claim_tick_standby(struct claim *c, uint64_t now_ms,
					    uint64_t write_id)
{
	uint64_t wait = CLAIM_WITH_DRIFT((uint64_t)c->settings.ttl_ms);

	if (c->unresolved || !c->known) {
		if (now_ms - c->read_sent_ms < c->settings.renew_ms)
			return CLAIM_NO_ACTION;
		c->read_sent_ms = now_ms;
		return CLAIM_READ;
	}
	if (!claim_can_write(c))
		return CLAIM_NO_ACTION;
	if (c->write_tried_ms &&
	    now_ms - c->write_tried_ms < c->settings.renew_ms / 2)
		return CLAIM_NO_ACTION;
	if (!c->exists) {
		claim_prepare_record(c, c->settings.self, 1, 1, write_id);
		return claim_start_write(c, now_ms);
	}
	if (c->record.holder[0]) {
		/*
		 * The first read after a start counts as a change, so promises
		 * granted before a restart have expired after this wait.
		 */
		if (now_ms - c->changed_ms < wait ||
		    now_ms < c->promise_granted_until_ms)
			return CLAIM_NO_ACTION;
		/* Never take over on a stale read. */
		if (now_ms - c->read_ms > c->settings.renew_ms) {
			if (now_ms - c->read_sent_ms < c->settings.renew_ms)
				return CLAIM_NO_ACTION;
			c->read_sent_ms = now_ms;
			return CLAIM_READ;
		}
		if (!claim_has_consent(c, now_ms)) {
			if (now_ms - c->consent_tried_ms < c->settings.renew_ms)
				return CLAIM_NO_ACTION;
			c->consent_tried_ms = now_ms;
			return CLAIM_REQUEST_CONSENT;
		}
	}
	claim_prepare_record(c, c->settings.self, c->record.epoch + 1, 1,
			     write_id);
	return claim_start_write(c, now_ms);
}

static enum claim_action claim_tick_holder(struct claim *c, uint64_t now_ms,
					   uint64_t write_id)
{
	bool store_unreachable =
		now_ms - c->read_ms > c->settings.renew_ms * 3 / 2;

	if (c->state == CLAIM_HELD && store_unreachable &&
	    c->record.member_count == 1 && !claim_members_uncertain(c) &&
	    claim_is_member(&c->record, c->settings.self))
		c->promise_valid_until_ms = now_ms + c->settings.ttl_ms;
	/* Request promises well before the lease expires. */
	if (c->state == CLAIM_HELD && store_unreachable &&
	    c->record.member_count > 1 &&
	    (!c->promise_round_ms ||
	     now_ms - c->promise_round_ms >= c->settings.renew_ms)) {
		c->promise_round_ms = now_ms;
		c->promise_members = 0;
		return CLAIM_REQUEST_PROMISES;
	}
	if (c->unresolved) {
		if (now_ms - c->read_sent_ms < c->settings.renew_ms / 2)
			return CLAIM_NO_ACTION;
		c->read_sent_ms = now_ms;
		return CLAIM_READ;
	}
	if (!claim_can_write(c) ||
	    now_ms - c->write_tried_ms < c->settings.renew_ms)
		return CLAIM_NO_ACTION;
	claim_prepare_record(c, c->settings.self, c->epoch, c->record.count + 1,
			     write_id);
	return claim_start_write(c, now_ms);
}

static enum claim_action claim_tick_release(struct claim *c, uint64_t now_ms,
					    uint64_t write_id)
{
	if (!c->releasing || c->writing)
		return CLAIM_NO_ACTION;
	if (c->unresolved) {
		if (now_ms - c->read_sent_ms < c->settings.renew_ms / 4)
			return CLAIM_NO_ACTION;
		c->read_sent_ms = now_ms;
		return CLAIM_READ;
	}
	if (c->write_tried_ms &&
	    now_ms - c->write_tried_ms < c->settings.renew_ms / 4)
		return CLAIM_NO_ACTION;
	claim_prepare_record(c, "", c->epoch, c->record.count + 1, write_id);
	return claim_start_write(c, now_ms);
}

/*
 * Returns the next action at @now_ms. @write_id must be a fresh random number;
 * it identifies the write if the action is CLAIM_WRITE.
 */
enum claim_action claim_tick(struct claim *c, uint64_t now_ms,
			     uint64_t write_id)
{
	switch (c->state) {
	case CLAIM_STANDBY:
		return claim_tick_standby(c, now_ms, write_id);
	case CLAIM_ACQUIRING:
	case CLAIM_HELD:
		return claim_tick_holder(c, now_ms, write_id);
	case CLAIM_RELEASED:
		return claim_tick_release(c, now_ms, write_id);
	}
	return CLAIM_NO_ACTION;
}

static void claim_observe(struct claim *c, const struct claim_record *record,
			  uint64_t index, uint64_t now_ms)
{
	bool changed =
		!c->known || c->exists != (record != NULL) || c->index != index;

	c->known = true;
	c->read_ms = now_ms;
	if (!changed)
		return;
	c->changed_ms = now_ms;
	c->exists = record != NULL;
	c->index = index;
	c->dead = 0;
	c->record = record ? *record : (struct claim_record){ 0 };
}

static void claim_write_applied(struct claim *c, uint64_t index,
				uint64_t now_ms)
{
	claim_observe(c, &c->next_record, index, now_ms);
	if (!c->next_record.holder[0]) {
		c->releasing = false;
		return;
	}
	/* A renewal that was in flight when the release began. */
	if (c->state == CLAIM_RELEASED)
		return;
	c->valid_until_ms = c->write_sent_ms + c->settings.ttl_ms;
	c->promise_round_ms = 0;
	if (c->state == CLAIM_STANDBY) {
		c->state = CLAIM_ACQUIRING;
		c->epoch = c->next_record.epoch;
		c->promise_valid_until_ms = 0;
	}
}

/*
 * Handles the result of a read; @record is NULL if the key is absent. Resolves
 * an unresolved write, and steps down if another holder or epoch has the key.
 * Results older than the last one are ignored.
 */
void claim_on_read(struct claim *c, const struct claim_record *record,
		   uint64_t index, uint64_t now_ms)
{
	if (c->known && index < c->index && record)
		return;
	if (!record || index != c->next_index)
		claim_clear_doubt(c);
	if (c->unresolved && !c->writing) {
		c->unresolved = false;
		if (record && record->write_id == c->next_record.write_id) {
			claim_write_applied(c, index, now_ms);
			return;
		}
	}
	claim_observe(c, record, index, now_ms);
	if (c->releasing && (!record || record->epoch != c->epoch))
		c->releasing = false;
	if ((c->state == CLAIM_HELD || c->state == CLAIM_ACQUIRING) && record &&
	    (record->epoch != c->epoch ||
	     strcmp(record->holder, c->settings.self) != 0))
		claim_step_down(c);
}

/*
 * Handles the result of a CLAIM_WRITE. After any result but CLAIM_WRITE_FAILED
 * the key is read before the next write.
 */
void claim_on_written(struct claim *c, enum claim_write_result result,
		      uint64_t now_ms)
{
	if (!c->writing)
		return;
	c->writing = false;
	/* A definite result also settles earlier writes at the same index. */
	if (result == CLAIM_WRITE_UNKNOWN) {
		c->in_doubt = true;
		c->members_in_doubt |=
			!same_members(&c->next_record, &c->record);
	} else if (result != CLAIM_WRITE_FAILED) {
		claim_clear_doubt(c);
	}
	switch (result) {
	case CLAIM_WRITE_OK:
		/*
		 * The reply does not contain the new index. Keep the old one,
		 * so that the read that follows counts as a change.
		 */
		claim_write_applied(c, c->index, now_ms);
		c->unresolved = true;
		c->read_sent_ms = 0;
		break;
	case CLAIM_WRITE_CONFLICT:
	case CLAIM_WRITE_UNKNOWN:
		c->unresolved = true;
		c->read_sent_ms = 0;
		break;
	case CLAIM_WRITE_FAILED:
		break;
	}
}

/* Completes a takeover: the journal has been recovered in this epoch. */
void claim_on_recovered(struct claim *c, uint64_t now_ms)
{
	if (c->state != CLAIM_ACQUIRING)
		return;
	c->state = CLAIM_HELD;
	c->held_since_ms = now_ms;
}

/* Steps down, if the claim key or the journal shows that the claim is lost. */
void claim_step_down(struct claim *c)
{
	if (c->state == CLAIM_RELEASED)
		return;
	c->state = CLAIM_STANDBY;
	c->valid_until_ms = 0;
	c->promise_valid_until_ms = 0;
	c->promise_round_ms = 0;
}

/*
 * Releases the claim for a graceful shutdown. It is invalid at once; until the
 * key has been written with an empty holder, c->releasing stays set and
 * claim_tick() returns the actions for it.
 */
void claim_release(struct claim *c)
{
	c->releasing = c->state == CLAIM_HELD || c->state == CLAIM_ACQUIRING;
	c->state = CLAIM_RELEASED;
	c->valid_until_ms = 0;
	c->promise_valid_until_ms = 0;
}

/*
 * Handles @holder's request for a promise not to take over within @term_ms;
 * returns whether it is granted. It is refused for another epoch or holder,
 * while an own write is in flight, unresolved or in doubt, after consent to a
 * takeover from this epoch, and if this daemon has read the store recently.
 */
bool claim_on_promise_request(struct claim *c, const char *holder,
			      uint64_t epoch, uint32_t term_ms, uint64_t now_ms)
{
	/* A consent granted before a restart may still be in use. */
	if (now_ms - c->started_ms <
	    2 * CLAIM_WITH_DRIFT((uint64_t)c->settings.ttl_ms))
		return false;
	if (c->writing || c->unresolved || c->in_doubt ||
	    epoch <= c->consent_granted_epoch || !c->known ||
	    epoch != c->record.epoch || strcmp(holder, c->record.holder) != 0)
		return false;
	/* A daemon that is shutting down never takes over. */
	if (c->state == CLAIM_RELEASED)
		return true;
	if (c->state != CLAIM_STANDBY)
		return false;
	if (now_ms - c->read_ms < c->settings.renew_ms)
		return false;
	c->promise_granted_until_ms =
		now_ms + CLAIM_WITH_DRIFT((uint64_t)term_ms);
	return true;
}

/*
 * Handles a non-member's request to take over from @epoch; returns whether
 * consent is granted. Consent means that no promise of this daemon is
 * outstanding and that none will be granted up to @epoch. It is refused soon
 * after the start, because a promise from before a restart may be outstanding.
 */
bool claim_on_consent_request(struct claim *c, uint64_t epoch, uint64_t now_ms)
{
	if (c->state != CLAIM_STANDBY || now_ms < c->promise_granted_until_ms)
		return false;
	if (now_ms - c->started_ms <
	    CLAIM_WITH_DRIFT((uint64_t)c->settings.ttl_ms))
		return false;
	if (c->consent_granted_epoch < epoch)
		c->consent_granted_epoch = epoch;
	return true;
}

/* Handles a member's reply to CLAIM_REQUEST_PROMISES. */
void claim_on_promise_reply(struct claim *c, const char *member, uint64_t epoch,
			    bool granted)
{
	uint32_t required = 0;
	int32_t i = claim_member_index(&c->record, member);

	if (c->state != CLAIM_HELD || epoch != c->epoch || !granted || i < 0 ||
	    !c->promise_round_ms)
		return;
	c->promise_members |= 1U << i;
	for (uint32_t m = 0; m < c->record.member_count; m++) {
		if (strcmp(c->record.members[m], c->settings.self) != 0)
			required |= 1U << m;
	}
	if (!required || (required & ~c->promise_members))
		return;
	if (claim_members_uncertain(c))
		return;
	c->promise_valid_until_ms = c->promise_round_ms + c->settings.ttl_ms;
}

/* Handles a member's reply to CLAIM_REQUEST_CONSENT. */
void claim_on_consent_reply(struct claim *c, const char *member, uint64_t epoch,
			    bool granted)
{
	if (granted && epoch == c->record.epoch &&
	    claim_is_member(&c->record, member) &&
	    strcmp(member, c->record.holder) != 0) {
		c->consent_epoch = epoch;
		c->consent_members_version = c->record.members_version;
		c->consent_sent_ms = c->consent_tried_ms;
	}
}

/* Returns the time in ms at which the claim expires, 0 if it is not held. */
uint64_t claim_valid_until(const struct claim *c)
{
	if (c->state != CLAIM_HELD)
		return 0;
	if (c->promise_valid_until_ms > c->valid_until_ms)
		return c->promise_valid_until_ms;
	return c->valid_until_ms;
}

/* Returns whether this daemon may act as the scheduler of the zone. */
bool claim_valid(const struct claim *c, uint64_t now_ms)
{
	return now_ms < claim_valid_until(c);
}

/* Returns the seconds since the claim was acquired, 0 if it is not held. */
uint32_t claim_held_s(const struct claim *c, uint64_t now_ms)
{
	if (c->state != CLAIM_HELD)
		return 0;
	return (uint32_t)((now_ms - c->held_since_ms) / 1000);
}

/*
 * Encodes @record as JSON into @out, without NUL. Returns the length in bytes,
 * or 0 if @size is too small.
 */
size_t claim_encode(const struct claim_record *record, char *out, size_t size)
{
	json_t *members = json_array();
	json_t *root;
	size_t len;

	for (uint32_t i = 0; i < record->member_count; i++)
		json_array_append_new(members, json_string(record->members[i]));
	root = json_pack(
		"{s:s,s:I,s:I,s:I,s:I,s:o}", "holder", record->holder, "epoch",
		(json_int_t)record->epoch, "count", (json_int_t)record->count,
		"write_id", (json_int_t)record->write_id, "members_version",
		(json_int_t)record->members_version, "members", members);
	len = json_dumpb(root, out, size, JSON_COMPACT);
	json_decref(root);
	return len <= size ? len : 0;
}

/* Decodes a record; returns false with ERR_BAD_REQUEST if it is malformed. */
bool claim_decode(const char *bytes, size_t len, struct claim_record *record,
		  struct err *err)
{
	json_t *root = json_loadb(bytes, len, JSON_REJECT_DUPLICATES, NULL);
	json_t *members;
	const char *holder;
	json_int_t epoch;
	json_int_t count;
	json_int_t write_id;
	json_int_t version;
	bool ok = false;

	*record = (struct claim_record){ 0 };
	if (json_unpack(root, "{s:s,s:I,s:I,s:I,s:I,s:o!}", "holder", &holder,
			"epoch", &epoch, "count", &count, "write_id", &write_id,
			"members_version", &version, "members", &members) ||
	    epoch < 1 || count < 0 || write_id < 0 || version < 0 ||
	    strlen(holder) >= CLAIM_NAME_MAX || !json_is_array(members) ||
	    json_array_size(members) > CLAIM_MEMBERS_MAX)
		goto out;
	snprintf(record->holder, sizeof(record->holder), "%s", holder);
	record->epoch = (uint64_t)epoch;
	record->count = (uint64_t)count;
	record->write_id = (uint64_t)write_id;
	record->members_version = (uint64_t)version;
	for (size_t i = 0; i < json_array_size(members); i++) {
		const char *id = json_string_value(json_array_get(members, i));

		if (!id || strlen(id) >= CLAIM_NAME_MAX)
			goto out;
		snprintf(record->members[i], CLAIM_NAME_MAX, "%s", id);
		record->member_count++;
	}
	ok = true;
out:
	json_decref(root);
	if (!ok)
		err_set(err, ERR_BAD_REQUEST, "claim: malformed value");
	return ok;
}
