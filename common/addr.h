/* IPv4 socket addresses in the text form "address:port". */
#ifndef JAYSPOKE_ADDR_H
#define JAYSPOKE_ADDR_H

#include <stdbool.h>

#include <netinet/in.h>

#include "err.h"

#ifdef __cplusplus
extern "C" {
#endif

bool addr_parse(const char *addr, struct sockaddr_in *sin);
int addr_listen(const char *addr, int backlog, struct err *err);

#ifdef __cplusplus
}
#endif

#endif
