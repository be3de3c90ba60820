/*
 * Leader election of a zone: the daemon that holds the claim, a lease in the
 * store, is the zone's scheduler. While the store is unreachable, the holder
 * extends its lease with promises of the other members not to take over.
 *
 * A state machine without I/O: the caller passes in the time, the results of
 * store operations and the replies of members, and carries out each
 * enum claim_action that claim_tick() returns. Times are in ms on the caller's
 * clock.
 */
#ifndef JAYSPOKE_CLAIM_H
#define JAYSPOKE_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CLAIM_NAME_MAX 80 /* bytes of a daemon id, with NUL */
#define CLAIM_MEMBERS_MAX 8

/* Value of the claim key. An empty holder marks a released claim. */
struct claim_record {
	char holder[CLAIM_NAME_MAX];
	uint64_t epoch;
	uint64_t count;	   /* renewals in this epoch */
	uint64_t write_id; /* random; identifies the write when read back */
	uint64_t members_version; /* incremented with each new member list */
	uint32_t member_count;
	char members[CLAIM_MEMBERS_MAX][CLAIM_NAME_MAX]; /* sorted */
};

enum claim_state {
	CLAIM_STANDBY,
	CLAIM_ACQUIRING, /* own epoch written, journal not yet recovered */
	CLAIM_HELD,
	CLAIM_RELEASED /* final: the daemon is shutting down */
};

enum claim_action {
	CLAIM_NO_ACTION,
	CLAIM_READ,		/* read the key */
	CLAIM_WRITE,		/* compare-and-swap next_record at next_index */
	CLAIM_REQUEST_PROMISES, /* request a promise from each other member */
	CLAIM_REQUEST_CONSENT	/* request takeover consent from the members */
};

enum claim_write_result {
	CLAIM_WRITE_OK,
	CLAIM_WRITE_CONFLICT,
	CLAIM_WRITE_FAILED, /* not applied and never will be */
	CLAIM_WRITE_UNKNOWN /* no reply; may have been or still be applied */
};

struct claim_settings {
	char self[CLAIM_NAME_MAX];
	uint32_t ttl_ms;   /* of the lease after a renewal */
	uint32_t renew_ms; /* renewal interval */
};

struct claim {
	struct claim_settings settings;
	enum claim_state state;
	uint64_t epoch; /* own epoch, in CLAIM_ACQUIRING and CLAIM_HELD */
	uint64_t started_ms;
	uint64_t held_since_ms;

	/* Last value of the key that was read or successfully written. */
	bool known; /* the key has been read at least once */
	bool exists;
	struct claim_record record;
	uint64_t index;	       /* modify index of the key */
	uint64_t changed_ms;   /* last observed change of the value */
	uint64_t read_ms;      /* last successful read or write */
	uint64_t read_sent_ms; /* last CLAIM_READ */

	bool releasing; /* the release has not been written yet */

	/* Write that is in flight, unresolved or in doubt. */
	bool writing;
	bool unresolved;       /* result of the last write not yet read back */
	bool in_doubt;	       /* an unanswered write may still be applied */
	bool members_in_doubt; /* a write in doubt changes the members */
	uint64_t write_sent_ms;
	uint64_t next_index;
	struct claim_record next_record;

	uint64_t valid_until_ms; /* by the last renewal in the store */
	uint64_t write_tried_ms; /* last CLAIM_WRITE */

	/* Granted by this daemon as a member. */
	uint64_t promise_granted_until_ms;
	uint64_t consent_granted_epoch; /* no promise is granted up to it */

	/* Promises collected by this daemon as the holder. */
	uint64_t promise_round_ms; /* start of the request round, 0: none */
	uint32_t promise_members;  /* bit set over record.members */
	uint64_t promise_valid_until_ms;

	/* Consent collected by this daemon to take over as a non-member. */
	uint64_t consent_epoch;
	uint64_t consent_members_version; /* list version at the reply */
	uint64_t consent_sent_ms;  /* when the granted request was sent */
	uint64_t consent_tried_ms; /* last CLAIM_REQUEST_CONSENT */

	/* Other live daemons of the zone: members of the next record. */
	uint32_t alive_count;
	char alive[CLAIM_MEMBERS_MAX][CLAIM_NAME_MAX];
	/* Members that the instance list confirms to be gone. */
	uint32_t dead; /* bit set over record.members */
};

void claim_init(struct claim *c, const struct claim_settings *settings,
		uint64_t now_ms);
void claim_set_alive(struct claim *c, const char (*ids)[CLAIM_NAME_MAX],
		     uint32_t count);
void claim_set_dead(struct claim *c, const char *id, bool dead);
enum claim_action claim_tick(struct claim *c, uint64_t now_ms,
			     uint64_t write_id);
void claim_on_read(struct claim *c, const struct claim_record *record,
		   uint64_t index, uint64_t now_ms);
void claim_on_written(struct claim *c, enum claim_write_result result,
		      uint64_t now_ms);
void claim_on_recovered(struct claim *c, uint64_t now_ms);
void claim_step_down(struct claim *c);
void claim_release(struct claim *c);
bool claim_on_promise_request(struct claim *c, const char *holder,
			      uint64_t epoch, uint32_t term_ms,
			      uint64_t now_ms);
bool claim_on_consent_request(struct claim *c, uint64_t epoch, uint64_t now_ms);
void claim_on_promise_reply(struct claim *c, const char *member, uint64_t epoch,
			    bool granted);
void claim_on_consent_reply(struct claim *c, const char *member, uint64_t epoch,
			    bool granted);
bool claim_valid(const struct claim *c, uint64_t now_ms);
uint64_t claim_valid_until(const struct claim *c);
uint32_t claim_held_s(const struct claim *c, uint64_t now_ms);
bool claim_is_member(const struct claim_record *record, const char *id);
size_t claim_encode(const struct claim_record *record, char *out, size_t size);
bool claim_decode(const char *bytes, size_t len, struct claim_record *record,
		  struct err *err);

#ifdef __cplusplus
}
#endif

#endif
