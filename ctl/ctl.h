#ifndef DH_CTL_CTL_H
#define DH_CTL_CTL_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "config/apply.h"
#include "store/store.h"

/* Exit statuses, documented in docs/DOGWOODCTL.md. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, /* invalid input: nothing was written */
	CTL_PARTIAL = 2, /* some teams were written, others were not */
	CTL_UNREACHABLE = 3, /* the store is unreachable */
	CTL_UNKNOWN = 4, /* a write may have taken effect */
	CTL_NOT_FOUND = 5, /* no such team, backend server or file */
	CTL_ATTENTION =
	    6, /* success, but an operator must look at the result */
	CTL_USAGE = 64,
};

/* State shared by all subcommands. */
struct ctl {
	const char *store_url; /* NULL: not configured */
	bool json;
	bool quiet; /* suppress progress messages */
	uv_loop_t loop;
	struct dh_http *http;
	struct dh_store *store; /* NULL without store_url */
	struct dh_apply apply;
};

/* A subcommand.  run() gets the subcommand's name as argv[0] and returns the
 * exit status. */
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

/* ctl_progress -- print a line to standard error, unless c is quiet. */
void ctl_progress(struct ctl *c, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* ctl_fail -- print error and return the corresponding exit status. */
int ctl_fail(const GError *error);

/* ctl_read -- read a whole file, or standard input if path is "-".  Prints a
 * message and returns NULL on failure.  The caller frees the result. */
char *ctl_read(const char *path, gsize *len);

/* ctl_print_json -- print root on one line and release it. */
void ctl_print_json(struct json_object *root);

/* A VM as its object in the store describes it, and its answer to a request. */
struct ctl_vm {
	char *name;
	uint64_t incarnation;
	char *address;
	uint16_t admin_port;
	char *answer; /* body of the reply; NULL: the request failed */
	char *why; /* reason, if the request failed */
};

/* ctl_vms -- send GET path to every VM concurrently and return a struct ctl_vm
 * for each.  Returns NULL with error set if the store can't be read. */
GPtrArray *ctl_vms(struct ctl *c, const char *path, GError **error);

#endif
