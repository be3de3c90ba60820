/* Settings of the daemon, in a JSON file. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "addr.h"
#include "celld.h"

enum setting_type {
	SETTING_NAME,	  /* text, not empty */
	SETTING_ADDR,	  /* "address:port" */
	SETTING_ADDR_OPT, /* the same, or empty or absent */
	SETTING_UINT,	  /* whole number, 1 to SETTING_NUMBER_MAX */
	SETTING_UINT_OPT, /* the same, or 0 or absent */
	SETTING_FLAG_OPT, /* true or false, or absent: false */
	SETTING_SHARE	  /* number above 0 */
};

#define SETTING_NUMBER_MAX 86400000

struct setting {
	const char *key;
	enum setting_type type;
	size_t offset;
	size_t size;
	bool fixed; /* a change needs a restart */
};

#define SETTING_OF(member, kind, is_fixed)                     \
	{                                                      \
		.key = #member, .type = SETTING_##kind,        \
		.offset = offsetof(struct cd_conf, member),    \
		.size = sizeof(((struct cd_conf *)0)->member), \
		.fixed = (is_fixed),                           \
	}
#define SETTING(member, kind) SETTING_OF(member, kind, false)
#define SETTING_FIXED(member, kind) SETTING_OF(member, kind, true)

static const struct setting settings[] = {
	SETTING_FIXED(name, NAME),
	SETTING_FIXED(az, NAME),
	SETTING_FIXED(region, NAME),
	SETTING_FIXED(listen_callers, ADDR),
	SETTING_FIXED(listen_ready, ADDR),
	SETTING_FIXED(listen_peers, ADDR),
	SETTING_FIXED(peers_address, ADDR_OPT),
	SETTING_FIXED(listen_operators, ADDR),
	SETTING_FIXED(store, ADDR),
	SETTING(advice, ADDR_OPT),
	SETTING(cpu_share, SHARE),
	SETTING(lease_ms, UINT),
	SETTING(hold_max_ms, UINT),
	SETTING(stop_timeout_ms, UINT),
	SETTING(status_s, UINT),
	SETTING(grace_s, UINT),
	SETTING(snapshot_batches, UINT),
	SETTING(revoke_ms, UINT_OPT),
	SETTING_FIXED(memory_mb, UINT_OPT),
	SETTING_FIXED(max_fds, UINT_OPT),
	SETTING_FIXED(callers_connections, UINT_OPT),
	SETTING_FIXED(callers_requests, UINT_OPT),
	SETTING_FIXED(callers_memory_kb, UINT_OPT),
	SETTING_FIXED(probe_connections, UINT_OPT),
	SETTING_FIXED(probe_memory_kb, UINT_OPT),
	SETTING_FIXED(head_max_bytes, UINT_OPT),
	SETTING_FIXED(head_timeout_ms, UINT_OPT),
	SETTING_FIXED(body_timeout_ms, UINT_OPT),
	SETTING_FIXED(response_timeout_ms, UINT_OPT),
	SETTING_FIXED(idle_timeout_ms, UINT_OPT),
	SETTING_FIXED(body_max_values, UINT_OPT),
	SETTING_FIXED(peers_pending, UINT_OPT),
	SETTING_FIXED(peers_handshake_ms, UINT_OPT),
	SETTING_FIXED(store_lookups, UINT_OPT),
	SETTING(learn_run_times, FLAG_OPT),
	SETTING(separate_interfering, FLAG_OPT),
};

#define SETTING_COUNT (sizeof(settings) / sizeof(settings[0]))

static bool is_addr(const char *text)
{
	struct sockaddr_in sin;

	return addr_parse(text, &sin) && sin.sin_port;
}

static bool read_text(void *to, size_t size, const json_t *v)
{
	if (!json_is_string(v) || json_string_length(v) >= size)
		return false;
	memcpy(to, json_string_value(v), json_string_length(v) + 1);
	return true;
}

/* Reads one value. Returns NULL, or a description of the expected value. */
static const char *read_setting(struct cd_conf *conf, const struct setting *s,
				const json_t *v)
{
	char *to = (char *)conf + s->offset;
	json_int_t n;

	switch (s->type) {
	case SETTING_NAME:
		if (!read_text(to, CELL_NAME_MAX, v) || !*to)
			return "a text of 1 to 63 bytes";
		return NULL;
	case SETTING_ADDR_OPT:
		if (!v || (json_is_string(v) && !json_string_length(v)))
			return NULL;
		/* fall through */
	case SETTING_ADDR:
		if (!read_text(to, CELL_ADDR_MAX, v) || !is_addr(to))
			return "\"address:port\"";
		return NULL;
	case SETTING_FLAG_OPT:
		if (v && !json_is_boolean(v))
			return "true or false";
		*(bool *)(void *)to = json_is_true(v);
		return NULL;
	case SETTING_UINT_OPT:
		if (!v || (json_is_integer(v) && !json_integer_value(v)))
			return NULL;
		/* fall through */
	case SETTING_UINT:
		n = json_is_integer(v) ? json_integer_value(v) : 0;
		if (n < 1 || n > SETTING_NUMBER_MAX)
			return "a whole number from 1 to 86400000";
		*(uint32_t *)(void *)to = (uint32_t)n;
		return NULL;
	case SETTING_SHARE:
		if (!json_is_number(v) || !(json_number_value(v) > 0))
			return "a number above 0";
		*(double *)(void *)to = json_number_value(v);
		return NULL;
	}
	return "a value";
}

static bool is_known(const char *key)
{
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		if (!strcmp(settings[i].key, key))
			return true;
	}
	return false;
}

/*
 * Parses settings from JSON @text. On failure, @err is one line with @file, the
 * key and the expected value.
 */
bool conf_parse_text(struct cd_conf *conf, const char *file, const char *text,
		     size_t len, struct err *err)
{
	json_error_t at;
	json_t *body = json_loadb(text, len, JSON_REJECT_DUPLICATES, &at);
	const char *key;
	json_t *value;
	bool ok = false;

	*conf = (struct cd_conf){ 0 };
	if (!body) {
		err_set(err, ERR_BAD_REQUEST, "%s:%d:%d: %s", file, at.line,
			at.column, at.text);
		goto out;
	}
	if (!json_is_object(body)) {
		err_set(err, ERR_BAD_REQUEST, "%s: not an object", file);
		goto out;
	}
	json_object_foreach(body, key, value)
	{
		if (!is_known(key)) {
			err_set(err, ERR_BAD_REQUEST, "%s: %s: unknown key",
				file, key);
			goto out;
		}
	}
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		const struct setting *s = &settings[i];
		const json_t *v = json_object_get(body, s->key);
		const char *expected = read_setting(conf, s, v);

		if (expected) {
			err_set(err, ERR_BAD_REQUEST, "%s: %s: %sexpected %s",
				file, s->key, v ? "" : "missing, ", expected);
			goto out;
		}
	}
	if (conf->lease_ms > conf->hold_max_ms) {
		err_set(err, ERR_BAD_REQUEST,
			"%s: lease_ms: expected at most hold_max_ms (%u)", file,
			conf->hold_max_ms);
		goto out;
	}
	if (!conf->peers_address[0])
		memcpy(conf->peers_address, conf->listen_peers,
		       sizeof(conf->peers_address));
	ok = true;
out:
	json_decref(body);
	return ok;
}

/*
 * Applies the settings of @next that may change at run time, and returns the
 * number of changes. The names of changed settings that need a restart are
 * appended to @fixed, separated by commas.
 */
uint32_t conf_apply(struct cd_conf *conf, const struct cd_conf *next,
		    struct buf *fixed)
{
	uint32_t changed = 0;

	for (size_t i = 0; i < SETTING_COUNT; i++) {
		const struct setting *s = &settings[i];
		char *to = (char *)conf + s->offset;
		const char *from = (const char *)next + s->offset;

		if (!memcmp(to, from, s->size))
			continue;
		if (s->fixed) {
			if (fixed->len)
				buf_append(fixed, ",", 1);
			buf_append(fixed, s->key, strlen(s->key));
			continue;
		}
		memcpy(to, from, s->size);
		changed++;
	}
	return changed;
}

/* Reads the settings from @file. */
bool conf_read(struct cd_conf *conf, const char *file, struct err *err)
{
	char text[16384];
	FILE *in = fopen(file, "r");
	size_t len;

	if (!in)
		return err_set(err, ERR_BAD_REQUEST, "%s: cannot open: %m",
			       file);
	len = fread(text, 1, sizeof(text), in);
	fclose(in);
	if (len == sizeof(text))
		return err_set(err, ERR_BAD_REQUEST,
			       "%s: larger than %zu bytes", file, sizeof(text));
	return conf_parse_text(conf, file, text, len, err);
}
