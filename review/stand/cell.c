/* The daemons of a cell, and its clients. */
#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PORTS 4 /* of a daemon */
#define READY_MS 15000
#define GRACE_MS 6000
#define PORTS_FIRST 12000
#define PORTS_RANGE 18000

static char folder[64];
static uint32_t daemon_count;
static pid_t pids[DAEMONS_MAX + 1];
static uint16_t ports[DAEMONS_MAX + 1][PORTS];
static uint16_t store_ports[DAEMONS_MAX + 1];
static uint16_t advice_ports[DAEMONS_MAX + 1];

bool trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

/*
 * Returns a loopback port that nothing listens on, below those that the kernel
 * gives to outgoing connections.
 */
static uint16_t free_port(void)
{
	static uint32_t next;

	if (!next)
		next = (uint32_t)(getpid() * 64 + now_ms()) % PORTS_RANGE;
	for (uint32_t i = 0; i < PORTS_RANGE; i++) {
		struct sockaddr_in sin = { .sin_family = AF_INET };
		uint32_t port = PORTS_FIRST + next++ % PORTS_RANGE;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int rc;

		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		sin.sin_port = htons((uint16_t)port);
		rc = fd < 0 ? -1
			    : bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		if (fd >= 0)
			close(fd);
		if (!rc)
			return (uint16_t)port;
	}
	fprintf(stderr, "no free port\n");
	exit(2);
}

/* Writes the settings of a daemon, as deploy/settings.tmpl yields them. */
static void write_settings(uint32_t n, uint32_t status_s)
{
	char path[128];
	FILE *f;

	snprintf(path, sizeof(path), "%s/d%u.yaml", folder, n);
	f = fopen(path, "w");
	if (!f)
		exit(2);
	fprintf(f,
		"{\n\t\"name\": \"front-z-a-%u\",\n\t\"az\": \"z-a\",\n"
		"\t\"region\": \"r-a\",\n"
		"\t\"listen_callers\": \"127.0.0.1:%u\",\n"
		"\t\"listen_ready\": \"127.0.0.1:%u\",\n"
		"\t\"listen_peers\": \"127.0.0.1:%u\",\n"
		"\t\"listen_operators\": \"127.0.0.1:%u\",\n"
		"\t\"store\": \"127.0.0.1:%u\",\n"
		"\t\"advice\": \"127.0.0.1:%u\",\n"
		"\t\"cpu_share\": 0.25,\n\t\"lease_ms\": 5500,\n"
		"\t\"hold_max_ms\": 6000,\n\t\"status_s\": %u,\n"
		"\t\"grace_s\": 6,\n\t\"snapshot_batches\": 5000\n}\n",
		n, ports[n][0], ports[n][1], ports[n][2], ports[n][3],
		store_ports[n], advice_ports[n], status_s);
	fclose(f);
}

/* Starts a daemon with the command of the deploy file. */
void daemon_start(uint32_t n)
{
	char settings[128];
	char log[128];
	pid_t pid;

	snprintf(settings, sizeof(settings), "%s/d%u.yaml", folder, n);
	snprintf(log, sizeof(log), "%s/d%u.log", folder, n);
	record("daemon %u: started", n);
	pid = fork();
	if (!pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* No daemon outlives the case. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execl("target/jaycelld", "target/jaycelld", "-f", settings,
		      (char *)NULL);
		_exit(127);
	}
	pids[n] = pid;
}

void daemon_signal(uint32_t n, int signal)
{
	record("daemon %u: signal %s", n, strsignal(signal));
	kill(pids[n], signal);
}

/* Kills a daemon and waits for its end. */
void daemon_kill(uint32_t n)
{
	daemon_signal(n, SIGKILL);
	waitpid(pids[n], NULL, 0);
	pids[n] = 0;
}

/* Stops a daemon gracefully, as the platform does, and waits for its end. */
void daemon_stop(uint32_t n)
{
	uint64_t until = now_ms() + GRACE_MS;

	daemon_signal(n, SIGTERM);
	while (!waitpid(pids[n], NULL, WNOHANG)) {
		if (now_ms() > until) {
			daemon_kill(n);
			return;
		}
		sleep_ms(20);
	}
	record("daemon %u: ended", n);
	pids[n] = 0;
}

static int remaining(uint64_t until)
{
	uint64_t now = now_ms();

	return now < until ? (int)(until - now) : 0;
}

/* Sends a request and returns the status of the answer, 0: none. */
static int request(uint16_t port, const char *method, const char *path,
		   const char *body, char *out, size_t size,
		   uint32_t timeout_ms)
{
	static __thread char in[65536];
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons(port) };
	uint64_t until = now_ms() + timeout_ms;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	size_t len = 0;
	char *text;
	int n = asprintf(&text,
			 "%s %s HTTP/1.1\r\nHost: jobs.example\r\n"
			 "Content-Type: application/json\r\n"
			 "Jayspoke-Deadline-Ms: %u\r\nConnection: close\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 method, path, timeout_ms, body ? strlen(body) : 0,
			 body ? body : "");
	int status = 0;

	if (out && size)
		out[0] = '\0';
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || connect(fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    send(fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		goto done;
	while (len < sizeof(in) - 1) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t got;

		if (poll(&p, 1, remaining(until)) <= 0)
			goto done;
		got = recv(fd, in + len, sizeof(in) - 1 - len, 0);
		if (got <= 0)
			break;
		len += (size_t)got;
	}
	in[len] = '\0';
	if (!strncmp(in, "HTTP/1.1 ", 9) && strstr(in, "\r\n\r\n")) {
		status = atoi(in + 9);
		if (out && size)
			snprintf(out, size, "%s", strstr(in, "\r\n\r\n") + 4);
	}
done:
	if (fd >= 0)
		close(fd);
	free(text);
	return status;
}

/* Sends a request of a client to a daemon, and records it. */
int client(uint32_t daemon, const char *method, const char *path,
	   const char *body, char *out, size_t size, uint32_t timeout_ms)
{
	char text[512];
	int status;

	record("client: %s %s to daemon %u%s%.200s", method, path, daemon,
	       body ? " " : "", body ? body : "");
	status = request(ports[daemon][0], method, path, body, text,
			 sizeof(text), timeout_ms);
	record("client: %s %s is answered %d %.100s", method, path, status,
	       text);
	if (out && size)
		snprintf(out, size, "%s", text);
	return status;
}

/* Submits a job; @more is text after the steps, or empty. */
int submit(uint32_t daemon, const char *id, const char *spec, const char *steps,
	   const char *more)
{
	char path[64];
	char *body;
	int status;

	snprintf(path, sizeof(path), "/jobs/%s", id);
	if (asprintf(&body, "{\"spec\":\"%s\",\"steps\":[%s]%s}", spec, steps,
		     more) < 0)
		exit(2);
	status = client(daemon, "POST", path, body, NULL, 0, 3000);
	free(body);
	return status;
}

/* Returns the state that a daemon answers, "none" if there is no answer. */
const char *state_of(uint32_t daemon, const char *id)
{
	static __thread char state[32];
	char path[64];
	char body[256];
	const char *at;
	int status;

	snprintf(path, sizeof(path), "/jobs/%s", id);
	status = client(daemon, "GET", path, NULL, body, sizeof(body), 3000);
	at = strstr(body, "\"state\":\"");
	snprintf(state, sizeof(state), "%s", status == 410 ? "gone" : "none");
	if (status == 200 && at)
		snprintf(state, sizeof(state), "%.*s",
			 (int)strcspn(at + 9, "\""), at + 9);
	return state;
}

/* Waits until any daemon shows the job in that state. */
bool wait_state(const char *id, const char *state, uint32_t timeout_ms)
{
	uint64_t until = now_ms() + timeout_ms;

	for (uint32_t n = 1; now_ms() < until; n = n % daemon_count + 1) {
		if (pids[n] && !strcmp(state_of(n, id), state))
			return true;
		sleep_ms(200);
	}
	return false;
}

static json_t *route(const char *name, const char *host, const char *prefix,
		     uint32_t attempts)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "name",
			 name, "host", host, "prefix", prefix, "kind", "unsafe",
			 "timeout_ms", 3000, "slo_ms", 3000, "priority", 1,
			 "service", "press", "max_attempts", (int)attempts,
			 "stretch", 4.0);
}

static void write_config(uint32_t version, json_t *routes)
{
	store_put("op/config",
		  json_pack("{s:i,s:o,s:[{s:s,s:s,s:i,s:s,s:b,s:b,s:b}]}",
			    "version", (int)version, "routes", routes,
			    "services", "name", "press", "health_path",
			    "/health", "max_conns", 64, "protocol", "h1", "tls",
			    0, "enforces_capacity", 0, "spare", 0));
}

/* Writes a configuration, with or without the route of the jobs. */
void put_config(uint32_t version, bool with_jobs_route, uint32_t attempts)
{
	json_t *routes = json_array();

	json_array_append_new(routes,
			      route("r-other", "jobs.example", "/other/", 3));
	if (with_jobs_route)
		json_array_append_new(routes, route("r-jobs", "jobs.example",
						    "/jobs/", attempts));
	lock();
	record("operator: version %u, %s the route /jobs/", version,
	       with_jobs_route ? "with" : "without");
	write_config(version, routes);
	unlock();
}

/* Writes a configuration with one more route, on the host. */
void put_config_host(uint32_t version, const char *host)
{
	json_t *routes = json_array();

	json_array_append_new(routes,
			      route("r-other", "jobs.example", "/other/", 3));
	json_array_append_new(routes,
			      route("r-jobs", "jobs.example", "/jobs/", 3));
	json_array_append_new(routes, route("r-stock", host, "/stock/", 3));
	lock();
	record("operator: version %u, with a route on host %s", version, host);
	write_config(version, routes);
	unlock();
}

/* Writes a configuration in which the queue of the jobs needs advice. */
void put_config_advice(uint32_t version, double decide_ms, double per_item_ms)
{
	json_t *routes = json_array();
	json_t *jobs = route("r-jobs", "jobs.example", "/jobs/", 4);

	json_object_set_new(jobs, "advice",
			    json_pack("{s:f,s:f,s:i}", "decide_ms", decide_ms,
				      "per_item_ms", per_item_ms, "valid_ms",
				      1500));
	json_array_append_new(routes,
			      route("r-other", "jobs.example", "/other/", 3));
	json_array_append_new(routes, jobs);
	advice_set(decide_ms, per_item_ms);
	lock();
	record("operator: version %u, with advice for /jobs/", version);
	write_config(version, routes);
	unlock();
}

/* Returns the number of the daemon that schedules, 0: none. */
int holder(void)
{
	char *value;
	int found = 0;

	lock();
	value = store_get_text("jay/term/holder");
	unlock();
	/* The base64 text begins with that of the name of the daemon. */
	for (uint32_t n = 1; value && n <= daemon_count; n++) {
		static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefgh"
					  "ijklmnopqrstuvwxyz0123456789+/";
		char name[32];
		char text[64] = "";
		size_t len;

		len = (size_t)snprintf(name, sizeof(name), "front-z-a-%u ", n);
		for (size_t i = 0; i + 3 <= len; i += 3) {
			uint32_t v = (uint32_t)name[i] << 16 |
				     (uint32_t)name[i + 1] << 8 |
				     (uint32_t)name[i + 2];
			size_t at = strlen(text);

			text[at] = set[v >> 18];
			text[at + 1] = set[v >> 12 & 63];
			text[at + 2] = set[v >> 6 & 63];
			text[at + 3] = set[v & 63];
			text[at + 4] = '\0';
		}
		if (!strncmp(value, text, strlen(text)))
			found = (int)n;
	}
	free(value);
	return found;
}

static bool ready(uint32_t n)
{
	return request(ports[n][1], "GET", "/ready", NULL, NULL, 0, 1000) ==
	       200;
}

/*
 * Starts the server thread and the daemons, and waits until all are ready. The
 * workers are open.
 */
bool cell_open(uint32_t daemons, uint32_t status_s)
{
	const char *tmp = getenv("TMPDIR");
	uint64_t until = now_ms() + READY_MS;

	if (access("target/jaycelld", X_OK)) {
		fprintf(stderr, "target/jaycelld is missing\n");
		return false;
	}
	snprintf(folder, sizeof(folder), "%.40s/review-XXXXXX",
		 tmp ? tmp : "/tmp");
	if (!mkdtemp(folder))
		return false;
	daemon_count = daemons;
	for (uint32_t n = 1; n <= daemons; n++) {
		store_ports[n] = listen_on(PEER_STORE, n);
		advice_ports[n] = listen_on(PEER_ADVICE, n);
		for (uint32_t i = 0; i < PORTS; i++)
			ports[n][i] = free_port();
		write_settings(n, status_s);
	}
	put_config(3, true, 3);
	server_start();
	for (uint32_t n = 1; n <= daemons; n++)
		daemon_start(n);
	for (uint32_t n = 1; n <= daemons; n++) {
		while (!ready(n)) {
			if (now_ms() > until)
				return false;
			sleep_ms(50);
		}
	}
	record("all daemons are ready, daemon %d schedules", holder());
	return true;
}

/* Ends all daemons and removes the folder, unless KEEP is set. */
void cell_close(void)
{
	char path[128];

	for (uint32_t n = 1; n <= daemon_count; n++) {
		if (pids[n] > 0) {
			kill(pids[n], SIGKILL);
			waitpid(pids[n], NULL, 0);
		}
		if (getenv("KEEP"))
			continue;
		snprintf(path, sizeof(path), "%s/d%u.yaml", folder, n);
		unlink(path);
		snprintf(path, sizeof(path), "%s/d%u.log", folder, n);
		unlink(path);
	}
	if (getenv("KEEP"))
		fprintf(stderr, "logs are in %s\n", folder);
	else if (folder[0])
		rmdir(folder);
}
