/*
 * Test double of the platform's instance list: GET /v1/instances with ETag.
 * Changes become visible after a configurable lag, as the real list is
 * eventually consistent.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buf.h"
#include "err.h"
#include "fake.h"

#define LIST_PATH "/v1/instances"
#define BODY_MAX (4U << 20)

/* A change that is not visible yet. */
struct change {
	struct list *list;
	char *id;
	json_t *fields; /* NULL: delete the instance */
	struct timer timer;
};

struct list {
	struct loop *loop;
	struct fake *fake;
	json_t *instances; /* object from id to instance */
	uint64_t version;
	uint32_t lag_ms;
	uint64_t reads;
	uint64_t not_modified;
	uint64_t changes;
};

static json_t *observe(void *ctx)
{
	const struct list *list = ctx;

	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I}", "reads", (json_int_t)list->reads,
		"not_modified", (json_int_t)list->not_modified, "changes",
		(json_int_t)list->changes, "version", (json_int_t)list->version,
		"instances", (json_int_t)json_object_size(list->instances));
}

/* Loads the instances; prints an error and returns false on failure. */
static bool load_file(struct list *list, const char *file)
{
	json_error_t error;
	json_t *array = json_load_file(file, 0, &error);
	size_t i;
	json_t *instance;

	if (!json_is_array(array)) {
		fprintf(stderr, "fakelist: %s: %s\n", file,
			array ? "not an array" : error.text);
		json_decref(array);
		return false;
	}
	json_array_foreach(array, i, instance)
	{
		const char *id =
			json_string_value(json_object_get(instance, "id"));

		if (id)
			json_object_set(list->instances, id, instance);
	}
	json_decref(array);
	return true;
}

static void change_apply(struct list *list, const char *id, json_t *fields)
{
	json_t *instance = json_object_get(list->instances, id);

	list->version++;
	list->changes++;
	if (!fields) {
		json_object_del(list->instances, id);
	} else if (instance) {
		json_object_update(instance, fields);
	} else {
		instance = json_pack("{s:s, s:s}", "id", id, "state", "live");
		json_object_update(instance, fields);
		json_object_set_new(list->instances, id, instance);
	}
}

static void on_change_visible(struct timer *timer)
{
	struct change *change = timer->ctx;

	change_apply(change->list, change->id, change->fields);
	json_decref(change->fields);
	free(change->id);
	free(change);
}

/* Makes a change visible after the lag. Takes the reference to @fields. */
static void change_add(struct list *list, const char *id, json_t *fields)
{
	struct change *change;

	if (!list->lag_ms) {
		change_apply(list, id, fields);
		json_decref(fields);
		return;
	}
	change = xcalloc(1, sizeof(*change));
	change->list = list;
	change->id = buf_str(id).data;
	change->fields = fields;
	change->timer =
		(struct timer){ .fn = on_change_visible, .ctx = change };
	timer_start(list->loop, &change->timer, list->lag_ms);
}

static json_t *instances_json(const struct list *list, const char *az)
{
	json_t *array = json_array();
	const char *id;
	json_t *instance;

	json_object_foreach(list->instances, id, instance)
	{
		const char *instance_az =
			json_string_value(json_object_get(instance, "az"));

		if (!az || (instance_az && !strcmp(instance_az, az)))
			json_array_append(array, instance);
	}
	return array;
}

static void handle_get(struct list *list, const struct fake_request *request)
{
	char etag[32];
	char known[64];
	char header[64];
	char az[80];
	bool has_az = httpd_query(&request->http, "az", az, sizeof(az));

	list->reads++;
	snprintf(etag, sizeof(etag), "\"v%llu\"",
		 (unsigned long long)list->version);
	snprintf(header, sizeof(header), "ETag: %s\r\n", etag);
	if (httpd_header(&request->http, "if-none-match", known,
			 sizeof(known)) &&
	    !strcmp(known, etag)) {
		list->not_modified++;
		fake_answer(list->fake, request->id, 304, header, "", 0);
		return;
	}
	fake_answer_json(list->fake, request->id, 200, header,
			 instances_json(list, has_az ? az : NULL));
}

static void handle_change(struct list *list, const struct fake_request *request,
			  const char *id)
{
	const struct httpd_request *http = &request->http;
	json_t *fields = NULL;

	if (!strcmp(http->method, "PUT")) {
		fields = json_loadb(http->body, http->body_len, 0, NULL);
		if (!json_is_object(fields)) {
			json_decref(fields);
			fake_answer_error(list->fake, request->id, 400,
					  "body is not an object");
			return;
		}
	}
	fake_may_lose_answer(list->fake, request->id);
	change_add(list, id, fields);
	fake_answer_json(list->fake, request->id, 200, NULL, json_object());
}

static void handle(void *ctx, const struct fake_request *request)
{
	struct list *list = ctx;
	const struct httpd_request *http = &request->http;
	size_t len = strlen(LIST_PATH);
	bool known = !strncmp(http->path, LIST_PATH, len);
	bool read = !strcmp(http->method, "GET");
	bool write =
		!strcmp(http->method, "PUT") || !strcmp(http->method, "DELETE");

	if (known && !http->path[len] && read)
		handle_get(list, request);
	else if (known && http->path[len] == '/' && http->path[len + 1] &&
		 write)
		handle_change(list, request, http->path + len + 1);
	else
		fake_answer_error(list->fake, request->id, 404, "no such path");
}

int main(int argc, char **argv)
{
	struct fake_listen_args args = fake_listen_args();
	struct arg_str *file = arg_str0(NULL, "file", "FILE",
					"JSON array of the first instances");
	struct arg_int *lag =
		arg_int0(NULL, "lag-ms", "MS", "delay of changes (0)");
	void *table[] = { args.listen, args.base_port, args.count, file,
			  lag,	       arg_end(8) };
	struct list list = {
		.loop = loop_new(),
		.instances = json_object(),
		.version = 1,
	};
	struct fake_settings settings = {
		.program = "fakelist",
		.observe_path = "/observe",
		.max_body = BODY_MAX,
		.handler = handle,
		.observe = observe,
		.ctx = &list,
	};
	struct err err = { 0 };

	fake_parse_args(argc, argv, table);
	list.lag_ms = lag->count ? (uint32_t)lag->ival[0] : 0;
	if (file->count && !load_file(&list, file->sval[0]))
		return 1;
	list.fake = fake_new(list.loop, &settings);
	if (!fake_listen(list.fake, &args, &err)) {
		fprintf(stderr, "fakelist: %s\n", err.text);
		return 1;
	}
	return fake_run(list.fake);
}
