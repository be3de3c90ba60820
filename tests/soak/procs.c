/* Processes of the soak: they are started, disturbed and ended by their id. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

#define PATH_SIZE 4096
/* The daemons of the deployment stop within their grace period, in s. */
#define GRACE_S 6
/* Memory of a daemon at most, in kB: 32 MB. */
#define MEMORY_MAX_KB 32768

struct proc {
	pid_t pid;	    /* 0: not running */
	uint32_t life;	    /* counts starts */
	uint64_t start_ms;  /* when it is started again, 0: not planned */
	uint64_t resume_ms; /* of a paused process, 0: it runs */
	uint64_t kill_ms;   /* end of the grace period, 0: none */
	bool ending;	    /* the soak has told it to end */
	int64_t skew_ms;
	uint32_t grace_s;
	uint64_t peak_kb; /* of memory, over its lives */
};

struct procs {
	struct soak *s;
	struct proc daemons[SOAK_DAEMONS_MAX];
	pid_t platform;
};

static void path_of(const struct procs *p, const char *what, uint32_t daemon,
		    const char *suffix, char path[PATH_SIZE])
{
	snprintf(path, PATH_SIZE, "%s/%s%u%s", p->s->options.dir, what, daemon,
		 suffix);
}

static bool write_settings(struct procs *p, uint32_t daemon, struct err *err)
{
	const struct soak *s = p->s;
	const struct proc *proc = &p->daemons[daemon];
	char path[PATH_SIZE];
	char temporary[PATH_SIZE];
	FILE *out;

	path_of(p, "d", daemon, ".json", path);
	path_of(p, "d", daemon, ".json.new", temporary);
	out = fopen(temporary, "w");
	if (!out)
		return err_set(err, ERR_INTERNAL, "%s: cannot open: %m",
			       temporary);
	fprintf(out,
		"{ \"name\": \"d%u\", \"az\": \"az-%u\", \"region\": \"r\",\n"
		"  \"listen_callers\": \"127.0.0.1:%u\",\n"
		"  \"listen_ready\": \"127.0.0.1:%u\",\n"
		"  \"listen_peers\": \"127.0.0.1:%u\",\n"
		"  \"peers_address\": \"127.0.0.1:%u\",\n"
		"  \"listen_operators\": \"127.0.0.1:%u\",\n"
		"  \"store\": \"127.0.0.1:%u\", \"advice\": \"127.0.0.1:%u\",\n"
		"  \"cpu_share\": 1.0, \"lease_ms\": 5500, "
		"\"hold_max_ms\": 6000,\n"
		"  \"status_s\": 120, \"grace_s\": %u, "
		"\"snapshot_batches\": 40 }\n",
		daemon, daemon % 3, soak_daemon_port(s, daemon, DAEMON_CALLERS),
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

static void write_skew(struct procs *p, uint32_t daemon)
{
	char path[PATH_SIZE];
	int fd;

	path_of(p, "skew", daemon, "", path);
	fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (fd < 0 || pwrite(fd, &p->daemons[daemon].skew_ms, sizeof(int64_t),
			     0) != sizeof(int64_t))
		soak_say(p->s, "cannot write %s: %s", path, strerror(errno));
	if (fd >= 0)
		close(fd);
}

/* Starts a program with its output added to @log; returns 0 on failure. */
static pid_t spawn(char *const *argv, const char *log)
{
	pid_t pid = fork();
	int fd;

	if (pid)
		return pid > 0 ? pid : 0;
	/* No process outlives a soak that is killed. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	for (int i = STDERR_FILENO + 1; i < 1024; i++)
		close(i);
	execv(argv[0], argv);
	_exit(127);
}

static void start_daemon(struct procs *p, uint32_t daemon)
{
	struct proc *proc = &p->daemons[daemon];
	char program[PATH_SIZE];
	char settings[PATH_SIZE];
	char skew[PATH_SIZE];
	char library[PATH_SIZE];
	char log[PATH_SIZE];
	char *argv[] = { program, "-f", settings, NULL };

	snprintf(program, sizeof(program), "%s/jaycelld", p->s->options.build);
	snprintf(library, sizeof(library), "%s/soak-skew.so",
		 p->s->options.build);
	path_of(p, "d", daemon, ".json", settings);
	path_of(p, "d", daemon, ".log", log);
	path_of(p, "skew", daemon, "", skew);
	setenv("SOAK_SKEW", skew, 1);
	setenv("LD_PRELOAD", library, 1);
	*proc = (struct proc){ .pid = spawn(argv, log),
			       .life = proc->life + 1,
			       .skew_ms = proc->skew_ms,
			       .grace_s = proc->grace_s,
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

/* Starts the stand-in of the platform and all daemons. */
bool procs_open(struct procs *p, struct err *err)
{
	if (!start_platform(p))
		return err_set(err, ERR_INTERNAL, "cannot start fakeplatform");
	for (uint32_t i = 0; i < p->s->options.daemons; i++) {
		p->daemons[i].grace_s = GRACE_S;
		write_skew(p, i);
		if (!write_settings(p, i, err))
			return false;
		start_daemon(p, i);
	}
	return true;
}

/* Notes the peak of a daemon's memory; read while it lives. */
static void note_memory(struct proc *proc)
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

/* Ends a daemon by @signal and starts it again @down_ms after its end. */
void procs_kill(struct procs *p, uint32_t daemon, int signal, uint32_t down_ms)
{
	struct proc *proc = &p->daemons[daemon];
	uint64_t now = loop_now_ms();

	if (!proc->pid || proc->ending)
		return;
	note_memory(proc);
	proc->ending = true;
	proc->start_ms = now + down_ms;
	proc->kill_ms = now + GRACE_S * 1000;
	kill(proc->pid, signal);
}

/* Stops a daemon's process for some time, in ms. */
void procs_pause(struct procs *p, uint32_t daemon, uint32_t for_ms)
{
	struct proc *proc = &p->daemons[daemon];

	if (!proc->pid)
		return;
	kill(proc->pid, SIGSTOP);
	proc->resume_ms = loop_now_ms() + for_ms;
}

/* Changes the settings of a daemon and tells it so. */
void procs_hup(struct procs *p, uint32_t daemon)
{
	struct proc *proc = &p->daemons[daemon];
	struct err err = { 0 };

	proc->grace_s = proc->grace_s == GRACE_S ? GRACE_S + 1 : GRACE_S;
	if (!write_settings(p, daemon, &err))
		soak_say(p->s, "%s", err.text);
	else if (proc->pid)
		kill(proc->pid, SIGHUP);
}

/* Lets the time of day of a daemon be wrong by @ms. */
void procs_skew(struct procs *p, uint32_t daemon, int64_t ms)
{
	p->daemons[daemon].skew_ms = ms;
	write_skew(p, daemon);
}

/* Ends what holds daemons up; those that are down start soon. */
void procs_heal(struct procs *p)
{
	for (uint32_t i = 0; i < p->s->options.daemons; i++) {
		struct proc *proc = &p->daemons[i];

		procs_skew(p, i, 0);
		if (proc->resume_ms)
			proc->resume_ms = 1;
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
	if (!proc->ending)
		soak_violation(p->s, "daemon %u ended by itself, status %#x",
			       daemon, (unsigned int)status);
	proc->pid = 0;
	proc->resume_ms = 0;
	if (!proc->start_ms)
		proc->start_ms = now;
}

/* Resumes, ends and starts what is due. */
void procs_tick(struct procs *p, uint64_t now_ms)
{
	for (uint32_t i = 0; i < p->s->options.daemons; i++) {
		struct proc *proc = &p->daemons[i];

		if (proc->pid && proc->resume_ms && now_ms >= proc->resume_ms) {
			kill(proc->pid, SIGCONT);
			proc->resume_ms = 0;
		}
		if (proc->pid && proc->ending && now_ms >= proc->kill_ms)
			kill(proc->pid, SIGKILL);
		if (proc->pid)
			reap(p, i, now_ms);
		else if (proc->start_ms && now_ms >= proc->start_ms)
			start_daemon(p, i);
	}
}

/* Returns a number that changes with each start of a daemon. */
uint32_t procs_life(const struct procs *p, uint32_t daemon)
{
	return p->daemons[daemon].life;
}

/* Ends all processes that the soak has started. */
void procs_close(struct procs *p)
{
	for (uint32_t i = 0; i < p->s->options.daemons; i++) {
		struct proc *proc = &p->daemons[i];

		if (!proc->pid)
			continue;
		note_memory(proc);
		if (proc->peak_kb > MEMORY_MAX_KB)
			soak_violation(p->s, "daemon %u took %llu kB", i,
				       (unsigned long long)proc->peak_kb);
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
