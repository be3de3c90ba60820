/* Library macros for cppcheck, which does not read system headers. */
#define HASH_ITER(hh, head, el, tmp) \
	for ((el) = (head), (tmp) = (el); (el); (el) = (tmp))
#define HASH_FIND_STR(head, key, out) ((out) = (head))
#define HASH_FIND(hh, head, key, len, out) ((out) = (head))
#define DL_FOREACH_SAFE(head, el, tmp) \
	for ((el) = (head), (tmp) = (el); (el); (el) = (tmp))
