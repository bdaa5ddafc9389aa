# Targets:
#   all      build the binary and the stand-ins
#   test     run the tests (also test-asan: under ASan and UBSan)
#   check    install packages, build, test twice, format, lint, fuzz
#   demo     install packages, build, run scripts/demo
#   fuzz     a longer stateful run: make fuzz SEED=7 RUNS=2000
#   prove    take out each promise's mechanism and see a test fail (slow)
#   soak     seeded faults on real processes: make soak SEED=7 RUNS=10
#   bench    measurements of one deployment: make bench SITE=hanbit

CC = gcc
CXX = g++
CONFIG ?= release
B = build/$(CONFIG)
PKGS = apr-1 libzmq glib-2.0 libcyaml libmicrohttpd libcurl jansson yajl \
	libpq libsodium libxxhash
WARN = -Wall -Wextra -Werror -Wno-unused-parameter
SAN_asan = -fsanitize=address,undefined -fno-sanitize-recover=undefined
OPT_release = -O2 -g
OPT_asan = -O1 -g -fno-omit-frame-pointer
BASE_FLAGS = $(OPT_$(CONFIG)) $(SAN_$(CONFIG)) $(WARN) -Isrc -Istandin -Ibench \
	-D_GNU_SOURCE -MMD -MP
# Without pkg-config (fresh machine) the lists are empty until `deps` ran.
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
PKG_LIBS = $(shell pkg-config --libs $(PKGS)) -lmsgpackc -lm
CFLAGS = -std=gnu11 $(BASE_FLAGS) $(PKG_CFLAGS)
CXXFLAGS = -std=gnu++17 $(BASE_FLAGS) $(PKG_CFLAGS)
LDFLAGS = $(SAN_$(CONFIG))

SRCS = $(filter-out src/main.c,$(wildcard src/*/*.c)) $(wildcard platform/*.c)
OBJS = $(SRCS:%.c=$(B)/%.o)
COMMON_OBJS = $(patsubst %.c,$(B)/%.o,$(wildcard standin/common/*.c))
ENDPOINT_OBJS = $(patsubst %.c,$(B)/%.o,$(wildcard standin/endpoint/*.c))
PLATFORM_OBJS = $(patsubst %.c,$(B)/%.o,$(wildcard standin/platform/*.c))
TEST_OBJS = $(patsubst %.cc,$(B)/%.o,$(wildcard tests/*.cc))
BENCH_OBJS = $(patsubst %.c,$(B)/%.o,$(wildcard bench/*.c))
SOAK_OBJS = $(patsubst %.cc,$(B)/%.o,$(wildcard soak/*.cc))
SEED ?= 1
RUNS ?= 1
BINS = $(if $(wildcard src/main.c),$(B)/zinnialine) \
	$(if $(ENDPOINT_OBJS),$(B)/standin-endpoint) \
	$(if $(PLATFORM_OBJS),$(B)/standin-platform) \
	$(if $(BENCH_OBJS),$(B)/bench-load)
C_FILES = $(wildcard src/*.c src/*/*.c platform/*.c standin/*/*.c bench/*.c fuzz/*.c)
CC_FILES = $(wildcard tests/*.cc soak/*.cc)
H_FILES = $(wildcard src/*/*.h platform/*.h standin/*/*.h tests/*.h bench/*.h soak/*.h)

all: $(BINS)

$(B)/libzinnialine.a: $(OBJS)
	@rm -f $@
	@ar rcs $@ $(OBJS)

$(B)/zinnialine: $(B)/src/main.o $(B)/libzinnialine.a
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(B)/standin-endpoint: $(ENDPOINT_OBJS) $(COMMON_OBJS) $(B)/libzinnialine.a
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(B)/standin-platform: $(PLATFORM_OBJS) $(COMMON_OBJS)
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(B)/bench-load: $(BENCH_OBJS) $(B)/libzinnialine.a
	@$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(B)/soak/run: $(SOAK_OBJS)
	@$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS) -lpthread

$(B)/tests/run: $(TEST_OBJS) $(B)/libzinnialine.a $(BINS)
	@$(CXX) $(LDFLAGS) -o $@ $(TEST_OBJS) $(B)/libzinnialine.a \
		$(PKG_LIBS) -lrapidcheck -lgtest -lgmock -lpthread

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $(CONFIG) $<"
	@$(CC) $(CFLAGS) -c -o $@ $<

$(B)/%.o: %.cc
	@mkdir -p $(@D)
	@echo "  CXX $(CONFIG) $<"
	@$(CXX) $(CXXFLAGS) -c -o $@ $<

deps:
	@scripts/install-packages

test: all $(B)/tests/run
	@BIN_DIR=$(B) scripts/run-tests $(B)/tests/run

test-asan:
	@$(MAKE) --no-print-directory CONFIG=asan test

format:
	@clang-format-14 -i $(C_FILES) $(CC_FILES) $(H_FILES)

format-check:
	@clang-format-14 --dry-run -Werror $(C_FILES) $(CC_FILES) $(H_FILES)

lint:
	@scripts/lint $(C_FILES)

check: deps
	@$(MAKE) --no-print-directory -j8 CONFIG=release all
	@$(MAKE) --no-print-directory -j8 CONFIG=release test
	@BIN_DIR=build/release scripts/run-examples
	@ROUNDS=1 $(MAKE) --no-print-directory -j8 CONFIG=release soak SEED=1
	@$(MAKE) --no-print-directory -j8 test-asan
	@$(MAKE) --no-print-directory format-check lint
	@test ! -x scripts/fuzz-decoders || scripts/fuzz-decoders

prove:
	@scripts/prove -j 4

demo: deps
	@$(MAKE) --no-print-directory -j8 CONFIG=release all
	@BIN_DIR=build/release scripts/demo

soak: $(B)/zinnialine $(B)/soak/run
	@BIN_DIR=$(B) scripts/soak $(SEED) $(RUNS)

bench: all
	@BIN_DIR=$(B) bench/measure $(SITE)

clean:
	@rm -rf build

-include $(shell find build target -name '*.d' 2>/dev/null)

.PHONY: all deps test test-asan format format-check lint check prove demo \
	soak bench clean
