/*
 * Modules of jaycelld, the daemon of a cell. The daemons of a cell elect one
 * holder (leader) through the store. It schedules during its term; the others
 * follow it, store jobs and forward requests to it. The store revision of the
 * holder's key numbers the term and is its fencing token.
 */
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

#define CD_SECRET_LEN 32
#define CD_PATH_MAX 4096

/* Keys in the store that belong to the daemons. */
#define CD_PREFIX "jay/"
#define CD_SECRET_KEY CD_PREFIX "secret"
#define CD_TERM_PREFIX CD_PREFIX "term/"
#define CD_HOLDER_KEY CD_TERM_PREFIX "holder"
#define CD_LIVE_KEY CD_TERM_PREFIX "live"
#define CD_DAEMONS_KEY CD_TERM_PREFIX "daemons"
#define CD_JOB_PREFIX CD_PREFIX "job/"
#define CD_JOURNAL_PREFIX CD_PREFIX "journal/"

struct cd_conf {
	char name[CELL_NAME_MAX];
	char az[CELL_NAME_MAX];
	char region[CELL_NAME_MAX];
	char listen_callers[CELL_ADDR_MAX];
	char listen_ready[CELL_ADDR_MAX];
	char listen_peers[CELL_ADDR_MAX];
	char peers_address[CELL_ADDR_MAX]; /* published to other daemons */
	char listen_operators[CELL_ADDR_MAX];
	char store[CELL_ADDR_MAX];
	char advice[CELL_ADDR_MAX]; /* advice service; empty: none */
	double cpu_share;	    /* in cores */
	uint32_t lease_ms;	    /* task lease */
	uint32_t hold_max_ms;	    /* longest lease a minion accepts */
	uint32_t stop_timeout_ms;   /* longest time to end a run */
	uint32_t status_s;	    /* retention of ended jobs */
	uint32_t grace_s;	    /* from SIGTERM to SIGKILL */
	uint32_t snapshot_batches;  /* journal batches per snapshot */
	uint32_t revoke_ms; /* keys of teams end this soon, 0: not bounded */
	uint32_t memory_mb; /* limit of the process, 0: unknown */
	uint32_t max_fds;   /* limit of the process, 0: unknown */
	/* Bounds of what clients may use; 0: see limits.c. */
	uint32_t callers_connections;
	uint32_t callers_requests;
	uint32_t callers_memory_kb;
	uint32_t probe_connections;
	uint32_t probe_memory_kb;
	uint32_t head_max_bytes;
	uint32_t head_timeout_ms;
	uint32_t body_timeout_ms;
	uint32_t response_timeout_ms;
	uint32_t idle_timeout_ms;
	uint32_t body_max_values;
	uint32_t peers_pending;
	uint32_t peers_handshake_ms;
	uint32_t store_lookups;
	bool learn_run_times;
	bool separate_interfering; /* keep apart what slows each other down */
};

struct celld;

/* Requests to the holder; the numbers go over the wire. */
enum cd_op {
	CD_OP_STATE,   /* return the state of a job */
	CD_OP_CANCEL,  /* cancel a job */
	CD_OP_PENDING, /* count the jobs of a queue not yet started */
	CD_OP_SUBMIT,  /* store a job for another daemon */
	CD_OPS
};

/* Outcome of a request; the numbers go over the wire. */
enum cd_status {
	CD_OK,
	CD_GONE,    /* no such job */
	CD_RETRY,   /* not processed: the holder is not ready */
	CD_REFUSED, /* definitely not done, now or later */
	CD_UNKNOWN, /* may have been done, or may be done later */
	CD_STATUSES
};

/* Where to send the response: a link handle, or 0 for this daemon. */
struct cd_origin {
	uint32_t link;
	uint32_t ref;
};

typedef void (*cd_done)(void *ctx, enum cd_status status, uint32_t number);

/* conf.c: settings file */
bool conf_read(struct cd_conf *conf, const char *file, struct err *err);
bool conf_parse_text(struct cd_conf *conf, const char *file, const char *text,
		     size_t len, struct err *err);
uint32_t conf_apply(struct cd_conf *conf, const struct cd_conf *next,
		    struct buf *fixed);

/* limits.c: bounds of what clients may use */
struct cd_limits {
	struct httpd_limits callers;
	struct httpd_limits probes; /* of /ready, and of the operators' port */
	uint32_t body_max_values;
	uint32_t peers_pending;	     /* connections not authenticated yet */
	uint32_t peers_handshake_ms; /* time to authenticate */
	uint32_t store_lookups;	     /* reads of unknown jobs at a time */
};
struct cd_limited; /* counts and reports what a listener refused */
struct cd_limits limits_of(const struct cd_conf *conf);
struct cd_limited *limited_new(const char *listener);
void limited_add(struct cd_limited *limited, const char *reason);

/* reload.c: reload of the settings file at run time */
struct reload;
struct reload *reload_new(struct celld *d, const char *file);
void reload_now(struct reload *reload);

/* record.c: encoding of jobs and journal records */
void record_pack_job(const struct cell_job_spec *spec, struct buf *out);
bool record_unpack_job(const char *data, size_t len,
		       struct cell_job_spec *spec);
void record_pack(const struct cell_record *record, struct buf *out);
void record_pack_batch(const struct buf *records, uint32_t count,
		       struct buf *out);
bool record_replay_batch(const char *data, size_t len, struct cell *cell);

/* config.c: watch of the operator's configuration in the store */
struct config_watch;
struct config_watch *config_new(struct celld *d);
const struct cell_config *config_current(const struct config_watch *config);
void config_confirm(struct config_watch *config, uint64_t max_age_ms,
		    void (*done)(void *ctx, bool confirmed), void *ctx);
const struct cell_team_spec *config_team(const struct config_watch *config,
					 const char *key);
uint64_t config_keys_max_age_ms(const struct config_watch *config);
bool config_keys_valid(struct config_watch *config);
uint64_t config_age_ms(const struct config_watch *config);
uint32_t config_key_count(const struct config_watch *config);
void config_settings_changed(struct config_watch *config);

/* accept.c: group commit of submitted jobs */
struct acceptor;
struct acceptor *accept_new(struct celld *d);
void accept_job(struct acceptor *a, const char *id, const struct buf *record,
		bool may_forward, uint64_t deadline_ms, cd_done done,
		void *ctx);
void accept_replay_recent(struct acceptor *a);

/* rpc.c: requests to the current holder */
struct rpc;
struct rpc *rpc_new(struct celld *d);
void rpc_call(struct rpc *rpc, enum cd_op op, const char *text,
	      const struct buf *blob, uint64_t deadline_ms, cd_done done,
	      void *ctx);
void rpc_reply(struct rpc *rpc, uint32_t ref, enum cd_status status,
	       uint32_t number);
void rpc_holder_changed(struct rpc *rpc);
void rpc_tick(struct rpc *rpc, uint64_t now_ms);
uint32_t rpc_pending(const struct rpc *rpc);

/* links.c: connections between daemons */
struct links;
struct links *links_new(struct celld *d, const unsigned char *secret,
			struct err *err);
void links_follow(struct links *links, const char *addr);
bool links_holder_up(const struct links *links);
uint64_t links_holder_heard_ms(const struct links *links);
bool links_holder_refused(const struct links *links);
bool links_holder_valid(const struct links *links);
uint32_t links_holder_store_age(const struct links *links);
bool links_send_query(struct links *links, uint32_t ref, enum cd_op op,
		      const char *text, const struct buf *blob);
bool links_send_job(struct links *links, const struct buf *record, bool fresh);
void links_send_reply(struct links *links, const struct cd_origin *origin,
		      enum cd_status status, uint32_t number);
bool links_send_advice_request(struct links *links, uint32_t lane,
			       const struct cell_advice_request *q);
void links_send_release(struct links *links);
uint32_t links_followers(const struct links *links);
bool links_larger_followers(const struct links *links, uint64_t term);
uint32_t links_lost_followers(const struct links *links, uint64_t at_ms);
uint32_t links_missing(const struct links *links, uint64_t store_ms);
bool links_alone(const struct links *links);
uint64_t links_acknowledged_ms(const struct links *links, uint64_t term);
void links_expect(struct links *links, const char *former, const char *names);
void links_set_listed(struct links *links, const char *names, bool replaces);
struct buf links_daemons(const struct links *links, uint64_t store_ms);
void links_report_lanes(struct links *links);
void links_broadcast_holder(struct links *links, uint64_t term,
			    const char *addr);
void links_tick(struct links *links, uint64_t now_ms);

/* terms.c: leader election through the store */
struct terms;
struct terms *terms_new(struct celld *d);
void terms_tick(struct terms *terms, uint64_t now_ms);
void terms_on_released(struct terms *terms);
void terms_on_new_holder(struct terms *terms, uint64_t term, const char *addr);
void terms_step_down(struct terms *terms, const char *why);
void terms_on_confirmed(struct terms *terms, uint64_t sent_ms);
uint64_t terms_store_ms(const struct terms *terms);
void terms_release(struct terms *terms);
bool terms_should_lead(const struct terms *terms, uint64_t now_ms);
bool terms_valid(const struct terms *terms, uint64_t now_ms);
bool terms_check(struct terms *terms, uint64_t now_ms);
void terms_want_confirmation(struct terms *terms, uint64_t after_ms);
const char *terms_holder(const struct terms *terms);
uint64_t terms_token(const struct terms *terms);
struct term_leases terms_leases(const struct terms *terms);
uint64_t terms_latest(const struct terms *terms);

/* overload.c: waiting times of overloaded queues */
struct overload;
struct overload *overload_new(void);
void overload_set(struct overload *overload, const char *queue,
		  uint32_t wait_ms, uint64_t now_ms);
uint32_t overload_wait_ms(const struct overload *overload, const char *queue,
			  uint64_t now_ms);

/* gc.c: deferred deletion of obsolete keys */
struct gc;
/* A key was deleted, at that revision of the store at the latest. */
typedef void (*gc_deleted_fn)(void *ctx, const char *key, uint64_t revision);
struct gc *gc_new(struct celld *d, uint64_t token, gc_deleted_fn deleted,
		  void *ctx);
void gc_free(struct gc *gc);
void gc_delete_later(struct gc *gc, const char *key);
void gc_tick(struct gc *gc, uint64_t now_ms);

/* holder.c: scheduler of this daemon's term */
struct holder;
struct holder *holder_new(struct celld *d, uint64_t token);
void holder_free(struct holder *h);
bool holder_ready(const struct holder *h);
bool holder_settled(const struct holder *h, uint64_t now_ms);
void holder_job(struct holder *h, const char *data, size_t len, bool fresh);
void holder_query(struct holder *h, const struct cd_origin *origin,
		  enum cd_op op, const char *text, const struct buf *blob);
void holder_on_advice(struct holder *h, uint32_t request_id, bool answered,
		      const struct cell_ticket *tickets, uint32_t count);
void holder_lane_up(struct holder *h, uint32_t lane);
void holder_lane_lost(struct holder *h, uint32_t lane);
void holder_config_changed(struct holder *h);
void holder_tick(struct holder *h, uint64_t now_ms);
void holder_poll_jobs_soon(struct holder *h);
void holder_each_overload(const struct holder *h, cell_overload_fn fn,
			  void *ctx);
void holder_gauges(const struct holder *h);
void holder_pairs(const struct holder *h, struct buf *out);

/* where.c: where a job would start, for operators */
int where_answer(struct celld *d, const char *queue, const char *team,
		 const char *body, size_t len, struct buf *out);

/* entry.c: HTTP interfaces for callers, the load balancer and operators */
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
	struct rpc *rpc;
	struct links *links;
	struct terms *terms;
	struct overload *overload;
	struct holder *holder; /* NULL unless this daemon is the holder */
	struct entry *entry;
	bool draining;
};

uint64_t cd_unix_ms(void);
void cd_reply(struct celld *d, const struct cd_origin *origin,
	      enum cd_status status, uint32_t number);
void cd_advise(struct celld *d, uint32_t handle, const char *step,
	       const char *const *minions, uint32_t count,
	       void (*done)(void *ctx, uint32_t request_id, bool answered,
			    const struct cell_ticket *tickets, uint32_t n),
	       void *ctx);
void cd_start_term(struct celld *d, uint64_t token);
void cd_end_term(struct celld *d);

#endif
