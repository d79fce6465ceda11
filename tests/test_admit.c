#include <stdio.h>
#include <string.h>

#include "router/admit.h"
#include "tests/cunit_main.h"

#define BACKENDS 9000u
#define SLOTS 6u

static struct dh_backend backends[BACKENDS];
static struct dh_admitter *ad;
static struct dh_settings settings = { .queue_max = 64, .threads = 1 };
static uv_loop_t loop;
static uint32_t refused;

static void
on_admitted(
    struct dh_exchange *ex, enum dh_admit verdict, int64_t retry_after_ms)
{
	(void)ex;
	(void)retry_after_ms;
	refused += verdict == DH_ADMIT_REFUSE;
}

static void
setup(void)
{
	uv_loop_init(&loop);
	refused = 0;
	ad = dh_admitter_new(&loop, &settings, 1, on_admitted);
}

static void
close_one(uv_handle_t *handle, void *arg)
{
	(void)arg;
	uv_close(handle, NULL);
}

static void
teardown(void)
{
	uv_walk(&loop, close_one, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	dh_admitter_free(ad);
}

/* Apply a configuration of n backend servers, numbered from first on. */
static void
update(uint64_t revision, uint32_t first, uint32_t n)
{
	struct dh_conf conf = {
		.revision = revision, .backends = backends, .nbackends = n
	};
	uint32_t i;

	for (i = 0; i < n; i++) {
		(void)snprintf(backends[i].name, sizeof(backends[i].name),
		    "b%u", first + i);
		backends[i].slots = SLOTS;
		backends[i].connections = 130;
	}
	dh_admitter_update(ad, &conf);
}

static uint64_t
id_of(uint32_t number)
{
	char name[DH_NAME_MAX];

	(void)snprintf(name, sizeof(name), "b%u", number);
	return dh_name_id(name);
}

static enum dh_admit
ask(struct dh_exchange *ex, uint32_t number)
{
	int64_t after_ms = 0;

	memset(ex, 0, sizeof(*ex));
	ex->backend_id = id_of(number);
	ex->deadline_ms = INT64_MAX / 2000;
	return dh_admitter_ask(ad, ex, &after_ms);
}

static void
test_arrays_grow_with_queued_request(void)
{
	struct dh_exchange run, waits;

	setup();
	update(1, 0, 3);
	CU_ASSERT_EQUAL(ask(&run, 2), DH_ADMIT_RUN);
	CU_ASSERT_EQUAL(ask(&waits, 2), DH_ADMIT_QUEUE);
	update(2, 0, BACKENDS);
	CU_ASSERT(dh_admitter_index_limit(ad) >= BACKENDS);
	CU_ASSERT_EQUAL(dh_admitter_index(ad, id_of(2)), 2);
	CU_ASSERT_EQUAL(dh_admitter_loads(ad)[2].running, 1);
	CU_ASSERT_EQUAL(
	    dh_admitter_index(ad, id_of(BACKENDS - 1)), BACKENDS - 1);
	dh_admitter_end(ad, &run, DH_ADMISSION_OK);
	CU_ASSERT_EQUAL(waits.ticket.state, DH_TICKET_RUNNING);
	dh_admitter_end(ad, &waits, DH_ADMISSION_OK);
	teardown();
}

static void
test_replaced_backends_free_indices(void)
{
	uint32_t i;

	setup();
	for (i = 1; i <= 2000; i++)
		update(i, i * 55, 55);
	CU_ASSERT(dh_admitter_index_limit(ad) <= 128);
	CU_ASSERT_EQUAL(dh_admitter_index(ad, id_of(55)), DH_NONE);
	CU_ASSERT(dh_admitter_index(ad, id_of(2000 * 55)) <
	    dh_admitter_index_limit(ad));
	teardown();
}

/* An index is used again only when no request refers to its former backend
 * server. */
static void
test_removed_backend_with_requests(void)
{
	struct dh_exchange run, waits, other;
	int64_t after_ms = 0;
	uint32_t i;

	setup();
	update(1, 0, 1);
	CU_ASSERT_EQUAL(ask(&run, 0), DH_ADMIT_RUN);
	CU_ASSERT_EQUAL(ask(&waits, 0), DH_ADMIT_QUEUE);
	update(2, 100, 1);
	CU_ASSERT_EQUAL(dh_admitter_index(ad, id_of(0)), 0);
	CU_ASSERT_EQUAL(dh_admitter_index(ad, id_of(100)), 1);
	uv_run(&loop, UV_RUN_NOWAIT);
	CU_ASSERT_EQUAL(refused, 1);
	dh_admitter_end(ad, &run, DH_ADMISSION_SHED);
	update(3, 200, 1);
	i = dh_admitter_index(ad, id_of(200));
	CU_ASSERT(i == 0 || i == 1);
	CU_ASSERT_EQUAL(dh_admitter_index(ad, id_of(0)), DH_NONE);
	/* The old index belongs to another backend server now. */
	CU_ASSERT_EQUAL(
	    dh_admitter_ask_again(ad, &run, &after_ms), DH_ADMIT_REFUSE);
	CU_ASSERT(after_ms > 0);
	CU_ASSERT_EQUAL(ask(&other, 200), DH_ADMIT_RUN);
	dh_admitter_end(ad, &other, DH_ADMISSION_OK);
	teardown();
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "growth", test_arrays_grow_with_queued_request },
		{ "replacement", test_replaced_backends_free_indices },
		{ "removal", test_removed_backend_with_requests },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("admit", tests);
}
