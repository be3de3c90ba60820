#include <stdio.h>
#include <stdlib.h>

#include "jayspoke.h"

static void print_value(const char *prefix, const char *key, json_t *value)
{
	char *text;

	if (json_is_object(value)) {
		char inner[160];
		const char *name;
		json_t *item;

		snprintf(inner, sizeof(inner), "%s%s.", prefix, key);
		json_object_foreach(value, name, item)
		{
			print_value(inner, name, item);
		}
		return;
	}
	if (json_is_string(value)) {
		printf("%s%s: %s\n", prefix, key, json_string_value(value));
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	printf("%s%s: %s\n", prefix, key, text ? text : "?");
	free(text);
}

/* Prints @json on one line, or indented if @pretty. */
void print_json(const json_t *json, bool pretty)
{
	char *text =
		json_dumps(json, JSON_ENCODE_ANY | (pretty ? JSON_INDENT(2)
							   : JSON_COMPACT));

	if (text)
		puts(text);
	free(text);
}

/* Prints an answer as JSON, or one field per line; a non-JSON body as it is. */
void print_answer(const struct options *options, const struct answer *answer)
{
	const char *key;
	json_t *value;

	if (!answer->json) {
		fwrite(answer->body.data, 1, answer->body.len, stdout);
		return;
	}
	if (options->json) {
		print_json(answer->json, false);
		return;
	}
	json_object_foreach(answer->json, key, value)
	{
		print_value("", key, value);
	}
}
