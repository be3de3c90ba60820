#include "cell.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORTS 200 /* of one cell */
#define FIRST_DAEMON 120
#define READY_TIMEOUT_MS 15000
/* How often the memory of the daemons is looked at. */
#define MEMORY_POLL_MS 10
/* "Restarted after a short delay." */
#define RESTART_MS 500

static char dir[] = "/tmp/review-XXXXXX";
static FILE *record;
static uint64_t opened_ms;
static pid_t platform_pid;
static pid_t daemon_pids[DAEMONS_MAX];
static int memory_kills[DAEMONS_MAX];
static long peak_kb[DAEMONS_MAX];
static struct cell *watched;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void pause_ms(uint32_t ms)
{
	struct timespec ts = { .tv_sec = ms / 1000,
			       .tv_nsec = ms % 1000 * 1000000L };

	nanosleep(&ts, NULL);
}

void note(const char *format, ...)
{
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (!record)
		return;
	fprintf(record, "%9.3f %s\n", (double)(now_ms() - opened_ms) / 1000,
		text);
	fflush(record);
}

/* Ends all processes by their ids and removes their files. */
static void clean_up(void)
{
	char command[64];

	pthread_mutex_lock(&lock);
	watched = NULL;
	for (int i = 0; i < DAEMONS_MAX; i++) {
		if (daemon_pids[i] > 0) {
			kill(daemon_pids[i], SIGKILL);
			waitpid(daemon_pids[i], NULL, 0);
		}
	}
	if (platform_pid > 0) {
		kill(platform_pid, SIGKILL);
		waitpid(platform_pid, NULL, 0);
	}
	pthread_mutex_unlock(&lock);
	if (getenv("KEEP_LOGS"))
		return;
	snprintf(command, sizeof(command), "rm -rf %s", dir);
	if (system(command) != 0)
		perror("rm");
}

void give_up(const char *why)
{
	note("cannot run: %s", why);
	fprintf(stderr, "cannot run: %s\n", why);
	exit(2);
}

static pid_t spawn(char *const argv[], const char *log)
{
	pid_t parent = getpid();
	pid_t pid = fork();

	if (pid < 0)
		give_up("fork");
	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent || !freopen(log, "a", stdout) ||
	    !freopen(log, "a", stderr))
		_exit(127);
	execv(argv[0], argv);
	_exit(127);
}

static bool port_is_free(int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;
	bool is_free;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	is_free = bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	close(fd);
	return is_free;
}

/* Below the ports that the kernel gives to clients. */
static int find_ports(void)
{
	for (int base = 21000 + getpid() % 40 * PORTS; base < 32000;
	     base += PORTS) {
		int n = 0;

		while (n < PORTS && port_is_free(base + n))
			n++;
		if (n == PORTS)
			return base;
	}
	give_up("no free ports");
}

static int connect_to(int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct timeval limit = { .tv_sec = (DEADLINE_MS + 500) / 1000,
				 .tv_usec = (DEADLINE_MS + 500) % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Sends one request on a connection of its own. */
static int request(int port, const char *head, const char *body, char **out)
{
	int fd = connect_to(port);
	size_t size = 1 << 16;
	size_t len = 0;
	char *text = malloc(size + 1);
	char *end;
	ssize_t n;
	int status = 0;

	if (out)
		*out = NULL;
	if (fd < 0)
		goto out;
	if (send(fd, head, strlen(head), MSG_NOSIGNAL) < 0 ||
	    (body && send(fd, body, strlen(body), MSG_NOSIGNAL) < 0))
		goto out;
	while ((n = recv(fd, text + len, size - len, 0)) > 0) {
		len += (size_t)n;
		if (len == size) {
			size *= 2;
			text = realloc(text, size + 1);
		}
	}
	text[len] = '\0';
	end = strstr(text, "\r\n\r\n");
	if (!end || sscanf(text, "HTTP/1.1 %d", &status) != 1)
		goto out;
	if (out)
		*out = strdup(end + 4);
out:
	if (fd >= 0)
		close(fd);
	free(text);
	return status;
}

static int callers_port(const struct cell *cell, int daemon)
{
	return cell->base + FIRST_DAEMON + daemon * 4;
}

int call(const struct cell *cell, int daemon, const char *method,
	 const char *path, const char *key, const char *body, char **out)
{
	char head[1024];
	char authorization[256] = "";

	if (key)
		snprintf(authorization, sizeof(authorization),
			 "Authorization: Bearer %s\r\n", key);
	snprintf(
		head, sizeof(head),
		"%s %s HTTP/1.1\r\nHost: " HOST "\r\nConnection: close\r\n"
		"Jayspoke-Deadline-Ms: %d\r\n%s"
		"Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		method, path, DEADLINE_MS, authorization,
		body ? strlen(body) : 0);
	return request(callers_port(cell, daemon), head, body, out);
}

static json_t *platform_get(const struct cell *cell)
{
	json_t *json;
	char *text;

	if (request(cell->base,
		    "GET /stats HTTP/1.1\r\nHost: x\r\n"
		    "Connection: close\r\n\r\n",
		    NULL, &text) != 200)
		give_up("no statistics of the platform");
	json = json_loads(text, 0, NULL);
	free(text);
	return json;
}

int starts_of(const struct cell *cell, const char *task)
{
	json_t *json = platform_get(cell);
	int n = (int)json_integer_value(json_object_get(
		json_object_get(json_object_get(json, "minions"), "starts"),
		task));

	json_decref(json);
	return n;
}

int running_now(const struct cell *cell)
{
	json_t *json = platform_get(cell);
	int n = (int)json_integer_value(
		json_object_get(json_object_get(json, "minions"), "running"));

	json_decref(json);
	return n;
}

const char *state_of(const struct cell *cell, int daemon, const char *path)
{
	static char state[32];
	char *body;
	int status = call(cell, daemon, "GET", path, NULL, NULL, &body);
	json_t *json = body ? json_loads(body, 0, NULL) : NULL;
	const char *text = json_string_value(json_object_get(json, "state"));

	if (status == 200 && text)
		snprintf(state, sizeof(state), "%s", text);
	else
		snprintf(state, sizeof(state), "%d", status);
	json_decref(json);
	free(body);
	return state;
}

bool cell_ready(const struct cell *cell, int daemon)
{
	return request(callers_port(cell, daemon) + 1,
		       "GET /ready HTTP/1.1\r\nHost: x\r\n"
		       "Connection: close\r\n\r\n",
		       NULL, NULL) == 200;
}

void cell_wait_ready(const struct cell *cell, int from, int to)
{
	uint64_t until = now_ms() + READY_TIMEOUT_MS;

	for (int i = from; i < to; i++) {
		while (!cell_ready(cell, i)) {
			if (now_ms() > until)
				give_up("a daemon is not ready");
			pause_ms(50);
		}
	}
}

static void write_settings(const struct cell *cell, int daemon,
			   const char *path)
{
	int port = callers_port(cell, daemon);
	FILE *out = fopen(path, "w");

	if (!out)
		give_up("settings");
	fprintf(out,
		"{ \"name\": \"front-%d\", \"az\": \"az-a\", "
		"\"region\": \"r\",\n"
		"\"listen_callers\": \"127.0.0.1:%d\",\n"
		"\"listen_ready\": \"127.0.0.1:%d\",\n"
		"\"listen_peers\": \"127.0.0.1:%d\",\n"
		"\"listen_operators\": \"127.0.0.1:%d\",\n"
		"\"store\": \"127.0.0.1:%d\", \"advice\": \"127.0.0.1:%d\",\n"
		"\"cpu_share\": 0.25, \"lease_ms\": 5500, "
		"\"hold_max_ms\": 6000,\n"
		"\"stop_timeout_ms\": 400, \"status_s\": 120, %s\n"
		"\"memory_mb\": %d, \"max_fds\": 4200, \"grace_s\": 6,\n"
		"\"snapshot_batches\": 5000 }\n",
		daemon + 1, port, port + 1, port + 2, port + 3, cell->base,
		cell->base + 1, cell->tenants ? "\"revoke_ms\": 5000," : "",
		MEMORY_MB);
	fclose(out);
}

static void launch(int daemon)
{
	char settings[64];
	char log[64];
	char *argv[] = { "target/jaycelld", "-f", settings, NULL };

	snprintf(settings, sizeof(settings), "%s/d%d.json", dir, daemon + 1);
	snprintf(log, sizeof(log), "%s/d%d.log", dir, daemon + 1);
	daemon_pids[daemon] = spawn(argv, log);
}

int cell_start_daemon(struct cell *cell)
{
	int daemon = (int)cell->daemons++;
	char settings[64];

	if (daemon == DAEMONS_MAX)
		give_up("too many daemons");
	snprintf(settings, sizeof(settings), "%s/d%d.json", dir, daemon + 1);
	write_settings(cell, daemon, settings);
	launch(daemon);
	return daemon;
}

void cell_kill_daemon(int daemon)
{
	kill(daemon_pids[daemon], SIGKILL);
	waitpid(daemon_pids[daemon], NULL, 0);
	daemon_pids[daemon] = 0;
}

static void post_fault(const struct cell *cell, const char *path,
		       const char *body)
{
	char head[160];

	snprintf(head, sizeof(head),
		 "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 path, strlen(body));
	if (request(cell->base, head, body, NULL) / 100 != 2)
		give_up("the stand-in refuses a fault");
}

void cell_store_answers_in(const struct cell *cell, int ms)
{
	char body[64];

	snprintf(body, sizeof(body), "{\"slow_ms\":%d,\"port\":%d}", ms,
		 cell->base);
	post_fault(cell, "/fault", body);
}

void cell_delay_starts(const struct cell *cell, int count, int ms)
{
	char body[96];

	snprintf(body, sizeof(body),
		 "{\"late_orders\":%d,\"late_ms\":%d,\"next_life\":true}",
		 count, ms);
	post_fault(cell, "/platform", body);
}

void cell_crash_minion(const struct cell *cell, int minion, int ms)
{
	char body[64];

	snprintf(body, sizeof(body), "{\"crash\":%d,\"for_ms\":%d}", minion,
		 ms);
	post_fault(cell, "/platform", body);
}

json_t *cell_minion_stats(const struct cell *cell)
{
	json_t *json = platform_get(cell);
	json_t *minions = json_incref(json_object_get(json, "minions"));

	json_decref(json);
	return minions;
}

uint64_t cell_cpu_ms(int daemon)
{
	unsigned long long user = 0;
	unsigned long long kernel = 0;
	char path[64];
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)daemon_pids[daemon]);
	in = fopen(path, "r");
	if (!in)
		return 0;
	if (fscanf(in,
		   "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
		   "%llu %llu",
		   &user, &kernel) != 2)
		user = kernel = 0;
	fclose(in);
	return (user + kernel) * 1000 / (uint64_t)sysconf(_SC_CLK_TCK);
}

int cell_ended(int daemon)
{
	int status;

	if (daemon_pids[daemon] <= 0 ||
	    waitpid(daemon_pids[daemon], &status, WNOHANG) <= 0)
		return 0;
	daemon_pids[daemon] = 0;
	return WIFSIGNALED(status) ? WTERMSIG(status) : 1000;
}

void cell_signal(int daemon, int signal)
{
	if (daemon_pids[daemon] > 0)
		kill(daemon_pids[daemon], signal);
}

int cell_holder(const struct cell *cell)
{
	char *text = NULL;
	char *name;
	int number = 0;

	if (request(cell->base,
		    "GET /holder HTTP/1.1\r\nHost: x\r\n"
		    "Connection: close\r\n\r\n",
		    NULL, &text) != 200)
		return -1;
	name = text ? strstr(text, "front-") : NULL;
	if (name)
		number = atoi(name + strlen("front-"));
	free(text);
	return number - 1;
}

static long resident_kb(pid_t pid)
{
	char path[64];
	char line[128];
	long kb = 0;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	in = fopen(path, "r");
	while (in && fgets(line, sizeof(line), in)) {
		if (sscanf(line, "VmRSS: %ld kB", &kb) == 1)
			break;
	}
	if (in)
		fclose(in);
	return kb;
}

/* Looks at one daemon; @down_ms is when it was killed, 0: it runs. */
static void check_memory(int daemon, uint64_t *down_ms)
{
	long kb;

	if (*down_ms) {
		if (now_ms() < *down_ms + RESTART_MS)
			return;
		launch(daemon);
		*down_ms = 0;
		return;
	}
	kb = resident_kb(daemon_pids[daemon]);
	if (kb > peak_kb[daemon])
		peak_kb[daemon] = kb;
	if (kb <= MEMORY_MB * 1024L)
		return;
	cell_kill_daemon(daemon);
	memory_kills[daemon]++;
	*down_ms = now_ms();
	note("front-%d killed: %ld kB, its machine has %d MB", daemon + 1, kb,
	     MEMORY_MB);
}

static void *watch_memory(void *arg)
{
	uint64_t down_ms[DAEMONS_MAX] = { 0 };

	for (;;) {
		pthread_mutex_lock(&lock);
		for (uint32_t i = 0; watched && i < watched->daemons; i++)
			check_memory((int)i, &down_ms[i]);
		pthread_mutex_unlock(&lock);
		pause_ms(MEMORY_POLL_MS);
	}
	return arg;
}

void cell_enforce_memory(struct cell *cell)
{
	pthread_t thread;

	watched = cell;
	if (pthread_create(&thread, NULL, watch_memory, NULL) != 0)
		give_up("thread");
}

int cell_memory_kills(int daemon)
{
	return memory_kills[daemon];
}

long cell_peak_kb(int daemon)
{
	return peak_kb[daemon];
}

static void on_signal(int signal)
{
	(void)signal;
	exit(2);
}

static void write_config(const struct cell *cell, const char *config)
{
	char head[256];

	snprintf(head, sizeof(head),
		 "PUT /op?key=op/config HTTP/1.1\r\nHost: x\r\n"
		 "Connection: close\r\nContent-Length: %zu\r\n\r\n",
		 strlen(config));
	if (request(cell->base, head, config, NULL) != 200)
		give_up("the configuration was not written");
}

/* Starts the platform and three daemons. */
void cell_open(struct cell *cell, const char *config)
{
	char port[16];
	char count[16];
	char log[64];
	char *argv[] = { "target/build/fakeplatform",
			 "--base-port",
			 port,
			 "--count",
			 count,
			 NULL };
	uint64_t until = now_ms() + READY_TIMEOUT_MS;

	opened_ms = now_ms();
	record = fopen(getenv("RECORD") ? getenv("RECORD") : "record.txt", "w");
	if (!mkdtemp(dir))
		give_up("no temporary folder");
	atexit(clean_up);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	cell->base = find_ports();
	snprintf(port, sizeof(port), "%d", cell->base);
	snprintf(count, sizeof(count), "%u", cell->minions + 3);
	snprintf(log, sizeof(log), "%s/platform.log", dir);
	platform_pid = spawn(argv, log);
	while (request(cell->base,
		       "GET /stats HTTP/1.1\r\nHost: x\r\n"
		       "Connection: close\r\n\r\n",
		       NULL, NULL) != 200) {
		if (now_ms() > until)
			give_up("the platform does not start");
		pause_ms(50);
	}
	write_config(cell, config);
	if (!cell->first_daemons)
		cell->first_daemons = 3;
	for (uint32_t i = 0; i < cell->first_daemons; i++)
		cell_start_daemon(cell);
	cell_wait_ready(cell, 0, (int)cell->first_daemons);
	note("%u daemons are ready, %u minions", cell->first_daemons,
	     cell->minions);
}
