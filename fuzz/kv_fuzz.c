/* Fuzzes the decoders of store responses and the instance list. */
#include <stdlib.h>
#include <string.h>

#include "instlist/instlist.h"
#include "store/kv.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	struct err err = { 0 };
	struct kv_list list;
	struct buf value;
	struct inst_list *instances;

	if (!kv_parse(&list, text, size, &err) && (list.items || list.count))
		abort();
	kv_free(&list);
	if (kv_base64(&value, text, size) && value.len > size / 4 * 3)
		abort();
	buf_free(&value);
	instances = instlist_parse(text, size, "howrah-a", &err);
	if (instances)
		shared_unref(instances);
	return 0;
}
