#include <pthread.h>
#include <stdbool.h>

#include <ck_pr.h>
#include <glib.h>

#include "control/publish.h"
#include "tests/cunit_main.h"

/*
 * Readers go on entering and leaving while tables are replaced.  Each table's
 * release poisons its mark, which no reader may then see; under the thread
 * sanitizer a reader that meets a table being freed is a race.
 */
enum { READERS = 3, TABLES = 20000, MARK = 4711 };

struct world {
	struct dh_publish *publish;
	uint32_t done; /* no more tables follow */
	uint32_t released;
};

struct reader {
	struct world *world;
	struct dh_publish_reader *reader;
	uint32_t seen, poisoned, older;
};

struct mark {
	struct dh_conf conf;
	struct world *world;
	uint32_t value;
};

static void
release(void *arg)
{
	struct mark *m = arg;

	m->value = 0;
	m->world->released++;
	g_free(m);
}

static void *
reader_run(void *arg)
{
	struct reader *r = arg;
	const struct dh_table *t;
	const struct mark *m;
	uint64_t last = 0;

	while (ck_pr_load_32(&r->world->done) == 0) {
		t = dh_publish_enter(r->reader);
		if (t != NULL) {
			m = (const struct mark *)(const void *)t->conf;
			r->seen++;
			r->poisoned += m->value != MARK;
			r->older += t->version < last;
			last = t->version;
		}
		dh_publish_leave(r->reader);
	}
	return NULL;
}

static void
publish_one(struct world *w, uint64_t version)
{
	struct mark *m = g_new0(struct mark, 1);

	m->world = w;
	m->value = MARK;
	dh_publish_set(w->publish, dh_table_new(&m->conf, version), release, m);
}

static void
test_readers(void)
{
	struct world w = { .publish = dh_publish_new() };
	struct reader readers[READERS] = { 0 };
	pthread_t threads[READERS];
	uint64_t version;
	int i;

	for (i = 0; i < READERS; i++) {
		readers[i].world = &w;
		readers[i].reader = dh_publish_reader_new(w.publish);
		pthread_create(&threads[i], NULL, reader_run, &readers[i]);
	}
	for (version = 1; version <= TABLES; version++)
		publish_one(&w, version);
	ck_pr_store_32(&w.done, 1);
	for (i = 0; i < READERS; i++) {
		pthread_join(threads[i], NULL);
		dh_publish_reader_free(readers[i].reader);
		CU_ASSERT_EQUAL(readers[i].poisoned, 0);
		CU_ASSERT_EQUAL(readers[i].older, 0);
	}
	dh_publish_free(w.publish);
	CU_ASSERT_EQUAL(w.released, TABLES);
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
