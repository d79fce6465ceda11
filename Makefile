# Build of every package, program, test and bench.  Files are found by
# folder: a new module needs no line here.
#
#   make            libraries and programs
#   make check      all unit and failure tests (SAN=address|undefined|thread)
#   make demo       request routing, a fault and a shutdown on loopback
#   make fuzz       a fixed number of seeded cases for each fuzz/fuzz_*.c
#   make format     rewrite the sources in the house format
#   make lint       formatter and linter, warnings are errors

CC ?= gcc
SAN ?=
comma := ,
BUILD := build$(if $(SAN),-$(subst $(comma),-,$(SAN)))
PKGS := base core proto store backend config router control report check \
	platform gateway
DEPS := glib-2.0 libcurl libmicrohttpd json-c msgpack libxxhash ck
# Library headers are included as system headers: the linter checks all others.
LIB_CPPFLAGS := $(shell pkg-config --cflags glib-2.0 json-c)
CPPFLAGS += -D_GNU_SOURCE -I. -Iinclude -DXXH_INLINE_ALL \
	$(patsubst -I%,-isystem %,$(LIB_CPPFLAGS))
WARN := -Wall -Wextra -Werror -Wshadow -Wmissing-prototypes \
	-Wstrict-prototypes -Wpointer-arith -Wwrite-strings
CFLAGS += -std=gnu11 -O2 -g -pthread $(WARN) \
	$(if $(SAN),-fsanitize=$(SAN) -fno-omit-frame-pointer)
LDLIBS := -lhttp_parser -lmicrohttpd -lcurl -ljson-c -lmsgpackc -lcsv -llog4c -lck -luv \
	-lglib-2.0 -lm
LDFLAGS += -pthread $(if $(SAN),-fsanitize=$(SAN))

SRC := $(foreach p,$(PKGS),$(wildcard $p/*.c))
OBJ := $(SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libdogwoodhub-all.a
CORE_SRC := $(wildcard core/*.c)
CORE_LIB := $(BUILD)/libdogwoodhub-core.a

DAEMON_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard daemon/*.c))
CTL_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard ctl/*.c))
BINS := $(if $(DAEMON_OBJ),$(BUILD)/dogwoodhub) \
	$(if $(CTL_OBJ),$(BUILD)/dogwoodctl)
# standin/lib/*.c goes into a library for tests and standin programs;
# standin/NAME.c and bench/NAME.c, examples/NAME.c: one program each
STANDINS := $(patsubst %.c,$(BUILD)/%,$(wildcard standin/*.c))
STANDIN_LIB := $(BUILD)/libdogwoodhub-standin.a
STANDIN_SRC := $(wildcard standin/lib/*.c)
BENCHES := $(patsubst %.c,$(BUILD)/%,$(wildcard bench/*.c))
EXAMPLES := $(patsubst %.c,$(BUILD)/%,$(wildcard examples/*.c))
TESTS := $(patsubst %.c,$(BUILD)/%,$(wildcard tests/test_*.c))
ALLC := $(SRC) $(STANDIN_SRC) $(wildcard daemon/*.c ctl/*.c standin/*.c bench/*.c \
	examples/*.c tests/*.c fuzz/*.c)
ALLH := $(foreach p,$(PKGS) include/dogwoodhub standin standin/lib bench tests daemon ctl,\
	$(wildcard $p/*.h))

.PHONY: all check unit failure mutate sanitize demo format lint tidy clean model bench \
	deps install fuzz
all: $(LIB) $(CORE_LIB) $(BINS) $(STANDINS) $(BENCHES) $(EXAMPLES)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(OBJ)
	@rm -f $@
	ar rcsP $@ $^

$(CORE_LIB): $(CORE_SRC:%.c=$(BUILD)/%.o)
	@rm -f $@
	ar rcsP $@ $^

$(BUILD)/dogwoodhub: $(DAEMON_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/dogwoodctl: $(CTL_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(STANDIN_LIB): $(STANDIN_SRC:%.c=$(BUILD)/%.o)
	@rm -f $@
	ar rcsP $@ $^

$(STANDINS) $(BENCHES): $(BUILD)/%: $(BUILD)/%.o $(STANDIN_LIB) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# The examples link core alone, as a program that embeds the library does.
$(EXAMPLES): $(BUILD)/%: $(BUILD)/%.o $(CORE_LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lm

$(TESTS): $(BUILD)/%: $(BUILD)/%.o $(STANDIN_LIB) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lcunit

unit: all $(TESTS)
	tools/run_tests.sh $(BUILD) $(TESTS)

failure: all
	tools/run_failures.sh $(BUILD)

# Unit and failure tests under the address and undefined behaviour sanitizers.
# base/tsan.h tells the thread sanitizer the memory ordering of Concurrency
# Kit's assembler; the sanitizer sees no ordering in glib's locks, which no
# program of this project may use between threads.
TSAN_TESTS := test_store test_apply test_datapath test_datapath_faults \
	test_publish
TSAN_SCENARIOS := leader_killed
sanitize:
	ASAN_OPTIONS=quarantine_size_mb=1 \
		$(MAKE) SAN=address,undefined unit failure
	$(MAKE) SAN=thread all $(TSAN_TESTS:%=build-thread/tests/%)
	G_SLICE=always-malloc tools/run_tests.sh build-thread \
		$(TSAN_TESTS:%=build-thread/tests/%)
	for s in $(TSAN_SCENARIOS); do \
		sh tests/failure/$$s.sh build-thread || exit 1; done

# Checks that the tests fail for each guard that is removed, one at a time.
mutate:
	tools/mutate_group.sh
	tools/mutate_permit.sh
	tools/mutate_keyspace.sh

check: unit failure mutate

demo: deps all
	tools/demo.sh $(BUILD)

model:
	tools/run_models.sh

fuzz:
	tools/run_fuzz.sh

deps:
	tools/install_deps.sh

format:
	clang-format -i $(ALLC) $(ALLH)

lint: tidy
	clang-format --dry-run -Werror $(ALLC) $(ALLH)

tidy: $(ALLC:%.c=$(BUILD)/tidy/%.ok)

$(BUILD)/tidy/%.ok: %.c .clang-tidy $(ALLH)
	@mkdir -p $(@D)
	clang-tidy --quiet $< -- -std=gnu11 $(CPPFLAGS) 2>/dev/null
	@touch $@

PREFIX ?= /usr/local
install: all
	tools/install.sh $(BUILD) $(DESTDIR)$(PREFIX)

clean:
	rm -rf build build-*

.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
