/* Specifications of jobs, their steps, and the queues that accept them. */
#ifndef JAYSPOKE_CELL_SPEC_H
#define JAYSPOKE_CELL_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CELL_ID_MAX 20	      /* bytes of a job id, with NUL */
#define CELL_NAME_MAX 64      /* bytes of other names, with NUL */
#define CELL_ADDR_MAX 32      /* "address:port", with NUL */
#define CELL_TASK_MAX 56      /* bytes of a task name, with NUL */
#define CELL_TICKET_MAX 64    /* bytes of a ticket, with NUL */
#define CELL_LABELS_MAX 8     /* labels of a minion */
#define CELL_STEPS_MAX 32     /* steps of a job */
#define CELL_TASKS_MAX 4096   /* tasks of a step */
#define CELL_PAYLOAD_MAX 4096 /* bytes of a payload */
#define CELL_KEY_MAX 4096     /* bytes of a key of a team, with NUL */

/* Bytes of a checkpoint, which is stored with the end of its run. */
#define CELL_CHECKPOINT_MAX 65536

struct cell_res {
	uint32_t cpu_milli; /* thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpu;
};

struct cell_step_spec {
	uint32_t count; /* tasks */
	struct cell_res need;
	uint32_t estimate_ms;	/* rough run time of one task */
	uint32_t after;		/* bit mask of steps it depends on */
	uint32_t anti_affinity; /* max. tasks per minion, 0: unlimited */
	uint32_t target_ms;	/* tail latency target if serving, else 0 */
	uint32_t may_miss;	/* max. unavailable tasks of a serving step */
	bool gang;
	bool same_rack;
	bool checkpointing;
	bool speculative;
	bool long_running;
	bool fills; /* best effort: runs on otherwise idle CPUs */
	char requires[CELL_NAME_MAX]; /* minion label, empty: any */
	char affinity[CELL_NAME_MAX]; /* rack of the data, empty: none */
	char image[CELL_NAME_MAX];
};

/* A job as it was accepted; it does not change afterwards. */
struct cell_job_spec {
	char id[CELL_ID_MAX];
	char queue[CELL_NAME_MAX];
	char team[CELL_NAME_MAX]; /* of the caller's key, empty: none */
	char *payload;		  /* passed to each task */
	uint64_t accepted_unix_ms;
	uint32_t step_count;
	struct cell_step_spec *steps;
	uint32_t repeat_count;	/* 0: the steps run once, immediately */
	uint64_t first_unix_ms; /* due time of the first occurrence */
	uint64_t interval_ms;
};

/* Cost and lifetime of a placement ticket of a queue. */
struct cell_advice_spec {
	bool needed;
	double decide_ms;
	double per_minion_ms;
	uint32_t valid_ms;
};

struct cell_queue_spec {
	char name[CELL_NAME_MAX];
	char service[CELL_NAME_MAX];
	char *host;
	char *prefix;	   /* of the request path */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t max_attempts;
	uint32_t slo_ms;
	uint32_t timeout_ms;
	double stretch; /* objective: slo_ms + stretch * critical path */
	struct cell_advice_spec advice;
	bool public_access; /* requests need no key */
};

/* A team, whose callers share keys, a limit and a share of the room. */
struct cell_team_spec {
	char name[CELL_NAME_MAX];
	uint32_t weight;     /* of its share when all is full, 1 or more */
	struct cell_res max; /* running at once on all minions; 0: unlimited */
	uint32_t key_count;
	char **keys;
};

struct cell_config {
	uint64_t version;
	uint32_t queue_count;
	struct cell_queue_spec *queues;
	uint32_t malformed; /* routes that are left out */
	uint32_t team_count;
	struct cell_team_spec *teams;
	uint32_t malformed_teams; /* faults of teams and of their keys */
};

void cell_job_spec_free(struct cell_job_spec *spec);
uint64_t cell_critical_path_ms(const struct cell_job_spec *spec);
void cell_team_spec_free(struct cell_team_spec *team);
void cell_config_free(struct cell_config *config);
bool cell_config_has_teams(const struct cell_config *config);
const struct cell_team_spec *cell_config_team(const struct cell_config *config,
					      const char *name);
bool cell_team_can_run(const struct cell_config *config,
		       const struct cell_job_spec *spec, char *why,
		       size_t why_size);
const struct cell_queue_spec *
cell_config_queue(const struct cell_config *config, const char *name);
const struct cell_queue_spec *
cell_config_route(const struct cell_config *config, const char *host,
		  const char *path);

/* Parsed task name. */
struct cell_task_name {
	char job[CELL_ID_MAX];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

void cell_task_format(const struct cell_task_name *name,
		      char out[CELL_TASK_MAX]);
bool cell_task_parse(const char *text, struct cell_task_name *name);

#ifdef __cplusplus
}
#endif

#endif
