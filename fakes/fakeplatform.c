/*
 * Test double of the platform in one process. The first and the third port
 * serve the store, the second the advice service, and each further one a
 * minion.
 */
#include <stdio.h>
#include <string.h>

#include "err.h"
#include "platform.h"

#define BODY_MAX (8U << 20)
#define STORE_PORT 0
#define ADVICE_PORT 1
/* Second port of the store: a fault on it cuts off single daemons only. */
#define STORE_PORT_2 2
#define FIRST_MINION_PORT 3

struct platform {
	struct loop *loop;
	struct fake *fake;
	struct platform_kv *kv;
	struct platform_minions *minions;
};

/* POST /platform on the store's port: injects faults of store and minions. */
static void handle_fault(struct platform *p, const struct fake_request *request)
{
	json_t *change =
		json_loadb(request->http.body, request->http.body_len, 0, NULL);
	bool known = platform_kv_fault(p->kv, change) ||
		     platform_minions_fault(p->minions, change);

	json_decref(change);
	if (known)
		fake_answer_json(p->fake, request->id, 200, NULL,
				 json_object());
	else
		fake_answer_error(p->fake, request->id, 400, "unknown fault");
}

static void handle(void *ctx, const struct fake_request *request)
{
	struct platform *p = ctx;

	if (request->port == STORE_PORT &&
	    !strcmp(request->http.path, "/platform"))
		handle_fault(p, request);
	else if (request->port == STORE_PORT &&
		 !strcmp(request->http.path, "/holder"))
		platform_kv_holder(p->kv, request);
	else if (request->port == STORE_PORT || request->port == STORE_PORT_2)
		platform_kv_handle(p->kv, request);
	else if (request->port == ADVICE_PORT)
		platform_advise(p->minions, request);
	else
		platform_minions_handle(p->minions, request);
}

static json_t *observe(void *ctx)
{
	const struct platform *p = ctx;

	return json_pack("{s:o,s:o}", "store", platform_kv_observe(p->kv),
			 "minions", platform_minions_observe(p->minions));
}

int main(int argc, char **argv)
{
	struct fake_listen_args args = fake_listen_args();
	struct arg_int *advertised_base_port =
		arg_int0(NULL, "public-base", "PORT",
			 "first port that minions register, if behind a proxy");
	void *table[] = { args.listen, args.base_port, args.count,
			  advertised_base_port, arg_end(8) };
	struct platform p = { .loop = loop_new() };
	struct fake_settings settings = {
		.program = "fakeplatform",
		.observe_path = "/stats",
		.max_body = BODY_MAX,
		.handler = handle,
		.observe = observe,
		.ctx = &p,
	};
	struct err err = { 0 };

	fake_parse_args(argc, argv, table);
	p.kv = platform_kv_new(p.loop);
	p.minions = platform_minions_new(p.loop, p.kv);
	p.fake = fake_new(p.loop, &settings);
	if (!fake_listen(p.fake, &args, &err)) {
		fprintf(stderr, "fakeplatform: %s\n", err.text);
		return 1;
	}
	if (fake_port_count(p.fake) <= FIRST_MINION_PORT) {
		fputs("fakeplatform: needs at least four ports\n", stderr);
		return 1;
	}
	platform_kv_open(p.kv, p.fake);
	platform_minions_open(p.minions, p.fake, FIRST_MINION_PORT,
			      advertised_base_port->count
				      ? (uint32_t)advertised_base_port->ival[0]
				      : 0);
	return fake_run(p.fake);
}
