#include "conf.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <syslog.h>
#include <unistd.h>

#include <jansson.h>

#include "buf.h"

#define CONF_FILE_MAX (1U << 20) /* bytes */
#define CONF_PATH_MAX 160

/* Parser state: the file, and the path of the current key for errors. */
struct reader {
	const char *file;
	char path[CONF_PATH_MAX];
	struct conf *conf;
	struct err *err;
};

struct field;

typedef bool (*field_reader)(struct reader *r, const struct field *f,
			     json_t *value, void *dst);

/*
 * A key of a JSON object. min and max bound a number, the port of an address or
 * the size of a string in bytes.
 */
struct field {
	const char *key;
	field_reader read;
	size_t offset; /* of the value in the destination structure */
	uint32_t min;
	uint32_t max;
	bool optional;
};

static bool expected(struct reader *r, const char *what)
{
	return err_set(r->err, ERR_BAD_REQUEST, "%s: %s: expected %s", r->file,
		       r->path, what);
}

/* Appends @key to the path and returns the old length, for path_pop(). */
static size_t path_push(struct reader *r, const char *key)
{
	size_t len = strlen(r->path);

	snprintf(r->path + len, sizeof(r->path) - len, "%s%s", len ? "." : "",
		 key);
	return len;
}

static void path_pop(struct reader *r, size_t len)
{
	r->path[len] = '\0';
}

static const struct field *field_find(const struct field *fields, size_t n,
				      const char *key)
{
	for (size_t i = 0; i < n; i++) {
		if (!strcmp(fields[i].key, key))
			return &fields[i];
	}
	return NULL;
}

/*
 * Reads an object into the structure at @base. A key that is not in @fields is
 * an error.
 */
static bool read_object(struct reader *r, json_t *object,
			const struct field *fields, size_t n, void *base)
{
	const char *key;
	json_t *value;

	if (!json_is_object(object))
		return expected(r, "an object");
	for (size_t i = 0; i < n; i++) {
		if (!fields[i].optional &&
		    !json_object_get(object, fields[i].key)) {
			path_push(r, fields[i].key);
			return expected(r, "a value, the key is missing");
		}
	}
	json_object_foreach(object, key, value)
	{
		const struct field *f = field_find(fields, n, key);
		size_t len = path_push(r, key);

		if (!f)
			return expected(r, "a known key");
		if (!f->read(r, f, value, (char *)base + f->offset))
			return false;
		path_pop(r, len);
	}
	return true;
}

static bool is_name(const char *s, size_t max, const char *punctuation)
{
	size_t len = strlen(s);

	if (!len || len >= max)
		return false;
	for (size_t i = 0; i < len; i++) {
		bool alnum = (s[i] >= 'a' && s[i] <= 'z') ||
			     (s[i] >= 'A' && s[i] <= 'Z') ||
			     (s[i] >= '0' && s[i] <= '9');

		if (!alnum && !strchr(punctuation, s[i]))
			return false;
	}
	return true;
}

static bool read_id(struct reader *r, const struct field *f, json_t *value,
		    void *dst)
{
	const char *s = json_string_value(value);

	if (!s || !is_name(s, f->max, "._-"))
		return expected(r, "a name of 1 to 79 characters A-Za-z0-9._-");
	memcpy(dst, s, strlen(s) + 1);
	return true;
}

/* Zone names contain no dots: dots separate the parts of issued keys. */
static bool read_az(struct reader *r, const struct field *f, json_t *value,
		    void *dst)
{
	const char *s = json_string_value(value);

	if (!s || !is_name(s, f->max, "_-"))
		return expected(r, "a zone name of 1 to 79 characters "
				   "A-Za-z0-9_-");
	memcpy(dst, s, strlen(s) + 1);
	return true;
}

static bool is_addr(const char *s, uint32_t min_port)
{
	char host[MSG_ADDR_MAX];
	const char *colon = strrchr(s, ':');
	struct in_addr in;
	unsigned long port;
	char *end;

	if (!colon || strlen(s) >= MSG_ADDR_MAX || colon[1] < '0' ||
	    colon[1] > '9')
		return false;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - s), s);
	port = strtoul(colon + 1, &end, 10);
	return !*end && port >= min_port && port <= 65535 &&
	       inet_pton(AF_INET, host, &in) == 1;
}

/* Reads "address:port". min is the lowest port, 0 to listen on a free one. */
static bool read_addr(struct reader *r, const struct field *f, json_t *value,
		      void *dst)
{
	const char *s = json_string_value(value);

	if (!s || !is_addr(s, f->min))
		return expected(r, f->min ? "\"address:port\" with an IPv4 "
					    "address and a port from 1 to 65535"
					  : "\"address:port\" with an IPv4 "
					    "address and a port from 0 to "
					    "65535");
	memcpy(dst, s, strlen(s) + 1);
	return true;
}

static bool read_ms(struct reader *r, const struct field *f, json_t *value,
		    void *dst)
{
	char what[80];
	json_int_t n = json_integer_value(value);

	if (json_is_integer(value) && n >= f->min && n <= f->max) {
		*(uint32_t *)dst = (uint32_t)n;
		return true;
	}
	snprintf(what, sizeof(what),
		 "a whole number of milliseconds from %u to %u", f->min,
		 f->max);
	return expected(r, what);
}

static bool read_log_level(struct reader *r, const struct field *f,
			   json_t *value, void *dst)
{
	static const struct {
		const char *name;
		int priority;
	} levels[] = {
		{ "error", LOG_ERR },
		{ "warning", LOG_WARNING },
		{ "info", LOG_INFO },
		{ "debug", LOG_DEBUG },
	};
	const char *s = json_string_value(value);

	(void)f;
	for (size_t i = 0; s && i < sizeof(levels) / sizeof(*levels); i++) {
		if (!strcmp(s, levels[i].name)) {
			*(int *)dst = levels[i].priority;
			return true;
		}
	}
	return expected(r, "one of error, warning, info, debug");
}

#define LISTEN(name)                                                         \
	{                                                                    \
		.key = #name, .read = read_addr,                             \
		.offset = offsetof(struct conf, listen_##name), .max = 65535 \
	}

static const struct field listen_fields[] = {
	LISTEN(callers),
	LISTEN(operators),
	LISTEN(peers),
};

static bool read_listen(struct reader *r, const struct field *f, json_t *value,
			void *dst)
{
	(void)f;
	return read_object(r, value, listen_fields,
			   sizeof(listen_fields) / sizeof(*listen_fields), dst);
}

#define TIMING(name, low, high)                                      \
	{                                                            \
		.key = #name, .read = read_ms,                       \
		.offset = offsetof(struct conf, name), .min = (low), \
		.max = (high), .optional = true                      \
	}

static const struct field timing_fields[] = {
	TIMING(drain_lag_ms, 0, 60000),
	TIMING(claim_ttl_ms, 100, 60000),
	TIMING(claim_renew_ms, 20, 20000),
	TIMING(batch_interval_ms, 1, 5000),
	TIMING(start_lease_ms, 50, 60000),
	TIMING(worker_sync_min_ms, 50, 60000),
	TIMING(worker_sync_max_ms, 50, 300000),
	TIMING(heartbeat_ms, 20, 60000),
	TIMING(far_heartbeat_ms, 20, 60000),
	TIMING(grant_term_ms, 50, 60000),
	TIMING(store_timeout_ms, 20, 60000),
	TIMING(instances_poll_ms, 20, 60000),
};

static bool read_timings(struct reader *r, const struct field *f, json_t *value,
			 void *dst)
{
	(void)f;
	return read_object(r, value, timing_fields,
			   sizeof(timing_fields) / sizeof(*timing_fields), dst);
}

static bool read_zones(struct reader *r, const struct field *f, json_t *value,
		       void *dst)
{
	static const struct field name = { .max = MSG_NAME_MAX };
	const char *az;
	json_t *region;

	(void)f;
	(void)dst;
	if (!json_is_object(value) || !json_object_size(value) ||
	    json_object_size(value) > CONF_ZONES_MAX)
		return expected(r, "an object of 1 to 64 zones");
	json_object_foreach(value, az, region)
	{
		struct conf_zone *zone = &r->conf->zones[r->conf->zone_count++];
		size_t len = path_push(r, az);

		if (!is_name(az, MSG_NAME_MAX, "_-"))
			return expected(r, "a zone name of 1 to 79 characters "
					   "A-Za-z0-9_-");
		memcpy(zone->az, az, strlen(az) + 1);
		if (!read_id(r, &name, region, zone->region))
			return false;
		path_pop(r, len);
	}
	return true;
}

static const struct field peer_fields[] = {
	{ .key = "id",
	  .read = read_id,
	  .offset = offsetof(struct conf_peer, id),
	  .max = MSG_NAME_MAX },
	{ .key = "az",
	  .read = read_az,
	  .offset = offsetof(struct conf_peer, az),
	  .max = MSG_NAME_MAX },
	{ .key = "addr",
	  .read = read_addr,
	  .offset = offsetof(struct conf_peer, addr),
	  .min = 1,
	  .max = 65535 },
};

static bool read_peers(struct reader *r, const struct field *f, json_t *value,
		       void *dst)
{
	(void)f;
	(void)dst;
	if (!json_is_array(value) || json_array_size(value) > CONF_PEERS_MAX)
		return expected(r, "an array of at most 128 peers");
	for (size_t i = 0; i < json_array_size(value); i++) {
		char index[24];
		size_t len;

		snprintf(index, sizeof(index), "%zu", i);
		len = path_push(r, index);
		if (!read_object(r, json_array_get(value, i), peer_fields,
				 sizeof(peer_fields) / sizeof(*peer_fields),
				 &r->conf->peers[i]))
			return false;
		path_pop(r, len);
		r->conf->peer_count++;
	}
	return true;
}

/*
 * Reads a regular file of at most @max bytes. Returns NULL, or the text of an
 * error, which the caller does not free.
 */
static const char *read_file(const char *path, size_t max, struct buf *out)
{
	const char *error = NULL;
	char chunk[4096];
	struct stat st;
	ssize_t n;
	int fd = open(path, O_RDONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);

	if (fd < 0)
		return strerror(errno);
	if (fstat(fd, &st) || !S_ISREG(st.st_mode)) {
		error = "not a regular file";
		goto out;
	}
	while ((n = read(fd, chunk, sizeof(chunk))) > 0) {
		buf_append(out, chunk, (size_t)n);
		if (out->len > max) {
			error = "file too large";
			goto out;
		}
	}
	if (n < 0)
		error = strerror(errno);
out:
	close(fd);
	return error;
}

/*
 * Reads the shared key and strips trailing whitespace. The key is also the
 * bearer token of operators, so only printable characters are allowed.
 */
static bool read_key_file(struct reader *r, const struct field *f,
			  json_t *value, void *dst)
{
	const char *path = json_string_value(value);
	struct buf key = { 0 };
	const char *error;
	bool ok = false;

	(void)dst;
	if (!path || !*path)
		return expected(r, "the path of a file");
	error = read_file(path, 4096, &key);
	if (error) {
		err_set(r->err, ERR_BAD_REQUEST,
			"%s: %s: expected a readable key file, %s: %s", r->file,
			r->path, path, error);
		goto out;
	}
	while (key.len && strchr(" \t\r\n", key.data[key.len - 1]))
		key.len--;
	ok = key.len >= f->min && key.len <= f->max;
	for (size_t i = 0; ok && i < key.len; i++)
		ok = key.data[i] > ' ' && key.data[i] < 127;
	if (ok) {
		memcpy(r->conf->key, key.data, key.len);
		r->conf->key_len = (uint32_t)key.len;
	} else {
		err_set(r->err, ERR_BAD_REQUEST,
			"%s: %s: expected a key of 1 to 256 printable "
			"characters in %s",
			r->file, r->path, path);
	}
out:
	buf_free(&key);
	return ok;
}

#define SETTING(name, reader, low, high)                             \
	{                                                            \
		.key = #name, .read = (reader),                      \
		.offset = offsetof(struct conf, name), .min = (low), \
		.max = (high)                                        \
	}

static const struct field conf_fields[] = {
	SETTING(id, read_id, 1, MSG_NAME_MAX),
	SETTING(az, read_az, 1, MSG_NAME_MAX),
	SETTING(store, read_addr, 1, 65535),
	SETTING(instances, read_addr, 1, 65535),
	{ .key = "listen", .read = read_listen },
	{ .key = "key_file",
	  .read = read_key_file,
	  .min = 1,
	  .max = CONF_KEY_MAX },
	{ .key = "zones", .read = read_zones },
	{ .key = "peers", .read = read_peers, .optional = true },
	{ .key = "log_level",
	  .read = read_log_level,
	  .offset = offsetof(struct conf, log_priority),
	  .optional = true },
	{ .key = "timings", .read = read_timings, .optional = true },
};

static const struct conf conf_defaults = {
	.log_priority = LOG_INFO,
	.drain_lag_ms = 2000,
	.claim_ttl_ms = 3000,
	.claim_renew_ms = 1000,
	.batch_interval_ms = 100,
	.start_lease_ms = 2000,
	.worker_sync_min_ms = 3000,
	.worker_sync_max_ms = 15000,
	.heartbeat_ms = 1000,
	.far_heartbeat_ms = 4000,
	.grant_term_ms = 3000,
	.store_timeout_ms = 2000,
	.instances_poll_ms = 1000,
};

static const char *find_region(const struct conf *conf, const char *az)
{
	for (uint32_t i = 0; i < conf->zone_count; i++) {
		if (!strcmp(conf->zones[i].az, az))
			return conf->zones[i].region;
	}
	return NULL;
}

static bool error_at(struct reader *r, const char *path, const char *what)
{
	snprintf(r->path, sizeof(r->path), "%s", path);
	return expected(r, what);
}

/* Checks constraints between keys, and sets the region of the daemon's zone. */
static bool check_constraints(struct reader *r)
{
	struct conf *conf = r->conf;
	const char *region = find_region(conf, conf->az);

	if (!region)
		return error_at(r, "az", "one of the zones");
	memcpy(conf->region, region, sizeof(conf->region));
	for (uint32_t i = 0; i < conf->peer_count; i++) {
		char path[32];

		snprintf(path, sizeof(path), "peers.%u.az", i);
		if (!find_region(conf, conf->peers[i].az))
			return error_at(r, path, "one of the zones");
		snprintf(path, sizeof(path), "peers.%u.id", i);
		for (uint32_t j = 0; j < i; j++) {
			if (!strcmp(conf->peers[i].id, conf->peers[j].id))
				return error_at(r, path, "a distinct id");
		}
	}
	if (conf->claim_renew_ms * 2 > conf->claim_ttl_ms)
		return error_at(r, "timings.claim_renew_ms",
				"at most half of claim_ttl_ms");
	if (conf->worker_sync_min_ms > conf->worker_sync_max_ms)
		return error_at(r, "timings.worker_sync_min_ms",
				"at most worker_sync_max_ms");
	return true;
}

/* Replaces control characters from the file, so that an error is one line. */
static void blank_control_chars(struct err *err)
{
	for (char *p = err ? err->text : NULL; p && *p; p++) {
		if ((unsigned char)*p < ' ' || *p == 127)
			*p = ' ';
	}
}

/*
 * Parses settings from @text, and reads the key file that they name. @file is
 * used in error messages only. Returns false with @err set if a key is unknown,
 * duplicate or missing, or if its value has the wrong type or is out of range.
 */
bool conf_parse(struct conf *conf, const char *file, const char *text,
		size_t len, struct err *err)
{
	struct reader r = { .file = file, .conf = conf, .err = err };
	json_error_t json_err;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_err);
	bool ok;

	*conf = conf_defaults;
	if (!root) {
		err_set(err, ERR_BAD_REQUEST,
			"%s: line %d column %d: expected a JSON object: %s",
			file, json_err.line, json_err.column, json_err.text);
		blank_control_chars(err);
		return false;
	}
	if (json_is_object(root))
		ok = read_object(&r, root, conf_fields,
				 sizeof(conf_fields) / sizeof(*conf_fields),
				 conf);
	else
		ok = err_set(err, ERR_BAD_REQUEST, "%s: expected a JSON object",
			     file);
	ok = ok && check_constraints(&r);
	if (!ok)
		blank_control_chars(err);
	json_decref(root);
	return ok;
}

/*
 * Reads settings from @file, at most 1 MB. Returns false with @err set if the
 * file cannot be read, or on an error of conf_parse().
 */
bool conf_load(struct conf *conf, const char *file, struct err *err)
{
	struct buf text = { 0 };
	const char *error = read_file(file, CONF_FILE_MAX, &text);
	bool ok = false;

	if (error)
		err_set(err, ERR_NOT_FOUND,
			"%s: expected a readable settings file: %s", file,
			error);
	else
		ok = conf_parse(conf, file, text.data ? text.data : "",
				text.len, err);
	buf_free(&text);
	return ok;
}
