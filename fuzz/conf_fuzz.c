#include <stddef.h>
#include <stdint.h>

#include "conf.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Fuzzes the settings parser. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct conf conf;
	struct err err;

	conf_parse(&conf, "fuzz", (const char *)data, size, &err);
	return 0;
}
