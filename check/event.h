#ifndef DH_CHECK_EVENT_H
#define DH_CHECK_EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include <dogwoodhub/types.h>

/* One line of an event log; docs/HISTORY.md gives the format. */
enum dh_event_kind {
	DH_EVENT_UP,
	DH_EVENT_GRANT,
	DH_EVENT_EXTEND,
	DH_EVENT_RELEASE,
	DH_EVENT_EXPIRE,
	DH_EVENT_START,
	DH_EVENT_FINISH,
	DH_EVENT_REFUSE,
	DH_EVENT_SEND,
	DH_EVENT_ANSWER,
	DH_EVENT_ASSIGN,
	DH_EVENT_FORCE,
	DH_EVENT_ACCEPT,
	DH_EVENT_DRAIN,
	DH_EVENT_UNDRAIN,
	DH_EVENT_STOP,
	DH_EVENT_STOPPED,
	DH_EVENT_DOWN,
	DH_EVENT_FAULT,
};

/* GRANT, EXTEND, RELEASE, EXPIRE: slot and fence where the kind has them. */
struct dh_event_lease {
	const char *group;
	uint32_t slot;
	struct dh_fence fence;
	int64_t until_us;
};

/* START, FINISH, REFUSE: on a backend server. */
struct dh_event_run {
	const char *id;
	const char *call; /* NULL if not known */
	const char *group; /* NULL if the service is not keyed */
	uint32_t slot;
	struct dh_fence fence;
	bool unrepeatable;
};

struct dh_event_send {
	const char *call;
	const char *id;
	const char *via;
	const char *expect;
	bool unrepeatable;
};

struct dh_event_answer {
	const char *call;
	enum dh_outcome outcome;
	int32_t status;
	const char *echo; /* NULL if there was none */
	const char *hash; /* likewise */
	bool whole;
	bool repeated; /* says that it was done before, and no body */
};

struct dh_event_assign {
	const char *group;
	uint32_t slot;
	const char *owner;
	struct dh_fence fence;
	struct dh_fence prev;
	bool pair; /* kept by leader and deputy only */
	const char *holders[2]; /* NULL unless pair */
};

/* UP. */
struct dh_event_up {
	bool unchecked; /* a backend server that obeys whoever gives an order */
};

/* FORCE, ACCEPT. */
struct dh_event_config {
	uint64_t revision;
};

/* DRAIN, UNDRAIN, STOP, STOPPED, DOWN, FAULT. */
struct dh_event_target {
	const char *name; /* NULL: all */
	bool on;
};

struct dh_event {
	enum dh_event_kind kind;
	int64_t t_us;
	const char *src;
	union {
		struct dh_event_lease lease;
		struct dh_event_run run;
		struct dh_event_send send;
		struct dh_event_answer answer;
		struct dh_event_assign assign;
		struct dh_event_up up;
		struct dh_event_config config;
		struct dh_event_target target;
	};
	struct json_object *json; /* owns every string above */
};

/*
 * dh_event_parse -- read one line (len bytes, without its newline) into ev.
 * On failure error is DH_ERROR_INVALID and ev needs no clearing.
 */
bool dh_event_parse(
    struct dh_event *ev, const char *line, size_t len, GError **error);

void dh_event_clear(struct dh_event *ev);

#endif
