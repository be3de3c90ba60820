/* jaycelld: the parts of the daemon of a cell. */
#ifndef JAYSPOKE_CELLD_H
#define JAYSPOKE_CELLD_H

#include "buf.h"
#include "cell/cell.h"
#include "cell/term.h"
#include "ctr.h"
#include "err.h"
#include "ev.h"
#include "httpc.h"
#include "httpd.h"
#include "loop.h"
#include "platform/store.h"

#define CD_KEY_LEN 32
#define CD_PATH_MAX 4096

/* Keys of the daemons in the store. */
#define CD_PREFIX "jay/"
#define CD_SECRET_KEY CD_PREFIX "secret"
#define CD_TERM_PREFIX CD_PREFIX "term/"
#define CD_HOLDER_KEY CD_TERM_PREFIX "holder"
#define CD_LIVE_KEY CD_TERM_PREFIX "live"
#define CD_JOB_PREFIX CD_PREFIX "job/"
#define CD_JOURNAL_PREFIX CD_PREFIX "journal/"

struct cd_conf {
	char name[CELL_NAME_MAX];
	char az[CELL_NAME_MAX];
	char region[CELL_NAME_MAX];
	char listen_callers[CELL_ADDR_MAX];
	char listen_ready[CELL_ADDR_MAX];
	char listen_peers[CELL_ADDR_MAX];
	char peers_address[CELL_ADDR_MAX]; /* where other daemons reach it */
	char listen_operators[CELL_ADDR_MAX];
	char store[CELL_ADDR_MAX];
	char advice[CELL_ADDR_MAX]; /* empty: no queue needs advice */
	double cpu_share;	    /* of a core */
	uint32_t lease_ms;	    /* granted to running tasks */
	uint32_t hold_max_ms;	    /* the longest lease of a minion */
	uint32_t status_s;	    /* ended jobs stay known */
	uint32_t grace_s;	    /* from SIGTERM to SIGKILL */
	uint32_t snapshot_batches;  /* of the journal, between snapshots */
};

struct celld;

/* What is asked of the holder. */
enum cd_op {
	CD_OP_STATE,   /* state of a job */
	CD_OP_CANCEL,  /* cancel a job */
	CD_OP_PENDING, /* jobs of a queue that have not begun */
	CD_OP_SUBMIT,  /* store a job on behalf of another daemon */
	CD_OPS
};

enum cd_answer {
	CD_OK,
	CD_GONE,    /* no such job */
	CD_RETRY,   /* the holder is not ready */
	CD_REFUSED, /* not done, for certain */
	CD_UNKNOWN, /* it may have been done */
	CD_ANSWERS
};

/* Who waits for an answer: a link, or this daemon when the link is 0. */
struct cd_asker {
	uint32_t link;
	uint32_t ref;
};

typedef void (*cd_answered)(void *ctx, enum cd_answer answer, uint32_t number);

/* conf.c */
bool conf_read(struct cd_conf *conf, const char *file, struct err *err);
bool conf_parse_text(struct cd_conf *conf, const char *file, const char *text,
		     size_t len, struct err *err);
uint32_t conf_apply(struct cd_conf *conf, const struct cd_conf *next,
		    struct buf *fixed);

/* reload.c: settings that change while the daemon runs. */
struct reload;
struct reload *reload_new(struct celld *d, const char *file);
void reload_now(struct reload *reload);

/* record.c */
void record_pack_job(const struct cell_job_spec *spec, struct buf *out);
bool record_unpack_job(const char *data, size_t len,
		       struct cell_job_spec *spec);
void record_pack(const struct cell_record *record, struct buf *out);
void record_pack_batch(const struct buf *records, uint32_t count,
		       struct buf *out);
bool record_replay_batch(const char *data, size_t len, struct cell *cell);

/* config.c: the configuration of the operator. */
struct config_watch;
struct config_watch *config_new(struct celld *d);
const struct cell_config *config_current(const struct config_watch *config);
void config_confirm(struct config_watch *config, uint64_t max_age_ms,
		    void (*done)(void *ctx, bool confirmed), void *ctx);

/* accept.c: storing of submitted jobs, in groups. */
struct acceptor;
struct acceptor *accept_new(struct celld *d);
void accept_job(struct acceptor *a, const char *id, const struct buf *record,
		bool may_forward, uint64_t deadline_ms, cd_answered done,
		void *ctx);
void accept_resend(struct acceptor *a);

/* asks.c: questions to whichever daemon is the holder. */
struct asks;
struct asks *asks_new(struct celld *d);
void asks_send(struct asks *asks, enum cd_op op, const char *text,
	       const struct buf *blob, uint64_t deadline_ms, cd_answered done,
	       void *ctx);
void asks_answer(struct asks *asks, uint32_t ref, enum cd_answer answer,
		 uint32_t number);
void asks_holder_changed(struct asks *asks);
void asks_tick(struct asks *asks, uint64_t now_ms);
uint32_t asks_open(const struct asks *asks);

/* links.c: connections between daemons. */
struct links;
struct links *links_new(struct celld *d, const unsigned char *secret,
			struct err *err);
void links_follow(struct links *links, const char *addr);
bool links_up(const struct links *links);
uint64_t links_heard_ms(const struct links *links);
bool links_refused(const struct links *links);
bool links_holder_valid(const struct links *links);
uint32_t links_holder_store_age(const struct links *links);
bool links_send_query(struct links *links, uint32_t ref, enum cd_op op,
		      const char *text, const struct buf *blob);
bool links_send_job(struct links *links, const struct buf *record, bool fresh);
void links_send_answer(struct links *links, const struct cd_asker *asker,
		       enum cd_answer answer, uint32_t number);
bool links_send_question(struct links *links, uint32_t lane,
			 const struct cell_question *question);
void links_release(struct links *links);
uint32_t links_followers(const struct links *links);
uint32_t links_missing(const struct links *links, uint64_t now_ms);
void links_announce(struct links *links);
bool links_store_unreachable(const struct links *links, uint64_t now_ms);
bool links_store_seen(const struct links *links, uint64_t term, uint64_t now_ms,
		      uint64_t *seen_ms);
void links_moved(struct links *links, uint64_t term, const char *addr);
void links_tick(struct links *links, uint64_t now_ms);

/* terms.c: who is the holder. */
struct terms;
struct terms *terms_new(struct celld *d);
void terms_tick(struct terms *terms, uint64_t now_ms);
void terms_released(struct terms *terms);
void terms_moved(struct terms *terms, uint64_t term, const char *addr);
void terms_step_down(struct terms *terms, const char *why);
void terms_confirmed(struct terms *terms, uint64_t sent_ms);
void terms_yield(struct terms *terms);
bool terms_valid(const struct terms *terms, uint64_t now_ms);
uint64_t terms_token(const struct terms *terms);
uint64_t terms_seen(const struct terms *terms);

/* tidy.c: removal of what no successor needs. */
struct tidy;
struct tidy *tidy_new(struct celld *d, uint64_t token);
void tidy_free(struct tidy *tidy);
void tidy_remove(struct tidy *tidy, const char *key);
void tidy_tick(struct tidy *tidy, uint64_t now_ms);

/* holder.c: the scheduler of this daemon's term. */
struct holder;
struct holder *holder_new(struct celld *d, uint64_t token);
void holder_free(struct holder *h);
bool holder_ready(const struct holder *h);
void holder_job(struct holder *h, const char *data, size_t len, bool fresh);
void holder_query(struct holder *h, const struct cd_asker *asker, enum cd_op op,
		  const char *text, const struct buf *blob);
void holder_advice(struct holder *h, uint32_t question, bool answered,
		   const struct cell_ticket *good, uint32_t count);
void holder_lane_up(struct holder *h, uint32_t lane);
void holder_lane_lost(struct holder *h, uint32_t lane);
void holder_config(struct holder *h);
void holder_tick(struct holder *h, uint64_t now_ms);
void holder_link_lost(struct holder *h);
void holder_gauges(const struct holder *h);

/* entry.c: what callers, the balancer and operators ask for. */
struct entry;
struct entry *entry_new(struct celld *d, struct err *err);
void entry_drain(struct entry *entry);
void entry_close(struct entry *entry);
uint32_t entry_open(const struct entry *entry);

struct celld {
	struct loop *loop;
	struct httpc *httpc;
	struct cd_conf conf;
	struct pf_store *store;
	struct config_watch *config;
	struct acceptor *acceptor;
	struct asks *asks;
	struct links *links;
	struct terms *terms;
	struct holder *holder; /* NULL unless this daemon is the holder */
	struct entry *entry;
	bool draining;
};

uint64_t cd_unix_ms(void);
void cd_answer(struct celld *d, const struct cd_asker *asker,
	       enum cd_answer answer, uint32_t number);
void cd_question(struct celld *d, uint32_t handle, const char *step,
		 const char *const *minions, uint32_t count,
		 void (*done)(void *ctx, uint32_t question, bool answered,
			      const struct cell_ticket *good, uint32_t n),
		 void *ctx);
void cd_start_term(struct celld *d, uint64_t token);
void cd_end_term(struct celld *d);

#endif
