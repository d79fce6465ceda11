#ifndef DH_CONTROL_PUBLISH_H
#define DH_CONTROL_PUBLISH_H

#include <dogwoodhub/table.h>

/*
 * Publication of routing tables from the control thread to traffic threads,
 * by epoch based reclamation: readers take no lock and never wait.
 */
struct dh_publish;
struct dh_publish_reader;

struct dh_publish *dh_publish_new(void);

/* dh_publish_free -- after every reader has ended. */
void dh_publish_free(struct dh_publish *p);

/*
 * dh_publish_set -- make t the table in force.  Takes t and, with it, one
 * reference of its configuration: release() is called with t's arg once no
 * reader can see t any more.  Control thread only.
 */
void dh_publish_set(struct dh_publish *p, struct dh_table *t,
    void (*release)(void *arg), void *arg);

/* dh_publish_poll -- free what readers have left behind.  Control thread. */
void dh_publish_poll(struct dh_publish *p);

/* One reader a traffic thread; made before the threads start. */
struct dh_publish_reader *dh_publish_reader_new(struct dh_publish *p);
void dh_publish_reader_free(struct dh_publish_reader *r);

/* dh_publish_enter -- the table in force, NULL before the first; valid until
 * dh_publish_leave().  Sections do not nest. */
const struct dh_table *dh_publish_enter(struct dh_publish_reader *r);
void dh_publish_leave(struct dh_publish_reader *r);

#endif
