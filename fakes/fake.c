#include "fake.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <uthash.h>

#include "buf.h"
#include "err.h"

/*
 * Closes the connection of a request that a fault leaves unanswered, to release
 * its socket. Far longer than any client's timeout.
 */
#define UNANSWERED_TIMEOUT_MS 600000

/* An unanswered request. */
struct call {
	struct fake_request request;
	uint64_t connection;
	h2o_req_t *req;
	struct fake *fake;
	struct timer timer;
	bool delivered;
	bool answer_lost; /* processed, but not answered */
	bool frozen;	  /* the answer waits for the freeze to end */
	int status;
	struct buf headers;
	struct buf body;
	UT_hash_handle hh;
};

struct faults {
	bool down;
	bool freeze;
	bool fail;
	uint32_t slow_ms;
	uint32_t lose_answers;
	uint64_t silent_max_id; /* connections up to this id get no answer */
};

struct port {
	struct fake *fake;
	uint32_t index;
	struct httpd *httpd;
	struct faults faults;
};

struct fake {
	struct loop *loop;
	struct fake_settings settings;
	struct port **ports;
	uint32_t port_count;
	struct call *calls; /* in order of arrival */
};

static struct loop *signalled_loop;

static void on_signal(int signo)
{
	(void)signo;
	loop_stop(signalled_loop);
}

/*
 * Parses the command line into @table, whose last element is the arg_end. On
 * error prints the errors and the usage and exits with status 2.
 */
void fake_parse_args(int argc, char **argv, void **table)
{
	int last = 0;

	while (!(((struct arg_hdr *)table[last])->flag & ARG_TERMINATOR))
		last++;
	if (!arg_parse(argc, argv, table))
		return;
	arg_print_errors(stderr, table[last], argv[0]);
	fprintf(stderr, "usage: %s", argv[0]);
	arg_print_syntaxv(stderr, table, "\n");
	exit(2);
}

/* Returns the options --listen, --base-port and --count. */
struct fake_listen_args fake_listen_args(void)
{
	return (struct fake_listen_args){
		.listen = arg_strn(NULL, "listen", "ADDRESS:PORT", 0, 4096,
				   "listen here; may be repeated"),
		.base_port = arg_int0(NULL, "base-port", "PORT",
				      "first port on 127.0.0.1"),
		.count = arg_int0(NULL, "count", "N",
				  "number of ports from --base-port (1)"),
	};
}

/*
 * Returns a test double without listeners; the strings in @settings must stay
 * valid.
 */
struct fake *fake_new(struct loop *loop, const struct fake_settings *settings)
{
	struct fake *fake = xcalloc(1, sizeof(*fake));

	fake->loop = loop;
	fake->settings = *settings;
	return fake;
}

static struct call *call_find(struct fake *fake, uint64_t id)
{
	struct call *call;

	HASH_FIND(hh, fake->calls, &id, sizeof(id), call);
	return call;
}

static void call_free(struct call *call)
{
	struct fake *fake = call->fake;

	timer_stop(fake->loop, &call->timer);
	HASH_DEL(fake->calls, call);
	buf_free(&call->headers);
	buf_free(&call->body);
	free(call);
}

static struct port *call_port(const struct call *call)
{
	return call->fake->ports[call->request.port];
}

static bool call_is_silent(const struct call *call)
{
	return call->connection <= call_port(call)->faults.silent_max_id;
}

/* Closes the connection of a request without an answer. */
static void drop_request(struct port *port, uint32_t handle, h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
	httpd_reply(port->httpd, handle, 503, NULL, NULL, NULL, 0);
}

static void call_drop(struct call *call)
{
	struct port *port = call_port(call);
	uint32_t handle = call->request.http.handle;
	h2o_req_t *req = call->req;

	call_free(call);
	drop_request(port, handle, req);
}

/* Returns the number of the connection accepted last. */
uint64_t fake_latest_connection(void)
{
	return h2o_connection_id;
}

/* Closes the connection of request @id without an answer. */
void fake_drop(struct fake *fake, uint64_t id)
{
	struct call *call = call_find(fake, id);

	if (call)
		call_drop(call);
}

static void on_unanswered_timeout(struct timer *timer)
{
	call_drop(timer->ctx);
}

/* Keeps the request open without an answer until the timeout. */
static void call_leave_unanswered(struct call *call)
{
	call->timer.fn = on_unanswered_timeout;
	timer_start(call->fake->loop, &call->timer, UNANSWERED_TIMEOUT_MS);
}

static void call_deliver(struct call *call)
{
	struct fake *fake = call->fake;

	call->delivered = true;
	fake->settings.handler(fake->settings.ctx, &call->request);
}

static void on_delay_end(struct timer *timer)
{
	struct call *call = timer->ctx;

	if (!call_port(call)->faults.freeze)
		call_deliver(call);
}

static void call_send(struct call *call)
{
	struct port *port = call_port(call);
	struct buf headers = buf_take(&call->headers);
	struct buf body = buf_take(&call->body);
	uint32_t handle = call->request.http.handle;
	int status = call->status;

	call_free(call);
	httpd_reply(port->httpd, handle, status, "application/json",
		    headers.data, body.data, body.len);
	buf_free(&headers);
	buf_free(&body);
}

/*
 * Answers request @id with @len bytes, unless an active fault delays or
 * suppresses the answer. @headers is NULL or complete lines ending in CRLF. An
 * unknown id is ignored.
 */
void fake_answer(struct fake *fake, uint64_t id, int status,
		 const char *headers, const void *body, size_t len)
{
	struct call *call = call_find(fake, id);

	if (!call || call->frozen)
		return;
	if (call->answer_lost || call_is_silent(call)) {
		call_leave_unanswered(call);
		return;
	}
	call->status = status;
	if (headers)
		call->headers = buf_str(headers);
	call->body = buf_copy(body, len);
	call->frozen = call_port(call)->faults.freeze;
	if (!call->frozen)
		call_send(call);
}

/* Answers with the JSON value @body, whose reference is taken. */
void fake_answer_json(struct fake *fake, uint64_t id, int status,
		      const char *headers, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);

	json_decref(body);
	if (!text)
		abort();
	fake_answer(fake, id, status, headers, text, strlen(text));
	free(text);
}

/* Answers with {"error": @text}. */
void fake_answer_error(struct fake *fake, uint64_t id, int status,
		       const char *text)
{
	fake_answer_json(fake, id, status, NULL,
			 json_pack("{s:s}", "error", text));
}

/*
 * Marks a request that changes state; the fault "lose_answers" suppresses the
 * answers to such requests.
 */
void fake_may_lose_answer(struct fake *fake, uint64_t id)
{
	struct call *call = call_find(fake, id);
	struct faults *faults;

	if (!call)
		return;
	faults = &call_port(call)->faults;
	if (!faults->lose_answers)
		return;
	faults->lose_answers--;
	call->answer_lost = true;
}

/* Returns true while work started on @port must fail. */
bool fake_fails(const struct fake *fake, uint32_t port)
{
	return fake->ports[port]->faults.fail;
}

/* Applies a change of the faults to an open call. */
static void call_update(struct call *call)
{
	const struct faults *faults = &call_port(call)->faults;

	if (faults->down)
		call_drop(call);
	else if (faults->freeze)
		return;
	else if (call->frozen)
		call_send(call);
	else if (!call->delivered && !call_is_silent(call) &&
		 !call->timer.heap_pos)
		call_deliver(call);
}

/* Applies @fn to the calls that are open now, in order of arrival. */
static void calls_foreach(struct fake *fake, void (*fn)(struct call *))
{
	uint32_t count = HASH_COUNT(fake->calls);
	uint64_t *ids = xcalloc(count, sizeof(*ids));
	struct call *call;
	uint32_t n = 0;

	for (call = fake->calls; call; call = call->hh.next)
		ids[n++] = call->request.id;
	for (n = 0; n < count; n++) {
		call = call_find(fake, ids[n]);
		if (call)
			fn(call);
	}
	free(ids);
}

static bool fault_bool(const char *key, const json_t *value, const char *name,
		       bool *out)
{
	if (strcmp(key, name) != 0 || !json_is_boolean(value))
		return false;
	*out = json_is_true(value);
	return true;
}

static bool fault_number(const char *key, const json_t *value, const char *name,
			 uint32_t *out)
{
	if (strcmp(key, name) != 0 || !json_is_integer(value) ||
	    json_integer_value(value) < 0)
		return false;
	*out = (uint32_t)json_integer_value(value);
	return true;
}

/*
 * Parses one member of a fault request into @faults. @port receives the TCP
 * port that the request is limited to.
 */
static bool fault_parse(struct faults *faults, uint32_t *port, const char *key,
			const json_t *value)
{
	bool silent = false;

	if (fault_bool(key, value, "silent", &silent)) {
		if (silent)
			faults->silent_max_id = h2o_connection_id;
		return true;
	}
	return fault_bool(key, value, "down", &faults->down) ||
	       fault_bool(key, value, "freeze", &faults->freeze) ||
	       fault_bool(key, value, "fail", &faults->fail) ||
	       fault_number(key, value, "slow_ms", &faults->slow_ms) ||
	       fault_number(key, value, "lose_answers",
			    &faults->lose_answers) ||
	       fault_number(key, value, "port", port);
}

static bool port_change(struct port *port, json_t *change, bool *matched)
{
	struct faults faults = port->faults;
	uint32_t only_port = 0;
	const char *key;
	json_t *value;

	json_object_foreach(change, key, value)
	{
		if (!fault_parse(&faults, &only_port, key, value))
			return false;
	}
	if (only_port && only_port != (uint32_t)httpd_port(port->httpd))
		return true;
	port->faults = faults;
	*matched = true;
	return true;
}

/*
 * Changes the faults of all ports, or of the TCP port that the member "port"
 * names. Returns false if @change is malformed or no port matches.
 */
static bool faults_apply(struct fake *fake, json_t *change)
{
	bool matched = false;

	if (!json_is_object(change))
		return false;
	for (uint32_t i = 0; i < fake->port_count; i++) {
		if (!port_change(fake->ports[i], change, &matched))
			return false;
	}
	calls_foreach(fake, call_update);
	return matched;
}

static void control_fault(struct port *port, const struct httpd_request *http)
{
	json_t *change = json_loadb(http->body, http->body_len, 0, NULL);
	bool ok = faults_apply(port->fake, change);
	const char *body = ok ? "{}" : "{\"error\":\"unknown fault\"}";

	json_decref(change);
	httpd_reply(port->httpd, http->handle, ok ? 200 : 400,
		    "application/json", NULL, body, strlen(body));
}

static void control_observe(struct port *port, const struct httpd_request *http)
{
	struct fake *fake = port->fake;
	json_t *observations = fake->settings.observe(fake->settings.ctx);
	char *text = json_dumps(observations, JSON_COMPACT);

	json_decref(observations);
	if (!text)
		abort();
	httpd_reply(port->httpd, http->handle, 200, "application/json", NULL,
		    text, strlen(text));
	free(text);
}

/*
 * Handles the control paths, which no fault affects. Returns false for other
 * paths.
 */
static bool handle_control(struct port *port, const struct httpd_request *http)
{
	if (!strcmp(http->path, "/fault") && !strcmp(http->method, "POST"))
		control_fault(port, http);
	else if (!strcmp(http->path, port->fake->settings.observe_path))
		control_observe(port, http);
	else if (!strcmp(http->path, "/healthz"))
		httpd_reply(port->httpd, http->handle, 200, "application/json",
			    NULL, "{}", 2);
	else
		return false;
	return true;
}

static uint64_t call_id(const struct port *port, uint32_t handle)
{
	return ((uint64_t)port->index << 32) | handle;
}

static uint32_t count_connections(const h2o_context_t *context)
{
	const h2o_linklist_t *head = &context->http1._conns;
	uint32_t count = 0;

	for (const h2o_linklist_t *l = head->next; l != head; l = l->next)
		count++;
	return count;
}

static void on_request(void *ctx, const struct httpd_request *http)
{
	struct port *port = ctx;
	struct fake *fake = port->fake;
	h2o_req_t *req = http->internal;
	struct call *call;

	if (handle_control(port, http))
		return;
	if (port->faults.down) {
		drop_request(port, http->handle, req);
		return;
	}
	call = xcalloc(1, sizeof(*call));
	call->fake = fake;
	call->req = req;
	call->connection = req->conn->id;
	call->timer = (struct timer){ .fn = on_delay_end, .ctx = call };
	call->request = (struct fake_request){
		.id = call_id(port, http->handle),
		.port = port->index,
		.connections = count_connections(req->conn->ctx),
		.connection = req->conn->id,
		.http = *http,
	};
	HASH_ADD(hh, fake->calls, request.id, sizeof(uint64_t), call);
	if (call_is_silent(call))
		call_leave_unanswered(call);
	else if (port->faults.slow_ms)
		timer_start(fake->loop, &call->timer, port->faults.slow_ms);
	else if (!port->faults.freeze)
		call_deliver(call);
}

static void on_gone(void *ctx, uint32_t handle)
{
	struct port *port = ctx;
	struct call *call = call_find(port->fake, call_id(port, handle));

	if (call)
		call_free(call);
}

static bool listener_open(struct fake *fake, const char *addr, struct err *err)
{
	struct port *port = xcalloc(1, sizeof(*port));
	struct httpd_settings settings = {
		.addr = addr,
		.max_body = fake->settings.max_body,
		.handler = on_request,
		.gone = on_gone,
		.ctx = port,
	};

	port->fake = fake;
	port->index = fake->port_count;
	port->httpd = httpd_new(fake->loop, &settings, err);
	if (!port->httpd) {
		free(port);
		return false;
	}
	fake->ports = xrealloc(fake->ports,
			       (port->index + 1) * sizeof(struct port *));
	fake->ports[port->index] = port;
	fake->port_count++;
	return true;
}

/* Opens the listeners of @args; returns false and fills @err on failure. */
bool fake_listen(struct fake *fake, const struct fake_listen_args *args,
		 struct err *err)
{
	int count = args->count->count ? args->count->ival[0] : 1;
	char addr[32];

	for (int i = 0; i < args->listen->count; i++) {
		if (!listener_open(fake, args->listen->sval[i], err))
			return false;
	}
	for (int i = 0; args->base_port->count && i < count; i++) {
		snprintf(addr, sizeof(addr), "127.0.0.1:%d",
			 args->base_port->ival[0] + i);
		if (!listener_open(fake, addr, err))
			return false;
	}
	if (!fake->port_count)
		return err_set(err, ERR_BAD_REQUEST,
			       "no --listen and no --base-port");
	return true;
}

/* Returns the number of listeners. */
uint32_t fake_port_count(const struct fake *fake)
{
	return fake->port_count;
}

/* Returns the TCP port of listener @port. */
int fake_port(const struct fake *fake, uint32_t port)
{
	return httpd_port(fake->ports[port]->httpd);
}

/* Prints "ready" and serves until SIGTERM or SIGINT; returns the exit code. */
int fake_run(struct fake *fake)
{
	struct sigaction action = { .sa_handler = on_signal };

	signalled_loop = fake->loop;
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	/* Clients may close connections before the answer is written. */
	signal(SIGPIPE, SIG_IGN);
	puts("ready");
	fflush(stdout);
	loop_run(fake->loop);
	return 0;
}
