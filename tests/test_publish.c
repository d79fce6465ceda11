#include <pthread.h>
#include <stdbool.h>

#include <ck_pr.h>
#include <glib.h>

#include "control/publish.h"
#include "tests/cunit_main.h"

/*
 * Readers enter and leave read sections while tables are replaced.  The release
 * of a table overwrites its marker, so a reader that sees another value than
 * MARK has used a released table.  Under the thread sanitizer, a reader that
 * uses a table while it is freed is reported as a race.
 */
enum { READERS = 3, TABLES = 20000, MARK = 4711 };

struct test_state {
	struct dh_publish *publish;
	uint32_t done; /* all tables have been published */
	uint32_t released;
};

struct reader {
	struct test_state *state;
	struct dh_publish_reader *reader;
	uint32_t seen, saw_released, went_back;
};

struct marked_conf {
	struct dh_conf conf;
	struct test_state *state;
	uint32_t value;
};

static void
release(void *arg)
{
	struct marked_conf *m = arg;

	m->value = 0;
	m->state->released++;
	g_free(m);
}

static void *
reader_run(void *arg)
{
	struct reader *r = arg;
	const struct dh_table *t;
	const struct marked_conf *m;
	uint64_t last = 0;

	while (ck_pr_load_32(&r->state->done) == 0) {
		t = dh_publish_enter(r->reader);
		if (t != NULL) {
			m = (const struct marked_conf *)(const void *)t->conf;
			r->seen++;
			r->saw_released += m->value != MARK;
			r->went_back += t->version < last;
			last = t->version;
		}
		dh_publish_leave(r->reader);
	}
	return NULL;
}

static void
publish_one(struct test_state *s, uint64_t version)
{
	struct marked_conf *m = g_new0(struct marked_conf, 1);

	m->state = s;
	m->value = MARK;
	dh_publish_set(s->publish, dh_table_new(&m->conf, version), release, m);
}

static void
test_readers(void)
{
	struct test_state s = { .publish = dh_publish_new() };
	struct reader readers[READERS] = { 0 };
	pthread_t threads[READERS];
	uint64_t version;
	int i;

	for (i = 0; i < READERS; i++) {
		readers[i].state = &s;
		readers[i].reader = dh_publish_reader_new(s.publish);
		pthread_create(&threads[i], NULL, reader_run, &readers[i]);
	}
	for (version = 1; version <= TABLES; version++)
		publish_one(&s, version);
	ck_pr_store_32(&s.done, 1);
	for (i = 0; i < READERS; i++) {
		pthread_join(threads[i], NULL);
		dh_publish_reader_free(readers[i].reader);
		CU_ASSERT_EQUAL(readers[i].saw_released, 0);
		CU_ASSERT_EQUAL(readers[i].went_back, 0);
	}
	dh_publish_free(s.publish);
	CU_ASSERT_EQUAL(s.released, TABLES);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "readers while tables are replaced", test_readers },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("publish", tests);
}
