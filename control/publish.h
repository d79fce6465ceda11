#ifndef DH_CONTROL_PUBLISH_H
#define DH_CONTROL_PUBLISH_H

#include <dogwoodhub/table.h>

/*
 * Publication of routing tables from the control thread to the traffic threads
 * with epoch-based reclamation: readers take no lock and never wait.
 */
struct dh_publish;
struct dh_publish_reader;

struct dh_publish *dh_publish_new(void);

/* dh_publish_free -- to be called after all readers have been freed. */
void dh_publish_free(struct dh_publish *p);

/*
 * dh_publish_set -- make t the current table; takes ownership of t.  Once no
 * reader can use t any more, it is freed and release(arg) is called, for
 * example to release the configuration that t refers to.  Control thread only.
 */
void dh_publish_set(struct dh_publish *p, struct dh_table *t,
    void (*release)(void *arg), void *arg);

/* dh_publish_poll -- free replaced tables that no reader uses any more;
 * control thread only. */
void dh_publish_poll(struct dh_publish *p);

/* dh_publish_reader_new -- a reader for one traffic thread.  All readers must
 * be created before the traffic threads start. */
struct dh_publish_reader *dh_publish_reader_new(struct dh_publish *p);
void dh_publish_reader_free(struct dh_publish_reader *r);

/* dh_publish_enter -- begin a read section; returns the current table, NULL
 * before the first; it is valid until dh_publish_leave().  Read sections don't
 * nest. */
const struct dh_table *dh_publish_enter(struct dh_publish_reader *r);
void dh_publish_leave(struct dh_publish_reader *r);

#endif
