/* Parsing of job submissions. */
#ifndef JAYSPOKE_SUBMIT_H
#define JAYSPOKE_SUBMIT_H

#include <jansson.h>

#include "cat.h"
#include "conf.h"
#include "zone.h"

#define SUBMIT_INPUT_MAX 65536 /* bytes of a job's input */

uint64_t submit_unix_ms(void);
bool submit_read(const struct conf *conf, const struct cat *cat,
		 const char *key, json_t *root, struct zone_submission *sub,
		 struct err *err);

#endif
