#include "control/publish.h"

#include <ck_epoch.h>
#include <ck_pr.h>
#include <glib.h>

#include "base/tsan.h"

struct entry {
	ck_epoch_entry_t epoch;
	struct dh_publish *publish;
	struct dh_table *table;
	void (*release)(void *arg);
	void *arg;
};

struct dh_publish {
	ck_epoch_t epoch;
	ck_epoch_record_t writer;
	struct entry *current;
	struct dh_publish_reader *readers; /* including freed ones */
};

struct dh_publish_reader {
	ck_epoch_record_t record;
	struct dh_publish *publish;
	struct dh_publish_reader *next;
};

static void
entry_free(struct entry *e)
{
	dh_table_free(e->table);
	if (e->release != NULL)
		e->release(e->arg);
	g_free(e);
}

static void
entry_reclaim(ck_epoch_entry_t *epoch)
{
	struct entry *e = (struct entry *)(void *)((char *)epoch -
	    offsetof(struct entry, epoch));

	dh_tsan_acquire(e->publish);
	entry_free(e);
}

struct dh_publish *
dh_publish_new(void)
{
	struct dh_publish *p = g_aligned_alloc0(1, sizeof(*p), CK_MD_CACHELINE);

	ck_epoch_init(&p->epoch);
	ck_epoch_register(&p->epoch, &p->writer, NULL);
	return p;
}

void
dh_publish_free(struct dh_publish *p)
{
	struct dh_publish_reader *r;

	if (p == NULL)
		return;
	ck_epoch_barrier(&p->writer);
	dh_tsan_acquire(p);
	if (p->current != NULL)
		entry_free(p->current);
	ck_epoch_unregister(&p->writer);
	while ((r = p->readers) != NULL) {
		p->readers = r->next;
		g_aligned_free(r);
	}
	g_aligned_free(p);
}

void
dh_publish_set(struct dh_publish *p, struct dh_table *t,
    void (*release)(void *arg), void *arg)
{
	struct entry *old = p->current;
	struct entry *e = g_new0(struct entry, 1);

	e->publish = p;
	e->table = t;
	e->release = release;
	e->arg = arg;
	dh_tsan_release(e);
	ck_pr_fence_store();
	ck_pr_store_ptr(&p->current, e);
	if (old != NULL)
		ck_epoch_call(&p->writer, &old->epoch, entry_reclaim);
	dh_publish_poll(p);
}

void
dh_publish_poll(struct dh_publish *p)
{
	ck_epoch_poll(&p->writer);
}

struct dh_publish_reader *
dh_publish_reader_new(struct dh_publish *p)
{
	struct dh_publish_reader *r =
	    g_aligned_alloc0(1, sizeof(*r), CK_MD_CACHELINE);

	r->publish = p;
	r->next = p->readers;
	p->readers = r;
	ck_epoch_register(&p->epoch, &r->record, NULL);
	return r;
}

void
dh_publish_reader_free(struct dh_publish_reader *r)
{
	if (r == NULL)
		return;
	ck_epoch_unregister(&r->record);
	/* The epoch keeps the record in its list, so dh_publish_free() frees
	 * the memory. */
}

const struct dh_table *
dh_publish_enter(struct dh_publish_reader *r)
{
	struct entry *e;

	ck_epoch_begin(&r->record, NULL);
	e = ck_pr_load_ptr(&r->publish->current);
	if (e == NULL)
		return NULL;
	dh_tsan_acquire(e);
	return e->table;
}

void
dh_publish_leave(struct dh_publish_reader *r)
{
	dh_tsan_release(r->publish);
	ck_epoch_end(&r->record, NULL);
}
