# Targets: all, demo, check, bench, model, soak, fuzz, install, clean.

CC = gcc
CXX = g++
PREFIX = /usr/local
PACKAGES = libh2o-evloop msgpack jansson argtable2 libcrypto
CPPFLAGS += -D_GNU_SOURCE -DH2O_USE_LIBUV=0 -Ilib -Icommon -I. \
	$(shell pkg-config --cflags $(PACKAGES))
CFLAGS += -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wshadow \
	-Wstrict-prototypes -Wmissing-prototypes -Wno-sign-compare
CXXFLAGS += -std=gnu++17 -O1 -g -Wall -Wextra
LDLIBS += $(shell pkg-config --libs libh2o-evloop jansson argtable2 libcrypto) \
	-lmsgpackc -lxxhash -lpthread -lm
TEST_LDLIBS = -lrapidcheck -lgtest -lgtest_main $(LDLIBS)

B = build
PACKAGES_DIRS = store instlist catalogue caller minion sched worker peer
LIB_SRC = $(wildcard lib/*.c) $(wildcard lib/cell/*.c)
COMMON_SRC = $(wildcard common/*.c)
DAEMON_SRC = $(wildcard jayspoked/*.c) \
	$(foreach d,$(PACKAGES_DIRS),$(wildcard $(d)/*.c))
TOOL_SRC = $(wildcard jayspoke/*.c)
CELLD_SRC = $(wildcard jaycelld/*.c) $(wildcard platform/*.c)
FAKES = fakestore fakelist fakeworker fakeminion fakeplatform loadgen badclients
FAKE_SRC = $(wildcard fakes/*.c)
BENCH_SRC = $(wildcard bench/*.c)
SOAK_SRC = $(wildcard tests/soak/*.c)
C_SRC = $(LIB_SRC) $(COMMON_SRC) $(DAEMON_SRC) $(CELLD_SRC) $(TOOL_SRC) \
	$(FAKE_SRC) $(BENCH_SRC) $(SOAK_SRC)
HEADERS = $(wildcard */*.h) $(wildcard lib/cell/*.h tests/soak/*.h)
TEST_SRC = $(wildcard tests/*_test.cc)
FUZZ_SRC = $(wildcard fuzz/*_fuzz.c)
FORMATTED = $(C_SRC) $(HEADERS) $(wildcard tests/*.cc tests/*.c fuzz/*.c)

# Objects have their own directory: jayspoke/ and jayspoked/ are also programs.
O = $(B)/obj
OBJ = $(patsubst %.c,$(O)/%.o,$(1))
LIB = $(B)/libjayspoke.a
COMMON = $(B)/libcommon.a
PACKAGES_LIB = $(B)/libpackages.a
CELLD = $(B)/libcelld.a
PROGRAMS = $(if $(wildcard jayspoked/main.c),$(B)/jayspoked) \
	$(if $(wildcard jayspoke/main.c),$(B)/jayspoke) $(B)/jaycelld \
	$(foreach f,$(FAKES),$(if $(wildcard fakes/$(f).c),$(B)/$(f)))
TESTS = $(patsubst tests/%.cc,$(B)/tests/%,$(TEST_SRC)) \
	$(B)/tests/embed_example
BENCHES = $(patsubst bench/%.c,$(B)/bench/%,$(wildcard bench/*_bench.c))

.PHONY: all demo check bench model fuzz install clean format lint unit process \
	sanitize fuzz-short soak soak-short

all: $(PROGRAMS)

$(O)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(call OBJ,$(LIB_SRC))
$(COMMON): $(call OBJ,$(COMMON_SRC))
$(PACKAGES_LIB): $(call OBJ,$(filter-out jayspoked/main.c,$(DAEMON_SRC)))
$(LIB) $(COMMON) $(PACKAGES_LIB):
	@mkdir -p $(@D)
	@rm -f $@
	ar rcs $@ $^

# A simulated cell, for tests and benchmarks.
CELLSIM = $(call OBJ,fakes/cellsim.c)
ARCHIVES = $(CELLSIM) $(CELLD) $(PACKAGES_LIB) $(COMMON) $(LIB)

$(B)/jayspoked: $(O)/jayspoked/main.o $(ARCHIVES)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# Without main.c, for the tests.
$(CELLD): $(call OBJ,$(filter-out jaycelld/main.c,$(CELLD_SRC)))
	@rm -f $@
	ar rcs $@ $^

PEER_LIB = $(call OBJ,peer/link.c peer/frame.c peer/codec.c)
$(B)/jaycelld: $(O)/jaycelld/main.o $(CELLD) $(PEER_LIB) $(COMMON) $(LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# Where the deployment looks for it.
target/jaycelld: $(B)/jaycelld
	cp $< $@.new && mv $@.new $@

$(B)/jayspoke: $(call OBJ,$(TOOL_SRC)) $(COMMON) $(LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS)

FAKE_SHARED = $(call OBJ,$(filter-out $(FAKES:%=fakes/%.c),$(FAKE_SRC)))
$(FAKES:%=$(B)/%): $(B)/%: $(O)/fakes/%.o $(FAKE_SHARED) \
		$(call OBJ,platform/text.c) $(COMMON) $(LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/tests/%: tests/%.cc $(ARCHIVES)
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) $(LDFLAGS) -MMD -MP -MF $@.d -o $@ $< \
		$(ARCHIVES) $(TEST_LDLIBS)

# This test runs the tool, against an HTTP server of its own.
$(B)/tests/tool_test: $(B)/jayspoke

# Linked as a program that embeds the library: no common/, no other library.
$(B)/tests/embed_example: tests/embed_example.c $(LIB) $(wildcard lib/*.h)
	@mkdir -p $(@D)
	$(CC) -Ilib $(CFLAGS) $(LDFLAGS) -o $@ $< $(LIB) -lxxhash -lm

$(B)/soak: $(call OBJ,$(filter-out tests/soak/preload.c,$(SOAK_SRC))) $(COMMON) \
		$(LIB) $(B)/soak-preload.so $(B)/jaycelld $(B)/fakeplatform
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $(filter %.o %.a,$^) $(LDLIBS)

# Preloaded into the daemons of the soak.
$(B)/soak-preload.so: tests/soak/preload.c tests/soak/preload.h
	$(CC) $(CPPFLAGS) $(CFLAGS) -fPIC -shared -o $@ $<

$(B)/bench/%: $(O)/bench/%.o $(ARCHIVES)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS)

-include $(shell find $(B) -name '*.d' 2>/dev/null)

demo: all
	scripts/demo
	scripts/demo-cell

# Stages with real processes run one after the other, so that load of one does not
# disturb the events that another waits for. What only computes runs in parallel.
JOBS ?= $(shell nproc)
check:
	@$(MAKE) --no-print-directory -j$(JOBS) format lint all $(TESTS) $(FUZZERS) $(B)/soak
	@$(MAKE) --no-print-directory unit
	@$(MAKE) --no-print-directory process
	@$(MAKE) --no-print-directory soak-short
	@$(MAKE) --no-print-directory -j$(JOBS) -Otarget model fuzz-short sanitize
	@scripts/summary $(B)

format:
	clang-format --dry-run -Werror $(FORMATTED)

LINT = $(patsubst %.c,$(O)/%.lint,$(C_SRC))
$(O)/%.lint: %.c $(HEADERS) .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- $(CPPFLAGS) -std=gnu11 2>$@.log || \
		{ cat $@.log; exit 1; }
	@touch $@

lint: $(LINT)
	cppcheck --quiet --std=c11 --enable=warning,performance,portability \
		--include=scripts/cppcheck.h --inline-suppr --suppress=missingIncludeSystem \
		--error-exitcode=1 -Ilib -Icommon -I. $(C_SRC)
	$(if $(wildcard man/*.[158]),mandoc -Tlint -Wwarning $(wildcard man/*.[158]))
	scripts/check-symbols $(O)
	scripts/check-events

# RC_PARAMS fixes the seed of the property tests.
unit: $(TESTS)
	@scripts/run-tests $(B) $(TESTS)

process: all
	@scripts/run-process-tests $(B)

# The cases of tests/soak/seeds; `make soak` draws SEEDS new ones.
SEEDS ?= 12
SOAK_S ?= 30
soak-short: $(B)/soak
	@BUILD=$(B) scripts/soak-cases

soak: $(B)/soak
	@BUILD=$(B) scripts/soak $(SOAK_S) $$(od -An -N$$(($(SEEDS) * 3)) -v -w3 \
		-tu1 /dev/urandom | awk '{ print $$1 * 65536 + $$2 * 256 + $$3 }')

model:
	models/run $(B)

bench: all $(BENCHES)
	@for b in $(BENCHES); do $$b || exit 1; done
	@if [ -x scripts/bench-process ]; then scripts/bench-process; fi

FUZZERS = $(patsubst fuzz/%.c,$(B)/fuzz/%,$(FUZZ_SRC))
SAN = -fsanitize=address,undefined -fno-sanitize-recover=undefined
$(B)/fuzz/%: fuzz/%.c $(LIB_SRC) $(COMMON_SRC) $(DAEMON_SRC) $(CELLD_SRC) \
		$(HEADERS)
	@mkdir -p $(@D)
	clang $(CPPFLAGS) -std=gnu11 -g -O1 -fsanitize=fuzzer,address,undefined \
		-o $@ $< $(LIB_SRC) $(COMMON_SRC) \
		$(filter-out jayspoked/main.c jaycelld/main.c,$(DAEMON_SRC) \
		$(CELLD_SRC)) $(LDLIBS)

fuzz-short: $(FUZZERS)
	@scripts/run-fuzzers $(B) short

fuzz: $(FUZZERS) $(TESTS)
	@scripts/run-fuzzers $(B) long

# Unit tests again, with the address and undefined behaviour sanitizers.
sanitize:
	@$(MAKE) --no-print-directory B=$(B)/san CFLAGS="-std=gnu11 -O1 -g $(SAN)" \
		CXXFLAGS="-std=gnu++17 -O1 -g $(SAN)" LDFLAGS="$(SAN)" unit

install: all
	install -d $(DESTDIR)$(PREFIX)/sbin $(DESTDIR)$(PREFIX)/bin \
		$(DESTDIR)$(PREFIX)/lib $(DESTDIR)$(PREFIX)/include/jayspoke \
		$(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man5 \
		$(DESTDIR)$(PREFIX)/share/man/man8
	install $(B)/jayspoked $(B)/jaycelld $(DESTDIR)$(PREFIX)/sbin
	install $(B)/jayspoke $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 644 $(wildcard lib/*.h) $(DESTDIR)$(PREFIX)/include/jayspoke
	for s in 1 5 8; do install -m 644 man/*.$$s \
		$(DESTDIR)$(PREFIX)/share/man/man$$s; done

clean:
	rm -rf $(B)
