#ifndef DH_CTL_CTL_H
#define DH_CTL_CTL_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "config/apply.h"
#include "store/store.h"

/* Exit status; docs/DOGWOODCTL.md states them. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, /* input is wrong: nothing was written */
	CTL_PARTIAL = 2, /* some teams were written, others not */
	CTL_UNREACHABLE = 3, /* the store can't be reached */
	CTL_UNKNOWN = 4, /* a write may have taken effect */
	CTL_NOT_FOUND = 5, /* no such team, backend server, file */
	CTL_ATTENTION = 6, /* it worked; what it found needs someone */
	CTL_USAGE = 64,
};

/* What every subcommand has. */
struct ctl {
	const char *store_url; /* NULL: none given */
	bool json;
	bool quiet; /* no progress */
	uv_loop_t loop;
	struct dh_http *http;
	struct dh_store *store; /* NULL without store_url */
	struct dh_apply apply;
};

/* A subcommand; argv[0] is its name. */
struct ctl_command {
	const char *name;
	const char *args;
	const char *doc;
	bool needs_store;
	int (*run)(struct ctl *c, int argc, char **argv);
};

int ctl_apply(struct ctl *c, int argc, char **argv);
int ctl_diff(struct ctl *c, int argc, char **argv);
int ctl_get(struct ctl *c, int argc, char **argv);
int ctl_status(struct ctl *c, int argc, char **argv);
int ctl_drain(struct ctl *c, int argc, char **argv);
int ctl_undrain(struct ctl *c, int argc, char **argv);
int ctl_report(struct ctl *c, int argc, char **argv);
int ctl_check(struct ctl *c, int argc, char **argv);

/* ctl_progress -- a line to standard error, unless quiet. */
void ctl_progress(struct ctl *c, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* ctl_fail -- print error and give the exit status it means. */
int ctl_fail(const GError *error);

/* ctl_read -- a whole file, "-" for standard input; NULL after a message. */
char *ctl_read(const char *path, gsize *len);

/* ctl_print_json -- print root on a line and release it. */
void ctl_print_json(struct json_object *root);

/* A VM as its object in the store has it, and what it answered. */
struct ctl_vm {
	char *name;
	uint64_t incarnation;
	char *address;
	uint16_t admin_port;
	char *answer; /* NULL: not reached */
	char *why; /* then: why */
};

/* ctl_vms -- struct ctl_vm of every VM with what GET path gave, asked side by
 * side.  NULL with error when the store can't be read. */
GPtrArray *ctl_vms(struct ctl *c, const char *path, GError **error);

#endif
