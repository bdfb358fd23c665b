# turmerichinge: one Makefile for the library, programs, stand-ins, tests and measurements.
#
#   make            build everything
#   make check      format, lint, build, all tests, and all tests again with ASan and UBSan
#   make test       build and run the tests once
#   make demo       run the whole system on loopback and check the outcome
#   make bench      print the measures of the brief from fixed seeds
#   make deps       install the Debian packages that the build needs
#   make install    PREFIX=/usr/local DESTDIR=

PREFIX ?= /usr/local
BUILD ?= build
CC ?= gcc
PKGS := glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-glib-1.0 msgpack libxxhash
DEB_PKGS := gcc make pkg-config clang-format clang-tidy cppcheck libglib2.0-dev libsoup-3.0-dev \
	libjson-glib-dev libhttp-parser-dev libmsgpack-dev libxxhash-dev glib-networking curl

WARN := -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wno-unused-parameter
OPT ?= -O2 -g
SAN ?=
CPPFLAGS += -Ilib -I. -D_GNU_SOURCE
CFLAGS += -std=gnu11 $(OPT) $(WARN) $(SAN) $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LDFLAGS += $(SAN) -Wl,--as-needed
LDLIBS += $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -lm

LIB_SRCS := $(sort $(wildcard lib/*/*.c))
LIB_OBJS := $(LIB_SRCS:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libturmerichinge.a
PROGS := $(patsubst src/%.c,$(BUILD)/bin/%,$(wildcard src/*.c))
PLATFORM_SRCS := $(sort $(wildcard platform/*.c))
PLATFORM := $(BUILD)/bin/turmerichinge-platform
STANDINS := $(patsubst standins/%.c,$(BUILD)/bin/%,$(wildcard standins/*.c))
BENCH_SRCS := $(sort $(wildcard bench/*.c))
BENCH := $(if $(BENCH_SRCS),$(BUILD)/bin/bench)
TESTS := $(patsubst %.c,$(BUILD)/%,$(sort $(wildcard lib/*/tests/test_*.c) $(wildcard tests/test_*.c) $(wildcard platform/tests/test_*.c)))
C_FILES := $(shell git ls-files -co --exclude-standard '*.c' '*.h' 2>/dev/null)

all: $(LIB) $(PROGS) $(PLATFORM) $(STANDINS) $(BENCH) $(TESTS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC   $@"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJS)
	@rm -f $@
	@$(AR) rcs $@ $^

$(BUILD)/bin/%: $(BUILD)/src/%.o $(LIB)
	@mkdir -p $(@D)
	@echo "  LINK $@"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(PLATFORM): $(PLATFORM_SRCS:%.c=$(BUILD)/%.o) $(LIB)
	@mkdir -p $(@D)
	@echo "  LINK $@"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bin/%: $(BUILD)/standins/%.o $(LIB)
	@mkdir -p $(@D)
	@echo "  LINK $@"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bin/standin-engine: $(BUILD)/standins/engine/orders.o

$(BUILD)/bin/bench: $(BENCH_SRCS:%.c=$(BUILD)/%.o) $(LIB)
	@mkdir -p $(@D)
	@echo "  LINK $@"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(filter $(BUILD)/lib/%,$(TESTS)): $(BUILD)/%: $(BUILD)/%.o $(LIB)
	@echo "  LINK $@"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# Tests of the adapter's files.
$(filter $(BUILD)/platform/%,$(TESTS)): $(BUILD)/%: $(BUILD)/%.o $(filter-out %/main.o,$(PLATFORM_SRCS:%.c=$(BUILD)/%.o)) $(LIB)
	@echo "  LINK $@"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# Tests of the instance on the platform, with the stand-in site.
SITE_OBJS := $(patsubst %,$(BUILD)/tests/%.o,site site_case site_store site_replica site_proxy process)
SOAK_OBJS := $(BUILD)/tests/soak.o $(BUILD)/tests/soak_evacuation.o $(BUILD)/tests/soak_restore.o
$(BUILD)/tests/test_site_soak: $(SOAK_OBJS)
$(BUILD)/bin/soak: $(BUILD)/tests/soak_main.o $(SOAK_OBJS)
$(BUILD)/bin/soak: $(SITE_OBJS) $(LIB) $(PLATFORM)
	@echo "  LINK $@"
	@$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)
SITE_TESTS := $(filter $(BUILD)/tests/test_site%,$(TESTS))
$(SITE_TESTS): $(BUILD)/%: $(BUILD)/%.o $(SITE_OBJS) $(LIB) $(PLATFORM)
	@echo "  LINK $@"
	@$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

$(filter-out $(SITE_TESTS),$(filter $(BUILD)/tests/%,$(TESTS))): $(BUILD)/%: $(BUILD)/%.o $(BUILD)/tests/harness.o $(BUILD)/tests/process.o $(LIB)
	@echo "  LINK $@"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

deps:
	apt-get update -qq
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(DEB_PKGS) >/dev/null

have-deps:
	@pkg-config --exists $(PKGS) || $(MAKE) deps

test: all
	@BUILD=$(BUILD) tests/run.sh $(TESTS)

format:
	clang-format -i $(C_FILES)

format-check:
	@clang-format --dry-run --Werror $(C_FILES)

TIDY_FILES := $(filter %.c,$(C_FILES))
lint:
	@printf '%s\n' $(TIDY_FILES) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11 $(shell pkg-config --cflags $(PKGS)) 2>/dev/null' lint
	@cppcheck --quiet -j 8 --error-exitcode=1 --enable=warning,portability --inline-suppr \
		--suppress=missingInclude --suppress=unknownMacro -Ilib \
		$(filter-out tests/%,$(foreach f,$(TIDY_FILES),$(if $(findstring /tests/,$(f)),,$(f))))
	@bench/ablation.sh check

test-sanitize:
	@$(MAKE) --no-print-directory test BUILD=build-asan OPT='-O1 -g' \
		SAN='-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer'

check: have-deps
	@$(MAKE) --no-print-directory format-check
	@$(MAKE) --no-print-directory lint
	@$(MAKE) --no-print-directory test-sanitize
	@$(MAKE) --no-print-directory test

demo: have-deps
	@$(MAKE) --no-print-directory all
	@BUILD=$(BUILD) demo/run.sh

# Randomized fault soak over real processes, by hand: make soak SEED=1 RUNS=50
SEED ?= 1
RUNS ?= 5
soak: have-deps
	@$(MAKE) --no-print-directory $(BUILD)/bin/soak
	@BUILD=$(BUILD) $(BUILD)/bin/soak --seed $(SEED) --runs $(RUNS)

bench: have-deps
	@$(MAKE) --no-print-directory $(BUILD)/bin/bench
	@$(BUILD)/bin/bench

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man8 $(DESTDIR)$(PREFIX)/lib/systemd/system \
		$(DESTDIR)$(PREFIX)/share/turmerichinge $(DESTDIR)$(PREFIX)/share/doc/turmerichinge
	install -m 755 $(PROGS) $(PLATFORM) $(DESTDIR)$(PREFIX)/bin
	install -m 644 packaging/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 packaging/*.8 $(DESTDIR)$(PREFIX)/share/man/man8
	sed 's|/usr/local/bin|$(PREFIX)/bin|' packaging/turmerichinged.service \
		>$(DESTDIR)$(PREFIX)/lib/systemd/system/turmerichinged.service
	install -m 644 docs/*.md $(DESTDIR)$(PREFIX)/share/doc/turmerichinge
	cp -R examples $(DESTDIR)$(PREFIX)/share/turmerichinge

clean:
	rm -rf build build-asan

.PHONY: all deps have-deps test format format-check lint test-sanitize check demo soak bench install clean
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
