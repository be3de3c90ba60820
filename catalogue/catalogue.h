/* Shared object of MSG_CAT_CHANGED: a catalogue of one revision. */
#ifndef JAYSPOKE_CATALOGUE_H
#define JAYSPOKE_CATALOGUE_H

#include "cat.h"
#include "msg.h"

struct cat_obj {
	struct shared shared;
	struct cat *cat; /* immutable */
};

struct cat_obj *catalogue_obj(const struct cat *cat);

#endif
