/*
 * Umbrella header of the installed library: the policy modules, which perform
 * no I/O and take time and randomness as arguments. See docs/embedding.md.
 */
#ifndef JAYSPOKE_JAYSPOKE_H
#define JAYSPOKE_JAYSPOKE_H

#include "err.h"

#include "res.h"

#include "admit.h"
#include "est.h"
#include "place.h"
#include "queue.h"
#include "share.h"

#endif
