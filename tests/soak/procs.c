/* Starts, signals and stops the processes of the soak, always by process id. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "preload.h"
#include "soak.h"

#define PATH_SIZE 4096
/* Grace period for a daemon to stop, in s (grace_s). */
#define GRACE_S 6
/* Limit of the resident memory of a daemon: 32 MB. */
#define DAEMON_MEMORY_MAX_KB 32768
/* A throttled daemon runs for RUN_MS of each PERIOD_MS. */
#define THROTTLE_PERIOD_MS 100
#define THROTTLE_RUN_MS 25

struct proc {
	pid_t pid;	      /* 0: not running */
	uint32_t incarnation; /* number of starts */
	uint64_t start_ms;    /* scheduled restart, 0: none */
	uint64_t resume_ms;   /* end of a pause, 0: not paused */
	uint64_t throttle_ms; /* end of throttling */
	bool stopped;	      /* by SIGSTOP */
	uint64_t kill_ms;     /* scheduled SIGKILL, 0: none */
	bool stopping;	      /* the soak has signalled it to stop */
	int64_t skew_ms;
	uint32_t grace_s;
	uint64_t peak_kb; /* resident memory, over all incarnations */
};

struct procs {
	struct soak *s;
	struct proc daemons[SOAK_DAEMONS_MAX];
	pid_t platform;
};

static void format_path(const struct procs *p, const char *what,
			uint32_t daemon, const char *suffix,
			char path[PATH_SIZE])
{
	snprintf(path, PATH_SIZE, "%s/%s%u%s", p->s->options.dir, what, daemon,
		 suffix);
}

static bool write_settings(struct procs *p, uint32_t daemon, struct err *err)
{
	const struct soak *s = p->s;
	const struct proc *proc = &p->daemons[daemon];
	uint32_t zones = s->options.zones > 2 ? s->options.zones : 3;
	char path[PATH_SIZE];
	char temporary[PATH_SIZE];
	FILE *out;

	format_path(p, "d", daemon, ".json", path);
	format_path(p, "d", daemon, ".json.new", temporary);
	out = fopen(temporary, "w");
	if (!out)
		return err_set(err, ERR_INTERNAL, "%s: cannot open: %m",
			       temporary);
	fprintf(out,
		"{ \"name\": \"d%u-%u\", \"az\": \"az-%u\", \"region\": \"r\",\n"
		"  \"listen_callers\": \"127.0.0.1:%u\",\n"
		"  \"listen_ready\": \"127.0.0.1:%u\",\n"
		"  \"listen_peers\": \"127.0.0.1:%u\",\n"
		"  \"peers_address\": \"127.0.0.1:%u\",\n"
		"  \"listen_operators\": \"127.0.0.1:%u\",\n"
		"  \"store\": \"127.0.0.1:%u\", \"advice\": \"127.0.0.1:%u\",\n"
		"  \"cpu_share\": 1.0, \"lease_ms\": 5500, "
		"\"hold_max_ms\": 6000, \"stop_timeout_ms\": 400,\n"
		"  \"status_s\": 120, \"grace_s\": %u, "
		"\"snapshot_batches\": 40 }\n",
		daemon, s->options.replace ? proc->incarnation : 0,
		daemon % zones, soak_daemon_port(s, daemon, DAEMON_CALLERS),
		soak_daemon_port(s, daemon, DAEMON_READY),
		soak_daemon_port(s, daemon, DAEMON_PEERS),
		soak_daemon_port(s, daemon, DAEMON_PEERS_PROXY),
		soak_daemon_port(s, daemon, DAEMON_OPERATORS),
		soak_daemon_port(s, daemon, DAEMON_STORE_PROXY),
		soak_daemon_port(s, daemon, DAEMON_ADVICE_PROXY),
		proc->grace_s);
	fclose(out);
	if (rename(temporary, path) < 0)
		return err_set(err, ERR_INTERNAL, "%s: cannot rename: %m",
			       path);
	return true;
}

/* Writes the file that the daemon's preloaded library reads. */
static void write_preload(struct procs *p, uint32_t daemon)
{
	const struct soak_options *o = &p->s->options;
	struct soak_preload preload = {
		.skew_ms = p->daemons[daemon].skew_ms,
		.base_port = o->base_port,
		.zone = soak_daemon_zone(p->s, daemon),
	};
	char path[PATH_SIZE];
	int fd;

	format_path(p, "preload", daemon, "", path);
	fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (fd < 0 || pwrite(fd, &preload, sizeof(preload), 0) !=
			      (ssize_t)sizeof(preload))
		soak_log(p->s, "%s: cannot write: %s", path, strerror(errno));
	if (fd >= 0)
		close(fd);
}

/* Starts a program, appending its output to @log; returns 0 on failure. */
static pid_t spawn(char *const *argv, const char *log)
{
	pid_t pid = fork();
	int fd;

	if (pid)
		return pid > 0 ? pid : 0;
	/* Kill the child if the soak itself is killed. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	close_range(STDERR_FILENO + 1, ~0U, 0);
	execv(argv[0], argv);
	_exit(127);
}

static void start_daemon(struct procs *p, uint32_t daemon)
{
	struct proc *proc = &p->daemons[daemon];
	struct err err = { 0 };
	char program[PATH_SIZE];
	char settings[PATH_SIZE];
	char preload[PATH_SIZE];
	char library[PATH_SIZE];
	char log[PATH_SIZE];
	char *argv[] = { program, "-f", settings, NULL };

	snprintf(program, sizeof(program), "%s/jaycelld", p->s->options.build);
	snprintf(library, sizeof(library), "%s/soak-preload.so",
		 p->s->options.build);
	format_path(p, "d", daemon, ".json", settings);
	format_path(p, "d", daemon, ".log", log);
	format_path(p, "preload", daemon, "", preload);
	if (p->s->options.replace && !write_settings(p, daemon, &err))
		soak_log(p->s, "%s", err.text);
	setenv("SOAK_PRELOAD", preload, 1);
	setenv("LD_PRELOAD", library, 1);
	*proc = (struct proc){ .pid = spawn(argv, log),
			       .incarnation = proc->incarnation + 1,
			       .skew_ms = proc->skew_ms,
			       .grace_s = proc->grace_s,
			       .throttle_ms = proc->throttle_ms,
			       .peak_kb = proc->peak_kb };
	unsetenv("LD_PRELOAD");
}

static bool start_platform(struct procs *p)
{
	const struct soak_options *o = &p->s->options;
	char program[PATH_SIZE];
	char base[16];
	char count[16];
	char public_base[16];
	char log[PATH_SIZE];
	char *argv[] = { program, "--base-port",   base,	"--count",
			 count,	  "--public-base", public_base, NULL };

	snprintf(program, sizeof(program), "%s/fakeplatform", o->build);
	snprintf(base, sizeof(base), "%u", o->base_port);
	snprintf(count, sizeof(count), "%u", o->minions + 3);
	snprintf(public_base, sizeof(public_base), "%u",
		 o->base_port + PORT_MINION_PROXY);
	snprintf(log, sizeof(log), "%s/platform.log", o->dir);
	p->platform = spawn(argv, log);
	return p->platform > 0;
}

/* Starts fakeplatform and all daemons. */
bool procs_open(struct procs *p, struct err *err)
{
	if (!start_platform(p))
		return err_set(err, ERR_INTERNAL, "cannot start fakeplatform");
	for (uint32_t i = 0; i < p->s->options.daemons; i++) {
		p->daemons[i].grace_s = GRACE_S;
		write_preload(p, i);
		if (!write_settings(p, i, err))
			return false;
		start_daemon(p, i);
	}
	return true;
}

/* Updates the peak memory of a daemon, which must still be running. */
static void record_peak_memory(struct proc *proc)
{
	char path[64];
	char line[128];
	unsigned long kb;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)proc->pid);
	in = fopen(path, "r");
	if (!in)
		return;
	while (fgets(line, sizeof(line), in)) {
		if (sscanf(line, "VmHWM: %lu", &kb) == 1 && kb > proc->peak_kb)
			proc->peak_kb = kb;
	}
	fclose(in);
}

/*
 * Sends @signal to stop a daemon, followed by SIGKILL after the grace period.
 * The daemon is restarted @down_ms after the signal, or once it has exited.
 */
void procs_kill(struct procs *p, uint32_t daemon, int signal, uint32_t down_ms)
{
	struct proc *proc = &p->daemons[daemon];
	uint64_t now = loop_now_ms();

	if (!proc->pid || proc->stopping)
		return;
	record_peak_memory(proc);
	proc->stopping = true;
	proc->start_ms = now + down_ms;
	proc->kill_ms = now + GRACE_S * 1000;
	kill(proc->pid, signal);
}

/* Stops a daemon with SIGSTOP for @for_ms. */
void procs_pause(struct procs *p, uint32_t daemon, uint32_t for_ms)
{
	struct proc *proc = &p->daemons[daemon];

	if (!proc->pid)
		return;
	kill(proc->pid, SIGSTOP);
	proc->stopped = true;
	proc->resume_ms = loop_now_ms() + for_ms;
}

/* Lets a daemon run for a quarter of the time only, for @for_ms. */
void procs_throttle(struct procs *p, uint32_t daemon, uint32_t for_ms)
{
	p->daemons[daemon].throttle_ms = loop_now_ms() + for_ms;
}

/* Changes grace_s in the settings of a daemon and sends it SIGHUP. */
void procs_reload(struct procs *p, uint32_t daemon)
{
	struct proc *proc = &p->daemons[daemon];
	struct err err = { 0 };

	proc->grace_s = proc->grace_s == GRACE_S ? GRACE_S + 1 : GRACE_S;
	if (!write_settings(p, daemon, &err))
		soak_log(p->s, "%s", err.text);
	else if (proc->pid)
		kill(proc->pid, SIGHUP);
}

/* Offsets the real-time clock of a daemon by @ms. */
void procs_set_skew(struct procs *p, uint32_t daemon, int64_t ms)
{
	p->daemons[daemon].skew_ms = ms;
	write_preload(p, daemon);
}

/* Resets clocks; pending resumes and restarts become due at the next tick. */
void procs_heal(struct procs *p)
{
	for (uint32_t i = 0; i < p->s->options.daemons; i++) {
		struct proc *proc = &p->daemons[i];

		procs_set_skew(p, i, 0);
		if (proc->resume_ms)
			proc->resume_ms = 1;
		proc->throttle_ms = 0;
		if (proc->start_ms)
			proc->start_ms = 1;
	}
}

static void reap(struct procs *p, uint32_t daemon, uint64_t now)
{
	struct proc *proc = &p->daemons[daemon];
	int status;

	if (waitpid(proc->pid, &status, WNOHANG) != proc->pid)
		return;
	if (!proc->stopping)
		soak_violation(p->s,
			       "daemon %u exited unexpectedly, status %#x",
			       daemon, (unsigned int)status);
	proc->pid = 0;
	proc->resume_ms = 0;
	proc->stopped = false;
	if (!proc->start_ms)
		proc->start_ms = now;
}

/* Stops or resumes a daemon that is paused or throttled. */
static void tick_stopped(struct proc *proc, uint64_t now_ms)
{
	bool stopped;

	if (now_ms >= proc->resume_ms)
		proc->resume_ms = 0;
	stopped = proc->resume_ms ||
		  (now_ms < proc->throttle_ms &&
		   now_ms % THROTTLE_PERIOD_MS >= THROTTLE_RUN_MS);
	if (stopped == proc->stopped)
		return;
	kill(proc->pid, stopped ? SIGSTOP : SIGCONT);
	proc->stopped = stopped;
}

/* Without its own fakeplatform a run may use that of another run. */
static void check_platform(struct procs *p)
{
	if (!p->platform || waitpid(p->platform, NULL, WNOHANG) != p->platform)
		return;
	p->platform = 0;
	soak_violation(p->s, "fakeplatform exited, see platform.log");
	loop_stop(p->s->loop);
}

/* Resumes, kills, reaps and restarts the daemons that are due. */
void procs_tick(struct procs *p, uint64_t now_ms)
{
	check_platform(p);
	for (uint32_t i = 0; i < p->s->options.daemons; i++) {
		struct proc *proc = &p->daemons[i];

		if (proc->pid)
			tick_stopped(proc, now_ms);
		if (proc->pid && proc->stopping && now_ms >= proc->kill_ms)
			kill(proc->pid, SIGKILL);
		if (proc->pid)
			reap(p, i, now_ms);
		else if (proc->start_ms && now_ms >= proc->start_ms)
			start_daemon(p, i);
	}
}

/* Returns the number of starts of a daemon. */
uint32_t procs_incarnation(const struct procs *p, uint32_t daemon)
{
	return p->daemons[daemon].incarnation;
}

/* Kills all processes and checks the peak memory of the daemons. */
void procs_close(struct procs *p)
{
	for (uint32_t i = 0; i < p->s->options.daemons; i++) {
		struct proc *proc = &p->daemons[i];

		if (!proc->pid)
			continue;
		record_peak_memory(proc);
		if (proc->peak_kb > DAEMON_MEMORY_MAX_KB)
			soak_violation(
				p->s,
				"daemon %u: peak memory %llu kB exceeds %u kB",
				i, (unsigned long long)proc->peak_kb,
				DAEMON_MEMORY_MAX_KB);
		kill(proc->pid, SIGKILL);
		waitpid(proc->pid, NULL, 0);
	}
	if (p->platform) {
		kill(p->platform, SIGKILL);
		waitpid(p->platform, NULL, 0);
	}
}

struct procs *procs_new(struct soak *s)
{
	struct procs *p = xcalloc(1, sizeof(*p));

	p->s = s;
	return p;
}
