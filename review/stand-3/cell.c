/* The daemons of a cell, as separate processes, and their clients. */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <fcntl.h>
#include <unistd.h>

#include "stand.h"

/* As in the deploy file, with the place of the settings. */
#define PROGRAM "target/jaycelld"
#define CALL_TIMEOUT_MS 3000

struct daemon {
	pid_t pid; /* 0: none */
	int port;
	char settings[512];
	char log[512];
};

const char *queue_host = "jobs.example";
static struct daemon daemons[DAEMONS_MAX];
static char folder[256];

static void make_folder(void)
{
	const char *base = getenv("TMPDIR");

	if (folder[0])
		return;
	snprintf(folder, sizeof(folder), "%s/review-3.XXXXXX",
		 base ? base : "/tmp");
	if (!mkdtemp(folder))
		exit(2);
}

void daemon_open(int d)
{
	struct daemon *n = &daemons[d];
	FILE *out;

	make_folder();
	n->port = free_port();
	snprintf(n->settings, sizeof(n->settings), "%s/d%d.yaml", folder, d);
	snprintf(n->log, sizeof(n->log), "%s/d%d.log", folder, d);
	out = fopen(n->settings, "w");
	if (!out)
		exit(2);
	/* As deploy/settings.tmpl, with the bounds of loomline-seedpress. */
	fprintf(out,
		"{\"name\":\"front-%d\",\"az\":\"az-a\",\"region\":\"r\","
		"\"listen_callers\":\"127.0.0.1:%d\","
		"\"listen_ready\":\"127.0.0.1:%d\","
		"\"listen_peers\":\"127.0.0.1:%d\","
		"\"listen_operators\":\"127.0.0.1:%d\","
		"\"store\":\"127.0.0.1:%d\",\"advice\":\"\","
		"\"cpu_share\":0.25,\"lease_ms\":5500,\"hold_max_ms\":6000,"
		"\"stop_timeout_ms\":400,\"status_s\":120,\"memory_mb\":260,"
		"\"max_fds\":4200,\"grace_s\":6,\"snapshot_batches\":5000}\n",
		d, n->port, free_port(), free_port(), free_port(), store_port);
	fclose(out);
	daemon_start(d);
}

void daemon_start(int d)
{
	struct daemon *n = &daemons[d];
	pid_t pid = fork();

	if (!pid) {
		int fd = open(n->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(PROGRAM, PROGRAM, "-f", n->settings, (char *)NULL);
		_exit(127);
	}
	if (pid < 0)
		exit(2);
	n->pid = pid;
	note("daemon %d starts", d);
}

void daemon_signal(int d, int signal)
{
	struct daemon *n = &daemons[d];

	if (!n->pid)
		return;
	note("daemon %d gets signal %d", d, signal);
	kill(n->pid, signal);
	if (signal != SIGKILL)
		return;
	waitpid(n->pid, NULL, 0);
	n->pid = 0;
}

void daemons_end(void)
{
	char command[300];

	for (int d = 0; d < DAEMONS_MAX; d++) {
		if (!daemons[d].pid)
			continue;
		kill(daemons[d].pid, SIGCONT);
		kill(daemons[d].pid, SIGKILL);
		waitpid(daemons[d].pid, NULL, 0);
		daemons[d].pid = 0;
	}
	if (!folder[0] || getenv("KEEP"))
		return;
	for (int d = 0; d < DAEMONS_MAX; d++) {
		snprintf(command, sizeof(command), "%s/d%d.yaml", folder, d);
		unlink(command);
		snprintf(command, sizeof(command), "%s/d%d.log", folder, d);
		unlink(command);
	}
	rmdir(folder);
}

static json_t *route(const char *name, const char *prefix)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:f,s:i,s:i}", "name", name,
			 "host", queue_host, "prefix", prefix, "service", "svc",
			 "priority", 1, "max_attempts", 4, "stretch", 2.0,
			 "slo_ms", 1200, "timeout_ms", 3000);
}

/* Writes a configuration with two routes, or without the one that is used. */
void config_put(int version, bool used)
{
	json_t *routes = json_array();
	json_t *config;

	if (used)
		json_array_append_new(routes, route("batch", "/batch/"));
	json_array_append_new(routes, route("spare", "/spare/"));
	config = json_pack("{s:i,s:o,s:[{s:s,s:b}],s:{}}", "version", version,
			   "routes", routes, "services", "name", "svc",
			   "enforces_capacity", 0, "limits");
	note("operator: version %d, %s /batch/", version,
	     used ? "with" : "without");
	pthread_mutex_lock(&big_lock);
	store_put("op/config", config);
	pthread_mutex_unlock(&big_lock);
	json_decref(config);
}

void job_id(int number, char out[20])
{
	snprintf(out, 20, "%016x", (unsigned int)number);
}

static void job_path(int number, char out[64])
{
	char id[20];

	job_id(number, id);
	snprintf(out, 64, "/batch/%s", id);
}

/* Submits a job; returns 0 if there is no answer within @patience_ms. */
int job_submit_for(int d, int number, const char *body, int patience_ms)
{
	char path[64];
	int status;

	job_path(number, path);
	status = http_call(daemons[d].port, "POST", path, queue_host, body,
			   patience_ms, NULL);
	note("client: POST %s at daemon %d: %d", path, d, status);
	return status;
}

int job_submit(int d, int number, const char *body)
{
	return job_submit_for(d, number, body, CALL_TIMEOUT_MS);
}

int job_cancel(int d, int number)
{
	char path[64];
	int status;

	job_path(number, path);
	status = http_call(daemons[d].port, "DELETE", path, queue_host, NULL,
			   CALL_TIMEOUT_MS, NULL);
	note("client: DELETE %s at daemon %d: %d", path, d, status);
	return status;
}

/* Returns the state that a daemon gives, or the status of its answer. */
const char *job_state(int d, int number, char out[24])
{
	char path[64];
	json_t *body;
	const char *state;
	int status;

	job_path(number, path);
	status = http_call(daemons[d].port, "GET", path, queue_host, NULL,
			   CALL_TIMEOUT_MS, &body);
	state = json_string_value(json_object_get(body, "state"));
	if (state)
		snprintf(out, 24, "%s", state);
	else
		snprintf(out, 24, "%d", status);
	json_decref(body);
	return out;
}

/* A daemon answers for a job that does not exist once there is a holder. */
bool daemon_wait_ready(int d, int timeout_ms)
{
	uint64_t until = now_ms() + (uint64_t)timeout_ms;
	char state[24];

	while (now_ms() < until) {
		if (!strcmp(job_state(d, 999999, state), "410"))
			return true;
		sleep_ms(50);
	}
	return false;
}
