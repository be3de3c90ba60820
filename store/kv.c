#include "kv.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

static int base64_digit(char c)
{
	if (c >= 'A' && c <= 'Z')
		return c - 'A';
	if (c >= 'a' && c <= 'z')
		return c - 'a' + 26;
	if (c >= '0' && c <= '9')
		return c - '0' + 52;
	if (c == '+')
		return 62;
	return c == '/' ? 63 : -1;
}

/*
 * Decodes padded base64 (RFC 4648, section 4) into @out, whose old content is
 * not released. Returns false, with @out empty, if the text is malformed or
 * decodes to more than KV_VALUE_MAX bytes.
 */
bool kv_base64(struct buf *out, const char *text, size_t len)
{
	size_t pad = 0;
	char *to;

	*out = (struct buf){ 0 };
	if (len % 4 || len / 4 > KV_VALUE_MAX / 3 + 1)
		return false;
	if (!len)
		return true;
	pad = (text[len - 1] == '=') +
	      (text[len - 1] == '=' && text[len - 2] == '=');
	to = out->data = xcalloc(1, len / 4 * 3 + 1);
	for (size_t i = 0; i < len; i += 4) {
		uint32_t group = 0;

		for (size_t k = 0; k < 4; k++) {
			int digit = i + k < len - pad
					    ? base64_digit(text[i + k])
					    : 0;

			if (digit < 0)
				goto fail;
			group = group << 6 | (uint32_t)digit;
		}
		*to++ = (char)(group >> 16);
		*to++ = (char)(group >> 8);
		*to++ = (char)group;
	}
	out->len = len / 4 * 3 - pad;
	out->data[out->len] = '\0';
	if (out->len <= KV_VALUE_MAX)
		return true;
fail:
	buf_free(out);
	return false;
}

static bool item_parse(struct kv_item *item, const json_t *object)
{
	const json_t *key = json_object_get(object, "Key");
	const json_t *value = json_object_get(object, "Value");
	const json_t *index = json_object_get(object, "ModifyIndex");

	if (!json_is_string(key) || !json_is_integer(index) ||
	    json_integer_value(index) <= 0)
		return false;
	/* The value of an empty key is null. */
	if (!value || (!json_is_null(value) && !json_is_string(value)))
		return false;
	if (!kv_base64(&item->value, json_string_value(value),
		       json_string_length(value)))
		return false;
	item->key = buf_str(json_string_value(key)).data;
	item->index = (uint64_t)json_integer_value(index);
	return true;
}

/*
 * Decodes the JSON array of a GET into @list, to be released with kv_free().
 * Returns false with @err filled and @list empty if any part is malformed or a
 * value exceeds KV_VALUE_MAX.
 */
bool kv_parse(struct kv_list *list, const char *json, size_t len,
	      struct err *err)
{
	json_error_t jerr;
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &jerr);
	size_t count = json_array_size(root);

	*list = (struct kv_list){ 0 };
	if (!json_is_array(root)) {
		json_decref(root);
		return err_set(err, ERR_BAD_REQUEST,
			       "store: response is not a JSON array");
	}
	list->items = xcalloc(count, sizeof(*list->items));
	for (size_t i = 0; i < count; i++) {
		list->count++;
		if (item_parse(&list->items[i], json_array_get(root, i)))
			continue;
		err_set(err, ERR_BAD_REQUEST,
			"store: malformed item %zu in response", i);
		kv_free(list);
		json_decref(root);
		return false;
	}
	json_decref(root);
	return true;
}

/* Releases the items; @list is empty afterwards. */
void kv_free(struct kv_list *list)
{
	for (uint32_t i = 0; i < list->count; i++) {
		free(list->items[i].key);
		buf_free(&list->items[i].value);
	}
	free(list->items);
	*list = (struct kv_list){ 0 };
}

/*
 * Returns the URL path of @key, percent-encoded except for slashes, to be
 * released with buf_free().
 */
struct buf kv_path(const char *key)
{
	static const char plain[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "abcdefghijklmnopqrstuvwxyz"
				    "0123456789-._~/";
	struct buf path = buf_str("/v1/kv/");

	for (; *key; key++) {
		char code[4] = { *key };
		size_t n = 1;

		if (!strchr(plain, *key)) {
			static const char hex[] = "0123456789ABCDEF";

			code[0] = '%';
			code[1] = hex[(unsigned char)*key >> 4];
			code[2] = hex[(unsigned char)*key & 15];
			n = 3;
		}
		buf_append(&path, code, n);
	}
	return path;
}
