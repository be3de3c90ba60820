/* Parsing of the instance list of the platform. */
#ifndef JAYSPOKE_INSTLIST_H
#define JAYSPOKE_INSTLIST_H

#include "msg.h"

#define INSTLIST_MAX 4096 /* instances of a zone */
#define INSTLIST_BYTES_MAX (4U << 20)

struct inst_list *instlist_parse(const char *json, size_t len, const char *az,
				 struct err *err);

#endif
